"""Paths on which a request that a gateway has read could end without an answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import pytest

from basilroad.gateway.call import Call, Reply
from basilroad.gateway.handler import CallHandler
from basilroad.platform.connections import EndCause
from support.ends import (
    count_ends,
    find_connection,
    list_ends,
    open_connection,
    wait_for_end,
)
from support.gatewayrig import GatewayRig, build_order, shorten_grace


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
