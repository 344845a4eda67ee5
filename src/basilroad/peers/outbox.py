"""Send queue of the stream to one peer."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

from basilroad.peers.wire import peer_pb2 as wire

M = TypeVar("M", wire.EntryMessage, wire.AgentMessage)

FRAME_MESSAGES = 512
"""Most messages in one frame."""


class Outbox(Generic[M]):
    """Queues messages and batches up to ``FRAME_MESSAGES`` of them into one frame.

    :param flush_s: longest delay of non-urgent messages for batching, in seconds
    """

    def __init__(self, flush_s: float) -> None:
        self.flush_s = flush_s
        self._queued: list[M] = []
        self._ready = asyncio.Event()
        self._urgent = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, message: M, *, urgent: bool = True) -> None:
        """Queue a message.

        :param message: sent after all messages queued before
        :param urgent: whether it is sent without delay
        """
        self._queued.append(message)
        self.request_flush(urgent=urgent)

    def request_flush(self, *, urgent: bool = True) -> None:
        """Request a frame, also if no message is queued.

        :param urgent: whether it is sent without delay
        """
        self._drained.clear()
        self._ready.set()
        if urgent:
            self._urgent.set()

    async def take(self) -> list[M]:
        """Wait for messages.

        :return: the messages of the next frame; none after a bare :meth:`request_flush`
        """
        await self._ready.wait()
        if not self._urgent.is_set() and self.flush_s > 0:
            await self._wait_for_more()
        frame = self._queued[:FRAME_MESSAGES]
        del self._queued[:FRAME_MESSAGES]
        if not self._queued:
            self._ready.clear()
            self._urgent.clear()
        return frame

    def mark_sent(self) -> None:
        """Record that the last taken frame was sent."""
        # a frame that was requested meanwhile is still to be sent, also without queued messages
        if not self._ready.is_set():
            self._drained.set()

    async def wait_drained(self) -> None:
        """Wait until all messages were sent."""
        await self._drained.wait()

    async def _wait_for_more(self) -> None:
        try:
            async with asyncio.timeout(self.flush_s):
                await self._urgent.wait()
        except TimeoutError:
            return


__all__ = ["FRAME_MESSAGES", "Outbox"]
