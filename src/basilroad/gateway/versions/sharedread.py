"""Reads that callers share if they begin late enough for each of them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ResultT = TypeVar("ResultT")

_LOGGER = logging.getLogger(__name__)


class SharedRead(Generic[ResultT]):
    """Reads one at a time; a caller gets a result that was requested after it asked.

    :param read: reads and may raise
    """

    def __init__(self, read: Callable[[], Awaitable[ResultT]]) -> None:
        self._read = read
        self._running: asyncio.Task[ResultT] | None = None
        self._next: asyncio.Task[ResultT] | None = None

    async def read(self) -> ResultT:
        """Wait for a read that begins from now on.

        :return: its result
        """
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._running))
            self._next.add_done_callback(_log_failure)
        # other callers may wait for the same read
        return await asyncio.shield(self._next)

    async def _read_after(self, running: asyncio.Task[ResultT] | None) -> ResultT:
        if running is not None:
            await asyncio.wait([running])
        self._running, self._next = self._next, None
        return await self._read()


def _log_failure(task: asyncio.Task[ResultT]) -> None:
    # all callers may have left
    if not task.cancelled() and task.exception() is not None:
        _LOGGER.info("shared read failed", extra={"detail": str(task.exception())})


__all__ = ["SharedRead"]
