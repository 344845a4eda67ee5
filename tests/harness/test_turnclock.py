"""Time in which the machine keeps an event loop from running doesn't count in tests that say so."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.freshness import read_boot_clock
from support.turnclock import TURN_S

BLOCK_S = 0.3


@pytest.fixture(params=[time.monotonic, read_boot_clock, Relay.__init__.__defaults__[0]])
async def clock(request: pytest.FixtureRequest):
    """:return: a clock that the code reads, the last one as a default."""
    return request.param


async def measure(clock, loop: asyncio.AbstractEventLoop) -> tuple[float, float]:
    """:return: seconds of a turn that is blocked, by a clock and by the event loop."""
    await asyncio.sleep(0)
    started = clock(), loop.time()
    loop.call_soon(time.sleep, BLOCK_S)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return clock() - started[0], loop.time() - started[1]


@pytest.mark.by_turns
async def test_a_blocked_turn_counts_little(clock) -> None:
    for took_s in await measure(clock, asyncio.get_running_loop()):
        assert 0 <= took_s <= 3 * TURN_S


@pytest.mark.by_turns
async def test_waits_count_in_full(clock) -> None:
    started = clock()
    await asyncio.sleep(BLOCK_S)
    assert BLOCK_S <= clock() - started <= BLOCK_S + 2 * TURN_S


async def test_other_tests_read_the_clocks_of_the_machine(clock) -> None:
    for took_s in await measure(clock, asyncio.get_running_loop()):
        assert took_s >= BLOCK_S
