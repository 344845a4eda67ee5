"""Paths on which a request that a gateway has read could end without an answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import pytest

from basilroad.gateway.call import Call, Reply, Responder
from basilroad.gateway.handler import CallHandler
from basilroad.platform.connections import EndCause
from support.ends import (
    count_ends,
    find_connection,
    list_ends,
    open_connection,
    read_response,
    wait_for_end,
)
from support.gatewayrig import HEADERS, GatewayRig, build_order, shorten_grace


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key")
    yield rig
    await rig.stop()


# fault: a request whose handler was cancelled before its first step left no line and no count
async def test_a_request_whose_handler_never_began_is_logged(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
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
    writer.write(build_order("first") + build_order("second"))
    await wait_for_end(rig, EndCause.CALLER_LEFT)
    writer.close()
    assert begun == ["first"]
    assert list_ends(caplog) == [("second", "caller_left")]
    assert count_ends(rig, EndCause.CALLER_LEFT) == 1


# fault: a request that was read behind the last answer of a stop waited for a confirmation of the
# config until the process exited, in an outage of the store of under a second
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


# fault: a caller that sends `Expect: 100-continue` waited for a line that never came, and the
# gateway for the body, until the caller gave up
async def test_a_caller_that_awaits_the_request_for_its_body_gets_it_and_an_answer(
    rig: GatewayRig,
) -> None:
    reader, writer = await open_connection(rig)
    writer.write(build_head("/o/1", "asks", "Content-Length: 4", "Expect: 100-continue"))
    async with asyncio.timeout(5):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"body")
    status, body = await read_response(reader)
    writer.close()
    assert (status, body) == (200, b"answer of i-app to asks")
    assert rig.app.ran == ["asks"]


# guards against a request for a body that is refused anyway, or that is there already
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


# fault: a chunk that is not valid HTTP, behind the first bytes of a body, left the handler waiting
# for the rest, and its caller without an answer
async def test_a_malformed_chunk_in_the_middle_of_a_body_is_refused(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    reader, writer = await open_connection(rig)
    connection = await find_connection(rig)
    writer.write(build_order("whole"))
    assert (await read_response(reader))[0] == 200
    writer.write(build_head("/o/1", "broken", "Transfer-Encoding: chunked") + b"4\r\nbody\r\n")
    async with asyncio.timeout(5):
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
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 200 ") == 2, received
    assert received.count(b"HTTP/1.1 400 ") == 1, received
    assert rig.app.ran == ["first", "second"]


# fault: after an unexpected error the HTTP library answered 500, named no request in the log and
# closed the connection, so that a request behind it got nothing
async def test_a_request_behind_one_that_fails_unexpectedly_is_answered(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    handle = CallHandler.handle

    async def fail_once(handler: CallHandler, call: Call, responder: Responder) -> Reply | None:
        if call.id == "fails":
            raise RuntimeError("unexpected")
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
