"""Paths on which a request that a gateway has read could end without an answer."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from basilroad.gateway.calls.call import Call, Reply, Responder
from basilroad.gateway.calls.handler import CallHandler
from basilroad.http.ends import EndCause
from basilroad.platform.frontend import PlatformFrontend
from support.ends import (
    count_ends,
    find_connection,
    list_ends,
    open_connection,
    read_response,
    wait_for_end,
)
from support.gatewayrig import HEADERS, GatewayRig, build_order, shorten_grace
from support.timelimit import limit_time


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key")
    yield rig
    await rig.stop()


# fault: a request whose handler was cancelled before its first step left no line and no count
@pytest.mark.parametrize("cause", [EndCause.CALLER_LEFT, EndCause.SHUTDOWN])
async def test_a_request_whose_handler_never_began_is_logged(
    rig: GatewayRig,
    cause: EndCause,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun = []

    async def answer(_: CallHandler, call: Call, __: Any) -> Reply:
        # the reset of the caller is read between the answer and the handler of the next request
        begun.append(call.id)
        assert connection.transport is not None
        asyncio.get_running_loop().call_soon(connection.transport.abort)
        return Reply(200, (), b"whole")

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", answer)
    _, writer = await open_connection(rig)
    connection = await find_connection(rig)
    server = rig.service.front._connections
    if cause is EndCause.SHUTDOWN and server is not None:
        server.mark_exiting()
    writer.write(build_order("first") + build_order("second"))
    await wait_for_end(rig, cause)
    writer.close()
    assert begun == ["first"]
    assert list_ends(caplog) == [("second", cause.value)]
    assert count_ends(rig, cause) == 1


# fault: a request read at the end of a stop waited for the config until the exit cut it off
async def test_a_stop_does_not_wait_for_the_config_past_its_end_of_admission(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_grace(rig)
    gateway = rig.service.gateway
    limit_s = gateway.settings.key_age_limit_s
    assert limit_s is not None
    rig.app.response_delay_s = 30.0
    reader, writer = await open_connection(rig)
    writer.write(build_order("first") + build_order("second"))
    while "first" not in rig.app.ran:
        await asyncio.sleep(0.01)
    monkeypatch.setattr(gateway.freshness, "age_s", lambda: limit_s + 0.1)
    stopping = asyncio.ensure_future(rig.service.stop())
    received = await reader.read()
    writer.close()
    await stopping
    assert received.count(b"HTTP/1.1 502 ") == 1, "the first may have run"
    assert received.count(b"HTTP/1.1 503 ") == 1, "the second has not run"
    assert count_ends(rig, EndCause.SHUTDOWN) == 0


def build_head(path: str, request_id: str, *lines: str) -> bytes:
    """:return: the head of a request as bytes, with these further header lines."""
    headers = {**HEADERS, "X-Attempt-Id": request_id}
    named = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([f"POST {path} HTTP/1.1", *named, *lines, "", ""]).encode()


# fault: a caller that sends `Expect: 100-continue` and its gateway waited for each other
async def test_a_caller_that_awaits_the_request_for_its_body_gets_it_and_an_answer(
    rig: GatewayRig,
) -> None:
    reader, writer = await open_connection(rig)
    writer.write(build_head("/o/1", "asks", "Content-Length: 4", "Expect: 100-continue"))
    async with limit_time(5):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"body")
    status, body = await read_response(reader)
    writer.close()
    assert (status, body) == (200, b"answer of i-app to asks")
    assert rig.app.ran == ["asks"]


# fault: a body is requested though it is refused anyway, or there already
@pytest.mark.parametrize(
    ("path", "length", "body", "status"),
    [("/none/1", 4, b"", 404), ("/o/1", 0, b"", 200), ("/o/1", 4, b"body", 200)],
)
async def test_a_body_that_is_of_no_use_or_there_is_not_requested(
    rig: GatewayRig, path: str, length: int, body: bytes, status: int
) -> None:
    reader, writer = await open_connection(rig)
    lines = f"Content-Length: {length}", "Expect: 100-continue"
    writer.write(build_head(path, "asks", *lines) + body)
    assert (await read_response(reader))[0] == status
    writer.close()


# fault: the handler of a body with a malformed chunk waited for the rest, and never answered
async def test_a_malformed_chunk_in_the_middle_of_a_body_is_refused(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    reader, writer = await open_connection(rig)
    connection = await find_connection(rig)
    writer.write(build_order("whole"))
    assert (await read_response(reader))[0] == 200
    writer.write(build_head("/o/1", "broken", "Transfer-Encoding: chunked") + b"4\r\nbody\r\n")
    async with limit_time(5):
        while connection._current_request is None:
            await asyncio.sleep(0.001)
        writer.write(b"no chunk\r\n")
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"connection: close" in received.lower()
    assert received.count(b"HTTP/1.") == 1, received
    assert rig.app.ran == ["whole"]
    assert list_ends(caplog) == []


# fault: the same for a body that waits behind requests that are still being answered
async def test_requests_ahead_of_a_malformed_body_are_answered(rig: GatewayRig) -> None:
    rig.app.response_delay_s = 0.3
    reader, writer = await open_connection(rig)
    writer.write(build_order("first") + build_order("second"))
    writer.write(build_head("/o/1", "broken", "Transfer-Encoding: chunked") + b"4\r\nbody\r\n")
    while "first" not in rig.app.ran:
        await asyncio.sleep(0.001)
    writer.write(b"no chunk\r\n")
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 200 ") == 2, received
    assert received.count(b"HTTP/1.1 400 ") == 1, received
    assert rig.app.ran == ["first", "second"]


# fault: an unexpected error was logged without its request, and the request behind got no answer
@pytest.mark.parametrize("error", [RuntimeError, MemoryError, TimeoutError, RecursionError])
async def test_a_request_behind_one_that_fails_unexpectedly_is_answered(
    rig: GatewayRig,
    error: type[Exception],
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    handle = CallHandler.handle

    async def fail_once(handler: CallHandler, call: Call, responder: Responder) -> Reply | None:
        if call.id == "fails":
            raise error("unexpected")
        return await handle(handler, call, responder)

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", fail_once)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails") + build_order("behind"))
    status, body = await read_response(reader)
    assert status == 500
    assert b'"internal"' in body
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()
    (line,) = [line for line in caplog.records if line.levelno >= logging.ERROR]
    assert (line.message, vars(line)["request"]) == ("call failed", "fails")
    assert list_ends(caplog) == []


# fault: an error in the head of a stream left a 500 with chunks beside its `Content-Length`
async def test_a_stream_whose_head_fails_is_answered_in_its_length(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    handle = CallHandler.handle

    async def fail_once(handler: CallHandler, call: Call, responder: Responder) -> Reply | None:
        if call.id == "fails":
            await responder.begin(200, (("X-Broken", "a\nb"),))
        return await handle(handler, call, responder)

    monkeypatch.setattr(CallHandler, "handle", fail_once)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails") + build_order("behind"))
    status, body = await read_response(reader)
    assert status == 500
    assert body.startswith(b'{"error":{"kind":"internal"'), body
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()


# fault: a call that awaited work which another one cancelled got no answer, nor the request behind
async def test_a_call_whose_awaited_work_is_cancelled_is_answered(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    handle = CallHandler.handle

    async def await_cancelled(handler: CallHandler, call: Call, responder: Responder) -> Any:
        if call.id == "fails":
            shared = asyncio.ensure_future(asyncio.Event().wait())
            asyncio.get_running_loop().call_soon(shared.cancel)
            await shared
        return await handle(handler, call, responder)

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", await_cancelled)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails") + build_order("behind"))
    assert (await read_response(reader))[0] == 500
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()
    assert list_ends(caplog) == []


# fault: an error in the head of a whole answer closed the connection, with the request behind it
async def test_a_request_behind_an_answer_whose_head_fails_is_answered(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    handle = CallHandler.handle

    async def fail_once(handler: CallHandler, call: Call, responder: Responder) -> Reply | None:
        if call.id == "fails":
            return Reply(200, (("X-Broken", "a\x01b"),), b"whole")
        return await handle(handler, call, responder)

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", fail_once)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails") + build_order("behind"))
    status, body = await read_response(reader)
    assert status == 500
    assert body.startswith(b'{"error":{"kind":"internal"'), body
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()
    (line,) = [line for line in caplog.records if line.levelno >= logging.ERROR]
    assert (line.message, vars(line)["request"]) == ("call failed", "fails")
    assert list_ends(caplog) == []


# fault: a request whose body did not become whole was held without an answer past its time
@pytest.mark.parametrize("left_ms", ["300", "60000"])
async def test_a_body_that_does_not_arrive_in_time_is_refused(
    rig: GatewayRig, left_ms: str
) -> None:
    await rig.configure(2, "key", timeout_ms=400)
    reader, writer = await open_connection(rig)
    head = build_head("/o/1", "partial", "Content-Length: 4")
    writer.write(head.replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: " + left_ms.encode()))
    writer.write(b"bo")
    status, body = await read_response(reader)
    assert status == 503
    assert b'"time_too_short"' in body
    # the connection is of use again once the rest has arrived
    await rig.configure(3, "key")
    writer.write(b"dy" + build_order("next"))
    assert await read_response(reader) == (200, b"answer of i-app to next")
    writer.close()
    assert rig.app.ran == ["next"]


# fault: a request behind one with an unknown `Upgrade` was dropped, and its connection stayed open
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
async def test_a_connection_ends_behind_a_request_to_upgrade_it(rig: GatewayRig, path: str) -> None:
    reader, writer = await open_connection(rig)
    lines = "Content-Length: 4", "Connection: Upgrade", "Upgrade: h2c"
    writer.write(build_head(path, "upgrades", *lines) + b"body" + build_order("behind"))
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 200 ") == 1, received
    assert b"connection: close" in received.lower(), "its caller knows that the rest is not run"
    assert rig.app.ran + rig.llm.ran == ["upgrades"]


# fault: a connection is closed though the library reads on behind such a request
async def test_a_request_behind_one_for_a_known_upgrade_is_answered(rig: GatewayRig) -> None:
    reader, writer = await open_connection(rig)
    lines = "Content-Length: 4", "Connection: Upgrade", "Upgrade: websocket"
    writer.write(build_head("/o/1", "upgrades", *lines) + b"body" + build_order("behind"))
    assert await read_response(reader) == (200, b"answer of i-app to upgrades")
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()


# fault: an `Upgrade` that `Connection` doesn't name closed the connection before the next answer
@pytest.mark.parametrize("lines", [("Upgrade: h2c",), ("Connection: Upgrade", "Upgrade:")])
async def test_a_request_behind_one_that_asks_for_no_upgrade_is_answered(
    rig: GatewayRig, lines: tuple[str, ...]
) -> None:
    reader, writer = await open_connection(rig)
    head = build_head("/o/1", "names", "Content-Length: 4", *lines)
    writer.write(head + b"body" + build_order("behind"))
    assert await read_response(reader) == (200, b"answer of i-app to names")
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()


# fault: a request behind one for a tunnel gets no answer, though the library reads on
async def test_a_request_behind_one_for_a_tunnel_is_answered(rig: GatewayRig) -> None:
    reader, writer = await open_connection(rig)
    head = build_head("/o/1", "tunnel").replace(b"POST /o/1 ", b"CONNECT h.example:80 ")
    writer.write(head + build_order("behind"))
    assert (await read_response(reader))[0] == 404
    assert await read_response(reader) == (200, b"answer of i-app to behind")
    writer.close()


# fault: the body of a request for a tunnel was read as the next request, and run
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_the_body_of_a_request_for_a_tunnel_is_not_run(
    rig: GatewayRig, is_chunked: bool
) -> None:
    body = build_order("inside")
    line = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    head = build_head("/o/1", "tunnel", line).replace(b"POST /o/1 ", b"CONNECT h.example:80 ")
    reader, writer = await open_connection(rig)
    writer.write(head + body + build_order("behind"))
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 404 "), received
    assert received.count(b"HTTP/1.") == 1, received
    assert b"connection: close" in received.lower(), "its caller knows that the rest is not run"
    assert rig.app.ran == []


# fault: a request whose head the HTTP library can't read gets no answer
@pytest.mark.parametrize(
    "request_bytes",
    [
        b"NONSENSE\r\n\r\n",
        b"POST /o/" + b"a" * 70000 + b" HTTP/1.1\r\nHost: h.example\r\n\r\n",
        b"POST /o/1 HTTP/1.1\r\nX-Long: " + b"a" * 70000 + b"\r\n\r\n",
        b"POST /o/1 HTTP/1.1\r\n" + b"X-More: a\r\n" * 300 + b"\r\n",
        b"POST /o/1 HTTP/1.1\r\nX-Bad: a\x01b\r\n\r\n",
        b"POST /o/\xe9 HTTP/1.1\r\nHost: h.example\r\n\r\n",
        b"POST /o/1 HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    ids=["line", "long-line", "long-field", "fields", "control", "not-ascii", "two-lengths"],
)
async def test_a_malformed_head_is_refused(rig: GatewayRig, request_bytes: bytes) -> None:
    reader, writer = await open_connection(rig)
    writer.write(request_bytes)
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.0 400 "), received[:100]
    assert rig.app.ran == []


# fault: a whole request in one segment with bytes that may not follow it gets no answer
@pytest.mark.parametrize(
    "request_bytes",
    [
        build_order("whole") + b"NONSENSE\r\n\r\n",
        build_order("whole").replace(b"Host:", b"Connection: close\r\nHost:") + b"more\r\n\r\n",
        build_order("whole") + build_order("second") + b"NONSENSE\r\n\r\n",
    ],
    ids=["malformed", "behind-close", "behind-two"],
)
async def test_a_request_in_one_segment_with_what_may_not_follow_it_is_refused(
    rig: GatewayRig, request_bytes: bytes
) -> None:
    reader, writer = await open_connection(rig)
    writer.write(request_bytes)
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.0 400 "), received
    assert rig.app.ran == [], "the answer says that it has not run"


# fault: a request behind one that closes the connection is run, or leaves no line
async def test_a_request_behind_one_that_closes_the_connection_is_logged_and_not_run(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    rig.app.response_delay_s = 0.3
    reader, writer = await open_connection(rig)
    closing = build_head("/o/1", "closes", "Content-Length: 4", "Connection: close") + b"body"
    writer.write(closing)
    while "closes" not in rig.app.ran:
        await asyncio.sleep(0.001)
    writer.write(build_order("behind"))
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 200 "), received
    assert received.count(b"HTTP/1.") == 1, received
    assert b"connection: close" in received.lower()
    await wait_for_end(rig, EndCause.UNREAD_REQUEST)
    # the HTTP library reads nothing behind such a request, so its id is not known
    assert list_ends(caplog) == [("", "unread_request")]
    assert rig.app.ran == ["closes"]


# fault: a stream for a caller of HTTP/1.0, which has no chunks, ran and then failed with 500
async def test_a_stream_for_a_caller_of_an_older_protocol_is_refused(rig: GatewayRig) -> None:
    reader, writer = await open_connection(rig)
    writer.write(build_order("old").replace(b"/o/1 HTTP/1.1", b"/s/1 HTTP/1.0"))
    async with limit_time(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.0 400 "), received
    assert rig.llm.ran == []


# fault: the calls in flight end when the reader of the store withdraws and the keys get too old
@pytest.mark.parametrize("path", ["/o/1", "/s/1"])
async def test_a_call_in_flight_outlasts_the_confirmation_of_its_key(
    rig: GatewayRig, path: str
) -> None:
    gateway = rig.service.gateway
    await rig.configure(2, "key", timeout_ms=20_000)
    limit_s = gateway.settings.key_age_limit_s
    assert limit_s is not None
    rig.app.response_delay_s, rig.llm.event_interval_s = limit_s + 1.0, (limit_s + 1.0) / 10
    reader, writer = await open_connection(rig)
    order = build_order("lasts").replace(b"/o/1", path.encode())
    writer.write(order.replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: 20000"))
    while "lasts" not in rig.app.ran + rig.llm.ran:
        await asyncio.sleep(0.01)
    rig.store.refusing = 503
    late, late_writer = await open_connection(rig)
    async with limit_time(10):
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        end = b"0\r\n\r\n" if path == "/s/1" else b"answer of i-app to lasts"
        await reader.readuntil(end)
        while gateway.freshness.is_within(limit_s):
            await asyncio.sleep(0.01)
    late_writer.write(build_order("late"))
    assert (await read_response(late))[0] == 503
    for each in (writer, late_writer):
        each.close()


# fault: a request that crosses the last answer of a stop, unread, takes that answer along with it
async def test_an_answer_outlasts_a_request_that_crosses_the_close_behind_it(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    close_if_last = PlatformFrontend._close_if_last

    def send_another(front: PlatformFrontend, *arguments: Any, **options: Any) -> None:
        close_if_last(front, *arguments, **options)
        caller.sendall(build_order("crosses"))

    monkeypatch.setattr(PlatformFrontend, "_close_if_last", send_another)
    rig.app.response_delay_s = 0.3
    front = rig.service.settings.front
    with socket.create_connection((front.ip, front.port), timeout=10) as caller:
        caller.sendall(build_order("last"))
        while "last" not in rig.app.ran:
            await asyncio.sleep(0.01)
        await rig.service.stop()
        received = await asyncio.to_thread(caller.recv, 65536)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.endswith(b"answer of i-app to last")
    assert rig.app.ran == ["last"]


# fault: of many requests that are sent at once on a connection, some get no answer
async def test_many_requests_on_one_connection_are_answered_in_order(rig: GatewayRig) -> None:
    reader, writer = await open_connection(rig)
    writer.write(b"".join(build_order(f"order-{number}") for number in range(200)))
    for number in range(200):
        answer = await read_response(reader)
        assert answer == (200, f"answer of i-app to order-{number}".encode())
    writer.close()
