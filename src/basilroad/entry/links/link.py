"""Connection from an entry to one agent."""

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
from basilroad.peers.streamtasks import end_tasks
from basilroad.peers.sync import SettingsSync
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from grpclib.client import Stream as ClientStream

    from basilroad.entry.links.attemptreceiver import AttemptReceiver
    from basilroad.peers.address import Address
    from basilroad.settings.daemon import EntrySettings

RECONNECT_S = 0.2
"""Delay before the first reconnection attempt."""

RECONNECT_MAX_S = 2.0
"""Maximum delay between reconnection attempts."""

IDLE_TIMEOUT_FACTOR = 4
"""Factor on the heartbeat timeout for an agent of another region while nothing runs there."""

REMOTE_FLUSH_S = 0.25
"""Seconds for which non-urgent messages to another region are held to be batched."""

_CONNECTION_ERRORS = (GRPCError, StreamTerminatedError, ConnectionError, OSError, TimeoutError)

_LOGGER = logging.getLogger(__name__)

Reply = wire.Found | wire.Attached | wire.CallAnswer | wire.CallSettled | wire.ModelPlaced


class LinkLostError(Exception):
    """The agent is not connected, or was lost before it replied."""


@attrs.define(eq=False)
class EndpointView:
    """State of one endpoint as known to this entry.

    :param link: stream to its agent
    :param state: last state reported by the agent
    :param reported_s: monotonic time at which the state was received
    :param sent: generations sent without a credit since the link came up
    :param pending_starts: generations about to be sent, and calls in progress
    """

    link: AgentLink
    state: wire.EndpointState
    reported_s: float = 0.0
    sent: int = 0
    pending_starts: int = 0

    @property
    def unreported_work(self) -> int:
        """:return: work sent or about to be sent that the reported state does not include yet."""
        return self.pending_starts + max(0, self.sent - self.state.seen)

    @contextlib.contextmanager
    def reserve_slot(self) -> Iterator[None]:
        """Count a generation about to be sent, or a call while it runs, as load of the endpoint."""
        self.pending_starts += 1
        try:
            yield
        finally:
            self.pending_starts -= 1

    @property
    def name(self) -> str:
        """:return: name of the endpoint."""
        return self.state.endpoint

    @property
    def usable(self) -> bool:
        """:return: whether it accepts new work."""
        if self.link.leaving:
            return False
        state = self.state
        return state.alive and not state.draining and state.state in ("", "ready")

    @property
    def free(self) -> int:
        """:return: estimated number of free slots."""
        state = self.state
        return state.slots - state.running - state.reserved - self.unreported_work


class LinkOwner(Protocol):
    """Receives the events of a link."""

    def on_message(self, link: AgentLink, body: object) -> None:
        """Handle a message that the link does not handle itself."""

    def on_up(self, link: AgentLink) -> None:
        """Send the current state to an agent that has connected."""

    def on_lost(self, link: AgentLink, endpoints: Sequence[str]) -> None:
        """Handle the loss of an agent and its endpoints."""

    def build_hello(self) -> wire.EntryHello:
        """:return: the first message to an agent."""

    def on_sent(self, link: AgentLink, messages: Sequence[wire.EntryMessage], size: int) -> None:
        """Count a sent frame, its messages and its size in bytes."""

    def on_received(self, link: AgentLink, frame: wire.AgentFrame, tokens: int) -> None:
        """Count a received frame and the tokens in it."""


