"""Calls that reach a time limit in each of their stages, and slow or leaving callers of answers."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import resource
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
import pytest

from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.handler import CallHandler
from basilroad.http.channels import Channel
from basilroad.http.ends import EndCause
from support.ends import (
    count_ends,
    find_connection,
    list_ends,
    open_connection,
    read_response,
    wait_for_end,
)
from support.gatewayrig import GatewayRig, build_order, shorten_grace
from support.timelimit import limit_time

LIMIT_S = 10.0
LARGE_BODY = bytes(8_000_000)
"""More than the buffers of a connection hold."""


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key")
    yield rig
    await rig.stop()


@attrs.define
class StuckServer:
    """An endpoint that stops in the middle of a response.

    :param sent: the part of the response that it sends
    :param requests: number of requests that it has received
    """

    sent: bytes
    requests: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> int:
        """:return: port on which it listens."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.partition(b"X-Attempt-Id: ")[2].partition(b"\r\n")[0]
        self.requests += 1
        writer.write(self.sent.replace(b"ID", request_id))
        await reader.read()
        writer.close()

    async def stop(self) -> None:
        """Close its listening socket."""
        assert self._server is not None
        self._server.close()


HALF_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
HALF_BODY = HALF_HEAD + b"X-Response-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"
HALF_EVENT = (
    HALF_HEAD
    + b"X-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"9\r\nid: 1\ndat\r\n"
)


async def register(rig: GatewayRig, port: int, service: str) -> None:
    """Put one server in the place of all others.

    :param rig: the gateway
    :param port: port of the server
    :param service: its service
    """
    for server in (rig.app, rig.llm):
        rig.store.put("servers", server.id, None)
    entry = rig.app.build_entry(service, address=f"127.0.0.1:{port}")
    rig.store.put("servers", "i-stuck", entry)
    async with limit_time(LIMIT_S):
        while [endpoint.id for endpoint in rig.service.gateway.directory] != ["i-stuck"]:
            await asyncio.sleep(0.01)


@contextmanager
def listen_without_room() -> Iterator[int]:
    """:return: port on which new connections get no answer, as the queue of the kernel is full."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        waiting = [socket.socket() for _ in range(3)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]
        for sock in waiting:
            sock.close()


# fault: a call that its time limit, or that of a stop, ends in one of its stages gets no answer
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
@pytest.mark.parametrize(
    ("sent", "at_limit", "at_stop"),
    [(b"", 504, 502), (HALF_HEAD, 504, 502), (HALF_BODY, 504, 502), (HALF_EVENT, 504, 502)],
    ids=["no-head", "half-head", "half-body", "half-event"],
)
@pytest.mark.parametrize("is_stop", [False, True], ids=["limit", "stop"])
async def test_a_call_that_ends_beside_a_stuck_endpoint_is_answered(
    rig: GatewayRig, path: str, sent: bytes, at_limit: int, at_stop: int, is_stop: bool
) -> None:
    await rig.configure(2, "key", timeout_ms=20_000 if is_stop else 1500)
    server = StuckServer(sent)
    await register(rig, await server.start(), "llm" if path == "/s/1" else "app")
    reader, writer = await open_connection(rig)
    shorten_grace(rig)
    order = build_order("stuck").replace(b"/o/1", path.encode())
    writer.write(order.replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: 20000"))
    async with limit_time(LIMIT_S):
        while not server.requests:
            await asyncio.sleep(0.01)
        stopping = asyncio.ensure_future(rig.service.stop()) if is_stop else None
        status, _ = await read_response(reader)
        writer.close()
        if stopping is not None:
            await stopping
    await server.stop()
    assert status == (at_stop if is_stop else at_limit)


# fault: a call that waits for a connection to an endpoint gets no answer at its time limit
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
async def test_a_call_whose_endpoint_accepts_no_connection_is_refused(
    rig: GatewayRig, path: str
) -> None:
    await rig.configure(2, "key", timeout_ms=600)
    with listen_without_room() as port:
        await register(rig, port, "llm" if path == "/s/1" else "app")
        reader, writer = await open_connection(rig)
        writer.write(build_order("waits").replace(b"/o/1", path.encode()))
        status, _ = await read_response(reader)
        writer.close()
    assert status == 503, "it has not run"


# fault: a call with no time left, or one that is no number, gets no answer
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
@pytest.mark.parametrize(
    ("left_ms", "status"),
    [
        ("0", 503),
        ("-5", 503),
        ("-inf", 503),
        ("1e-400", 503),
        ("nan", 200),
        ("inf", 200),
        ("1e400", 200),
        ("soon", 200),
        ("", 200),
    ],
)
async def test_a_call_with_any_time_left_is_answered(
    rig: GatewayRig, path: str, left_ms: str, status: int
) -> None:
    reader, writer = await open_connection(rig)
    order = build_order("timed").replace(b"/o/1", path.encode())
    writer.write(order.replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: " + left_ms.encode()))
    async with limit_time(LIMIT_S):
        head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(f"HTTP/1.1 {status} ".encode())


# fault: the end of the keep-alive time closes a connection on which a request is being answered
async def test_a_request_that_outlasts_the_keep_alive_time_is_answered(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    server = rig.service.front._connections
    assert server is not None
    monkeypatch.setitem(server._kwargs, "keepalive_timeout", 0.1)
    rig.app.response_delay_s = 0.5
    reader, writer = await open_connection(rig)
    writer.write(build_order("long"))
    assert await read_response(reader) == (200, b"answer of i-app to long")
    writer.close()


# fault: a caller that closes its sending half leaves no line; it looks like one that left
async def test_a_caller_that_closes_its_sending_half_is_logged(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    rig.app.response_delay_s = 5.0
    reader, writer = await open_connection(rig)
    writer.write(build_order("half"))
    while "half" not in rig.app.ran:
        await asyncio.sleep(0.01)
    writer.write_eof()
    async with limit_time(LIMIT_S):
        assert await reader.read() == b""
    writer.close()
    await wait_for_end(rig, EndCause.CALLER_LEFT)
    assert list_ends(caplog) == [("half", "caller_left")]


# fault: a caller that leaves in the middle of its body leaves no line
async def test_a_caller_that_leaves_in_the_middle_of_its_body_is_logged(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    _, writer = await open_connection(rig)
    connection = await find_connection(rig)
    writer.write(build_order("partial")[:-2])
    while connection._current_request is None:
        await asyncio.sleep(0.001)
    writer.close()
    await wait_for_end(rig, EndCause.CALLER_LEFT)
    assert list_ends(caplog) == [("partial", "caller_left")]


# fault: a request behind a stream that is cut off leaves no line; its place is in the cut body
async def test_a_request_behind_a_stream_that_is_cut_off_is_logged_and_not_run(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    await rig.configure(2, "key", timeout_ms=2500)
    rig.llm.event_interval_s = 0.8
    reader, writer = await open_connection(rig)
    writer.write(build_order("cut").replace(b"/o/1", b"/s/1") + build_order("behind"))
    async with limit_time(LIMIT_S):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 ") == 1
    assert not received.endswith(b"0\r\n\r\n")
    assert sorted(list_ends(caplog)) == [("behind", "unread_request"), ("cut", "stream_broken")]
    assert rig.app.ran == []


async def open_slow_connection(rig: GatewayRig) -> socket.socket:
    """:return: a connection whose caller receives little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    front = rig.service.settings.front
    await asyncio.get_running_loop().sock_connect(sock, (front.ip, front.port))
    return sock


