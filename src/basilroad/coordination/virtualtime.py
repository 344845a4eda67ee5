"""Weighted fair queueing between the members of one level."""

from __future__ import annotations

from collections.abc import Callable

from basilroad.coordination.keyedheap import KeyedHeap


def _do_nothing(name: str) -> None:
    """Default callback."""


class VirtualTime:
    """Virtual clock of start-time fair queueing between named members.

    A member's virtual time is the service it received, divided by its weight. The level's time,
    ``now``, follows the minimum of the waiting members. A member that becomes active starts at the
    level's time at the earliest, so idle time earns no credit; one that is ahead keeps its debt
    while idle until the level's time has caught up, and is then evicted.

    :param idle_limit: maximum idle members whose debt is kept; the smallest debt is evicted first
    :param on_evict: called with the name of a member that was evicted
    """

    def __init__(self, idle_limit: int, on_evict: Callable[[str], None] = _do_nothing) -> None:
        self.now = 0.0
        self._idle_limit = idle_limit
        self._on_evict = on_evict
        self._waiting: KeyedHeap[str] = KeyedHeap()
        self._idle: KeyedHeap[str] = KeyedHeap()

    def __len__(self) -> int:
        """:return: number of members with state."""
        return len(self._waiting) + len(self._idle)

    def has_waiting(self) -> bool:
        """:return: whether any member is waiting."""
        return len(self._waiting) > 0

    @property
    def waiting(self) -> int:
        """:return: number of waiting members."""
        return len(self._waiting)

    def is_waiting(self, name: str) -> bool:
        """:return: whether a member is waiting."""
        return name in self._waiting

    def activate(self, name: str) -> None:
        """Mark a member as waiting for service.

        :param name: the member
        """
        if name in self._waiting:
            return
        debt = self._idle.pop(name)
        start = self.now if debt is None else max(self.now, debt)
        self._waiting.put(name, start)

    def deactivate(self, name: str) -> None:
        """Mark a member as idle.

        :param name: the member
        """
        virtual_time = self._waiting.pop(name)
        if virtual_time is None:
            return
        self._idle.put(name, virtual_time)
        self._evict_idle()

    def head(self) -> str | None:
        """:return: the waiting member to serve next."""
        return self._waiting.head()

    def serve(self, name: str, amount: float) -> None:
        """Charge a waiting member at the start of service.

        :param name: the member
        :param amount: tokens divided by its weight
        :raises KeyError: the member is not waiting
        """
        virtual_time = self._waiting.priority(name)
        head = self._waiting.head()
        if head is not None:
            self.now = max(self.now, self._waiting.priority(head))
        self._waiting.put(name, virtual_time + amount)
        self._evict_idle()

    def adjust(self, name: str, amount: float) -> None:
        """Adjust the charge of a member, waiting or idle.

        :param name: the member
        :param amount: tokens divided by its weight; negative for a refund
        """
        if name in self._waiting:
            self._waiting.put(name, self._waiting.priority(name) + amount)
            return
        debt = self._idle.pop(name)
        virtual_time = (self.now if debt is None else debt) + amount
        self._idle.put(name, virtual_time)
        self._evict_idle()

    def _evict_idle(self) -> None:
        while True:
            name = self._idle.head()
            if name is None:
                return
            if self._idle.priority(name) > self.now and len(self._idle) <= self._idle_limit:
                return
            self._idle.pop(name)
            self._on_evict(name)


__all__ = ["VirtualTime"]
