"""One attempt to run a call at one endpoint."""

from __future__ import annotations

import asyncio
import enum
import logging
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Purpose, Source
from basilroad.gateway.registry.pendingcalls import PendingCall, find_no_copy, never_move
from basilroad.http.channels import POOL_IDLE_LIMIT_S, SHORT_BODY_BYTES
from basilroad.http.messages import (
    ChannelError,
    ConnectError,
    OutgoingRequest,
    ReplyHead,
    RequestEncodingError,
)

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, Headers
    from basilroad.gateway.registry.endpoint import Endpoint, EngineReport
    from basilroad.gateway.registry.notices import Notice
    from basilroad.gateway.registry.pendingcalls import ClaimMove, FindCopy
    from basilroad.http.channels import Channel
    from basilroad.peers.address import Address

NON_REPEATABLE_IDLE_LIMIT_S = 0.5
"""Idle time after which a connection is not used for a call that may run only once: the endpoint
might close it while the request is in flight."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Largest buffered response, as large as the largest request body of the default configuration."""

REJECTION_BODY_TIMEOUT_S = 0.1
"""Time to read the body of a rejection; it only decides whether the connection is reused."""


_LOGGER = logging.getLogger(__name__)


class ResponseVerdict(enum.Enum):
    """Whether the call ran, according to the head of a response."""

    RAN = "ran"
    REJECTED = "turned away"
    WRONG_ENDPOINT = "other endpoint"
    MISMATCHED = "not ours"
    SUPERSEDED = "of the previous call"


@attrs.frozen
class AttemptOptions:
    """Per-attempt data sent to the endpoint in addition to the call.

    :param endpoint_id: id of the intended endpoint; another one at its address rejects the call
    :param time_left_s: seconds until the caller's deadline
    :param resume_after: id of the last event received; empty to start from the first
    :param copy_at: address of the endpoint that keeps a backup of the run's KV cache as it grows
    :param kv_cache_source: address of the endpoint whose backup of the run's KV cache is used
    :param prompt_source: address of the endpoint from whose cache the prompt is fetched
    """

    endpoint_id: str
    time_left_s: float
    resume_after: str = ""
    copy_at: Address | None = None
    kv_cache_source: Address | None = None
    prompt_source: Address | None = None


class EndpointProtocol(Protocol):
    """Encodes calls for endpoints and interprets their responses."""

    def encode(self, call: Call, options: AttemptOptions) -> OutgoingRequest:
        """Encode a call for an endpoint.

        :param call: the call
        :param options: per-attempt data
        :return: the request
        """

    def encode_probe(self, address: Address) -> OutgoingRequest:
        """:return: a request that a live endpoint answers at once."""

    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decode the body of the response to a probe.

        :param body: the body
        :return: the engine's report; ``None`` if the body contains none
        """

    def decode_start(self, body: bytes) -> int | None:
        """Read from the response to a probe when the endpoint started.

        :param body: its body
        :return: Unix milliseconds; ``None`` if it doesn't report it
        :raises DecodeError: the report can't be read
        """

    def read_request_id(self, head: ReplyHead) -> str:
        """:return: id of the call to which a response belongs; empty if it names none."""

    def read_notice(self, head: ReplyHead, endpoint_id: str) -> Notice:
        """Read the notice of the endpoint in a response.

        :param head: head of the response
        :param endpoint_id: id of the endpoint to which the request was sent
        :return: the notice; an empty one for the response of another endpoint at the address
        """

    def read_limit(self, head: ReplyHead, endpoint_id: str) -> float | None:
        """Read the limit that a response names for the requests of all gateways together.

        :param head: head of the response
        :param endpoint_id: id of the endpoint to which the request was sent
        :return: requests a second, infinite if it names none; ``None`` for the response of another
            endpoint at the address
        """

    def classify_response(
        self, call: Call, head: ReplyHead, *, first_use: bool, previous_id: str = ""
    ) -> ResponseVerdict:
        """Decide from the head of a response whether the call ran.

        :param call: the call
        :param head: head of the response
        :param first_use: whether this is the first request on the connection
        :param previous_id: id of the previous request on the connection; empty without one
        :return: the verdict
        """

    def filter_headers(self, head: ReplyHead) -> Headers:
        """:return: headers that are forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The call did not run at the endpoint and will not run there later.

    :param detail: description of the failure
    :param full: whether the endpoint rejected it for lack of capacity
    :param lacks_permit: whether only a permit of the endpoint was missing
    """

    detail: str
    full: bool = False
    lacks_permit: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The call was sent, but no complete response arrived.

    :param detail: description of the failure
    :param timed_out: whether the time limit expired
    """

    detail: str
    timed_out: bool = False


