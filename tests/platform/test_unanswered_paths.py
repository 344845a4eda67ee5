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
from support.gatewayrig import GatewayRig, build_order


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
