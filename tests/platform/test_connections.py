"""Why the connections of callers end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import pytest

from basilroad.gateway.handler import CallHandler
from basilroad.platform.connections import EndCause
from support.gatewayrig import (
    GatewayRig,
    build_order,
    open_kept_connection,
    shorten_grace,
)


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key")
    yield rig
    await rig.stop()


def count_ends(rig: GatewayRig, cause: EndCause) -> float:
    """:return: connections that ended for a cause, by the gateway's metrics."""
    name = "basilroad_connections_ended_total"
    value = rig.service.gateway.metrics.registry.get_sample_value(name, {"cause": cause.value})
    return value or 0.0


async def wait_for_end(rig: GatewayRig, cause: EndCause, number: int = 1) -> None:
    """Wait until that many connections ended for a cause."""
    async with asyncio.timeout(5):
        while count_ends(rig, cause) < number:
            await asyncio.sleep(0.01)


def list_ends(caplog: pytest.LogCaptureFixture) -> list[tuple[str, str]]:
    """:return: request and cause of each line about the end of a connection."""
    return [
        (vars(line)["request"], vars(line)["cause"])
        for line in caplog.records
        if line.message == "connection ended"
    ]


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


async def open_connection(
    rig: GatewayRig,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection without a request on it.

    :param rig: the gateway
    :return: the connection
    """
    front = rig.service.settings.front
    return await asyncio.open_connection(front.ip, front.port)


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


async def test_requests_that_nobody_reads_any_more_are_logged_with_their_ids(
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
