"""Stream from an entry to one agent."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import time
from typing import TYPE_CHECKING, Protocol

import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from mode import Service

from basilroad.peers.codec import FrameCodec
from basilroad.peers.failreason import FailReason
from basilroad.peers.outbox import Outbox
from basilroad.peers.sync import SettingsSync
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from grpclib.client import Stream as ClientStream

    from basilroad.entry.attemptreceiver import AttemptReceiver
    from basilroad.peers.address import Address
    from basilroad.settings.daemon import EntrySettings

RECONNECT_S = 0.2
"""Seconds before the first new try to connect."""

RECONNECT_MAX_S = 2.0
"""Seconds between tries to connect at the most."""

IDLE_PATIENCE = 4
"""Multiple of the patience for an agent of another region while nothing runs there."""

REMOTE_FLUSH_S = 0.25
"""Seconds that what is not urgent may wait for company on its way to another region."""

_LOST = (GRPCError, StreamTerminatedError, ConnectionError, OSError, TimeoutError)

_LOGGER = logging.getLogger(__name__)

Reply = wire.Found | wire.Attached | wire.CallAnswer | wire.CallSettled | wire.ModelPlaced


class LinkLostError(Exception):
    """The agent is not connected, or was lost before it replied."""


@attrs.define(eq=False)
class EndpointView:
    """One endpoint as this entry knows it.

    :param link: stream to its agent
    :param state: as the agent told it last
    :param told_s: monotonic time of the state
    :param sent: generations sent without a credit, and calls, since the link is up
    :param claimed: generations about to be sent
    """

    link: AgentLink
    state: wire.EndpointState
    reported_s: float = 0.0
    sent: int = 0
    claimed: int = 0

    @property
    def unreported_work(self) -> int:
        """:return: what was sent or is about to be, and is not yet part of the state."""
        return self.claimed + max(0, self.sent - self.state.seen)

    @contextlib.contextmanager
    def reserve_slot(self) -> Iterator[None]:
        """Count a generation that is about to be sent, so that others leave it the slot."""
        self.claimed += 1
        try:
            yield
        finally:
            self.claimed -= 1

    @property
    def name(self) -> str:
        """:return: name of the endpoint."""
        return self.state.endpoint

    @property
    def usable(self) -> bool:
        """:return: whether it takes new work."""
        if self.link.leaving:
            return False
        state = self.state
        return state.alive and not state.draining and state.state in ("", "ready")

    @property
    def free(self) -> int:
        """:return: slots believed to be free."""
        state = self.state
        return state.slots - state.running - state.reserved - self.unreported_work


class LinkOwner(Protocol):
    """What a link tells the entry."""

    def on_message(self, link: AgentLink, body: object) -> None:
        """Act on a message that the link does not handle itself."""

    def on_up(self, link: AgentLink) -> None:
        """Greet an agent that has answered."""

    def on_lost(self, link: AgentLink, endpoints: Sequence[str]) -> None:
        """Act on the loss of an agent and its endpoints."""

    def build_hello(self) -> wire.EntryHello:
        """:return: the first message to an agent."""

    def on_frame(self, link: AgentLink, messages: Sequence[wire.EntryMessage], size: int) -> None:
        """Count a frame that was sent, by its messages and its size in bytes."""

    def on_frame_taken(self, link: AgentLink, frame: wire.AgentFrame, tokens: int) -> None:
        """Count a frame that came and the tokens in it."""


class AgentLink(Service):
    """Keeps one stream to an agent; connects again when it is lost.

    :param address: where the agent listens
    :param settings: of the entry
    :param owner: told of messages and losses
    """

    def __init__(self, address: Address, settings: EntrySettings, owner: LinkOwner) -> None:
        super().__init__()
        self.address = address
        self.settings = settings
        self.hello: wire.AgentHello | None = None
        self.endpoints: dict[str, EndpointView] = {}
        self.attempts: dict[str, AttemptReceiver] = {}
        self.last_received_s = 0.0
        self.sync = SettingsSync()
        self.leaving = False
        self.restarted_s = float("-inf")
        """Monotonic time at which another process of the agent was met."""
        self._idle_s = 0.0
        self.up_s = 0.0
        self.connection_changed_s = time.monotonic()
        self.up = asyncio.Event()
        self._lost = asyncio.Event()
        self.first_connect_done = asyncio.Event()
        self.codec = FrameCodec(wire.EntryFrame)
        self._owner = owner
        self._outbox: Outbox[wire.EntryMessage] = Outbox(settings.flush_s)
        self._calls: dict[int, asyncio.Future[Reply]] = {}
        self._numbers = itertools.count(1)

    @property
    def is_up(self) -> bool:
        """:return: whether the agent has answered and is not lost."""
        return self.up.is_set()

    @property
    def region(self) -> str:
        """:return: region of the agent; empty while it is not known."""
        return self.hello.region if self.hello is not None else ""

    @property
    def incarnation(self) -> str:
        """:return: names the agent's process; empty while it is not known."""
        return self.hello.incarnation if self.hello is not None else ""

    @property
    def is_busy(self) -> bool:
        """:return: whether something of this entry runs there, or is asked."""
        return bool(self.attempts or self._calls)

    def send(self, message: wire.EntryMessage, *, urgent: bool = True) -> None:
        """Send a message if the agent is connected.

        :param message: what to send
        :param urgent: whether it is sent at once
        """
        if self.is_up:
            self._outbox.push(message, urgent=urgent)

    def may_run_service(self, service: str) -> bool:
        """:return: whether the agent has, had or may have an endpoint of a plain service."""
        if self.hello is None:
            return True
        states = (*self.hello.endpoints, *(view.state for view in self.endpoints.values()))
        return any(state.service == service and state.kind == "service" for state in states)

    def mark_leaving(self, leaving: bool) -> None:
        """Note whether the platform lists the agent's host as leaving, and tell the agent.

        :param leaving: whether it does
        """
        if leaving != self.leaving:
            self.leaving = leaving
            self.send(wire.EntryMessage(leaving=wire.HostLeaving(leaving=leaving)))

    def next_call_number(self) -> int:
        """:return: a number for a message that gets a reply."""
        return next(self._numbers)

    async def ask(self, call: int, message: wire.EntryMessage, timeout_s: float) -> Reply:
        """Send a message and wait for its reply.

        :param call: number in the message
        :param message: what to send
        :param timeout_s: seconds to wait
        :return: the reply
        :raises LinkLostError: the agent was lost, or did not reply in time
        """
        if not self.is_up:
            raise LinkLostError("not connected")
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._calls[call] = reply
        self.send(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            raise LinkLostError("no reply in time") from error
        finally:
            self._calls.pop(call, None)

    def resolve(self, reply: Reply) -> None:
        """Hand a reply to who waits for it.

        :param reply: carries the number of its call
        """
        waiting = self._calls.get(reply.call)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def update_endpoint(self, state: wire.EndpointState) -> EndpointView:
        """Take the newest state of an endpoint.

        :param state: as the agent tells it
        :return: the view of it
        """
        view = self.endpoints.get(state.endpoint)
        if view is None:
            view = EndpointView(self, state)
            self.endpoints[state.endpoint] = view
        view.state = state
        view.reported_s = time.monotonic()
        return view

    def check_heartbeat(self, now: float) -> None:
        """Drop an agent that has been silent for too long.

        :param now: monotonic time
        """
        limit_s = self.settings.dead_after_s
        if self.codec.compresses and not self.is_busy:
            # heartbeats between regions are few while nothing runs there
            limit_s *= IDLE_PATIENCE
            self._idle_s = now
            silent_s = now - self.last_received_s
        else:
            silent_s = now - max(self.last_received_s, self._idle_s)
        if self.is_up and silent_s > limit_s:
            self._lose("no heartbeat")

    @Service.task
    async def _connect(self) -> None:
        delay_s = RECONNECT_S
        while not self.should_stop:
            try:
                await self._converse()
                delay_s = RECONNECT_S
            except _LOST as error:
                _LOGGER.debug("agent %s: %r", self.address, error)
            except Exception:
                # grpclib raises its own internal errors when a connection closes while it opens
                _LOGGER.exception("agent %s", self.address)
            self._lose("stream ended")
            self.first_connect_done.set()
            await self.sleep(delay_s)
            delay_s = min(RECONNECT_MAX_S, 2 * delay_s)

    async def _converse(self) -> None:
        channel = Channel(self.address.ip, self.address.port)
        try:
            async with asyncio.timeout(self.settings.dead_after_s):
                await channel.__connect__()
            async with PeerStub(channel).Converse.open() as stream:
                hello = wire.EntryMessage(hello=self._owner.build_hello())
                await stream.send_message(wire.EntryFrame(messages=[hello]))
                await self._run_both(stream)
        finally:
            channel.close()

    async def _run_both(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        self._outbox = Outbox(self.settings.flush_s)
        self.codec = FrameCodec(wire.EntryFrame)
        self.last_received_s = time.monotonic()
        self._lost = asyncio.Event()
        sender = asyncio.ensure_future(self._send_frames(stream))
        receiver = asyncio.ensure_future(self._receive_frames(stream))
        closer = asyncio.ensure_future(self._lost.wait())
        greeter = asyncio.ensure_future(self._await_greeting())
        tasks = {sender, receiver, closer, greeter}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _await_greeting(self) -> None:
        await asyncio.wait_for(self.up.wait(), self.settings.dead_after_s)
        await asyncio.Event().wait()

    async def _send_frames(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        while True:
            messages = await self._outbox.take()
            frame = self.codec.pack(messages)
            self._owner.on_frame(self, messages, frame.ByteSize())
            await stream.send_message(frame)
            self._outbox.mark_sent()

    async def _receive_frames(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        async for frame in stream:
            self.last_received_s = time.monotonic()
            self._take_frame(frame)

    def _take_frame(self, frame: wire.AgentFrame) -> None:
        plain = frame
        if frame.compressed:
            plain = wire.AgentFrame.FromString(self.codec.inflate(frame.compressed))
        for message in plain.messages:
            self._take(message)
        tokens = sum(len(message.tokens.tokens) for message in plain.messages)
        self._owner.on_frame_taken(self, frame, tokens)

    def _take(self, message: wire.AgentMessage) -> None:
        kind = message.WhichOneof("body")
        if kind is None:
            return
        body = getattr(message, kind)
        if kind == "tokens":
            attempt = self.attempts.get(body.generation)
            if attempt is not None:
                attempt.receive_tokens(body)
            return
        if kind == "hello":
            self._greet(body)
        self._owner.on_message(self, body)

    def _greet(self, hello: wire.AgentHello) -> None:
        if self.hello is not None and self.hello.incarnation != hello.incarnation:
            self.restarted_s = time.monotonic()
        self.hello = hello
        own = self._owner.build_hello().region
        if hello.region not in ("", own):
            self.codec.compresses = True
            self._outbox.flush_s = max(self._outbox.flush_s, REMOTE_FLUSH_S)
        for state in hello.endpoints:
            self.update_endpoint(state)
        self.up_s = time.monotonic()
        self.up.set()
        self.first_connect_done.set()
        self._owner.on_up(self)

    def _lose(self, why: str) -> None:
        if not self.is_up:
            return
        self.up.clear()
        self.sync = SettingsSync()
        self.connection_changed_s = time.monotonic()
        self._lost.set()
        _LOGGER.warning("agent lost", extra={"agent": str(self.address), "reason": why})
        lost = list(self.endpoints)
        self.endpoints.clear()
        for reply in self._calls.values():
            if not reply.done():
                reply.set_exception(LinkLostError(why))
        self._calls.clear()
        attempts = list(self.attempts.values())
        self.attempts.clear()
        for attempt in attempts:
            attempt.fail_locally(FailReason.LINK_LOST)
        self._owner.on_lost(self, lost)


__all__ = ["AgentLink", "EndpointView", "LinkLostError", "LinkOwner", "Reply"]
