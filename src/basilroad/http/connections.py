"""Connections of callers, and why each of them ends."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web
from aiohttp.http import RawRequestMessage

from basilroad.http.ends import EndCause, log_end
from basilroad.http.idleconnections import (
    awaits_request,
    close_connection,
    close_idle_connections,
)

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter

READ_BYTES = 8192
"""Bytes that are received on one connection before the event loop turns to others."""

_HAS_ENDED = web.RequestKey("has_ended", bool)

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class CallerServerSettings:
    """Settings of a server for callers.

    :param request_id_header: header with the id that callers give their requests
    :param count_end: counts a connection that ends without a whole answer
    """

    request_id_header: str
    count_end: Callable[[EndCause], None]


class CallerServer(web.Server):
    """Keeps track of the connections of callers and of the requests on them.

    :param handler: answers a request
    :param settings: settings of this server
    :param build_request: builds the requests that the handler gets; plain ones without it
    :param options: options of the HTTP server
    :ivar receive_buffer: where each connection receives data, which it processes at once
    :ivar is_exiting: whether handlers are cancelled because the process exits
    :ivar accepted: number of connections that were accepted
    :ivar unread: number of those that ended before anything was received on them
    :ivar crossed: number of connections on which data came after their last response
    """

    def __init__(
        self,
        handler: Any,
        settings: CallerServerSettings,
        build_request: Any = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, request_factory=self._take_request, **options)
        self._settings = settings
        self._build_request = build_request or self._make_request
        self.receive_buffer = bytearray(READ_BYTES)
        self._taken: dict[web.RequestHandler, tuple[web.BaseRequest, float]] = {}
        self._busy: set[web.RequestHandler] = set()
        self.is_exiting = False
        self.accepted = 0
        self.unread = 0
        self.crossed = 0

    def __call__(self) -> web.RequestHandler:
        """:return: the protocol of a new connection."""
        return _CallerConnection(self, loop=self._loop, **self._kwargs)

    @property
    def in_flight(self) -> int:
        """:return: number of requests that are being answered."""
        return len(self._busy)

    @property
    def unsent(self) -> int:
        """:return: number of connections with a part of an answer that was not received yet."""
        transports = [connection.transport for connection in self.connections]
        return sum(bool(at is not None and at.get_write_buffer_size()) for at in transports)

    def describe(self) -> dict[str, int]:
        """:return: what the lines about a stop say of the connections."""
        return {
            "in_flight": self.in_flight,
            "unsent": self.unsent,
            "accepted": self.accepted,
            "unread": self.unread,
            "open": len(self.connections),
            "crossed": self.crossed,
        }

    @contextlib.contextmanager
    def track(self, request: web.BaseRequest, arrived_at: float) -> Iterator[None]:
        """Count the connection as busy while a request is answered, and log an end without answer.

        :param request: the request
        :param arrived_at: monotonic seconds
        """
        connection = request.protocol
        self._taken.pop(connection, None)
        self._busy.add(connection)
        try:
            yield
        except asyncio.CancelledError:
            self.record_end(request, self._find_cancel_cause(), arrived_at)
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
        self._settings.count_end(cause)
        request_id = request.headers.get(self._settings.request_id_header, "")
        log_end(request_id, cause, arrived_at, detail)

    async def send(
        self, request: web.BaseRequest, response: web.StreamResponse, arrived_at: float
    ) -> None:
        """Send a whole response, or the rest of one, while its request is tracked.

        The HTTP library sends it after the handler has returned, when nothing is logged any more.

        :param request: the request
        :param response: the response
        :param arrived_at: monotonic seconds at which the request was read
        """
        if request.transport is None or request.transport.is_closing():
            detail = f"status {response.status} not sent"
            self.record_end(request, EndCause.CALLER_LEFT, arrived_at, detail)
            return
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError as error:
            self.record_end(request, EndCause.CALLER_LEFT, arrived_at, repr(error))

    def list_unread_requests(self, connection: web.RequestHandler) -> list[str]:
        """List the requests received behind the one being answered.

        :param connection: the connection
        :return: their ids; empty ids for those that were not read
        """
        # the HTTP library has no public name for them
        messages = [message for message, _ in connection._messages]
        name = self._settings.request_id_header
        return [
            message.headers.get(name, "") if isinstance(message, RawRequestMessage) else ""
            for message in messages
        ]

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Count a connection that was accepted; called by the HTTP library.

        :param handler: the connection
        :param transport: its socket
        """
        self.accepted += 1
        super().connection_made(handler, transport)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Log the requests that get no answer any more; called by the HTTP library.

        :param handler: the connection
        :param exc: why it was lost; ``None`` if either side closed it
        """
        assert isinstance(handler, _CallerConnection)
        self.unread += not handler.has_received
        request, arrived_at = self._taken.pop(handler, (None, 0.0))
        if request is not None and not request.writer.output_size:
            detail = "cancelled before its handler began"
            self.record_end(request, self._find_cancel_cause(), arrived_at, detail)
        for request_id in self.list_unread_requests(handler):
            self._settings.count_end(EndCause.UNREAD_REQUEST)
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
        await close_idle_connections(self, limit, self._count_crossed)

    def is_cancelled(self) -> bool:
        """Check in the handler of a request whether a cancellation that it sees is its own.

        :return: false if only work that it awaits was cancelled
        """
        task = asyncio.current_task()
        # the HTTP library cancels the body of a request at the exit
        return self.is_exiting or task is None or task.cancelling() > 0

    def mark_exiting(self) -> None:
        """Record that handlers are cancelled from now on because the process exits."""
        self.is_exiting = True

    def _take_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        assert isinstance(protocol, _CallerConnection)
        protocol.record_taken(payload)
        # its handler may be cancelled before its first step, and can't log that
        request: web.BaseRequest = self._build_request(message, payload, protocol, writer, task)
        self._taken[protocol] = request, time.monotonic()
        return request

    def _find_cancel_cause(self) -> EndCause:
        return EndCause.SHUTDOWN if self.is_exiting else EndCause.CALLER_LEFT

    def _count_crossed(self) -> None:
        self.crossed += 1


class _CallerConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """A connection that answers what the HTTP library would leave unanswered.

    The size of its buffer limits what is received in a turn of the event loop: the HTTP library
    parses all of it at once, and a body may come in chunks of a byte.

    :param server: its server
    :param options: options of the HTTP server
    :ivar has_received: whether anything was received on it
    """

    __slots__ = ("_buffer", "_is_malformed", "_last_body", "has_received")

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self.has_received = False
        self._is_malformed = False
        self._last_body: StreamReader | None = None
        self._buffer = server.receive_buffer

    def record_taken(self, body: StreamReader) -> None:
        """Record the body of the request that is answered next.

        :param body: the body
        """
        self._last_body = body

    def get_buffer(self, sizehint: int) -> bytearray:
        """:return: where the event loop puts what it receives next.

        :param sizehint: number of bytes that it suggests
        """
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes.

        :param nbytes: their number
        """
        self.data_received(bytes(memoryview(self._buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """End a body that is not valid HTTP; the library leaves its handler waiting for the rest.

        :param data: bytes that were received
        """
        self.has_received = True
        if self._is_malformed:
            return
        super().data_received(data)
        if not self._messages or isinstance(self._messages[-1][0], RawRequestMessage):
            return
        body = self._messages[-2][1] if len(self._messages) > 1 else self._last_body
        if body is not None and not body.is_eof():
            self._is_malformed = True
            self._messages.pop()
            body.set_exception(web.RequestPayloadError("the body is not valid HTTP"))
            body.feed_eof()

    def _process_keepalive(self) -> None:
        # the HTTP library would close it beside a request in flight, which the kernel resets
        is_due = self._loop.time() >= self._next_keepalive_close_time
        if is_due and self._keepalive and awaits_request(self):
            close_connection(self)
        else:
            super()._process_keepalive()


__all__ = ["READ_BYTES", "CallerServer", "CallerServerSettings"]
