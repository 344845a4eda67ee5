"""End of the connections that callers keep to an HTTP server."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from aiohttp import web

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval of checks for calls in flight during shutdown."""

READ_TURNS = 2
"""Turns of the event loop until it has read the requests that arrived before the first of them."""

CLOSE_LINGER_S = 0.2
"""Time for a caller to close its half of a connection after the last response; several round trips
between data centres."""

LAST_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
"""Sent before an idle connection is closed: a request that crosses it is answered as not run."""

_LOGGER = logging.getLogger(__name__)


async def close_idle_connections(
    server: web.Server, limit: float, on_crossed: Callable[[], None] | None = None
) -> None:
    """Close each connection of a server once it is idle, until all of them are closed.

    :param server: the server
    :param limit: monotonic seconds after which none is awaited
    :param on_crossed: called for each connection on which data came after its last response
    """
    while True:
        # a late event loop reads first what arrived in the meantime
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        for connection in server.connections:
            if awaits_request(connection):
                close_connection(connection, on_crossed)
        if not server.connections or time.monotonic() >= limit:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


def awaits_request(connection: web.RequestHandler) -> bool:
    """:return: whether all requests of a connection that were read are answered, with whole bodies.

    A close before that resets the connection and loses the response.
    """
    # the HTTP library has no public name for it
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


def close_connection(
    connection: web.RequestHandler, on_crossed: Callable[[], None] | None = None
) -> None:
    """Send the last response on a connection that awaits a request, and close it.

    :param connection: the connection
    :param on_crossed: called if data came after the last response
    """
    transport = connection.transport
    if transport is None or transport.is_closing() or transport.get_protocol() is not connection:
        return
    _ClosedConnection(connection, on_crossed).close(transport)


class _ClosedConnection(asyncio.Protocol):
    """Drops what a caller sends on a connection whose sending half is closed.

    Closed with unread data, the connection would be reset, and the caller might lose the last
    response.

    :param connection: the connection before it was closed
    :param on_crossed: called once if such data comes
    """

    def __init__(
        self, connection: web.RequestHandler, on_crossed: Callable[[], None] | None
    ) -> None:
        self._connection = connection
        self._on_crossed = on_crossed

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
        if self._on_crossed is not None:
            self._on_crossed()
            self._on_crossed = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the server that the caller has closed its half too."""
        self._connection.connection_lost(exc)


__all__ = ["awaits_request", "close_connection", "close_idle_connections"]
