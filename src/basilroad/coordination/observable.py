"""Change notification for several watchers."""

from __future__ import annotations

import asyncio


class Observable:
    """Object that notifies its watchers of changes."""

    def __init__(self) -> None:
        self._watchers: set[asyncio.Event] = set()

    def watch(self) -> asyncio.Event:
        """Start watching.

        :return: event that is set on each change; to be passed to :meth:`remove_watcher` at the end
        """
        changed = asyncio.Event()
        self._watchers.add(changed)
        return changed

    def remove_watcher(self, changed: asyncio.Event) -> None:
        """Stop watching.

        :param changed: event returned by :meth:`watch`
        """
        self._watchers.discard(changed)

    def notify(self) -> None:
        """Set the events of all watchers."""
        for changed in self._watchers:
            changed.set()


__all__ = ["Observable"]
