"""Stream from an agent to one entry."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

from basilroad.peers.codec import FrameCodec
from basilroad.peers.outbox import Outbox
from basilroad.peers.sync import SettingsSync
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from grpclib.server import Stream

    from basilroad.agent.run import Reader
    from basilroad.peers.traffic import LinkMeter

REMOTE_FLUSH_S = 0.025
"""Seconds that tokens may wait for company on their way to another region."""

BUSY_S = 10.0
"""Seconds after an entry's last order for which it is told as much as while its work runs."""


class EntryLink:
    """Sends messages and coalesced tokens to one entry.

    :param stream: the stream that the entry opened
    :param flush_s: seconds that tokens may wait for company
    :param meter: counts what leaves the region
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
        self.name = uuid.uuid4().hex
        self.hello = wire.EntryHello()
        self.last_received_s = time.monotonic()
        self.host_leaving = False
        self.sync = SettingsSync()
        self.asked_s = 0.0
        self._meter = meter
        self._outbox: Outbox[wire.AgentMessage] = Outbox(flush_s)
        self._ends: list[wire.AgentMessage] = []
        self._readers: dict[Reader, None] = {}
        self._closed = asyncio.Event()

    def record_hello(self, hello: wire.EntryHello) -> None:
        """Take who the entry is.

        :param hello: its first message
        """
        self.hello = hello
        self.is_remote = self._meter.is_remote(hello.region)
        if self.is_remote:
            self.codec.compresses = True
            self._outbox.flush_s = max(self._outbox.flush_s, REMOTE_FLUSH_S)

    def record_asked(self) -> None:
        """Note that the entry has work for this host."""
        self.asked_s = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """:return: whether the entry had work for this host lately."""
        return time.monotonic() - self.asked_s < BUSY_S

    def send(self, message: wire.AgentMessage) -> None:
        """Send before the tokens that wait.

        :param message: what to send
        """
        self._outbox.push(message)

    def send_end(self, end: wire.Finished | wire.Failed) -> None:
        """Send after the tokens that wait.

        :param end: how a run ended
        """
        if isinstance(end, wire.Finished):
            self._ends.append(wire.AgentMessage(finished=end))
        else:
            self._ends.append(wire.AgentMessage(failed=end))
        self._outbox.request_flush()

    def mark_tokens(self, reader: Reader, *, urgent: bool) -> None:
        """Note that a run has tokens for the entry.

        :param reader: place of the entry in the run
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

    async def wait_drained(self) -> None:
        """Wait until all that waits is on its way."""
        await self._outbox.wait_drained()

    def close(self) -> None:
        """End the conversation."""
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the conversation is to end."""
        await self._closed.wait()

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