class AgentLink(Service):
    """Maintains one stream to an agent and reconnects when it is lost.

    :param address: listen address of the agent
    :param settings: settings of the entry
    :param owner: receives the events of the link
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
        """Monotonic time at which a new incarnation of the agent connected."""
        self.unlisted_s: float | None = None
        """Monotonic time since which the platform does not list the host; ``None`` if it does."""
        self._last_idle_s = 0.0
        self.up_s = 0.0
        self.connection_changed_s = time.monotonic()
        self.up = asyncio.Event()
        self._lost = asyncio.Event()
        self.first_connect_done = asyncio.Event()
        self.codec = FrameCodec(wire.EntryFrame)
        self._owner = owner
        self._outbox: Outbox[wire.EntryMessage] = Outbox(settings.flush_s)
        self._calls: dict[int, asyncio.Future[Reply]] = {}
        self._call_numbers = itertools.count(1)

    @property
    def is_up(self) -> bool:
        """:return: whether the agent is connected and has sent its hello."""
        return self.up.is_set()

    @property
    def region(self) -> str:
        """:return: region of the agent; empty if unknown."""
        return self.hello.region if self.hello is not None else ""

    @property
    def incarnation(self) -> str:
        """:return: identifier of the agent's process; empty if unknown."""
        return self.hello.incarnation if self.hello is not None else ""

    @property
    def is_busy(self) -> bool:
        """:return: whether attempts or calls of this entry are pending there."""
        return bool(self.attempts or self._calls)

    def send(self, message: wire.EntryMessage, *, urgent: bool = True) -> None:
        """Send a message if the agent is connected.

        :param message: what to send
        :param urgent: whether to send it without batching
        """
        if self.is_up:
            self._outbox.push(message, urgent=urgent)

    def may_run_service(self, service: str) -> bool:
        """:return: whether the agent has, had or may have an endpoint of a plain service."""
        if self.hello is None:
            return True
        states = (*self.hello.endpoints, *(view.state for view in self.endpoints.values()))
        return any(state.service == service and state.kind == "service" for state in states)

    def is_gone(self, window_s: float) -> bool:
        """:return: whether the host has been unreachable and unlisted for some seconds."""
        if self.is_up or self.unlisted_s is None:
            return False
        return time.monotonic() - max(self.unlisted_s, self.connection_changed_s) >= window_s

    def mark_listed(self, listed: bool) -> None:
        """Record whether the platform lists the agent's host.

        :param listed: whether it is listed
        """
        if listed:
            self.unlisted_s = None
        elif self.unlisted_s is None:
            self.unlisted_s = time.monotonic()

    def mark_leaving(self, leaving: bool) -> None:
        """Record whether the platform lists the agent's host as leaving, and notify the agent.

        :param leaving: whether it is listed as leaving
        """
        if leaving != self.leaving:
            self.leaving = leaving
            self.send(wire.EntryMessage(leaving=wire.HostLeaving(leaving=leaving)))

    def next_call_number(self) -> int:
        """:return: correlation number for a message that expects a reply."""
        return next(self._call_numbers)

    async def ask(self, call: int, message: wire.EntryMessage, timeout_s: float) -> Reply:
        """Send a message and wait for its reply.

        :param call: correlation number in the message
        :param message: what to send
        :param timeout_s: timeout in seconds
        :return: the reply
        :raises LinkLostError: the agent is not connected, was lost, or did not reply in time
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
        """Complete the pending call that a reply belongs to.

        :param reply: reply with the correlation number of its call
        """
        pending = self._calls.get(reply.call)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def update_endpoint(self, state: wire.EndpointState) -> EndpointView:
        """Store the latest state of an endpoint.

        :param state: state reported by the agent
        :return: the updated view
        """
        view = self.endpoints.get(state.endpoint)
        if view is None:
            view = EndpointView(self, state)
            self.endpoints[state.endpoint] = view
        view.state = state
        view.reported_s = time.monotonic()
        return view

    def check_heartbeat(self, now: float) -> None:
        """Disconnect an agent that has been silent beyond the heartbeat timeout.

        :param now: monotonic time
        """
        limit_s = self.settings.dead_after_s
        if self.codec.compresses and not self.is_busy:
            # heartbeats between regions are sent less often while nothing runs there
            limit_s *= IDLE_TIMEOUT_FACTOR
            self._last_idle_s = now
            silent_s = now - self.last_received_s
        else:
            silent_s = now - max(self.last_received_s, self._last_idle_s)
        if self.is_up and silent_s > limit_s:
            self._disconnect("no heartbeat")

    @Service.task
    async def _connect(self) -> None:
        delay_s = RECONNECT_S
        while not self.should_stop:
            try:
                await self._converse()
                delay_s = RECONNECT_S
            except _CONNECTION_ERRORS as error:
                _LOGGER.debug("connection to agent %s failed: %r", self.address, error)
            except Exception:
                # grpclib raises its own internal errors when a connection closes while it opens
                _LOGGER.exception("unexpected error on the connection to agent %s", self.address)
            self._disconnect("stream ended")
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
                await self._run_stream(stream)
        finally:
            channel.close()

    async def _run_stream(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        self._outbox = Outbox(self.settings.flush_s)
        self.codec = FrameCodec(wire.EntryFrame)
        self.last_received_s = time.monotonic()
        self._lost = asyncio.Event()
        sender = asyncio.ensure_future(self._send_frames(stream))
        receiver = asyncio.ensure_future(self._receive_frames(stream))
        closer = asyncio.ensure_future(self._lost.wait())
        hello_waiter = asyncio.ensure_future(self._await_hello())
        tasks = {sender, receiver, closer, hello_waiter}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await end_tasks(tasks)

    async def _await_hello(self) -> None:
        await asyncio.wait_for(self.up.wait(), self.settings.dead_after_s)
        await asyncio.Event().wait()

    async def _send_frames(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        while True:
            messages = await self._outbox.take()
            frame = self.codec.pack(messages)
            self._owner.on_sent(self, messages, frame.ByteSize())
            await stream.send_message(frame)
            self._outbox.mark_sent()

    async def _receive_frames(self, stream: ClientStream[wire.EntryFrame, wire.AgentFrame]) -> None:
        async for frame in stream:
            self.last_received_s = time.monotonic()
            self._handle_frame(frame)

    def _handle_frame(self, frame: wire.AgentFrame) -> None:
        content = frame
        if frame.compressed:
            content = wire.AgentFrame.FromString(self.codec.inflate(frame.compressed))
        for message in content.messages:
            self._handle_message(message)
        tokens = sum(len(message.tokens.tokens) for message in content.messages)
        self._owner.on_received(self, frame, tokens)

    def _handle_message(self, message: wire.AgentMessage) -> None:
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
            self._handle_hello(body)
        self._owner.on_message(self, body)

    def _handle_hello(self, hello: wire.AgentHello) -> None:
        if self.hello is not None and self.hello.incarnation != hello.incarnation:
            self.restarted_s = time.monotonic()
        self.hello = hello
        own_region = self._owner.build_hello().region
        if hello.region not in ("", own_region):
            self.codec.compresses = True
            self._outbox.flush_s = max(self._outbox.flush_s, REMOTE_FLUSH_S)
        for state in hello.endpoints:
            self.update_endpoint(state)
        self.up_s = time.monotonic()
        self.up.set()
        self.first_connect_done.set()
        self._owner.on_up(self)

    def _disconnect(self, reason: str) -> None:
        if not self.is_up:
            return
        self.up.clear()
        self.sync = SettingsSync()
        self.connection_changed_s = time.monotonic()
        self._lost.set()
        _LOGGER.warning("agent lost", extra={"agent": str(self.address), "reason": reason})
        lost_endpoints = list(self.endpoints)
        self.endpoints.clear()
        for reply in self._calls.values():
            if not reply.done():
                reply.set_exception(LinkLostError(reason))
        self._calls.clear()
        attempts = list(self.attempts.values())
        self.attempts.clear()
        for attempt in attempts:
            attempt.fail_locally(FailReason.LINK_LOST)
        self._owner.on_lost(self, lost_endpoints)


__all__ = ["AgentLink", "EndpointView", "LinkLostError", "LinkOwner", "Reply"]
