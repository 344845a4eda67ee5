"""Check the lagging value, the rate limit and the slots of the stand-ins."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.standin.lag import MAX_EXPIRED_RECORDS, LaggingValue
from basilroad.standin.rates import RateLimit
from basilroad.standin.slots import PrioritySlots


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_lagging_value_returns_the_value_at_that_time() -> None:
    clock = Clock()
    value = LaggingValue("a", retention_s=10.0, clock=clock)
    for name in ("b", "c"):
        clock.now += 2.0
        value.record(name)
    assert [value.read(lag_s) for lag_s in (0.0, 1.9, 2.0, 4.0, 9.0)] == ["c", "b", "b", "a", "a"]
    assert value.newest == "c"


def test_lagging_value_keeps_a_bounded_history() -> None:
    clock = Clock()
    value = LaggingValue(0, retention_s=10.0, clock=clock)
    for number in range(1, 5000):
        clock.now += 1.0
        value.record(number)
        assert value.read(10.0) == max(0, number - 10)
    assert len(value._times) <= MAX_EXPIRED_RECORDS + 12


def test_rate_limit_returns_the_wait() -> None:
    clock = Clock()
    limit = RateLimit(per_s=0.5, burst=2, clock=clock)
    assert [limit.try_acquire() for _ in range(3)] == [0.0, 0.0, 2.0]
    clock.now += 1.5
    assert limit.try_acquire() == pytest.approx(0.5)
    clock.now += 0.5
    assert limit.try_acquire() == 0.0


async def test_slot_of_a_cancelled_generation_goes_to_the_next() -> None:
    slots = PrioritySlots(1)
    started: list[str] = []

    async def hold(name: str) -> None:
        async with slots.hold(0):
            started.append(name)

    async with slots.hold(0):
        second = asyncio.create_task(hold("second"))
        third = asyncio.create_task(hold("third"))
        while slots.waiting < 2:
            await asyncio.sleep(0)
    # The slot was granted to the second one, whose task has not run since.
    assert (slots.running, slots.waiting) == (1, 1)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    await third
    assert started == ["third"]
    assert (slots.running, slots.waiting) == (0, 0)
