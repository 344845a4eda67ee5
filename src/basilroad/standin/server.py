"""HTTP server that the stand-ins share."""

from __future__ import annotations

import abc
import asyncio
import logging
import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web
from mode import Service

EXIT_STATUS = 70
"""Exit status of a process that was told to die."""

SHUTDOWN_S = 0.1
"""Seconds that open requests get at a stop."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body of a request."""

CONTROL_PATH = "/control"
"""Below this path a stand-in is steered; faults leave it alone."""

Message = TypeVar("Message")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

logger = logging.getLogger(__name__)


class DroppedError(Exception):
    """A connection was closed on purpose."""


class StandinServer(Service):
    """Serves HTTP until it is stopped or told to die.

    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param embedded: whether dying ends the serving only, not the process
    :param ends_abandoned: whether a handler is cancelled when its client leaves
    """

    abstract = True

    def __init__(self, listen: str, *, embedded: bool, ends_abandoned: bool = False) -> None:
        super().__init__()
        host, _, port = listen.rpartition(":")
        self._host = host
        self._port = int(port)
        self._embedded = embedded
        self._ends_abandoned = ends_abandoned
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.dead = asyncio.Event()

    @property
    def address(self) -> str:
        """:return: ``ip:port`` that is served, once started."""
        return f"{self._host}:{self._port}"

    @property
    def url(self) -> str:
        """:return: base URL that is served, once started."""
        return f"http://{self.address}"

    @abc.abstractmethod
    def list_routes(self) -> list[web.RouteDef]:
        """:return: the routes to serve."""

    async def on_start(self) -> None:
        """Start to serve."""
        app = web.Application(middlewares=[self._guard], client_max_size=MAX_BODY_BYTES)
        app.add_routes(self.list_routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=self._ends_abandoned,
            shutdown_timeout=SHUTDOWN_S,
        )
        await self._runner.setup()
        await self.accept()

    async def on_stop(self) -> None:
        """Stop to serve and close what is open."""
        if self._runner is not None:
            self.abort_connections()
            await self._runner.cleanup()

    async def accept(self) -> None:
        """Take new connections."""
        if self._site is not None or self._runner is None:
            return
        self._site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await self._site.start()
        self._port = self._site.port

    async def refuse(self, but: asyncio.BaseTransport | None = None) -> None:
        """Refuse new connections and abort the open ones.

        :param but: connection to leave open
        """
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()
        self.abort_connections(but)

    def abort_connections(self, but: asyncio.BaseTransport | None = None) -> None:
        """Abort each open connection, with what it still had to send.

        :param but: connection to leave open
        """
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is not None and transport is not but:
                transport.abort()

    async def die(self) -> None:
        """End the process at once; an embedded stand-in aborts its connections instead."""
        logger.warning("stand-in %s dies", self.address)
        if not self._embedded:
            os._exit(EXIT_STATUS)
        self.dead.set()
        await self.refuse()

    def freeze(self, seconds: float) -> None:
        """Do nothing for a while, as a paused process.

        :param seconds: how long
        """
        self._thawed.clear()
        asyncio.get_running_loop().call_later(seconds, self._thawed.set)

    async def wait_thawed(self) -> None:
        """Wait until the stand-in is not frozen."""
        await self._thawed.wait()

    async def disturb(self, request: web.Request) -> None:
        """Bring about the faults that hold for a request; the default has none.

        :param request: the request, before it is handled
        """

    @web.middleware
    async def _guard(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        await self.wait_thawed()
        try:
            if not request.path.startswith(CONTROL_PATH):
                await self.disturb(request)
            return await handler(request)
        except DroppedError:
            return web.Response()
        except msgspec.MsgspecError as error:
            return answer_error(400, str(error))


async def read_json(request: web.Request, kind: type[Message]) -> Message:
    """Read a request's body.

    :param request: the request
    :param kind: attrs class of the body
    :return: the body
    :raises msgspec.MsgspecError: the body has another shape
    """
    return msgspec.json.decode(await request.read() or b"{}", type=kind)


def answer_json(message: object, status: int = 200) -> web.Response:
    """Build an answer.

    :param message: body, written as JSON
    :param status: status code of the answer
    :return: the answer
    """
    body = msgspec.json.encode(message)
    return web.Response(body=body, status=status, content_type="application/json")


def answer_error(status: int, detail: str) -> web.Response:
    """Build an answer that says why nothing was done.

    :param status: status code of the answer
    :param detail: the reason
    :return: the answer
    """
    return answer_json({"error": detail}, status)


def drop_connection(request: web.Request) -> None:
    """Close the connection of a request without an answer.

    :param request: the request
    :raises DroppedError: always, to leave the handler
    """
    if request.transport is not None:
        request.transport.abort()
    raise DroppedError


__all__ = [
    "CONTROL_PATH",
    "EXIT_STATUS",
    "DroppedError",
    "StandinServer",
    "answer_error",
    "answer_json",
    "drop_connection",
    "read_json",
]