class OpenReply:
    """A response whose head has been received.

    :param endpoint: endpoint that responded
    :param channel: connection of the response
    :param head: its head
    :param headers: headers that are forwarded
    """

    def __init__(
        self, endpoint: Endpoint, channel: Channel, head: ReplyHead, headers: Headers
    ) -> None:
        self.endpoint = endpoint
        self.status = head.status
        self.headers = headers
        self._head = head
        self._channel = channel
        self._pool = endpoint.pool

    @property
    def ends_with_connection(self) -> bool:
        """:return: whether the body ends with the connection."""
        return not (self._head.get("content-length") or self._head.get("transfer-encoding"))

    async def read(self) -> bytes:
        """:return: next part of the body as it arrives; empty at its end.

        :raises ChannelError: the response was cut off
        """
        data = await self._channel.read_available()
        self.endpoint.record_received(time.monotonic())
        if not data:
            self._keep()
        return data

    async def read_all(self, limit: int = MAX_RESPONSE_BYTES) -> bytes:
        """Read the complete body.

        :param limit: largest size in bytes
        :return: the body
        :raises ChannelError: the response was cut off or is too large
        """
        with self.endpoint.count_buffered() as count:
            body = await self._channel.read_body(limit, count)
        self._keep()
        return body

    def _keep(self) -> None:
        self._channel.idle_limit_s = _read_idle_limit(self._head)
        self._pool.keep(self._channel)


