"""Connections of callers, and why each of them ends."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Iterator
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage

from basilroad.platform.protocol import HEADER_REQUEST_ID

if TYPE_CHECKING:
    from prometheus_client import Counter

    from basilroad.gateway.shutdown import Shutdown

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval of checks for calls in flight during shutdown."""

READ_TURNS = 2
"""Turns of the event loop until it has read the requests that arrived before the first of them."""

CLOSE_LINGER_S = 0.2
"""Time for a caller to close its half of a connection after the last response; several round trips
between data centres."""

LAST_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
"""Sent before an idle connection is closed: a request that crosses it is answered as not run."""

HANDLER_START_TURNS = 4
"""Turns of the event loop until the handler of a request read before has started, and one more."""

_HAS_ENDED = web.RequestKey("has_ended", bool)

_LOGGER = logging.getLogger(__name__)


class EndCause(StrEnum):
    """Why a connection ended before a request that was read on it had its whole answer."""

    CALLER_LEFT = "caller_left"
    STREAM_BROKEN = "stream_broken"
    SHUTDOWN = "shutdown"
    ERROR = "error"
    UNREAD_REQUEST = "unread_request"


class CallerServer(web.Server):
    """Keeps track of the connections of callers and of the requests on them.

    :param handler: answers a request
    :param shutdown: planned shutdown of this process
    :param ends: counts connections that end without a whole answer, by cause
    :param options: options of the HTTP server
    :ivar crossed: number of connections on which data came after their last response
    """

    def __init__(self, handler: Any, shutdown: Shutdown, ends: Counter, **options: Any) -> None:
        super().__init__(handler, **options)
        self._shutdown = shutdown
        self._ends = ends
        self._busy: set[web.RequestHandler] = set()
        self._unread_bodies: dict[web.RequestHandler, StreamReader] = {}
        self._is_exiting = False
        self.crossed = 0

    @property
    def in_flight(self) -> int:
        """:return: number of requests that are being answered."""
        return len(self._busy)

    @property
    def unsent(self) -> int:
        """:return: number of connections with a part of an answer that was not received yet."""
        transports = [connection.transport for connection in self.connections]
        return sum(bool(at is not None and at.get_write_buffer_size()) for at in transports)

    @contextlib.contextmanager
    def track(self, request: web.BaseRequest, arrived_at: float) -> Iterator[None]:
        """Count the connection as busy while a request is answered, and log an end without answer.

        :param request: the request
        :param arrived_at: monotonic seconds
        """
        connection = request.protocol
        self._busy.add(connection)
        try:
            yield
        except asyncio.CancelledError:
            cause = EndCause.SHUTDOWN if self._is_exiting else EndCause.CALLER_LEFT
            self.record_end(request, cause, arrived_at)
            raise
        except Exception as error:
            if request.transport is None or request.transport.is_closing():
                self.record_end(request, EndCause.CALLER_LEFT, arrived_at, repr(error))
            elif request.writer.output_size:
                # the HTTP library answers an error before the head
                self.record_end(request, EndCause.ERROR, arrived_at, repr(error))
            raise
        finally:
            self._busy.discard(connection)
            if self._shutdown.is_requested and not request.content.is_eof():
                self._unread_bodies[connection] = request.content

    def record_end(
        self, request: web.BaseRequest, cause: EndCause, arrived_at: float, detail: str = ""
    ) -> None:
        """Log and count a connection that ends without a whole answer, once a request.

        :param request: the request that gets none
        :param cause: why
        :param arrived_at: monotonic seconds at which it was read
        :param detail: what happened
        """
        if request.get(_HAS_ENDED):
            return
        request[_HAS_ENDED] = True
        self._ends.labels(cause.value).inc()
        _LOGGER.info(
            "connection ended",
            extra={
                "request": request.headers.get(HEADER_REQUEST_ID, ""),
                "cause": cause.value,
                "detail": detail,
                "waited_ms": round(1000 * (time.monotonic() - arrived_at)),
            },
        )

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Log the requests that nobody will answer; called by the HTTP library.

        :param handler: the connection
        :param exc: why it was lost; ``None`` if either side closed it
        """
        self._unread_bodies.pop(handler, None)
        for request_id in list_unread_requests(handler):
            self._ends.labels(EndCause.UNREAD_REQUEST.value).inc()
            _LOGGER.info(
                "connection ended",
                extra={
                    "request": request_id,
                    "cause": EndCause.UNREAD_REQUEST.value,
                    "detail": repr(exc) if exc is not None else "",
                },
            )
        super().connection_lost(handler, exc)

    async def close_connections(self, limit: float) -> None:
        """Close each connection once it has no call, until all of them are closed.

        :param limit: monotonic seconds after which none is awaited
        """
        while True:
            await self._close_idle_connections()
            if not self.connections or time.monotonic() >= limit:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def mark_exiting(self) -> None:
        """Tell that handlers are cancelled from now on because the process exits."""
        self._is_exiting = True

    def _is_busy(self, connection: web.RequestHandler) -> bool:
        if connection in self._busy or list_unread_requests(connection):
            return True
        # a close before the whole body was received resets the connection and loses the response
        body = self._unread_bodies.get(connection)
        return body is not None and not body.is_eof()

    async def _close_idle_connections(self) -> None:
        # a late event loop reads first what arrived in the meantime
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        paused = [
            (connection, connection.transport)
            for connection in self.connections
            if connection.transport is not None and not self._is_busy(connection)
        ]
        for _, transport in paused:
            transport.pause_reading()
        # a request that was read but not handled yet gets its response
        for _ in range(HANDLER_START_TURNS):
            await asyncio.sleep(0)
        for connection, transport in paused:
            is_closed = transport.get_protocol() is not connection or transport.is_closing()
            if not is_closed and not self._is_busy(connection):
                _ClosedConnection(self, connection).close(transport)
            transport.resume_reading()


class _ClosedConnection(asyncio.Protocol):
    """Drops what a caller sends on a connection whose sending half is closed.

    Closed with unread data, the connection would be reset, and the caller might lose the last
    response.

    :param server: counts the connections with such data
    :param connection: the connection before it was closed
    """

    def __init__(self, server: CallerServer, connection: web.RequestHandler) -> None:
        self._server = server
        self._connection = connection
        self._is_crossed = False

    def close(self, transport: asyncio.Transport) -> None:
        """Send the last response, and wait a while for the caller to close its half.

        :param transport: the connection
        """
        transport.set_protocol(self)
        transport.write(LAST_RESPONSE)
        try:
            transport.write_eof()
        except OSError as error:
            # its caller has closed the connection and reset it at the last response
            _LOGGER.info("caller left", extra={"detail": repr(error)})
        asyncio.get_running_loop().call_later(CLOSE_LINGER_S, transport.close)

    def data_received(self, _: bytes) -> None:
        """Drop a request that crossed the last response."""
        if not self._is_crossed:
            self._is_crossed = True
            self._server.crossed += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the server that the caller has closed its half too."""
        self._connection.connection_lost(exc)


def list_unread_requests(connection: web.RequestHandler) -> list[str]:
    """:return: ids of the requests received behind the one being answered; empty if not read."""
    # the HTTP library has no public name for them
    messages = [message for message, _ in connection._messages]
    return [
        message.headers.get(HEADER_REQUEST_ID, "") if isinstance(message, RawRequestMessage) else ""
        for message in messages
    ]


__all__ = ["CallerServer", "EndCause", "list_unread_requests"]
