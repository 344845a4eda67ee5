"""Time in which the machine keeps an event loop from running doesn't count in tests that say so."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.clocks import read_boot_clock
from basilroad.gateway.exchange.relay import Relay
from support.turnclock import TURN_S, TurnLoop

BLOCK_S = 0.3


@pytest.fixture(params=[time.monotonic, read_boot_clock, Relay.__init__.__defaults__[0]])
async def clock(request: pytest.FixtureRequest):
    """:return: a clock that the code reads, the last one as a default."""
    return request.param


def block_turn() -> None:
    time.sleep(BLOCK_S)


async def measure(clock, loop: asyncio.AbstractEventLoop) -> tuple[float, float]:
    """:return: seconds of a turn that is blocked, by a clock and by the event loop."""
    await asyncio.sleep(0)
    started = clock(), loop.time()
    loop.call_soon(block_turn)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return clock() - started[0], loop.time() - started[1]


@pytest.mark.by_turns
async def test_a_blocked_turn_counts_little(clock) -> None:
    for took_s in await measure(clock, asyncio.get_running_loop()):
        assert 0 <= took_s <= 3 * TURN_S


# fault: a time measured within a turn that the machine held up was longer than the turn counted for
@pytest.mark.by_turns
async def test_a_reading_within_a_blocked_turn_is_not_ahead_of_later_ones(clock) -> None:
    before_s = clock()
    block_turn()
    within_s = clock()
    await asyncio.sleep(0)
    assert 0 <= within_s - before_s <= TURN_S
    assert within_s <= clock()


# fault: a test that blocks its event loop on purpose could not measure by turns
@pytest.mark.by_turns
async def test_time_that_is_skipped_counts_in_full(clock) -> None:
    loop, before_s = asyncio.get_running_loop(), clock()
    assert isinstance(loop, TurnLoop)
    loop.skip(BLOCK_S)
    assert BLOCK_S <= clock() - before_s <= BLOCK_S + TURN_S


# fault: a wait that is shorter than a millisecond never ended
@pytest.mark.by_turns
async def test_short_waits_end(clock) -> None:
    before_s = clock()
    for _ in range(20):
        await asyncio.sleep(0.0002)
    assert 20 * 0.0002 <= clock() - before_s <= BLOCK_S


@pytest.mark.by_turns
async def test_waits_count_in_full(clock) -> None:
    started = clock()
    await asyncio.sleep(BLOCK_S)
    assert BLOCK_S <= clock() - started <= BLOCK_S + 2 * TURN_S


async def test_other_tests_read_the_clocks_of_the_machine(clock) -> None:
    for took_s in await measure(clock, asyncio.get_running_loop()):
        assert took_s >= BLOCK_S
