"""HTTP/1.1 connections to servers, closed on unsolicited data."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import cast

import h11

from basilroad.http.delivery import count_unacknowledged, read_error
from basilroad.http.framing import FramingLimit
from basilroad.http.messages import (
    ChannelError,
    OutgoingRequest,
    ReplyHead,
    RequestEncodingError,
)
from basilroad.http.status import BODILESS_STATUSES, FINAL_STATUSES

POOL_IDLE_LIMIT_S = 1.5
"""Longest idle time after which a connection is reused; short, as an old connection may be dead
without a reset having arrived."""

SEND_TIMEOUT_MS = 3000
"""Limit for unacknowledged data sent to an endpoint, set as ``TCP_USER_TIMEOUT``."""

DELIVERY_POLL_S = 0.01
"""Interval of checks whether a server that ended its half early has received the request."""

READ_BUFFER_BYTES = 262144
"""Received bytes buffered for a slow caller before reading from the endpoint is paused."""

TURN_S = 0.001
"""Time for which the data of one connection is processed before the event loop turns to others."""

PART_BYTES = 8192
"""Largest part of a body that a reader of a stream gets at once, which bounds the time that it
takes for it."""

HEAD_BYTES_MAX = 65536
"""Largest response head."""

INTERIM_RESPONSES_MAX = 16
"""Largest number of interim (1xx) responses before the head of a response."""

SHORT_BODY_BYTES = 65536
"""Largest body where only a short one is expected: of a rejection, a report or a superseded
response."""


MAX_REQUESTS = 1000
"""Requests after which a connection is closed, as it remembers their ids."""


class Channel(asyncio.Protocol):
    """One connection, which carries one request at a time.

    :param send_timeout_ms: limit for unacknowledged sent data in milliseconds; ``None`` to leave
        that of the socket
    """

    def __init__(self, send_timeout_ms: int | None = SEND_TIMEOUT_MS) -> None:
        self._send_timeout_ms = send_timeout_ms
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        self._transport: asyncio.Transport | None = None
        self._data_ready = asyncio.Event()
        self._lost = asyncio.Event()
        self._aborted = False
        self._ended_early = False
        self._lasts_until_end = False
        self._busy = False
        self._failure: Exception | None = None
        self._next: object | None = None  # event that was taken from the parser too early
        self._is_parsed = False  # whether the parser has nothing more of what was received
        self._ended = False
        self._closed_here = False
        self._buffered = 0
        self._paused = False
        self._turn_ends_at = 0.0
        self._framing = FramingLimit()
        self.requests = 0
        self.confirmed_start_ms: int | None = None
        self.previous_id = ""
        self._request_id = ""
        self._carried: set[str] = set()
        self._request_head: h11.Request | None = None
        self.idle_since = 0.0
        self.idle_limit_s = POOL_IDLE_LIMIT_S

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set ``TCP_USER_TIMEOUT``."""
        self._transport = cast("asyncio.Transport", transport)
        sock, timeout_ms = transport.get_extra_info("socket"), self._send_timeout_ms
        if sock is not None and timeout_ms is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Receive response data; data outside a request closes the connection."""
        if not self._busy:
            self.close()
            return
        self._http.receive_data(data)
        self._is_parsed = False
        self._buffered += len(data)
        self._framing.record_received(len(data))
        if self._buffered > READ_BUFFER_BYTES and not self._paused and self._transport:
            self._paused = True
            self._transport.pause_reading()
        self._data_ready.set()

    def eof_received(self) -> bool:
        """Handle the end of data from the server; data that it has not received is still sent.

        :return: whether the connection stays open until then
        """
        self._ended = True
        if not self._busy:
            return False
        self._http.receive_data(b"")
        self._is_parsed = False
        self._data_ready.set()
        self._ended_early = not self._is_delivered()
        if self._ended_early:
            self._check_delivery()
        return self._ended_early

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection; a reset does not complete a response."""
        if not self._ended or exc is not None:
            self._failure = exc or ConnectionResetError("connection closed")
        self._ended = True
        self._data_ready.set()
        self._lost.set()

    # requests

    @property
    def usable(self) -> bool:
        """:return: whether another request may be sent."""
        if self.requests >= MAX_REQUESTS:
            return False
        return not self._busy and not self._ended and self._transport is not None

    def has_carried(self, request_id: str) -> bool:
        """Check whether a response may belong to an earlier request rather than to this one.

        :param request_id: id of the request; empty for one without an id
        :return: whether a request with this id was sent before
        """
        return request_id in self._carried

    @property
    def is_cut_off(self) -> bool:
        """:return: whether the endpoint or the network ended the connection, not this side."""
        return self._ended and not self._closed_here

    @property
    def is_closed_by_peer(self) -> bool:
        """:return: whether the server closed or reset the connection; false if it fell silent."""
        if self._failure is not None and not isinstance(self._failure, ConnectionError):
            return False
        return self.is_cut_off

    def send(self, request: OutgoingRequest) -> None:
        """Send a request; its response is read separately.

        :param request: the request
        :raises RequestEncodingError: it is not valid HTTP; the connection is of no more use
        """
        assert self._transport is not None
        self._busy = True
        self._framing = FramingLimit()
        self._turn_ends_at = time.monotonic() + TURN_S
        self.requests += 1
        self.previous_id, self._request_id = self._request_id, request.id
        self._carried.add(request.id)
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        try:
            encoded = [(name.encode("ascii"), _encode_value(value)) for name, value in headers]
            head = h11.Request(method=request.method, target=request.target, headers=encoded)
            parts = [self._http.send(head)]
        except (h11.LocalProtocolError, ValueError) as error:
            raise RequestEncodingError(str(error)) from error
        self._request_head = head
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part for part in parts if part))

    async def read_head(self) -> ReplyHead:
        """:return: head of the response.

        :raises ChannelError: the connection failed or the response is invalid
        """
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > INTERIM_RESPONSES_MAX:
                raise ChannelError(f"more than {INTERIM_RESPONSES_MAX} interim responses")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ChannelError(f"expected a response head, got {type(event).__name__}")
        if event.status_code not in FINAL_STATUSES:
            self.close()
            raise ChannelError(f"invalid status {event.status_code}")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )
        self._lasts_until_end = self._is_unframed(event)
        return ReplyHead(event.status_code, headers)

    async def read_data(self) -> bytes | None:
        """:return: next chunk of the body; ``None`` at its end.

        :raises ChannelError: the connection failed or the response is invalid
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._lasts_until_end and self._ended_early:
                await self._wait_delivered()
            self._end_exchange()
            return None
        raise ChannelError(f"expected body data, got {type(event).__name__}")

    async def read_available(self) -> bytes:
        """:return: what was received of the body and not read yet, up to ``PART_BYTES``; empty at
            its end.

        :raises ChannelError: the connection failed or the response is invalid
        """
        part = await self.read_data()
        if part is None:
            return b""
        parts, size = [part], len(part)
        while size < PART_BYTES and not self._has_had_turn():
            event = self._poll_event()
            if not isinstance(event, h11.Data):
                if event is not h11.NEED_DATA:
                    self._next = event
                break
            parts.append(bytes(event.data))
            size += len(event.data)
        body = b"".join(parts)
        if size > PART_BYTES:
            self._next = h11.Data(data=body[PART_BYTES:])
        return body[:PART_BYTES]

    async def read_body(self, limit: int, count: Callable[[int], bool] = lambda _: True) -> bytes:
        """Read the whole body.

        :param limit: largest size in bytes
        :param count: called with the size of each part; false if there is no memory for it
        :return: the body
        :raises ChannelError: the connection failed, or the response is invalid or too large
        """
        parts, size = [], 0
        while (part := await self.read_data()) is not None:
            size += len(part)
            if size > limit or not count(len(part)):
                self.close()
                raise ChannelError(f"body is too large: {size} bytes were read, limit is {limit}")
            parts.append(part)
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Read past the body of a response whose head was read; the next one is expected.

        :raises ChannelError: the connection failed, or the response is invalid or too large
        """
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            size += len(event.data)
            if size > SHORT_BODY_BYTES:
                self.close()
                raise ChannelError(f"superseded response exceeds {SHORT_BODY_BYTES} bytes")
        if not isinstance(event, h11.EndOfMessage) or self._http.their_state is not h11.DONE:
            raise ChannelError(f"expected the end of a response, got {type(event).__name__}")
        assert self._request_head is not None
        self._framing = FramingLimit()
        self._http.start_next_cycle()
        # the request was sent already; only the parser has to expect its response
        self._http.send(self._request_head)
        length = int(dict(self._request_head.headers).get(b"content-length", b"0"))
        if length:
            self._http.send(h11.Data(data=bytes(length)))
        self._http.send(h11.EndOfMessage())

    def close(self) -> None:
        """Abort the connection; the endpoint then cancels the request in progress."""
        self._closed_here = self._closed_here or not self._ended
        self._ended = True
        if self._transport is not None and not self._lost.is_set():
            self._aborted = True
            self._transport.abort()

    def _end_exchange(self) -> None:
        unsent = self._transport.get_write_buffer_size() if self._transport else 1
        clean = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if unsent or not clean or self._ended or self._http.trailing_data[0]:
            self.close()
            return
        self._http.start_next_cycle()
        self._busy = False
        self.idle_since = time.monotonic()

    def _is_unframed(self, head: h11.Response) -> bool:
        assert self._request_head is not None
        if self._request_head.method == b"HEAD" or head.status_code in BODILESS_STATUSES:
            return False
        names = {name for name, _ in head.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _is_delivered(self) -> bool:
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return not self._transport.get_write_buffer_size() and not count_unacknowledged(sock)

    def _check_delivery(self) -> None:
        # asyncio does not watch a connection whose peer has ended its half
        if self._lost.is_set():
            return
        assert self._transport is not None
        # a reset after the check of what is left does not matter
        is_delivered = self._is_delivered()
        self._failure = read_error(self._transport.get_extra_info("socket"))
        if self._failure is not None:
            self._transport.abort()
        elif is_delivered:
            self._transport.close()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(DELIVERY_POLL_S, self._check_delivery)

    async def _wait_delivered(self) -> None:
        await self._lost.wait()
        if self._failure is not None or self._aborted:
            detail = repr(self._failure or "closed here")
            raise ChannelError(f"connection lost before the request was received: {detail}")

    def _poll_event(self) -> object:
        event, self._next = self._next, None
        if event is not None:
            return event
        if self._is_parsed:
            return h11.NEED_DATA
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            return ChannelError(f"invalid HTTP response: {error}")
        self._is_parsed = event is h11.NEED_DATA
        if isinstance(event, h11.Data):
            self._framing.record_data(len(event.data), starts_chunk=event.chunk_start)
            if self._framing.are_chunks_exceeded():
                return self._fail_framing()
        return event

    def _fail_framing(self) -> ChannelError:
        self.close()
        return ChannelError("the response has too many bytes beside its body")

    def _has_had_turn(self) -> bool:
        return time.monotonic() >= self._turn_ends_at

    async def _next_event(self) -> object:
        if self._has_had_turn():
            await asyncio.sleep(0)
            self._turn_ends_at = time.monotonic() + TURN_S
        while True:
            event = self._poll_event()
            if isinstance(event, ChannelError):
                raise event
            if isinstance(event, h11.ConnectionClosed):
                raise ChannelError("connection closed")
            if event is not h11.NEED_DATA:
                return event
            if self._failure is not None or (self._ended and not self._data_ready.is_set()):
                raise ChannelError(repr(self._failure or "connection closed"))
            await self._wait_data()

    async def _wait_data(self) -> None:
        if self._framing.is_exceeded():
            raise self._fail_framing()
        self._buffered = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        if not self._data_ready.is_set():
            await self._data_ready.wait()
            self._turn_ends_at = time.monotonic() + TURN_S
        self._data_ready.clear()


def _encode_value(value: str | bytes) -> bytes:
    return value if isinstance(value, bytes) else value.encode("ascii")


__all__ = [
    "MAX_REQUESTS",
    "PART_BYTES",
    "POOL_IDLE_LIMIT_S",
    "SHORT_BODY_BYTES",
    "Channel",
]
