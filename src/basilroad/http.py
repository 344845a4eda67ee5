"""HTTP client that tells whether a request may have arrived."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from types import SimpleNamespace

import aiohttp
import attrs
from yarl import URL

AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would add to a request which lacks them."""


class HttpError(Exception):
    """A request got no whole answer.

    :param detail: what was seen
    :param timed_out: whether time ran out
    """

    def __init__(self, detail: str, *, timed_out: bool = False) -> None:
        super().__init__(detail)
        self.timed_out = timed_out


class RequestNotSentError(HttpError):
    """There was no connection; no byte of the request was sent."""


class ResponseLostError(HttpError):
    """The request may have arrived, and its answer was lost."""


@attrs.frozen
class HttpRequest:
    """One request.

    :param method: HTTP method
    :param path: path and query, percent-encoded
    :param headers: header names and values
    :param body: body of the request
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@attrs.frozen
class HttpResponse:
    """One whole answer.

    :param status: status code
    :param headers: header names and values
    :param body: body of the answer, as it was sent
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class _Progress:
    connected: bool = False


class HttpClient:
    """Sends requests to one server, each of them once.

    :param url: base URL of the server
    :param timeout_s: seconds for a whole request; for a stream, to connect
    :param reuses: whether a connection serves several requests
    """

    def __init__(self, url: str, timeout_s: float, *, reuse_connections: bool = True) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._reuses = reuse_connections
        self._session: aiohttp.ClientSession | None = None

    async def send(self, request: HttpRequest, timeout_s: float | None = None) -> HttpResponse:
        """Send a request and wait for the whole answer.

        :param request: the request
        :param timeout_s: seconds for this request, the client's if left out; without any left
            nothing is sent
        :return: the answer, whatever its status
        :raises NotSentError: no byte was sent
        :raises AnswerLostError: the request may have arrived
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        if limit_s <= 0:
            # aiohttp takes 0 for no limit.
            raise RequestNotSentError("no time left", timed_out=True)
        timeout = aiohttp.ClientTimeout(total=limit_s)
        async with self._exchange(request, timeout) as response:
            body = await response.read()
            return HttpResponse(response.status, response.headers, body)

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and read the answer piece by piece; leaving closes the connection.

        :param request: the request
        :return: context of the answer
        :raises NotSentError: no byte was sent
        :raises AnswerLostError: the answer broke off
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout_s)
        async with self._exchange(request, timeout) as response:
            try:
                yield response
            finally:
                response.close()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            session, self._session = self._session, None
            await session.close()

    @asynccontextmanager
    async def _exchange(
        self, request: HttpRequest, timeout: aiohttp.ClientTimeout
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        progress = _Progress()
        with _map_errors(progress):
            async with self._open_session().request(
                request.method,
                URL(self._url + request.path, encoded=True),
                headers=request.headers,
                data=request.body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response:
                yield response

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=not self._reuses),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                trace_configs=[_trace_progress()],
                middlewares=(_send_once,),
                skip_auto_headers=AUTO_HEADERS,
            )
        return self._session


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp sends GET, PUT and DELETE again by itself when one of these errors leaves here.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ResponseLostError(repr(error)) from error


@contextmanager
def _map_errors(progress: _Progress) -> Iterator[None]:
    try:
        yield
    except (aiohttp.ClientError, OSError) as error:
        kind = ResponseLostError if progress.connected else RequestNotSentError
        raise kind(repr(error), timed_out=isinstance(error, TimeoutError)) from error


def _trace_progress() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connected)
    trace.on_connection_reuseconn.append(_note_connected)
    return trace


async def _note_connected(_: aiohttp.ClientSession, context: SimpleNamespace, __: object) -> None:
    context.trace_request_ctx.connected = True


__all__ = [
    "HttpClient",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "RequestNotSentError",
    "ResponseLostError",
]
