"""Paths on which a request that an entry has read could end without an answer."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from basilroad.entry.http import HttpServer
from basilroad.entry.service import EntryService
from basilroad.http.ends import EndCause
from basilroad.settings.daemon import DaemonSettings, EntrySettings
from support.addresses import find_free_port
from support.timelimit import limit_time

LIMIT_S = 10.0
COMPLETION = b'{"model": "m", "prompt": "a", "max_tokens": 5}'


@pytest.fixture
async def entry() -> AsyncIterator[EntryService]:
    settings = DaemonSettings(
        host="h",
        address="127.0.0.1",
        region="r",
        data_centre="d",
        entry=EntrySettings(
            listen=f"127.0.0.1:{find_free_port()}", drain_limit_s=0.3, max_body_bytes=10_000
        ),
    )
    entry = EntryService(settings)
    await entry.start()
    entry.models_seen.add("m")
    yield entry
    await entry.stop()


async def connect(entry: EntryService) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """:return: a connection to an entry."""
    ip, _, port = entry.options.listen.rpartition(":")
    return await asyncio.open_connection(ip, int(port))


def build_request(body: bytes = COMPLETION, length: int | None = None, *lines: str) -> bytes:
    """Build a request for a completion.

    :param body: its body, or the beginning of it
    :param length: length of the whole body
    :param lines: further header lines
    :return: the request as bytes
    """
    length_line = f"Content-Length: {len(body) if length is None else length}"
    head = ["POST /v1/completions HTTP/1.1", "Host: x", length_line, *lines, "", ""]
    return "\r\n".join(head).encode() + body


async def read_status(reader: asyncio.StreamReader) -> int:
    """:return: status of one response with a length."""
    async with limit_time(LIMIT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length or b"0"))
        return int(head.split(b" ", 2)[1])


# fault: a second head and a second answer were written into a stream that failed after its head
async def test_a_stream_that_fails_after_its_head_is_cut_off(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(_: HttpServer, http: web.Request, **__: Any) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(http)
        await response.write(b"data: a\n\n")
        raise RuntimeError("unexpected")

    monkeypatch.setattr(HttpServer, "_generate", fail)
    reader, writer = await connect(entry)
    writer.write(build_request())
    async with limit_time(LIMIT_S):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 ") == 1, received
    assert not received.endswith(b"0\r\n\r\n"), "it must not look complete"


def list_ends(caplog: pytest.LogCaptureFixture) -> list[tuple[str, str]]:
    """:return: request and cause of each line about the end of a connection."""
    return [
        (vars(line)["request"], vars(line)["cause"])
        for line in caplog.records
        if line.message == "connection ended"
    ]


async def wait_for_end(caplog: pytest.LogCaptureFixture, number: int = 1) -> None:
    """Wait until that many lines tell of the end of a connection."""
    async with limit_time(LIMIT_S):
        while len(list_ends(caplog)) < number:
            await asyncio.sleep(0.01)


async def find_connection(entry: EntryService) -> web.RequestHandler:
    """:return: the only connection of a caller."""
    assert entry.http._runner is not None
    server = entry.http._runner.server
    assert server is not None
    async with limit_time(LIMIT_S):
        while not server.connections:
            await asyncio.sleep(0.001)
    (connection,) = server.connections
    return connection


def mark_exiting(entry: EntryService) -> None:
    """Put an entry into the state of the last part of its stop."""
    assert entry.http._runner is not None
    entry.http._runner.connections.mark_exiting()


# fault: no line said that a caller had left before its answer
async def test_a_caller_that_leaves_is_logged(
    entry: EntryService, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    _, writer = await connect(entry)
    writer.write(build_request(COMPLETION, None, "Idempotency-Key: k-1"))
    while not entry.flights:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    await wait_for_end(caplog)
    assert list_ends(caplog) == [("k-1", "caller_left")]


# fault: no line said that the exit of the process had left a request without an answer
@pytest.mark.holds_stop
async def test_a_request_that_the_exit_ends_is_logged(
    entry: EntryService, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    begun = asyncio.Event()

    async def hang(*_: Any, **__: Any) -> web.StreamResponse:
        begun.set()
        await asyncio.Event().wait()
        raise AssertionError

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(HttpServer, "_generate", hang)
    _, writer = await connect(entry)
    writer.write(build_request(COMPLETION, None, "Idempotency-Key: k-1"))
    await begun.wait()
    await entry.stop()
    writer.close()
    assert list_ends(caplog) == [("k-1", "shutdown")]


# fault: no line named the request whose stream an unexpected error had cut
async def test_a_stream_that_fails_after_its_head_is_logged(
    entry: EntryService, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(_: HttpServer, http: web.Request, **__: Any) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(http)
        await response.write(b"data: a\n\n")
        raise RuntimeError("unexpected")

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(HttpServer, "_generate", fail)
    reader, writer = await connect(entry)
    writer.write(build_request(COMPLETION, None, "Idempotency-Key: k-1"))
    async with limit_time(LIMIT_S):
        await reader.read()
    writer.close()
    assert list_ends(caplog) == [("k-1", "error")]


# fault: a request behind one that fails before its head gets no answer
async def test_a_request_behind_one_that_fails_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_: Any, **__: Any) -> web.StreamResponse:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(HttpServer, "_generate", fail)
    reader, writer = await connect(entry)
    writer.write(build_request() + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await read_status(reader) == 500
    assert await read_status(reader) == 200
    writer.close()


# fault: a request behind one that the limit of a stop ends gets no answer
@pytest.mark.holds_stop
async def test_a_request_behind_one_that_a_stop_ends_is_answered(entry: EntryService) -> None:
    reader, writer = await connect(entry)
    writer.write(build_request() + build_request())
    while not entry.flights:
        await asyncio.sleep(0.01)
    stopping = asyncio.ensure_future(entry.stop())
    assert await read_status(reader) == 503
    assert await read_status(reader) == 503
    writer.close()
    await stopping


# fault: a caller that sends `Expect: 100-continue` and its entry wait for each other
async def test_a_caller_that_awaits_the_request_for_its_body_gets_it(entry: EntryService) -> None:
    reader, writer = await connect(entry)
    writer.write(build_request(b"", 3, "Expect: 100-continue"))
    assert await read_status(reader) == 100
    writer.write(b"not")
    assert await read_status(reader) == 400
    writer.close()


# fault: the body of a request for a tunnel was read as the next request, and run
async def test_the_body_of_a_request_for_a_tunnel_is_not_run(entry: EntryService) -> None:
    body = build_request()
    head = f"CONNECT h.example:80 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    reader, writer = await connect(entry)
    writer.write(head.encode() + body)
    async with limit_time(LIMIT_S):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.") == 1, received
    assert b"connection: close" in received.lower()
    assert not entry.flights


# fault: a request whose body does not become whole, or is malformed midway, is held without an end
@pytest.mark.parametrize("rest", [b"", b"no chunk\r\n"], ids=["partial", "malformed"])
async def test_a_body_that_does_not_arrive_in_time_is_refused(
    entry: EntryService, rest: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("basilroad.entry.http.BODY_TIMEOUT_S", 0.5)
    reader, writer = await connect(entry)
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"4\r\nbody\r\n")
    while not entry._preparations:
        await asyncio.sleep(0.001)
    writer.write(rest)
    assert await read_status(reader) == 400
    writer.close()


# fault: a caller that still sends a body that is too large gets no answer
async def test_a_body_that_is_refused_midway_is_answered(entry: EntryService) -> None:
    reader, writer = await connect(entry)
    writer.write(build_request(bytes(20_000), 1_000_000))
    assert await read_status(reader) == 413
    writer.close()


# fault: a request that waited behind the one being answered got no answer, and no line named it
async def test_a_request_behind_one_whose_caller_leaves_is_logged(
    entry: EntryService, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    _, writer = await connect(entry)
    first = build_request(COMPLETION, None, "Idempotency-Key: first")
    writer.write(first + build_request(COMPLETION, None, "Idempotency-Key: second"))
    while not entry.flights:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    await wait_for_end(caplog, 2)
    assert ("first", "caller_left") in list_ends(caplog)
    assert ("second", "unread_request") in list_ends(caplog)


# fault: a handler that was cancelled before its first step could log no end of its request
@pytest.mark.parametrize("cause", [EndCause.CALLER_LEFT, EndCause.SHUTDOWN])
async def test_a_request_whose_handler_never_began_is_logged(
    entry: EntryService,
    cause: EndCause,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def list_models() -> list[str]:
        # the reset of the caller is read between the answer and the handler of the next request
        assert connection.transport is not None
        asyncio.get_running_loop().call_soon(connection.transport.abort)
        return []

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(entry, "list_models", list_models)
    _, writer = await connect(entry)
    connection = await find_connection(entry)
    if cause is EndCause.SHUTDOWN:
        mark_exiting(entry)
    request = build_request(COMPLETION, None, "Idempotency-Key: k-1")
    writer.write(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n" + request)
    try:
        await wait_for_end(caplog)
    finally:
        writer.close()
    assert list_ends(caplog) == [("k-1", cause.value)]
    assert not entry.flights


# fault: a body that is malformed midway was refused only at the time limit for bodies
async def test_a_body_that_is_malformed_midway_is_refused_at_once(entry: EntryService) -> None:
    reader, writer = await connect(entry)
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"4\r\nbody\r\n")
    while not entry._preparations:
        await asyncio.sleep(0.001)
    writer.write(b"no chunk\r\n" + build_request())
    async with limit_time(LIMIT_S):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 400 "), received
    assert b"not_run" in received
    assert b"connection: close" in received.lower()
    assert received.count(b"HTTP/1.1 ") == 1, "nothing is read behind it"
    assert not entry.flights


# fault: no line named a request whose caller left, or whose entry exited, in its whole answer
@pytest.mark.holds_stop
@pytest.mark.parametrize("cause", [EndCause.CALLER_LEFT, EndCause.SHUTDOWN])
async def test_an_answer_that_ends_midway_is_logged(
    entry: EntryService,
    cause: EndCause,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(entry, "list_models", lambda: ["m" * 10_000_000] * 2)
    ip, _, port = entry.options.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1000)
    writer.write(b"GET /v1/models HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k-1\r\n\r\n")
    async with limit_time(LIMIT_S):
        await reader.readexactly(1)
    if cause is EndCause.SHUTDOWN:
        await entry.stop()
    writer.transport.abort()
    await wait_for_end(caplog)
    assert list_ends(caplog) == [("k-1", cause.value)]


# fault: a request behind an answer whose head failed got no answer
async def test_a_request_behind_an_answer_whose_head_fails_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def answer(*_: Any, **__: Any) -> web.StreamResponse:
        return web.Response(headers={"X-Split": "a\r\nb"})

    monkeypatch.setattr(HttpServer, "_generate", answer)
    reader, writer = await connect(entry)
    writer.write(build_request() + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await read_status(reader) == 500
    assert await read_status(reader) == 200
    writer.close()


# fault: a request behind one with an unknown `Upgrade` was dropped, and its connection stayed open
@pytest.mark.parametrize("is_stream", [False, True], ids=["answer", "stream"])
async def test_a_connection_ends_behind_a_request_to_upgrade_it(
    entry: EntryService, is_stream: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def answer(_: HttpServer, http: web.Request, **__: Any) -> web.StreamResponse:
        response = web.StreamResponse() if is_stream else web.Response()
        if is_stream:
            await response.prepare(http)
        return response

    monkeypatch.setattr(HttpServer, "_generate", answer)
    reader, writer = await connect(entry)
    request = build_request(COMPLETION, None, "Connection: Upgrade", "Upgrade: h2c")
    writer.write(request + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    async with limit_time(LIMIT_S):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 ") == 1, received
    assert b"connection: close" in received.lower(), "its caller knows that the rest is not run"


# fault: a connection is closed though the library reads on behind such a request
async def test_a_request_behind_one_for_a_known_upgrade_is_answered(entry: EntryService) -> None:
    reader, writer = await connect(entry)
    request = build_request(b"not", None, "Connection: Upgrade", "Upgrade: websocket")
    writer.write(request + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await read_status(reader) == 400
    assert await read_status(reader) == 200
    writer.close()


# fault: a connection error of something that a request used counted as one of its caller; its
# answer didn't say whether it ran, and the request behind it got none
async def test_a_request_whose_work_loses_a_connection_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_: Any, **__: Any) -> web.StreamResponse:
        raise ConnectionResetError("connection of an endpoint")

    monkeypatch.setattr(HttpServer, "_generate", fail)
    reader, writer = await connect(entry)
    writer.write(build_request() + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 ")
    assert b"X-Effect: may_have_run" in head
    body = re.search(rb"Content-Length: (\d+)", head)
    assert body is not None
    await reader.readexactly(int(body[1]))
    assert await read_status(reader) == 200
    writer.close()


# fault: a request was closed without an answer when work that it awaited was cancelled
async def test_a_request_whose_awaited_work_is_cancelled_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_: Any, **__: Any) -> web.StreamResponse:
        work = asyncio.ensure_future(asyncio.sleep(30))
        asyncio.get_running_loop().call_later(0.01, work.cancel)
        await work
        raise AssertionError

    monkeypatch.setattr(HttpServer, "_generate", fail)
    reader, writer = await connect(entry)
    writer.write(build_request() + b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await read_status(reader) == 500
    assert await read_status(reader) == 200
    writer.close()
