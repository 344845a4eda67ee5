"""HTTP server base class of the stand-ins."""

from __future__ import annotations

import abc
import asyncio
import logging
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web
from mode import Service

from basilroad.coordination.decoding import DecodeError, decode_json

EXIT_STATUS = 70
"""Exit status of a process that crashed on request."""

SHUTDOWN_TIMEOUT_S = 0.1
"""Seconds that handlers get to finish at a stop, after their connections were aborted."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest accepted request body."""

PARTIAL_RESPONSE = b'HTTP/1.1 200 OK\r\n\r\n{"order": '
"""Part of a response whose end is the end of its connection."""

PARTIAL_RESPONSE_S = 0.2
"""Seconds in which a client receives a part before the connection is reset."""

CONTROL_PATH = "/control"
"""Path prefix of the control interface; ``apply_faults`` is not called for it."""

Message = TypeVar("Message")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

logger = logging.getLogger(__name__)


class DroppedError(Exception):
    """The connection of a request was aborted as an injected fault."""


class StandinServer(Service):
    """Serves HTTP until it is stopped or crashes on request.

    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param embedded: whether a crash stops only the server, not the process
    :param cancel_on_disconnect: whether a handler is cancelled when its client disconnects
    """

    abstract = True

    def __init__(self, listen: str, *, embedded: bool, cancel_on_disconnect: bool = False) -> None:
        super().__init__()
        host, _, port = listen.rpartition(":")
        self._host = host
        self._port = int(port)
        self._embedded = embedded
        self._cancel_on_disconnect = cancel_on_disconnect
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.dead = asyncio.Event()

    @property
    def address(self) -> str:
        """:return: ``ip:port`` of the listener, once started."""
        return f"{self._host}:{self._port}"

    @property
    def url(self) -> str:
        """:return: base URL of the server, once started."""
        return f"http://{self.address}"

    @abc.abstractmethod
    def list_routes(self) -> list[web.RouteDef]:
        """:return: the routes to serve."""

    async def on_start(self) -> None:
        """Start serving."""
        app = web.Application(
            middlewares=[self._handle_with_faults], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(self.list_routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=self._cancel_on_disconnect,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await self.accept()

    async def on_stop(self) -> None:
        """Stop serving and abort open connections."""
        if self._runner is not None:
            self.abort_connections()
            await self._runner.cleanup()

    async def accept(self) -> None:
        """Accept new connections."""
        if self._site is not None or self._runner is None:
            return
        self._site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await self._site.start()
        self._port = self._site.port

    async def refuse(self, exclude: asyncio.BaseTransport | None = None) -> None:
        """Refuse new connections and abort the open ones.

        :param exclude: connection to leave open
        """
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()
        self.abort_connections(exclude)

    def abort_connections(self, exclude: asyncio.BaseTransport | None = None) -> None:
        """Abort all open connections; unsent data is lost.

        :param exclude: connection to leave open
        """
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is not None and transport is not exclude:
                transport.abort()

    async def die(self) -> None:
        """Crash the process; an embedded stand-in closes its listener and connections instead."""
        logger.warning("injected crash of stand-in %s", self.address)
        if not self._embedded:
            os._exit(EXIT_STATUS)
        self.dead.set()
        await self.refuse()

    def freeze(self, seconds: float) -> None:
        """Suspend all work for a while, like a stopped process.

        :param seconds: duration
        """
        self._thawed.clear()
        asyncio.get_running_loop().call_later(seconds, self._thawed.set)

    async def wait_thawed(self) -> None:
        """Wait until the stand-in is no longer suspended."""
        await self._thawed.wait()

    async def apply_faults(self, request: web.Request) -> None:
        """Apply the injected faults to a request; the default has none.

        :param request: the request, before it is handled
        """

    @web.middleware
    async def _handle_with_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self.wait_thawed()
        try:
            if not request.path.startswith(CONTROL_PATH):
                await self.apply_faults(request)
            return await handler(request)
        except DroppedError:
            return web.Response()
        except DecodeError as error:
            return answer_error(400, str(error))


async def read_json(request: web.Request, kind: type[Message]) -> Message:
    """Decode the JSON body of a request.

    :param request: the request
    :param kind: attrs class of the body
    :return: the body
    :raises DecodeError: the body is not JSON or does not match the class
    """
    return decode_json(await request.read() or b"{}", kind)


def answer_json(message: object, status: int = 200) -> web.Response:
    """Build a JSON response.

    :param message: body, encoded as JSON
    :param status: status code of the response
    :return: the response
    """
    body = msgspec.json.encode(message)
    return web.Response(body=body, status=status, content_type="application/json")


def answer_error(status: int, detail: str) -> web.Response:
    """Build an error response.

    :param status: status code of the response
    :param detail: cause of the error
    :return: the response
    """
    return answer_json({"error": detail}, status)


def drop_connection(request: web.Request) -> None:
    """Abort the connection of a request without a response.

    :param request: the request
    :raises DroppedError: always, to end the handler
    """
    if request.transport is not None:
        request.transport.abort()
    raise DroppedError


async def cut_response(request: web.Request) -> None:
    """Send a part of a response without a length and reset the connection.

    :param request: the request
    :raises DroppedError: always, to end the handler
    """
    transport = request.transport
    if transport is not None:
        transport.write(PARTIAL_RESPONSE)
        await asyncio.sleep(PARTIAL_RESPONSE_S)
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    drop_connection(request)


__all__ = [
    "CONTROL_PATH",
    "EXIT_STATUS",
    "DroppedError",
    "StandinServer",
    "answer_error",
    "answer_json",
    "cut_response",
    "drop_connection",
    "read_json",
]
