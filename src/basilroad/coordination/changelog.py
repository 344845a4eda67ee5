"""Memory of which keys changed since a reader last looked."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

Key = TypeVar("Key", bound=Hashable)


@attrs.frozen
class ChangedKeys(Generic[Key]):
    """Keys that changed since a serial.

    :param serial: what to ask from next time
    :param keys: the keys, the newest change first; ``None`` if it is not known any more which
    """

    serial: int
    keys: tuple[Key, ...] | None


class ChangeLog(Generic[Key]):
    """Remembers the last change of each key, for any number of readers.

    :param limit: most keys that are remembered
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._serial = 0
        self._dropped = 0
        self._changed: OrderedDict[Key, int] = OrderedDict()

    def mark_changed(self, key: Key) -> None:
        """Note that a key changed.

        :param key: what changed
        """
        self._serial += 1
        self._changed[key] = self._serial
        self._changed.move_to_end(key)
        if len(self._changed) > self._limit:
            _, self._dropped = self._changed.popitem(last=False)

    def read(self, since: int) -> ChangedKeys[Key]:
        """Tell what changed; takes time only for that.

        :param since: serial of the reader's last look; 0 for a first look
        :return: the keys that changed
        """
        if since == 0 or since < self._dropped:
            return ChangedKeys(self._serial, None)
        keys = []
        for key, serial in reversed(self._changed.items()):
            if serial <= since:
                break
            keys.append(key)
        return ChangedKeys(self._serial, tuple(keys))


__all__ = ["ChangeLog", "ChangedKeys"]
