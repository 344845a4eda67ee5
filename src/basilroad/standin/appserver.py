"""Stand-in for a server of the users' platform, with faults on the wire."""

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

if TYPE_CHECKING:
    from collections.abc import Iterable

READ_BYTES = 65536


class WireFault(enum.Enum):
    """How one answer goes wrong."""

    NONE = "none"
    TURN_AWAY = "turn away"
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


@attrs.frozen
class ReceivedRequest:
    """A request as it arrived.

    :param method: HTTP method
    :param target: path and query
    :param headers: headers by their names in lower case
    :param body: whole body
    :param at: monotonic seconds at which it was read
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = attrs.field(factory=time.monotonic)

    @property
    def id(self) -> str:
        """:return: identifier that the client gave it."""
        return self.headers.get("x-attempt-id", "")


@attrs.define
class AppServerStandin:
    """Serves calls and streams; each answer may be given a fault.

    :param id: name of the server
    :param events: events of a stream; 0 answers calls whole
    :param gap_s: seconds between events
    :param first_s: seconds before an answer begins
    :param break_after: event after which streams are reset; 0 never
    :param silent: whether nothing is answered any more
    :param faults: faults of the next answers, in order
    """

    id: str = "i-standin"
    events: int = 0
    event_interval_s: float = 0.005
    response_delay_s: float = 0.0
    reset_at_event: int = 0
    silent: bool = False
    faults: deque[WireFault] = attrs.field(factory=deque)
    seen: list[ReceivedRequest] = attrs.field(factory=list)
    runs: list[ReceivedRequest] = attrs.field(factory=list)
    connections: int = 0
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def ran(self) -> list[str]:
        """:return: identifiers of the requests that ran, in order."""
        return [request.id for request in self.runs]

    async def start(self, port: int = 0) -> None:
        """Listen on loopback.

        :param port: 0 for any
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def schedule_faults(self, faults: Iterable[WireFault]) -> None:
        """Give the next answers their faults.

        :param faults: one for each answer
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
                writer.write(_write_whole(200, {}, b"{}"))
            elif not await self._answer(request, writer):
                return
            http.start_next_cycle()

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self.seen.append(request)
        fault = self.faults.popleft() if self.faults else WireFault.NONE
        refusal = self._refuse(request, fault)
        if refusal is not None:
            writer.write(refusal)
            return True
        self.runs.append(request)
        if self.response_delay_s:
            await asyncio.sleep(self.response_delay_s)
        if self.events and fault is WireFault.NONE:
            return await self._stream(request, writer)
        return await self._write_faulty(request.id, fault, writer)

    def _refuse(self, request: ReceivedRequest, fault: WireFault) -> bytes | None:
        echo = {"X-Attempt-Id": request.id}
        expected = request.headers.get("x-expect-instance", self.id)
        if fault is WireFault.MISDIRECT or expected != self.id:
            return _write_whole(421, {**echo, "X-Instance-Id": self.id}, b"")
        if fault is WireFault.TURN_AWAY:
            return _write_whole(503, {**echo, "X-Not-Executed": "1"}, b"")
        return None

    async def _write_faulty(
        self, request_id: str, fault: WireFault, writer: asyncio.StreamWriter
    ) -> bool:
        if fault is WireFault.LOSE_ANSWER:
            await asyncio.Event().wait()
        if fault is WireFault.RESET:
            _reset(writer)
            return False
        if fault is WireFault.GARBAGE:
            writer.write(b"\x00\x01 not an answer\r\n\r\n")
            return False
        status = 500 if fault is WireFault.FAIL else 200
        echoed = "another" if fault is WireFault.OTHER_ID else request_id
        headers = {"X-Attempt-Id": echoed, "X-Response-Seal": f"seal-of-{self.id}"}
        if fault is WireFault.NO_SEAL:
            del headers["X-Response-Seal"]
        body = f"answer of {self.id} to {request_id}".encode()
        if fault in (WireFault.UNFRAMED, WireFault.UNFRAMED_RESET):
            return await _write_unframed(writer, headers, body, fault)
        whole = _write_whole(status, headers, body)
        if fault is WireFault.CUT:
            writer.write(whole[:-3])
            await writer.drain()
            return False
        writer.write(whole)
        if fault is WireFault.EXTRA_ANSWER:
            writer.write(whole)
        return True

    async def _stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        first = int(request.headers.get("last-event-id") or 0) + 1
        headers = {
            "X-Attempt-Id": request.id,
            "X-Response-Seal": f"seal-of-{self.id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(_write_head(200, headers))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            while self.silent:
                await asyncio.sleep(0.01)
            if number == self.reset_at_event:
                writer.write(_write_chunk(event[:-4]))
                await writer.drain()
                _reset(writer)
                return False
            writer.write(_write_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(_write_chunk(b""))
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
    writer.write(_write_head(200, headers) + body)
    await writer.drain()
    if fault is WireFault.UNFRAMED_RESET:
        _reset(writer)
    return False


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    # closing without lingering sends a reset instead of an orderly end
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _write_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} status", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _write_whole(status: int, headers: dict[str, str], body: bytes) -> bytes:
    return _write_head(status, {**headers, "Content-Length": str(len(body))}) + body


def _write_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


__all__ = ["AppServerStandin", "ReceivedRequest", "WireFault"]
