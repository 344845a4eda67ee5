"""Why the connections of callers end."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.handler import CallHandler
from basilroad.http.ends import EndCause
from basilroad.platform.run import PlatformService
from support.ends import (
    count_ends,
    find_connection,
    list_ends,
    open_connection,
    wait_for_end,
)
from support.gatewayrig import (
    GatewayRig,
    build_order,
    open_kept_connection,
    shorten_grace,
)
from support.timelimit import limit_time
from support.tries import TryEnd, read_end


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key")
    yield rig
    await rig.stop()


async def test_a_caller_that_leaves_is_logged_with_its_request(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    rig.app.response_delay_s = 5.0
    _, writer = await open_connection(rig)
    writer.write(build_order("leaves"))
    while "leaves" not in rig.app.ran:
        await asyncio.sleep(0.01)
    writer.close()
    await wait_for_end(rig, EndCause.CALLER_LEFT)
    assert list_ends(caplog) == [("leaves", "caller_left")]


async def test_a_stream_that_a_stop_cuts_off_is_logged_with_its_request(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    shorten_grace(rig)
    rig.llm.event_interval_s = 1.0
    reader, writer = await open_connection(rig)
    writer.write(build_order("cut").replace(b"/o/1", b"/s/1"))
    await reader.readuntil(b"\r\n\r\n")
    await rig.service.stop()
    writer.close()
    assert list_ends(caplog) == [("cut", "stream_broken")]
    assert count_ends(rig, EndCause.STREAM_BROKEN) == 1


async def test_an_error_after_the_head_of_a_stream_is_logged_with_its_request(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: the HTTP library closes such a connection and names no request
    async def fail(*arguments: Any) -> None:
        responder = arguments[-1]
        await responder.begin(200, [])
        raise RuntimeError("unexpected")

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", fail)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails").replace(b"/o/1", b"/s/1"))
    received = await reader.read()
    writer.close()
    assert not received.endswith(b"0\r\n\r\n")
    assert list_ends(caplog) == [("fails", "error")]


async def test_a_handler_that_outlasts_the_stop_is_logged_with_its_request(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def hang(*_: Any) -> None:
        await asyncio.sleep(30)

    caplog.set_level(logging.INFO)
    shorten_grace(rig)
    monkeypatch.setattr(CallHandler, "handle", hang)
    reader, writer = await open_connection(rig)
    writer.write(build_order("hangs"))
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(rig.service.stop())
    assert await reader.read() == b""
    writer.close()
    await stopping
    assert list_ends(caplog) == [("hangs", "shutdown")]


async def test_requests_left_unread_are_logged_with_their_ids(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    rig.app.response_delay_s = 0.3
    _, writer = await open_kept_connection(rig, 1)
    writer.write(build_order("first") + build_order("second"))
    while "first" not in rig.app.ran:
        await asyncio.sleep(0.01)
    writer.close()
    await wait_for_end(rig, EndCause.UNREAD_REQUEST)
    assert ("second", "unread_request") in list_ends(caplog)


async def test_a_request_behind_the_one_that_is_answered_when_a_stop_begins_is_answered(
    rig: GatewayRig,
) -> None:
    # fault: the answer to the first one closed the connection, though the second was read whole
    rig.app.response_delay_s = 0.3
    reader, writer = await open_kept_connection(rig, 1)
    writer.write(build_order("first") + build_order("second"))
    while "first" not in rig.app.ran:
        await asyncio.sleep(0.01)
    stopping = asyncio.ensure_future(rig.service.stop())
    received = await reader.read()
    writer.close()
    await stopping
    assert received.count(b"HTTP/1.1 200 ") == 2, received
    assert received.lower().count(b"connection: close") == 1, "only the last one closes"
    assert count_ends(rig, EndCause.UNREAD_REQUEST) == 0


async def test_a_request_behind_one_that_the_limit_of_a_stop_ends_is_answered(
    rig: GatewayRig,
) -> None:
    # fault: the same, where the first one is answered at the limit of the stop
    shorten_grace(rig)
    reader, writer = await open_kept_connection(rig, 1)
    rig.app.response_delay_s = 30.0
    writer.write(build_order("first") + build_order("second"))
    while "first" not in rig.app.ran:
        await asyncio.sleep(0.01)
    stopping = asyncio.ensure_future(rig.service.stop())
    received = await reader.read()
    writer.close()
    await stopping
    assert received.count(b"HTTP/1.1 502 ") == 1, "it may have run"
    assert received.count(b"HTTP/1.1 503 ") == 1, "it has not run"
    assert "second" not in rig.app.ran


async def test_a_stop_leaves_time_to_receive_the_rest_of_an_answer(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: the process exited with a part of an answer in its buffer, long before the limit
    async def answer(*_: Any) -> Reply:
        return Reply(200, (), b"x" * 60000)

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", answer)
    gateway = rig.service.gateway
    gateway.settings = attrs.evolve(gateway.settings, grace_s=8.0)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        front = rig.service.settings.front
        await asyncio.get_running_loop().sock_connect(sock, (front.ip, front.port))
        connection = await find_connection(rig)
        assert connection.transport is not None
        server_sock = connection.transport.get_extra_info("socket")
        server_sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await asyncio.get_running_loop().sock_sendall(sock, build_order("slow"))
        await asyncio.sleep(0.1)
        assert connection.transport.get_write_buffer_size() > 0
        stopping = asyncio.ensure_future(rig.service.stop())
        while not any(line.message == "admission ended" for line in caplog.records):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        received = 0
        while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
            received += len(data)
        await stopping
    assert received > 60000
    (stopped,) = [line for line in caplog.records if line.message == "stopped"]
    assert vars(stopped)["unsent"] == 0


# fault: no line tells a connection that ended unread from one that the gateway never accepted
async def test_a_stop_counts_the_connections_on_which_nothing_was_received(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture
) -> None:
    shorten_grace(rig, 3.5)
    caplog.set_level(logging.INFO)
    reader, writer = await open_connection(rig)
    writer.write(build_order("answered"))
    assert read_end(await reader.read(65536)) is TryEnd.ANSWERED
    _, unread = await open_connection(rig)
    unread.close()
    await rig.service.front.stop()
    writer.close()
    (stopped,) = [line for line in caplog.records if line.message == "stopped"]
    assert vars(stopped)["unread"] == 1
    assert vars(stopped)["accepted"] == 2


async def test_an_error_before_the_head_is_not_logged_as_an_end_without_an_answer(
    rig: GatewayRig, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: the HTTP library answers such a request with 500, and it was counted as unanswered
    async def fail(*_: Any) -> None:
        raise RuntimeError("unexpected")

    caplog.set_level(logging.INFO)
    monkeypatch.setattr(CallHandler, "handle", fail)
    reader, writer = await open_connection(rig)
    writer.write(build_order("fails"))
    received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 500 ")
    assert list_ends(caplog) == []
    assert count_ends(rig, EndCause.ERROR) == 0


async def test_a_stop_before_the_server_for_callers_has_started_ends_without_an_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # fault: a SIGTERM during the start ended in a failed assertion
    rig = GatewayRig()
    await rig.store.start()
    service = PlatformService(rig._build_settings(), Path("absent"))
    service.add_dependency(service.front)
    await service.stop()
    await rig.store.stop()
    assert [line for line in caplog.records if line.levelno >= logging.ERROR] == []


async def test_a_stop_before_the_first_config_answers_the_calls_that_wait_for_it() -> None:
    # guards against a stop that cuts off calls that wait for the config of a host that just started
    rig = GatewayRig()
    await rig.start()
    shorten_grace(rig)
    reader, writer = await open_connection(rig)
    writer.write(build_order("early"))
    server = rig.service.front._connections
    assert server is not None
    while not server.in_flight:
        await asyncio.sleep(0.001)
    await rig.stop()
    assert (await reader.read()).startswith(b"HTTP/1.1 503 "), "it has not run"
    writer.close()


async def test_a_change_of_the_settings_and_a_second_signal_leave_the_times_of_a_stop(
    rig: GatewayRig,
) -> None:
    # guards against a SIGHUP or a second SIGTERM that moves the limits of a stop that has begun
    gateway = rig.service.gateway
    # neither the route nor the caller limits the order before the stop does
    await rig.configure(2, "key", timeout_ms=20_000)
    shorten_grace(rig)
    rig.app.response_delay_s = 30.0
    reader, writer = await open_connection(rig)
    writer.write(build_order("in-flight").replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: 20000"))
    while "in-flight" not in rig.app.ran:
        await asyncio.sleep(0.01)
    began_at = time.monotonic()
    stopping = asyncio.ensure_future(rig.service.stop())
    await asyncio.sleep(0.5)
    gateway.settings = attrs.evolve(gateway.settings, grace_s=60.0)
    gateway.shutdown.signal.record()
    assert (await reader.read()).startswith(b"HTTP/1.1 502 "), "it may have run"
    writer.close()
    await stopping
    assert 1.4 < time.monotonic() - began_at < 10.0


async def test_a_request_that_crosses_the_end_of_the_keep_alive_time_is_answered(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: an idle connection was closed at the end of its keep-alive time, and a request on its
    # way got neither an answer nor a refusal
    front = rig.service.settings.front
    server = rig.service.front._connections
    assert server is not None
    monkeypatch.setitem(server._kwargs, "keepalive_timeout", 0.3)
    with socket.create_connection((front.ip, front.port), timeout=5) as caller:
        # the end of the connection has arrived, but not been read when the request is sent
        await asyncio.to_thread(caller.recv, 1, socket.MSG_PEEK)
        caller.sendall(build_order("crosses"))
        assert read_end(await asyncio.to_thread(caller.recv, 65536)) is TryEnd.REFUSED
    async with limit_time(5):
        while server.connections:
            await asyncio.sleep(0.01)
    assert "crosses" not in rig.app.ran
