"""Start and stop of a gateway process, observed from outside."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from soak.process import GatewayProcess
from soak.rundelay import RunLimit, ThreadTimes
from soak.settings import GRACE_S, SoakSettings
from soak.world import World
from support.timelimit import limit_time

READY_TIMEOUT_S = 20.0
DRAINING_S = 2.5
"""Seconds for which a draining gateway still accepts connections."""

EXIT_S = 1.0
"""Seconds for a process to exit after its services have ended."""

SEEN_RUNNING_S = 0.5
BLOCKED_S = GRACE_S


def block_event_loop() -> None:
    time.sleep(BLOCKED_S)


async def wait_ready(gateway: GatewayProcess) -> None:
    async with limit_time(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(gateway.readiness) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.02)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    world = World(SoakSettings(gateways=1, endpoints=1), tmp_path)
    await world.start()
    yield world
    await world.close()


async def test_a_stop_ends_soon_after_the_last_call(world: World) -> None:
    gateway = world.gateways[0]
    await wait_ready(gateway)
    times = await gateway.stop()
    assert times.running_s <= times.took_s < DRAINING_S + EXIT_S < GRACE_S


# fault: an exit that the soak saw late was reported like a stop that took too long
async def test_an_exit_that_is_seen_late_has_the_time_before_it(world: World) -> None:
    gateway = world.gateways[0]
    await wait_ready(gateway)
    stop = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(SEEN_RUNNING_S)
    block_event_loop()
    times = await stop
    assert times.took_s >= BLOCKED_S
    assert times.running_s > SEEN_RUNNING_S / 2
    assert times.running_s - times.lost_s < SEEN_RUNNING_S + BLOCKED_S - EXIT_S


# fault: a gateway that the machine had kept from running was killed in its stop
async def test_a_stop_is_not_ended_while_the_gateway_waits_for_a_processor(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = world.gateways[0]
    await wait_ready(gateway)
    # all of its time counts as a wait for a processor
    limit = partial(RunLimit, read=lambda _pid: {0: ThreadTimes(time.monotonic())})
    monkeypatch.setattr("soak.process.RunLimit", limit)
    pid = gateway.pid
    os.kill(pid, signal.SIGSTOP)
    stop = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(GRACE_S + SEEN_RUNNING_S)
    os.kill(pid, signal.SIGCONT)
    times = await stop
    assert GRACE_S < times.running_s <= times.took_s
    assert times.took_s - times.lost_s < EXIT_S


async def test_a_stop_of_a_suspended_gateway_ends_with_its_grace(world: World) -> None:
    gateway = world.gateways[0]
    await wait_ready(gateway)
    os.kill(gateway.pid, signal.SIGSTOP)
    times = await gateway.stop()
    assert times.running_s <= times.took_s < GRACE_S + times.lost_s + EXIT_S
    assert times.took_s - times.lost_s >= GRACE_S