class Attempt:
    """Sends one call to one endpoint; :meth:`close` aborts it there.

    :param call: the call
    :param endpoint: destination
    :param protocol: encoding of the call
    :param options: per-attempt data
    :param claim_move: claims what the call needs to continue at another endpoint
    :param may_send: checks whether there is still time to send the call
    :param confirm_start: checks a connection before the call is sent on it, and returns the one to
        use, or why the call must not be sent; ``None`` for no check
    :param find_copy: returns the id of the endpoint that has a copy of the call's KV cache, if any
    :ivar sent: whether the call was sent
    """

    def __init__(
        self,
        call: Call,
        endpoint: Endpoint,
        protocol: EndpointProtocol,
        options: AttemptOptions,
        claim_move: ClaimMove = never_move,
        may_send: Callable[[], bool] = lambda: True,
        confirm_start: Callable[[Channel], Awaitable[Channel | NotRun]] | None = None,
        find_copy: FindCopy = find_no_copy,
    ) -> None:
        self.call = call
        self.endpoint = endpoint
        self.version = endpoint.entry.version
        self.sent = False
        self._sent_at = -math.inf
        self._sent_on: Channel | None = None
        self._listed_start_ms = endpoint.entry.started_ms
        self._protocol = protocol
        self._options = options
        self._claim_move = claim_move
        self._may_send = may_send
        self._confirm_start = confirm_start
        self._find_copy = find_copy
        # a response may arrive after a restart; its notice is about the lifetime before
        self._notices = endpoint.notices
        self._pool = endpoint.pool
        self._channel: Channel | None = None

    def age_s(self, now: float) -> float:
        """:return: seconds since the call was sent."""
        return now - self._sent_at

    @property
    def is_start_confirmed(self) -> bool:
        """:return: whether the endpoint named its listed start, for the connection of the call."""
        channel = self._sent_on
        return channel is not None and channel.confirmed_start_ms == self._listed_start_ms

    @property
    def is_cut_off(self) -> bool:
        """:return: whether its connection was ended by the endpoint or the network."""
        return self._channel is not None and self._channel.is_cut_off

    async def open(self) -> OpenReply | NotRun | MayHaveRun:
        """Send the call and wait for the head of the response.

        :return: the response, or why there is none
        :raises RefusedError: no endpoint can be sent the call
        """
        idle_limit_s = (
            POOL_IDLE_LIMIT_S if self.call.route.repeatable else NON_REPEATABLE_IDLE_LIMIT_S
        )
        try:
            # a late copy of the response to an earlier attempt has the same id
            channel = await self._pool.open(idle_limit_s, self.call.id)
        except ConnectError as error:
            self.endpoint.record_unreachable(time.monotonic())
            self.endpoint.record_cut(time.monotonic())
            return NotRun(f"no connection: {error}")
        if self._confirm_start is not None:
            confirmed = await self._confirm_start(channel)
            if isinstance(confirmed, NotRun):
                return confirmed
            channel = confirmed
        if time.monotonic() >= self.call.expires_at or not self._may_send():
            # the connection took time, and a busy host runs the timers before this too late
            channel.close()
            return NotRun("no time is left to send it")
        if not self._notices.permits(Purpose.CALL, time.monotonic()):
            channel.close()
            return NotRun("the endpoint leaves or wants no requests")
        if self.endpoint.pool is not self._pool:
            channel.close()
            return NotRun("the endpoint restarted")
        if self.endpoint.removed:
            channel.close()
            return NotRun("the endpoint is no longer listed")
        self._channel = channel
        pending = PendingCall(
            self.call.rank, self._claim_move, self._find_copy, self.call.size.prompt_tokens
        )
        self.endpoint.pending.add(channel, pending)
        request = self._protocol.encode(self.call, self._options)
        try:
            channel.send(request)
        except RequestEncodingError as error:
            raise refuse(ErrorKind.BAD_REQUEST, f"the request can't be sent: {error}") from error
        self.sent, self._sent_at = True, time.monotonic()
        self._sent_on, self._listed_start_ms = channel, self.endpoint.entry.started_ms
        try:
            head = await channel.read_head()
        except ChannelError as error:
            self.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        return await self._classify(channel, head)

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        channel, self._channel = self._channel, None
        if channel is None:
            return
        self.endpoint.pending.remove(channel)
        if channel.is_cut_off:
            self.endpoint.record_cut(time.monotonic())
        if not channel.usable:
            channel.close()

    async def _classify(self, channel: Channel, head: ReplyHead) -> OpenReply | NotRun | MayHaveRun:
        verdict = self._protocol.classify_response(
            self.call,
            head,
            first_use=channel.requests == 1,
            previous_id=channel.previous_id,
        )
        now = time.monotonic()
        if verdict is not ResponseVerdict.MISMATCHED:
            notice = self._protocol.read_notice(head, self._options.endpoint_id)
            self._notices.record(notice, Source.ANSWER, now)
        if verdict not in (ResponseVerdict.MISMATCHED, ResponseVerdict.SUPERSEDED):
            per_s = self._protocol.read_limit(head, self._options.endpoint_id)
            if per_s is not None:
                self._notices.record_limit(NamedLimit(per_s, self._sent_at), Source.ANSWER, now)
        if verdict is ResponseVerdict.SUPERSEDED:
            return await self._skip_superseded(channel)
        if verdict is ResponseVerdict.MISMATCHED:
            channel.close()
            return MayHaveRun("the response belongs to another call")
        self.endpoint.record_received(now)
        reply = OpenReply(self.endpoint, channel, head, self._protocol.filter_headers(head))
        if verdict is ResponseVerdict.RAN:
            return reply
        await self._finish_rejected(reply)
        if verdict is ResponseVerdict.WRONG_ENDPOINT:
            self.endpoint.record_unreachable(now)
            return NotRun("another endpoint listens at this address")
        if self._options.kv_cache_source is None:
            self.endpoint.record_full(now)
        return NotRun(f"rejected with status {head.status}", full=True)

    async def _skip_superseded(self, channel: Channel) -> OpenReply | NotRun | MayHaveRun:
        _LOGGER.warning(
            "second response skipped",
            extra={
                "request": self.call.id,
                "endpoint": self.endpoint.id,
                "previous": channel.previous_id,
            },
        )
        # one copy is skipped; a second one closes the connection
        channel.previous_id = ""
        try:
            await channel.skip_response()
            head = await channel.read_head()
        except ChannelError as error:
            self.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        return await self._classify(channel, head)

    async def _finish_rejected(self, reply: OpenReply) -> None:
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                await reply.read_all(SHORT_BODY_BYTES)
        except (ChannelError, TimeoutError):
            self.close()


def _read_idle_limit(head: ReplyHead) -> float:
    for part in head.get("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isdigit():
            # half of the announced time, as the endpoint starts counting earlier
            return min(POOL_IDLE_LIMIT_S, int(value) / 2)
    return POOL_IDLE_LIMIT_S


__all__ = [
    "Attempt",
    "AttemptOptions",
    "EndpointProtocol",
    "MayHaveRun",
    "NotRun",
    "OpenReply",
    "ResponseVerdict",
]
