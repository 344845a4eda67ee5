"""Slots of a batch, assigned by priority."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count


class PrioritySlots:
    """Semaphore for generations that is granted by priority.

    :param slots: generations that run at once
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self._arrivals = count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """:return: number of queued generations."""
        return sum(not granted.done() for _, _, granted in self._waiting)

    @asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot and hold it.

        :param priority: lower values are granted first, equal ones in order of arrival
        """
        await self._acquire(priority)
        try:
            yield
        finally:
            self.running -= 1
            self._grant()

    async def _acquire(self, priority: int) -> None:
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), granted))
        self._grant()
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.running -= 1
                self._grant()
            raise

    def _grant(self) -> None:
        while self.running < self.slots and self._waiting:
            _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(None)
                self.running += 1


__all__ = ["PrioritySlots"]
