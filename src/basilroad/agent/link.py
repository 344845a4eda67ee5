"""Stream from an agent to one entry."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

from basilroad.agent.knowndeaths import KnownDeaths
from basilroad.peers.codec import FrameCodec
from basilroad.peers.outbox import Outbox
from basilroad.peers.sync import SettingsSync
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from grpclib.server import Stream

    from basilroad.agent.run import Reader
    from basilroad.peers.traffic import LinkMeter

REMOTE_FLUSH_S = 0.025
"""Seconds that tokens to a remote region are held back to be sent in one frame."""

FINISH_TIMEOUT_S = 1.0
"""Seconds for the last messages to an entry and the end of its stream."""

BUSY_WINDOW_S = 10.0
"""Seconds after an entry's last work for which it gets heartbeats as often as during work."""

_LOGGER = logging.getLogger(__name__)


class EntryLink:
    """Sends messages and coalesced tokens to one entry.

    :param stream: the stream that the entry opened
    :param flush_s: seconds that tokens are held back to be sent in one frame
    :param meter: counts the traffic that leaves the region
    """

    def __init__(
        self,
        stream: Stream[wire.EntryFrame, wire.AgentFrame],
        flush_s: float,
        meter: LinkMeter,
    ) -> None:
        self.stream = stream
        self.codec = FrameCodec(wire.AgentFrame)
        self.is_remote = False
        self.seen: Counter[str] = Counter()
        self.known_deaths = KnownDeaths()
        self.name = uuid.uuid4().hex
        self.hello = wire.EntryHello()
        self.last_received_s = time.monotonic()
        self.host_leaving = False
        self.sync = SettingsSync()
        self.last_work_s = 0.0
        self._meter = meter
        self._outbox: Outbox[wire.AgentMessage] = Outbox(flush_s)
        self._ends: list[wire.AgentMessage] = []
        self._readers: dict[Reader, None] = {}
        self._closed = asyncio.Event()
        self._ended = asyncio.Event()

    def record_hello(self, hello: wire.EntryHello) -> None:
        """Record the identity of the entry.

        :param hello: its first message
        """
        self.hello = hello
        self.is_remote = self._meter.is_remote(hello.region)
        if self.is_remote:
            self.codec.compresses = True
            self._outbox.flush_s = max(self._outbox.flush_s, REMOTE_FLUSH_S)

    def record_work(self) -> None:
        """Record that the entry has work for this host."""
        self.last_work_s = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """:return: whether the entry had work for this host within ``BUSY_WINDOW_S``."""
        return time.monotonic() - self.last_work_s < BUSY_WINDOW_S

    def send(self, message: wire.AgentMessage) -> None:
        """Queue a message; it is sent ahead of pending tokens.

        :param message: the message
        """
        self._outbox.push(message)

    def send_end(self, end: wire.Finished | wire.Failed) -> None:
        """Queue the end of a run; it is sent after pending tokens.

        :param end: how the run ended
        """
        if isinstance(end, wire.Finished):
            self._ends.append(wire.AgentMessage(finished=end))
        else:
            self._ends.append(wire.AgentMessage(failed=end))
        self._outbox.request_flush()

    def mark_tokens(self, reader: Reader, *, urgent: bool) -> None:
        """Record that a run has unsent tokens for the entry.

        :param reader: read position of the entry in the run
        :param urgent: whether to send at once
        """
        self._readers[reader] = None
        self._outbox.request_flush(urgent=urgent)

    async def run_sender(self) -> None:
        """Send frames until the stream ends."""
        while True:
            messages = await self._outbox.take()
            messages.extend(self._collect_tokens())
            messages.extend(self._ends)
            self._ends.clear()
            frame = self.codec.pack(messages)
            self._meter.count(self.hello.region, messages, frame.ByteSize())
            await self.stream.send_message(frame)
            self._outbox.mark_sent()

    async def finish(self) -> None:
        """Send the last messages, unless the entry ends its stream before, and end the stream."""
        try:
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                if not await self._wait_drained():
                    _LOGGER.info("an entry ended its stream before it received the last messages")
                self._closed.set()
                # the end of the stream is sent when its handler returns
                await self.wait_ended()
        except TimeoutError:
            _LOGGER.warning(
                "an entry did not receive the last messages before its stream was closed"
            )

    async def wait_closed(self) -> None:
        """Wait until the stream is to be closed."""
        await self._closed.wait()

    def mark_ended(self) -> None:
        """Record that the stream is no longer served."""
        self._ended.set()

    async def wait_ended(self) -> None:
        """Wait until :meth:`mark_ended` is called."""
        await self._ended.wait()

    async def _wait_drained(self) -> bool:
        """:return: whether all queued messages were sent before the end of the stream."""
        drained = asyncio.ensure_future(self._outbox.wait_drained())
        ended = asyncio.ensure_future(self.wait_ended())
        try:
            await asyncio.wait({drained, ended}, return_when=asyncio.FIRST_COMPLETED)
            return drained.done()
        finally:
            drained.cancel()
            ended.cancel()

    def _collect_tokens(self) -> list[wire.AgentMessage]:
        messages = [_build_tokens(reader) for reader in self._readers]
        self._readers.clear()
        return [message for message in messages if message.tokens.tokens]


def _build_tokens(reader: Reader) -> wire.AgentMessage:
    run = reader.run
    offset = reader.sent
    reader.sent = len(run.tokens)
    tokens = wire.Tokens(
        generation=run.generation,
        attempt=run.start.attempt,
        offset=offset,
        tokens=run.tokens[offset:],
    )
    return wire.AgentMessage(tokens=tokens)


__all__ = ["EntryLink"]
