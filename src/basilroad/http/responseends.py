"""Ends of responses that last until the end of their connection."""

from __future__ import annotations

import asyncio
import errno
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any
from weakref import WeakSet

import aiohttp
import attrs

from basilroad.http.status import BODILESS_STATUSES

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler


@attrs.frozen
class Cut:
    """Why a response is not known to be whole.

    :param detail: description
    :param closed: whether the server closed or reset the connection
    """

    detail: str
    closed: bool = False


@attrs.define
class ConnectionUse:
    """Use of a connection by one exchange.

    :param body_bytes: size of the request's body
    """

    body_bytes: int = 0
    _connector: aiohttp.BaseConnector | None = None
    _protocol: ResponseHandler | None = None
    _closed: asyncio.Future[None] | None = None
    _written_bytes: int = 0

    def begin(
        self, connector: aiohttp.BaseConnector, connection: aiohttp.connector.Connection
    ) -> None:
        """Follow a connection until it is lost.

        :param connector: its connector
        :param connection: connection on which the request is sent next
        """
        self._connector = connector
        self._protocol = connection.protocol
        self._closed = None if self._protocol is None else self._protocol.closed
        if self._closed is not None:
            self._closed.add_done_callback(_retrieve_exception)

    def count_written(self, size: int) -> None:
        """Count a part of the request's body that is written next.

        :param size: its size in bytes
        """
        # on a connection that is closing, the write fails
        if self._protocol is not None and self._protocol.is_connected():
            self._written_bytes += size

    def find_cut(self) -> Cut | None:
        """:return: why a response that lasted until the end of the connection is not known to be
        whole; ``None`` if the request was sent whole and the server ended the connection in order.
        """
        closed = self._closed
        if closed is None or not closed.done() or closed.cancelled():
            return Cut("the end of the connection was not seen")
        error = closed.exception()
        if error is not None:
            cause = error.__cause__
            was_reset = isinstance(cause, OSError) and cause.errno == errno.ECONNRESET
            return Cut(f"the connection was not ended in order: {error}", was_reset)
        if self._connector is None or self._connector.closed:
            return Cut("the client closed the connection")
        # a connection that is lost in order has sent all that was written
        if self._written_bytes < self.body_bytes:
            sizes = f"{self._written_bytes} of {self.body_bytes} bytes"
            return Cut(f"{sizes} of the request were sent", closed=True)
        return None


CONNECTION_USE: ContextVar[ConnectionUse] = ContextVar("connection_use")
"""Use of a connection by the exchange that is begun in this context."""


class ObservedConnector(aiohttp.TCPConnector):
    """Tells each exchange which connection it got; none on which bytes came before the request.

    :param options: options of the HTTP library's connector
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._used: WeakSet[ResponseHandler] = WeakSet()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Take an idle connection or open one.

        :param req: the request
        :param traces: its traces
        :param timeout: its time-outs
        :return: the connection
        :raises aiohttp.ClientError: no connection could be opened, or the server spoke first on it
        """
        connection = await super().connect(req, traces, timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            # bytes that came before the request would be taken for its response
            is_reused = connection.protocol in self._used
            connection.close()
            if not is_reused:
                raise aiohttp.ClientConnectionError("the server sent bytes before the request")
            connection = await super().connect(req, traces, timeout)
        if connection.protocol is not None:
            self._used.add(connection.protocol)
        CONNECTION_USE.get().begin(self, connection)
        return connection


def lasts_until_end(response: aiohttp.ClientResponse) -> bool:
    """Check how the end of a response's body is marked.

    :param response: the response
    :return: whether only the end of the connection marks it
    """
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    encodings = ",".join(response.headers.getall("Transfer-Encoding", []))
    if encodings:
        return encodings.lower().split(",")[-1].strip() != "chunked"
    return "Content-Length" not in response.headers


def _retrieve_exception(closed: asyncio.Future[None]) -> None:
    # asyncio would log an exception that nobody asked for
    if not closed.cancelled():
        closed.exception()


__all__ = ["CONNECTION_USE", "ConnectionUse", "Cut", "ObservedConnector", "lasts_until_end"]
