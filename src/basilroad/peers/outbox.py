"""Messages that wait for the stream of one peer."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

from basilroad.peers.wire import peer_pb2 as wire

M = TypeVar("M", wire.EntryMessage, wire.AgentMessage)

FRAME_MESSAGES = 512
"""Messages in one frame at the most."""


class Outbox(Generic[M]):
    """Collects messages so that one frame carries all that wait.

    :param flush_s: seconds that messages which are not urgent may wait for company
    """

    def __init__(self, flush_s: float) -> None:
        self.flush_s = flush_s
        self._waiting: list[M] = []
        self._ready = asyncio.Event()
        self._urgent = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, message: M, *, urgent: bool = True) -> None:
        """Add a message.

        :param message: sent after all that were added before
        :param urgent: whether it is sent at once
        """
        self._waiting.append(message)
        self.request_flush(urgent=urgent)

    def request_flush(self, *, urgent: bool = True) -> None:
        """Have a frame sent, also if no message waits here.

        :param urgent: whether it is sent at once
        """
        self._drained.clear()
        self._ready.set()
        if urgent:
            self._urgent.set()

    async def take(self) -> list[M]:
        """Wait for messages.

        :return: the messages of the next frame; none after a bare :meth:`wake`
        """
        await self._ready.wait()
        if not self._urgent.is_set() and self.flush_s > 0:
            await self._wait_for_company()
        frame = self._waiting[:FRAME_MESSAGES]
        del self._waiting[:FRAME_MESSAGES]
        if not self._waiting:
            self._ready.clear()
            self._urgent.clear()
        return frame

    def mark_sent(self) -> None:
        """Note that the last frame taken is on its way."""
        if not self._waiting:
            self._drained.set()

    async def wait_drained(self) -> None:
        """Wait until all messages are on their way."""
        await self._drained.wait()

    async def _wait_for_company(self) -> None:
        try:
            async with asyncio.timeout(self.flush_s):
                await self._urgent.wait()
        except TimeoutError:
            return


__all__ = ["FRAME_MESSAGES", "Outbox"]
