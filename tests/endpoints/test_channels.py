"""Connections to endpoints."""

from __future__ import annotations

import asyncio
import socket

import pytest

from basilroad.endpoints.channels import CONNECT_TIMEOUT_S, ChannelPool
from basilroad.peers.address import Address
from support.gatewayrig import block_event_loop


# fault: a late event loop took an endpoint for unreachable whose connection the kernel had opened
@pytest.mark.parametrize("turns", range(6))
async def test_a_connection_that_was_opened_while_the_event_loop_was_late(turns: int) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        pool = ChannelPool(Address(*server.getsockname()))
        opening = asyncio.ensure_future(pool.open(0))
        for _ in range(turns):
            await asyncio.sleep(0)
        block_event_loop(CONNECT_TIMEOUT_S + 0.1)
        channel = await opening
        assert channel.usable
        channel.close()
