"""Check that endpoints of the soak return to their addresses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from soak.settings import SoakSettings
from soak.world import World
from support.addresses import take_kernel_ports

DOWN_S = 1.0


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    world = World(SoakSettings(gateways=0, endpoints=1, has_releases=False), tmp_path)
    await world.start()
    yield world
    await world.close()


# fault: a link or an endpoint that started got the port of an endpoint that was down, whose return
# failed
async def test_no_other_listener_gets_the_port_of_an_endpoint_that_is_down(world: World) -> None:
    dead = world.endpoints[0].server
    crash = asyncio.ensure_future(world.crash(0, DOWN_S))
    await asyncio.sleep(DOWN_S / 2)
    assert dead.port not in take_kernel_ports(dead.ip)
    await crash
    assert (world.endpoints[0].server.id, world.endpoints[0].server.port) == ("i-0-1", dead.port)
