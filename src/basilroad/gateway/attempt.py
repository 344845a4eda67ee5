"""One attempt to run a call at one endpoint."""

from __future__ import annotations

import asyncio
import enum
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

from basilroad.endpoints.channels import (
    POOL_IDLE_LIMIT_S,
    ChannelError,
    ConnectError,
    OutgoingRequest,
    ReplyHead,
)

if TYPE_CHECKING:
    from basilroad.endpoints.channels import Channel
    from basilroad.gateway.call import Call, Headers
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.peers.address import Address

SURE_IDLE_S = 0.5
"""Idle seconds after which a connection is not used for a call that may run only once; an endpoint
may close it while the call is on its way."""

REFUSAL_BODY_S = 0.1
"""Seconds for the rest of a refusal; it only decides whether the connection is kept."""


class ResponseVerdict(enum.Enum):
    """What the head of an answer says of the call."""

    RAN = "ran"
    REJECTED = "turned away"
    WRONG_ENDPOINT = "other endpoint"
    MISMATCHED = "not ours"


@attrs.frozen
class AttemptOptions:
    """What one attempt tells its endpoint beside the call.

    :param endpoint_id: endpoint that is meant; another one at its address turns the call away
    :param time_left_s: seconds until the caller's answer is due
    :param resume_after: last event that is not wanted again; empty from the start
    :param copy_at: endpoint that keeps a copy of the run's memory as it grows
    :param memory_from: endpoint whose copy of the run's memory is used
    """

    endpoint_id: str
    time_left_s: float
    resume_after: str = ""
    copy_at: Address | None = None
    kv_cache_source: Address | None = None


class EndpointProtocol(Protocol):
    """How calls are written for endpoints, and their answers read."""

    def encode(self, call: Call, options: AttemptOptions) -> OutgoingRequest:
        """Write a call for an endpoint.

        :param call: the call
        :param options: what this attempt adds
        :return: the request
        """

    def encode_probe(self, address: Address) -> OutgoingRequest:
        """:return: a request that an endpoint answers at once while it lives."""

    def classify_response(self, call: Call, head: ReplyHead, *, first_use: bool) -> ResponseVerdict:
        """Tell what an answer's head says of the call.

        :param call: the call
        :param head: start of the answer
        :param first_use: whether the connection carried no request before
        :return: whether it ran
        """

    def filter_headers(self, head: ReplyHead) -> Headers:
        """:return: headers that are passed on to the caller."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The call did not run there and never will.

    :param detail: what was seen
    :param full: whether the endpoint turned it away for want of room
    """

    detail: str
    full: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The call was sent and there is no whole answer.

    :param detail: what was seen
    :param timed_out: whether time ran out
    """

    detail: str
    timed_out: bool = False


class OpenReply:
    """An answer whose head has come.

    :param endpoint: who answers
    :param channel: connection that carries it
    :param head: its start
    :param headers: headers that are passed on
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

    async def read(self) -> bytes | None:
        """:return: next part of the body; ``None`` at its end.

        :raises ChannelError: the answer broke off
        """
        data = await self._channel.read_data()
        self.endpoint.record_heard(time.monotonic())
        if data is None:
            self._keep()
        return data

    async def read_all(self) -> bytes:
        """:return: the whole body.

        :raises ChannelError: the answer broke off
        """
        body = await self._channel.read_body()
        self._keep()
        return body

    def _keep(self) -> None:
        self._channel.idle_limit_s = _read_idle_limit(self._head)
        self._pool.keep(self._channel)


class Attempt:
    """Sends one call to one endpoint; leaving the context ends it there.

    :param call: the call
    :param endpoint: where it is sent
    :param dialect: how it is written
    :param options: what this attempt adds
    """

    def __init__(
        self, call: Call, endpoint: Endpoint, protocol: EndpointProtocol, options: AttemptOptions
    ) -> None:
        self.call = call
        self.endpoint = endpoint
        self.sent = False
        self._dialect = protocol
        self._options = options
        self._channel: Channel | None = None

    async def open(self) -> OpenReply | NotRun | MayHaveRun:
        """Send the call and wait for the head of its answer.

        :return: the answer's start, or what became of the call
        """
        idle_limit_s = POOL_IDLE_LIMIT_S if self.call.route.repeatable else SURE_IDLE_S
        try:
            channel = await self.endpoint.pool.open(idle_limit_s)
        except ConnectError as error:
            self.endpoint.record_unreachable(time.monotonic())
            return NotRun(f"no connection: {error}")
        self._channel = channel
        self.endpoint.watch(channel, time.monotonic())
        request = self._dialect.encode(self.call, self._options)
        self.sent = True
        channel.send(request)
        try:
            head = await channel.read_head()
        except ChannelError as error:
            self.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        return await self._judge(channel, head)

    def close(self) -> None:
        """Drop the connection unless the answer was read to its end."""
        channel, self._channel = self._channel, None
        if channel is None:
            return
        self.endpoint.unwatch(channel)
        if not channel.usable:
            channel.close()

    async def _judge(self, channel: Channel, head: ReplyHead) -> OpenReply | NotRun | MayHaveRun:
        ruling = self._dialect.classify_response(self.call, head, first_use=channel.requests == 1)
        now = time.monotonic()
        if ruling is ResponseVerdict.MISMATCHED:
            channel.close()
            return MayHaveRun("the answer belongs to another call")
        self.endpoint.record_heard(now)
        reply = OpenReply(self.endpoint, channel, head, self._dialect.filter_headers(head))
        if ruling is ResponseVerdict.RAN:
            return reply
        await self._finish_refused(reply)
        if ruling is ResponseVerdict.WRONG_ENDPOINT:
            self.endpoint.record_unreachable(now)
            return NotRun("another endpoint has the address")
        if self._options.kv_cache_source is None:
            self.endpoint.record_full(now)
        return NotRun(f"turned away with {head.status}", full=True)

    async def _finish_refused(self, reply: OpenReply) -> None:
        try:
            async with asyncio.timeout(REFUSAL_BODY_S):
                await reply.read_all()
        except (ChannelError, TimeoutError):
            self.close()


def _read_idle_limit(head: ReplyHead) -> float:
    for part in head.get("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isdigit():
            # half of the stated seconds, as the endpoint counts from an earlier moment
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
