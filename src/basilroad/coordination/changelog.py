"""Log of the keys that changed since a reader's last read."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

Key = TypeVar("Key", bound=Hashable)


@attrs.frozen
class ChangedKeys(Generic[Key]):
    """Keys that changed since a serial.

    :param serial: position to read from next time
    :param keys: the keys, newest change first; ``None`` on a first read or if some were evicted
    """

    serial: int
    keys: tuple[Key, ...] | None


class ChangeLog(Generic[Key]):
    """Keeps the last change of each key, for any number of readers.

    :param limit: maximum number of keys kept
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._serial = 0
        self._evicted_serial = 0
        self._changed: OrderedDict[Key, int] = OrderedDict()

    def mark_changed(self, key: Key) -> None:
        """Record that a key changed.

        :param key: the key
        """
        self._serial += 1
        self._changed[key] = self._serial
        self._changed.move_to_end(key)
        if len(self._changed) > self._limit:
            _, self._evicted_serial = self._changed.popitem(last=False)

    def read(self, since: int) -> ChangedKeys[Key]:
        """Return the keys that changed, in time linear in their number.

        :param since: serial of the reader's last read; 0 for the first read
        :return: the keys that changed since then
        """
        if since == 0 or since < self._evicted_serial:
            return ChangedKeys(self._serial, None)
        keys = []
        for key, serial in reversed(self._changed.items()):
            if serial <= since:
                break
            keys.append(key)
        return ChangedKeys(self._serial, tuple(keys))


__all__ = ["ChangeLog", "ChangedKeys"]