async def answer_large(*_: Any) -> Reply:
    return Reply(200, (), LARGE_BODY)


async def wait_until_unsent(rig: GatewayRig) -> None:
    """Wait until a part of an answer waits for its caller."""
    server = rig.service.front._connections
    assert server is not None
    async with limit_time(LIMIT_S):
        while not server.unsent:
            await asyncio.sleep(0.01)


# fault: the answer to a slow caller is cut off at a time limit of the call
async def test_a_slow_caller_receives_its_whole_answer(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(CallHandler, "handle", answer_large)
    await rig.configure(2, "key", timeout_ms=300)
    loop = asyncio.get_running_loop()
    with await open_slow_connection(rig) as sock:
        await loop.sock_sendall(sock, build_order("slow").replace(b": 2000", b": 300"))
        await wait_until_unsent(rig)
        # past the limits of route and caller
        await asyncio.sleep(0.5)
        received = 0
        async with limit_time(LIMIT_S):
            while received < len(LARGE_BODY):
                received += len(await loop.sock_recv(sock, 1 << 20))
    assert count_ends(rig, EndCause.CALLER_LEFT) == 0


# fault: an answer that the exit of the process cuts off, as its caller is slow, leaves no line
async def test_an_answer_that_the_exit_cuts_off_is_logged(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", answer_large)
    shorten_grace(rig)
    with await open_slow_connection(rig) as sock:
        await asyncio.get_running_loop().sock_sendall(sock, build_order("slow"))
        await wait_until_unsent(rig)
        await rig.service.stop()
        await wait_for_end(rig, EndCause.SHUTDOWN)
    assert list_ends(caplog) == [("slow", "shutdown")]


# fault: an answer that can't be written, as its caller has left, leaves no line
async def test_an_answer_whose_caller_leaves_midway_is_logged(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", answer_large)
    with await open_slow_connection(rig) as sock:
        await asyncio.get_running_loop().sock_sendall(sock, build_order("leaves"))
        await wait_until_unsent(rig)
    await wait_for_end(rig, EndCause.CALLER_LEFT)
    assert list_ends(caplog) == [("leaves", "caller_left")]


@contextmanager
def forbid_descriptors() -> Iterator[None]:
    """Let this process open no further descriptor, so that only limits by turns can be checked."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# fault: a request on a connection that is not accepted for want of descriptors is lost
@pytest.mark.by_turns
async def test_a_connection_is_accepted_once_there_are_descriptors(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    front = rig.service.settings.front
    with socket.socket() as caller:
        with forbid_descriptors():
            caller.connect((front.ip, front.port))
            caller.sendall(build_order("waits"))
            async with limit_time(LIMIT_S):
                while not any("out of system resource" in line.message for line in caplog.records):
                    await asyncio.sleep(0.01)
        caller.settimeout(LIMIT_S)
        received = await asyncio.to_thread(caller.recv, 65536)
    assert received.startswith(b"HTTP/1.1 200 ")


# fault: a call for which no descriptor is left to connect to an endpoint gets no answer
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
async def test_a_call_without_descriptors_for_its_endpoint_is_refused(
    rig: GatewayRig, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connect(factory: Any, *arguments: Any, **options: Any) -> Any:
        if factory is Channel:
            raise OSError(errno.EMFILE, "Too many open files")
        return await create_connection(factory, *arguments, **options)

    reader, writer = await open_connection(rig)
    monkeypatch.setattr(loop, "create_connection", connect)
    writer.write(build_order("waits").replace(b"/o/1", path.encode()))
    status, _ = await read_response(reader)
    writer.close()
    assert status == 503, "it has not run"
