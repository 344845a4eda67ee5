"""Stand-in for an application server of the users' platform, with injected wire faults."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import time
from collections import deque
from typing import TYPE_CHECKING

import attrs
import h11
import msgspec

from basilroad.standin.port import hold_port
from basilroad.standin.promptcache import FETCH_TARGET, PromptCache, read_prompt
from basilroad.standin.streamevents import StreamEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

READ_BYTES = 65536

TRICKLE_INTERVAL_S = 0.05
"""Interval of the bytes that a stalled stream sends."""

PREFILL_S = 0.05
"""Time between the response head of a stream that crashes the server and the crash."""

SLOTS = 4
"""Requests that an entry says are run at once."""

FIRST_BORN_MS = 1000
"""Time of the start before the first one in an entry."""


class WireFault(enum.Enum):
    """Fault injected into one response.

    ``TURN_AWAY`` rejects a request without running it, ``PAUSE`` names a time for which no more
    are wanted too; ``MISDIRECT`` responds as if the request
    were meant for another instance. All others run it: ``LOSE_ANSWER`` never responds,
    ``OTHER_ID`` and ``NO_SEAL`` alter the headers, ``CUT`` omits the last bytes, and ``UNFRAMED``
    sends no length. ``LATE_COPY`` sends the response again before that of the connection's next
    request, and ``TURN_AWAY_COPY`` a rejection; with ``copies_reports`` reports are sent so too.
    The endless ones continue until the client closes the connection.
    """

    NONE = "none"
    TURN_AWAY = "turn away"
    PAUSE = "turn away for a time"
    MISDIRECT = "misdirect"
    FAIL = "fail"
    LOSE_ANSWER = "lose answer"
    RESET = "reset"
    OTHER_ID = "other id"
    NO_SEAL = "no seal"
    EXTRA_ANSWER = "extra answer"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed, reset"
    CUT = "cut"
    GARBAGE = "garbage"
    LATE_COPY = "late copy"
    TURN_AWAY_COPY = "turn away, late copy"
    ENDLESS_HEADER = "endless header"
    ENDLESS_HEADERS = "endless headers"
    ENDLESS_INTERIM = "endless interim responses"
    ENDLESS_BODY = "endless body"
    ENDLESS_CHUNKS = "endless chunks"
    ENDLESS_UNFRAMED = "endless body without length"
    ENDLESS_EVENT = "endless event"
    ENDLESS_SMALL_CHUNKS = "endless chunks of a byte"
    ENDLESS_EXTENSIONS = "endless chunks of a byte with extensions"
    ENDLESS_LINES = "endless lines that are no event"
    ENDLESS_COMMENTS = "endless comments"
    ENDLESS_BLANKS = "endless empty events"
    ENDLESS_UNNUMBERED = "endless events without id"
    ENDLESS_REPEATS = "endless repeats of one event"


class ResponseKind(enum.Enum):
    """Kind of response, which decides whether it says that the server leaves."""

    REPORT = "report"
    REJECTION = "rejection"
    ANSWER = "answer"


ALL_RESPONSES = frozenset(ResponseKind)


class CrashPoint(enum.Enum):
    """Where in its run a request with ``AppServerStandin.crash_body`` crashes the server.

    ``SILENT`` ends nothing on the wire: the server answers no more until it is up again.
    """

    HEAD = "after the response head"
    NO_HEAD = "before the response head"
    EVENT = "before an event"
    SILENT = "silently"


_ENDLESS: dict[WireFault, tuple[bytes, bytes]] = {
    WireFault.ENDLESS_HEADER: (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 4096),
    WireFault.ENDLESS_HEADERS: (b"HTTP/1.1 200 OK\r\n", b"X-More: yes\r\n" * 256),
    WireFault.ENDLESS_INTERIM: (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64),
    WireFault.ENDLESS_BODY: (b"Content-Length: 99999999999\r\n\r\n", b"x" * READ_BYTES),
    WireFault.ENDLESS_CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * READ_BYTES + b"\r\n",
    ),
    WireFault.ENDLESS_UNFRAMED: (b"\r\n", b"x" * READ_BYTES),
    WireFault.ENDLESS_EVENT: (b"\r\n", b"data: x" * 4096),
    WireFault.ENDLESS_SMALL_CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 4096,
    ),
    WireFault.ENDLESS_EXTENSIONS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"1;a=b\r\nx\r\n" * 4096,
    ),
    WireFault.ENDLESS_LINES: (b"\r\n", b"x\n\n" * 4096),
    WireFault.ENDLESS_COMMENTS: (b"\r\n", b":\n\n" * 4096),
    WireFault.ENDLESS_BLANKS: (b"\r\n", b"\n\n" * 4096),
    WireFault.ENDLESS_UNNUMBERED: (b"\r\n", b"data: x\n\n" * 4096),
    WireFault.ENDLESS_REPEATS: (b"\r\n", b"id: 1\ndata: x\n\n" * 4096),
}
"""Start and repeated part of the endless responses; a start without a status line follows a
response head."""


@attrs.frozen
class ReceivedRequest:
    """A request as it was received.

    :param method: HTTP method
    :param target: path and query
    :param headers: headers by lower-case name
    :param body: complete body
    :param at: monotonic time in seconds at which it was read
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = attrs.field(factory=time.monotonic)

    @property
    def id(self) -> str:
        """:return: attempt id sent by the client; empty if none."""
        return self.headers.get("x-attempt-id", "")


