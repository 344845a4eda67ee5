"""Something that several readers wait for changes of."""

from __future__ import annotations

import asyncio


class Observable:
    """Wakes its watchers whenever it has changed."""

    def __init__(self) -> None:
        self._watchers: set[asyncio.Event] = set()

    def watch(self) -> asyncio.Event:
        """Follow it.

        :return: set whenever something has changed; hand it to :meth:`unwatch` at the end
        """
        changed = asyncio.Event()
        self._watchers.add(changed)
        return changed

    def remove_watcher(self, changed: asyncio.Event) -> None:
        """Stop following.

        :param changed: from :meth:`watch`
        """
        self._watchers.discard(changed)

    def notify(self) -> None:
        """Wake all watchers."""
        for changed in self._watchers:
            changed.set()


__all__ = ["Observable"]
