"""HTTP/1.1 connections to endpoints that show every byte that nobody asked for."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING, cast

import attrs
import h11

if TYPE_CHECKING:
    from basilroad.peers.address import Address

CONNECT_S = 0.35
"""Seconds for a new connection: several round trips between regions of 40 ms, and less than the
pause that a stream may make."""

POOL_IDLE_LIMIT_S = 1.5
"""Seconds for which an idle connection is reused; short, as old connections may have gone silent
without a reset."""

SEND_TIMEOUT_MS = 3000
"""Milliseconds that sent bytes may stay without acknowledgement."""

READ_BUFFER_BYTES = 262144
"""Bytes that may wait for a slow caller before the endpoint is not read any more."""

HEAD_BYTES = 65536
"""Largest head of an answer."""


class ChannelError(Exception):
    """The connection broke or the answer is not HTTP.

    :param detail: what was seen
    """


class ConnectError(ChannelError):
    """There was no connection; no byte of the request was sent."""


@attrs.frozen
class ReplyHead:
    """Start of an answer.

    :param status: status code
    :param headers: header names, as sent, and values
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """:return: value of a header by its name in lower case, empty without one."""
        return next((value for key, value in self.headers if key.lower() == name), "")


@attrs.frozen
class OutgoingRequest:
    """A request as it goes to an endpoint.

    :param method: HTTP method
    :param target: path and query, as the caller sent them
    :param headers: all headers, without length
    :param body: whole body
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


class Channel(asyncio.Protocol):
    """One connection; carries one request at a time."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._wake = asyncio.Event()
        self._busy = False
        self._failure: Exception | None = None
        self._ended = False
        self._buffered = 0
        self._paused = False
        self.requests = 0
        self.idle_since = 0.0
        self.idle_limit_s = POOL_IDLE_LIMIT_S

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start on a new connection."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer; bytes without a request end the connection."""
        if not self._busy:
            self.close()
            return
        self._http.receive_data(data)
        self._buffered += len(data)
        if self._buffered > READ_BUFFER_BYTES and not self._paused and self._transport:
            self._paused = True
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Take the end of the endpoint's side."""
        self._ended = True
        if self._busy:
            self._http.receive_data(b"")
            self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone; a reset is not the end of an answer."""
        if not self._ended or exc is not None:
            self._failure = exc or ConnectionResetError("connection closed")
        self._ended = True
        self._wake.set()

    # requests

    @property
    def usable(self) -> bool:
        """:return: whether another request may be sent."""
        return not self._busy and not self._ended and self._transport is not None

    def send(self, request: OutgoingRequest) -> None:
        """Send a request; its answer is read afterwards.

        :param request: the request
        """
        assert self._transport is not None
        self._busy = True
        self.requests += 1
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part for part in parts if part))

    async def read_head(self) -> ReplyHead:
        """:return: start of the answer.

        :raises ChannelError: the connection broke first
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ChannelError(f"expected an answer, found {type(event).__name__}")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )
        return ReplyHead(event.status_code, headers)

    async def read_data(self) -> bytes | None:
        """:return: next part of the body; ``None`` at its end.

        :raises ChannelError: the connection broke first
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise ChannelError(f"expected a body, found {type(event).__name__}")

    async def read_body(self) -> bytes:
        """:return: the whole body.

        :raises ChannelError: the connection broke first
        """
        parts = []
        while (part := await self.read_data()) is not None:
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Drop the connection; an endpoint stops the request that it carries."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def _finish(self) -> None:
        unsent = self._transport.get_write_buffer_size() if self._transport else 1
        clean = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if unsent or not clean or self._ended or self._http.trailing_data[0]:
            self.close()
            return
        self._http.start_next_cycle()
        self._busy = False
        self.idle_since = time.monotonic()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ChannelError(f"bad answer: {error}") from error
            if isinstance(event, h11.ConnectionClosed):
                raise ChannelError("connection closed")
            if event is not h11.NEED_DATA:
                return event
            if self._failure is not None or (self._ended and not self._wake.is_set()):
                raise ChannelError(repr(self._failure or "connection closed"))
            await self._wait_data()

    async def _wait_data(self) -> None:
        self._buffered = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        await self._wake.wait()
        self._wake.clear()


class ChannelPool:
    """Idle connections to one endpoint.

    :param address: where it listens
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[Channel] = []
        self.opened = 0

    async def open(self, idle_limit_s: float = POOL_IDLE_LIMIT_S) -> Channel:
        """Take an idle connection or open one.

        :param idle_limit_s: seconds that the connection may have been idle; 0 for a new one
        :return: a connection without a request
        :raises ConnectError: there is none to be had
        """
        channel = self._take_idle(idle_limit_s)
        if channel is not None:
            return channel
        return await self._connect()

    def keep(self, channel: Channel) -> None:
        """Take back a connection whose answer was read to its end.

        :param channel: the connection
        """
        if channel.usable:
            self._idle.append(channel)

    def close(self) -> None:
        """Drop the idle connections."""
        idle, self._idle = self._idle, []
        for channel in idle:
            channel.close()

    def _take_idle(self, idle_limit_s: float) -> Channel | None:
        now = time.monotonic()
        while self._idle:
            channel = self._idle[-1]
            idle_s = now - channel.idle_since
            if channel.usable and idle_limit_s <= idle_s < channel.idle_limit_s:
                return None
            self._idle.pop()
            if channel.usable and idle_s < min(idle_limit_s, channel.idle_limit_s):
                return channel
            channel.close()
        return None

    async def _connect(self) -> Channel:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, channel = await loop.create_connection(
                    Channel, self._address.ip, self._address.port
                )
        except OSError as error:
            raise ConnectError(repr(error)) from error
        self.opened += 1
        return channel


__all__ = [
    "CONNECT_S",
    "Channel",
    "ChannelError",
    "ChannelPool",
    "ConnectError",
    "OutgoingRequest",
    "ReplyHead",
]
