"""Time limit of opening a connection to an endpoint."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator

import pytest

from basilroad.endpoints.plainservice import REACHABILITY_TIMEOUT_S, HttpPlainService
from basilroad.http.channelpool import CONNECT_TIMEOUT_S, ChannelPool
from basilroad.http.messages import ConnectError
from basilroad.peers.address import Address
from support.timelimit import limit_time


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        yield listener


# fault: a late event loop gave up a connection that the kernel had opened, and its call was refused
@pytest.mark.parametrize("turns", [1, 2, 3])
async def test_a_connection_that_was_opened_while_the_event_loop_was_late(
    listener: socket.socket, turns: int
) -> None:
    pool = ChannelPool(Address(*listener.getsockname()))
    opening = asyncio.create_task(pool.open())
    for _ in range(turns):
        await asyncio.sleep(0)
    asyncio.get_running_loop().call_soon(time.sleep, CONNECT_TIMEOUT_S + 0.2)
    channel = await opening
    assert channel.usable
    channel.close()


async def test_a_connection_that_is_not_opened_is_given_up(listener: socket.socket) -> None:
    address = listener.getsockname()
    # the queue of the listener holds one connection, so the kernel opens no further one
    with socket.create_connection(address), pytest.raises(ConnectError):
        async with limit_time(3 * CONNECT_TIMEOUT_S + 2.0):
            await ChannelPool(Address(*address)).open()


# fault: a service counted as gone as the event loop was late while its connection was opened
@pytest.mark.parametrize("turns", [1, 2])
async def test_a_service_that_is_reached_while_the_event_loop_is_late(
    listener: socket.socket, turns: int
) -> None:
    service = HttpPlainService("http://{}:{}".format(*listener.getsockname()))
    check = asyncio.create_task(service.is_reachable())
    for _ in range(turns):
        await asyncio.sleep(0)
    asyncio.get_running_loop().call_soon(time.sleep, REACHABILITY_TIMEOUT_S + 0.2)
    assert await check
    await service.close()
