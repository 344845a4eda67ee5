"""HTTP client whose errors distinguish unsent requests from lost responses."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from functools import cached_property

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from basilroad.http.baseurl import BaseUrl
from basilroad.http.channelpool import IdleChannels
from basilroad.http.channels import Channel
from basilroad.http.keepalive import KeepAlive, open_socket
from basilroad.http.messages import (
    ChannelError,
    ConnectError,
    OutgoingRequest,
    ReplyHead,
    RequestEncodingError,
)
from basilroad.timelimit import TimeLimit

IDLE_LIMIT_S = 15.0
"""Longest idle time after which a connection is reused."""


class HttpError(Exception):
    """A request did not get a complete response.

    :param detail: description of the failure
    :param timed_out: whether a time-out expired
    :param closed: whether the server closed or reset the connection
    """

    def __init__(self, detail: str, *, timed_out: bool = False, closed: bool = False) -> None:
        super().__init__(detail)
        self.timed_out = timed_out
        self.closed = closed


class RequestNotSentError(HttpError):
    """No connection was established; no byte of the request was sent."""


class ResponseLostError(HttpError):
    """The request may have reached the server, but its response was lost."""


@attrs.frozen
class HttpRequest:
    """An HTTP request.

    :param method: HTTP method
    :param path: path and query, percent-encoded
    :param headers: header names and values
    :param body: request body
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@attrs.frozen
class HttpResponse:
    """A complete HTTP response.

    :param status: status code
    :param headers: header names and values
    :param body: response body as sent, without decompression
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class _ExchangeState:
    limit: TimeLimit
    ends_at: float | None  # monotonic seconds; None for no limit once connected
    silence_s: float | None = None  # None for no limit
    channel: Channel | None = None
    received_bytes: int = 0  # of the response's body


class StreamedResponse:
    """A response whose body is read as it arrives.

    :param channel: connection on which the head was received
    :param head: the head
    :param state: state of the exchange
    """

    def __init__(self, channel: Channel, head: ReplyHead, state: _ExchangeState) -> None:
        self._channel = channel
        self._state = state
        self.status = head.status
        self._headers = head.headers

    @property
    def headers(self) -> Mapping[str, str]:
        """:return: header names and values; bytes that are not UTF-8 are escaped as surrogates."""
        texts = ((name, _decode_value(value)) for name, value in self._headers)
        return CIMultiDictProxy(CIMultiDict(texts))

    async def read_part(self) -> bytes:
        """:return: next part of the body as it arrives; empty at its end.

        :raises ResponseLostError: the body is cut
        """
        state = self._state
        try:
            if state.silence_s is None:
                part = await self._channel.read_available()
            else:
                async with TimeLimit(state.silence_s):
                    part = await self._channel.read_available()
        except (ChannelError, TimeoutError) as error:
            raise _translate(error, state) from error
        state.received_bytes += len(part)
        return part

    async def read(self) -> bytes:
        """:return: the rest of the body.

        :raises ResponseLostError: the body is cut
        """
        body = bytearray()
        while part := await self.read_part():
            body += part
        return bytes(body)


class HttpClient:
    """Sends requests to one server, without retries.

    After a time-out, further requests get new connections: those that are idle may have fallen
    silent too, and each of them would cost another time-out.

    :param url: base URL of the server
    :param timeout_s: time limit of a request in seconds; for a stream, of the connection attempt
    :param reuse_connections: whether connections are kept alive for further requests
    :param keep_alive: probes of its connections; ``None`` for none
    :param max_body_bytes: largest response body that is received whole; ``None`` for any
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        *,
        reuse_connections: bool = True,
        keep_alive: KeepAlive | None = None,
        max_body_bytes: int | None = None,
    ) -> None:
        self._max_body_bytes = math.inf if max_body_bytes is None else max_body_bytes
        self._create_socket = open_socket if keep_alive is None else keep_alive.open_socket
        self._url = url
        self._timeout_s = timeout_s
        self._reuse_connections = reuse_connections
        self._idle = IdleChannels()
        self._running: set[Channel] = set()
        self._closings = 0

    async def send(
        self,
        request: HttpRequest,
        timeout_s: float | None = None,
        transfer_limit_s: float | None = None,
    ) -> HttpResponse:
        """Send a request and wait for the complete response.

        :param request: the request
        :param timeout_s: time limit in seconds, by default the client's; if it is 0 or less,
            nothing is sent
        :param transfer_limit_s: time limit in seconds of a response whose bytes keep arriving;
            the other limit then is that of silence
        :return: the response, whatever its status
        :raises RequestNotSentError: no byte was sent
        :raises ResponseLostError: the request may have reached the server
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        if limit_s <= 0:
            raise RequestNotSentError(
                "time limit expired before the request was sent", timed_out=True
            )
        if transfer_limit_s is None:
            # nothing is sent on a connection that is open too late
            silence_s, total_s, limit = None, limit_s, TimeLimit(limit_s, 0)
        else:
            silence_s, total_s, limit = limit_s, transfer_limit_s, TimeLimit(limit_s)
        state = _ExchangeState(limit, time.monotonic() + total_s, silence_s)
        async with self._exchange(request, state) as response:
            body = bytearray()
            while part := await response.read_part():
                body += part
                if len(body) > self._max_body_bytes:
                    raise ResponseLostError(f"body exceeds {self._max_body_bytes} bytes")
            return HttpResponse(response.status, response.headers, bytes(body))

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[StreamedResponse]:
        """Send a request and stream the response; leaving the context closes the connection.

        :param request: the request
        :return: context manager that yields the response
        :raises RequestNotSentError: no byte was sent
        :raises ResponseLostError: the response was interrupted
        """
        state = _ExchangeState(TimeLimit(self._timeout_s), None)
        async with self._exchange(request, state) as response:
            yield response

    async def close(self) -> None:
        """Close all connections; requests in progress end with an error."""
        self._closings += 1
        self._idle.close()
        for channel in self._running:
            channel.close()

    @asynccontextmanager
    async def _exchange(
        self, request: HttpRequest, state: _ExchangeState
    ) -> AsyncIterator[StreamedResponse]:
        idle = self._idle
        try:
            with _translate_errors(state):
                async with state.limit:
                    channel = await self._open_channel(idle)
                    state.channel = channel
                    ends_at = state.ends_at
                    state.limit.restart(None if ends_at is None else ends_at - time.monotonic())
                    with self._use(channel, idle):
                        channel.send(self._encode(request))
                        async with TimeLimit(state.silence_s):
                            head = await channel.read_head()
                        yield StreamedResponse(channel, head, state)
        except HttpError as error:
            if error.timed_out and self._idle is idle:
                # idle connections may have fallen silent with this one
                idle.close()
                self._idle = IdleChannels()
            raise

    async def _open_channel(self, idle: IdleChannels) -> Channel:
        channel = idle.take(IDLE_LIMIT_S)
        if channel is not None:
            return channel
        closings = self._closings
        channel = await self._base_url.connect(self._create_socket)
        if closings == self._closings and channel.usable:
            return channel
        channel.close()
        raise ConnectError("the connection was closed, or the server sent bytes before the request")

    @cached_property
    def _base_url(self) -> BaseUrl:
        try:
            return BaseUrl.parse(self._url)
        except ValueError as error:
            raise ConnectError(str(error)) from error

    @contextmanager
    def _use(self, channel: Channel, idle: IdleChannels) -> Iterator[None]:
        self._running.add(channel)
        try:
            yield
        finally:
            self._running.discard(channel)
            # one with a request in progress is not usable
            if self._reuse_connections and self._idle is idle and channel.usable:
                channel.idle_limit_s = IDLE_LIMIT_S
                idle.keep(channel)
            else:
                channel.close()

    def _encode(self, request: HttpRequest) -> OutgoingRequest:
        names = {name.lower() for name, _ in request.headers}
        headers = [] if "host" in names else [("Host", self._base_url.authority.encode())]
        headers += [(name, _encode_value(value)) for name, value in request.headers]
        if not self._reuse_connections and "connection" not in names:
            headers.append(("Connection", b"close"))
        target = self._base_url.path + request.path
        return OutgoingRequest(request.method, target, tuple(headers), request.body or b"")


@contextmanager
def _translate_errors(state: _ExchangeState) -> Iterator[None]:
    try:
        yield
    except (ChannelError, TimeoutError) as error:
        raise _translate(error, state) from error


def _translate(error: Exception, state: _ExchangeState) -> HttpError:
    timed_out = isinstance(error, TimeoutError)
    if state.channel is None or isinstance(error, RequestEncodingError):
        return RequestNotSentError(repr(error), timed_out=timed_out)
    detail = f"{error!r}, {state.received_bytes} bytes received"
    closed = not timed_out and state.channel.is_closed_by_peer
    return ResponseLostError(detail, timed_out=timed_out, closed=closed)


def _encode_value(value: str) -> bytes:
    return value.encode(errors="surrogateescape")


def _decode_value(value: str) -> str:
    return value.encode("latin-1").decode(errors="surrogateescape")


__all__ = [
    "HttpClient",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "KeepAlive",
    "RequestNotSentError",
    "ResponseLostError",
    "StreamedResponse",
]
