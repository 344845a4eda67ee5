"""HTTP client whose errors distinguish unsent requests from lost responses."""

from __future__ import annotations

import errno
import math
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from types import SimpleNamespace

import aiohttp
import attrs
from yarl import URL

from basilroad.http.responseends import (
    CONNECTION_USE,
    ConnectionUse,
    ObservedConnector,
    lasts_until_end,
)
from basilroad.http.status import FINAL_STATUSES
from basilroad.timelimit import TimeLimit

AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would otherwise add to a request by default."""


@attrs.frozen
class KeepAlive:
    """Probes of idle connections by the kernel, which find that the way to the server is cut.

    :param idle_s: whole seconds without data before the first probe
    :param interval_s: whole seconds between probes
    :param probes: unanswered probes after which the connection is closed
    """

    idle_s: int = 1
    interval_s: int = 1
    probes: int = 1

    @property
    def limit_s(self) -> int:
        """:return: seconds after the last data at which a cut connection is closed."""
        return self.idle_s + self.probes * self.interval_s

    def open_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        """:return: a socket for an address, with these probes."""
        family, kind, protocol, _, _ = info
        sock = socket.socket(family, kind, protocol)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        # probes are not sent while data is unacknowledged
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * self.limit_s)
        return sock


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
    use: ConnectionUse
    connected: bool = False
    received_bytes: int = 0  # of the response's body


class StreamedResponse:
    """A response whose body is read as it arrives.

    :param response: the response of the HTTP library
    :param state: state of the exchange
    """

    def __init__(self, response: aiohttp.ClientResponse, state: _ExchangeState) -> None:
        self._response = response
        self._state = state
        self.status = response.status

    async def read_part(self) -> bytes:
        """:return: next part of the body as it arrives; empty at its end.

        :raises ResponseLostError: the body is cut
        """
        part = await self._response.content.readany()
        self._state.received_bytes += len(part)
        if not part:
            self._check_end()
        return part

    async def read(self) -> bytes:
        """:return: the rest of the body.

        :raises ResponseLostError: the body is cut
        """
        body = bytearray()
        while part := await self.read_part():
            body += part
        return bytes(body)

    def _check_end(self) -> None:
        if not lasts_until_end(self._response):
            return
        cut = self._state.use.find_cut()
        if cut is not None:
            detail = f"{cut.detail}, {self._state.received_bytes} bytes received"
            raise ResponseLostError(f"response without a length: {detail}", closed=cut.closed)


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
        self._keep_alive = keep_alive
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._reuse_connections = reuse_connections
        self._session: aiohttp.ClientSession | None = None
        self._running: Counter[aiohttp.ClientSession] = Counter()

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
            # aiohttp takes a time-out of 0 as no limit.
            raise RequestNotSentError(
                "time limit expired before the request was sent", timed_out=True
            )
        if transfer_limit_s is None:
            # nothing is sent on a connection that is open too late
            silence_s, total_s, limit = None, limit_s, TimeLimit(limit_s, 0)
        else:
            silence_s, total_s, limit = limit_s, transfer_limit_s, TimeLimit(limit_s)
        state = _ExchangeState(limit, time.monotonic() + total_s, _make_use(request))
        async with self._exchange(request, silence_s, state) as response:
            streamed = StreamedResponse(response, state)
            body = bytearray()
            while part := await streamed.read_part():
                body += part
                if len(body) > self._max_body_bytes:
                    # the rest is not read, so the connection can't be used again
                    response.close()
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
        state = _ExchangeState(TimeLimit(self._timeout_s), None, _make_use(request))
        async with self._exchange(request, None, state) as response:
            try:
                yield StreamedResponse(response, state)
            finally:
                response.close()

    async def close(self) -> None:
        """Close all connections."""
        sessions = set(self._running)
        if self._session is not None:
            sessions.add(self._session)
            self._session = None
        for session in sessions:
            await session.close()

    @asynccontextmanager
    async def _exchange(
        self, request: HttpRequest, silence_s: float | None, state: _ExchangeState
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        # the HTTP library's other limits count nothing that arrived while the event loop was late
        timeout = aiohttp.ClientTimeout(total=None, sock_read=silence_s)
        async with self._use_session() as session:
            CONNECTION_USE.set(state.use)
            with _translate_errors(state):
                async with (
                    state.limit,
                    session.request(
                        request.method,
                        URL(self._url + request.path, encoded=True),
                        headers=request.headers,
                        data=request.body,
                        timeout=timeout,
                        allow_redirects=False,
                        trace_request_ctx=state,
                    ) as response,
                ):
                    if response.status not in FINAL_STATUSES:
                        response.close()
                        raise ResponseLostError(f"invalid status {response.status}")
                    yield response

    @asynccontextmanager
    async def _use_session(self) -> AsyncIterator[aiohttp.ClientSession]:
        session = self._open_session()
        self._running[session] += 1
        try:
            yield session
        except HttpError as error:
            if error.timed_out and self._session is session:
                # idle connections may have fallen silent with this one
                self._session = None
            raise
        finally:
            self._running[session] -= 1
            if not self._running[session]:
                del self._running[session]
                if session is not self._session:
                    await session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            keep_alive = self._keep_alive
            self._session = aiohttp.ClientSession(
                connector=ObservedConnector(
                    limit=0,
                    force_close=not self._reuse_connections,
                    socket_factory=None if keep_alive is None else keep_alive.open_socket,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                trace_configs=[_trace_connection()],
                middlewares=(_send_once,),
                skip_auto_headers=AUTO_HEADERS,
            )
        return self._session


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries GET, PUT and DELETE by itself if one of these errors propagates from here.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ResponseLostError(repr(error), closed=_is_closed(error)) from error


def _make_use(request: HttpRequest) -> ConnectionUse:
    return ConnectionUse(len(request.body or b""))


def _is_closed(error: Exception) -> bool:
    # a connection that the kernel's probes give up ends with ETIMEDOUT instead
    is_body_cut = isinstance(error, aiohttp.ClientPayloadError)
    cause = error.__cause__ if is_body_cut else error
    if isinstance(cause, OSError):
        return cause.errno == errno.ECONNRESET
    return is_body_cut or isinstance(error, aiohttp.ServerDisconnectedError)


@contextmanager
def _translate_errors(state: _ExchangeState) -> Iterator[None]:
    try:
        yield
    except (aiohttp.ClientError, OSError) as error:
        kind = ResponseLostError if state.connected else RequestNotSentError
        detail = f"{error!r}, {state.received_bytes} bytes received"
        timed_out = isinstance(error, TimeoutError)
        raise kind(detail, timed_out=timed_out, closed=_is_closed(error)) from error


def _trace_connection() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_record_connected)
    trace.on_connection_reuseconn.append(_record_connected)
    trace.on_request_chunk_sent.append(_record_written)
    return trace


async def _record_connected(_: aiohttp.ClientSession, context: SimpleNamespace, __: object) -> None:
    state: _ExchangeState = context.trace_request_ctx
    state.connected = True
    state.limit.restart(None if state.ends_at is None else state.ends_at - time.monotonic())


async def _record_written(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestChunkSentParams,
) -> None:
    state: _ExchangeState = context.trace_request_ctx
    state.use.count_written(len(params.chunk))


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