@attrs.define
class AppServerStandin:
    """Serves calls and event streams; a fault can be injected into each response.

    :param id: name of the server
    :param events: events per stream; 0 sends buffered responses instead
    :param event_interval_s: seconds between events
    :param response_delay_s: seconds before a response begins
    :param reset_at_event: number of the event in which streams are reset; 0 for never
    :param trickle_at_event: number of the event before which streams stall; 0 for never
    :param trickle: bytes that a stalled stream sends now and then
    :param ip: its loopback address
    :param version: version of its software, which its events name
    :param silent: whether all responses are withheld
    :param crash_on: prompt part on which the server crashes before the first event; empty for none
    :param crash_body: body of the requests that crash it at ``crash_point``; empty for none
    :param crash_point: where in their run
    :param crash_at_event: number of that event for ``CrashPoint.EVENT``
    :param down_s: seconds for which it is down after a crash
    :param crashes: number of crashes
    :param copies_reports: whether each report is sent again when the next request arrives
    :param is_hung: whether only such copies are sent, and no further report
    :param limit: value of ``Server-Limit`` in all responses; empty for none
    :param leaving_in: responses that say that the server leaves
    :param retry_after: value of ``Retry-After`` in the responses of ``WireFault.PAUSE``
    :param faults: faults of the next responses, in order
    :param seen: received requests except those for reports
    :param paused: requests that were answered with ``Retry-After``, and its value
    :param starts: number of starts
    :param streams: number of streams that it began or resumed
    :param reported_at: times of the received requests for reports, in monotonic seconds
    :param prompts: prompts that it keeps until it ends, and how long it takes to read others
    """

    id: str = "i-standin"
    events: int = 0
    event_interval_s: float = 0.005
    response_delay_s: float = 0.0
    reset_at_event: int = 0
    trickle_at_event: int = 0
    trickle: bytes = b""
    ip: str = "127.0.0.1"
    version: str = "v1"
    silent: bool = False
    crash_on: str = ""
    crash_body: bytes = b""
    crash_point: CrashPoint = CrashPoint.HEAD
    crash_at_event: int = 1
    down_s: float = 2.0
    crashes: int = 0
    copies_reports: bool = False
    is_hung: bool = False
    limit: str = ""
    leaving_in: frozenset[ResponseKind] = frozenset()
    retry_after: str = ""
    faults: deque[WireFault] = attrs.field(factory=deque)
    seen: list[ReceivedRequest] = attrs.field(factory=list)
    runs: list[ReceivedRequest] = attrs.field(factory=list)
    paused: list[tuple[ReceivedRequest, str]] = attrs.field(factory=list)
    reported_at: list[float] = attrs.field(factory=list)
    prompts: PromptCache = attrs.field(factory=PromptCache)
    connections: int = 0
    endless_bytes: int = 0
    starts: int = 0
    streams: int = 0
    port: int = 0
    _late_copies: dict[asyncio.StreamWriter, bytes] = attrs.field(factory=dict)
    _server: asyncio.Server | None = None
    _port_holder: socket.socket | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _outage: asyncio.Task[None] | None = None

    @property
    def ran(self) -> list[str]:
        """:return: attempt ids of the executed requests, in order."""
        return [request.id for request in self.runs]

    @property
    def born(self) -> int:
        """:return: Unix time in milliseconds that it names as that of its start."""
        return FIRST_BORN_MS + self.starts

    @property
    def reports(self) -> int:
        """:return: number of received requests for reports."""
        return len(self.reported_at)

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; the port stays its own until it is stopped.

        :param port: port; 0 takes a free one
        """
        self.starts += 1
        if self._port_holder is None:
            self._port_holder = hold_port(self.ip, port)
        self.port = self._port_holder.getsockname()[1]
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, start_serving=False
        )
        # known before it listens, so that an end in this turn closes it
        await self._server.start_serving()

    async def stop(self) -> None:
        """Close the listener and abort all connections, as in a crash."""
        await self._end()
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None

    async def release(self, version: str, *, down_s: float = 0.0, name: str = "") -> None:
        """Start again with other software at the same address, after an end without a notice.

        :param version: version of the software
        :param down_s: seconds between end and start
        :param name: its new id; empty to keep the one that it has
        """
        await self._end()
        await asyncio.sleep(down_s)
        self.id, self.version = name or self.id, version
        await self.start(self.port)

    async def fall_silent(self, length_s: float) -> None:
        """Send nothing for a time, then continue all responses.

        :param length_s: seconds
        """
        self.silent = True
        await asyncio.sleep(length_s)
        self.silent = False

    def build_entry(self, service: str, **fields: object) -> dict[str, object]:
        """Build its entry in the store.

        :param service: its service
        :param fields: fields that differ from those of a server that is ready
        :return: the entry
        """
        entry: dict[str, object] = {
            "service": service,
            "address": f"{self.ip}:{self.port}",
            "zone": "a",
            "version": self.version,
            "slots": SLOTS,
            "state": "ready",
            "born": self.born,
        }
        return {**entry, **fields}

    async def _end(self) -> None:
        if self._outage is not None:
            self._outage.cancel()
        await self._go_down()

    async def _go_down(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.prompts.clear()

    async def _crash(self) -> None:
        self.crashes += 1
        self.silent = self.crash_point is CrashPoint.SILENT
        if not self.silent:
            await self._go_down()
        await asyncio.sleep(self.down_s)
        await self._go_down()
        self.silent = False
        await self.start(self.port)

    async def _end_by_request(self) -> None:
        if self._outage is None or self._outage.done():
            self._outage = asyncio.ensure_future(self._crash())
        await asyncio.Event().wait()

    def _crashes_on(self, request: ReceivedRequest, point: CrashPoint) -> bool:
        return (
            bool(self.crash_body) and self.crash_body == request.body and point is self.crash_point
        )

    def schedule_faults(self, faults: Iterable[WireFault]) -> None:
        """Queue faults for the next responses.

        :param faults: one per response, in order
        """
        self.faults.extend(faults)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._serve_requests(reader, writer)
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._late_copies.pop(writer, None)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            request = await _read_request(http, reader)
            if request is None:
                return
            while self.silent:
                await asyncio.sleep(0.01)
            if request.target == "/report":
                await self._report(writer)
            elif request.target == FETCH_TARGET:
                await self.prompts.send(request.headers, writer)
            elif not await self._answer(request, writer):
                return
            http.start_next_cycle()

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._late_copies.pop(writer, b""))
        while self.is_hung:
            await asyncio.sleep(0.01)
        self.reported_at.append(time.monotonic())
        body = msgspec.json.encode({"born": self.born})
        report = _encode_response(200, self._build_notice(ResponseKind.REPORT), body)
        writer.write(report)
        if self.copies_reports:
            self._late_copies[writer] = report

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self.seen.append(request)
        fault = self.faults.popleft() if self.faults else WireFault.NONE
        rejection = self._reject(request, fault)
        if rejection is not None:
            writer.write(rejection)
            if fault is WireFault.TURN_AWAY_COPY:
                self._late_copies[writer] = rejection
            return True
        self.runs.append(request)
        writer.write(self._late_copies.pop(writer, b""))
        if self.response_delay_s:
            await asyncio.sleep(self.response_delay_s)
        if any(self._crashes_on(request, p) for p in (CrashPoint.NO_HEAD, CrashPoint.SILENT)):
            await self._end_by_request()
        if self.events and fault is WireFault.NONE:
            return await self._stream(request, writer)
        return await self._write_faulty(request.id, fault, writer)

    def _build_notice(self, kind: ResponseKind) -> dict[str, str]:
        named = {"Server-Limit": self.limit} if self.limit else {}
        return {**named, "Server-Leaving": "1"} if kind in self.leaving_in else named

    def _reject(self, request: ReceivedRequest, fault: WireFault) -> bytes | None:
        echo = {"X-Attempt-Id": request.id, **self._build_notice(ResponseKind.REJECTION)}
        expected = request.headers.get("x-expect-instance", self.id)
        if fault is WireFault.MISDIRECT or expected != self.id:
            return _encode_response(421, {**echo, "X-Instance-Id": self.id}, b"")
        if fault in (WireFault.TURN_AWAY, WireFault.TURN_AWAY_COPY):
            return _encode_response(503, {**echo, "X-Not-Executed": "1"}, b"")
        if fault is WireFault.PAUSE:
            self.paused.append((request, self.retry_after))
            echo |= {"X-Not-Executed": "1", "Retry-After": self.retry_after}
            return _encode_response(503, echo, b"")
        return None

    async def _write_faulty(
        self, request_id: str, fault: WireFault, writer: asyncio.StreamWriter
    ) -> bool:
        if fault is WireFault.LOSE_ANSWER:
            await asyncio.Event().wait()
        if fault in _ENDLESS:
            return await self._write_endless(request_id, fault, writer)
        if fault is WireFault.RESET:
            _reset(writer)
            return False
        if fault is WireFault.GARBAGE:
            writer.write(b"\x00\x01 not an answer\r\n\r\n")
            return False
        status = 500 if fault is WireFault.FAIL else 200
        echoed = "another" if fault is WireFault.OTHER_ID else request_id
        headers = {
            "X-Attempt-Id": echoed,
            "X-Response-Seal": f"seal-of-{self.id}",
            **self._build_notice(ResponseKind.ANSWER),
        }
        if fault is WireFault.NO_SEAL:
            del headers["X-Response-Seal"]
        body = f"answer of {self.id} to {request_id}".encode()
        if fault in (WireFault.UNFRAMED, WireFault.UNFRAMED_RESET):
            return await _write_unframed(writer, headers, body, fault)
        whole = _encode_response(status, headers, body)
        if fault is WireFault.CUT:
            writer.write(whole[:-3])
            await writer.drain()
            return False
        writer.write(whole)
        if fault is WireFault.EXTRA_ANSWER:
            writer.write(whole)
        if fault is WireFault.LATE_COPY:
            self._late_copies[writer] = whole
        return True

    async def _write_endless(
        self, request_id: str, fault: WireFault, writer: asyncio.StreamWriter
    ) -> bool:
        start, repeated = _ENDLESS[fault]
        headers = {"X-Attempt-Id": request_id, "X-Response-Seal": f"seal-of-{self.id}"}
        if start and not start.startswith(b"HTTP"):
            # without the blank line, which ends the start
            writer.write(_encode_head(200, headers)[:-2])
        writer.write(start)
        while not writer.is_closing():
            writer.write(repeated)
            self.endless_bytes += len(repeated)
            await writer.drain()
        return False

    async def _stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        first = int(request.headers.get("last-event-id") or 0) + 1
        self.streams += 1
        run = f"{self.id}/{self.streams}"
        headers = {
            "X-Attempt-Id": request.id,
            "X-Response-Seal": f"seal-of-{self.id}",
            **self._build_notice(ResponseKind.ANSWER),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(_encode_head(200, headers))
        shared = [part.id for part in read_prompt(request.headers)[:-1]]
        is_deadly = self.crash_on and self.crash_on in shared
        if is_deadly or self._crashes_on(request, CrashPoint.HEAD):
            await asyncio.sleep(PREFILL_S)
            await self._end_by_request()
        await self.prompts.load(request.headers)
        for number in range(first, self.events + 1):
            if number == self.crash_at_event and self._crashes_on(request, CrashPoint.EVENT):
                await self._end_by_request()
            event = StreamEvent(number, self.version, run).encode()
            while self.silent:
                await asyncio.sleep(0.01)
            if number == self.reset_at_event:
                writer.write(_encode_chunk(event[:-4]))
                await writer.drain()
                _reset(writer)
                return False
            while number == self.trickle_at_event:
                writer.write(_encode_chunk(self.trickle))
                await writer.drain()
                await asyncio.sleep(TRICKLE_INTERVAL_S)
            writer.write(_encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(_encode_chunk(b""))
        return True


async def _read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> ReceivedRequest | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = {name.decode(): value.decode() for name, value in head.headers}
            http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
            http.send(h11.EndOfMessage())
            return ReceivedRequest(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None


async def _write_unframed(
    writer: asyncio.StreamWriter, headers: dict[str, str], body: bytes, fault: WireFault
) -> bool:
    writer.write(_encode_head(200, headers) + body)
    await writer.drain()
    if fault is WireFault.UNFRAMED_RESET:
        _reset(writer)
    return False


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    # SO_LINGER with a zero timeout sends RST instead of FIN
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} status", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    return _encode_head(status, {**headers, "Content-Length": str(len(body))}) + body


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


__all__ = [
    "ALL_RESPONSES",
    "AppServerStandin",
    "CrashPoint",
    "ReceivedRequest",
    "ResponseKind",
    "WireFault",
]
