"""Tests of the timer service."""

from __future__ import annotations

import asyncio
import logging

import pytest

from basilroad.coordination.timer import Timer
from support.timelimit import await_within


async def _run_event_loop() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_calls_at_the_interval_and_stops_when_cancelled(clock) -> None:
    timer = Timer(clock)
    calls: list[float] = []
    subscription = timer.subscribe(10, lambda: calls.append(clock()), jitter=0.1, seed=1)
    clock.advance(8.9)
    assert timer.fire_due() == 0
    clock.advance(2.2)
    assert timer.fire_due() == 1
    subscription.cancel()
    clock.advance(100)
    assert timer.fire_due() == 0
    assert len(calls) == 1


async def test_fire_soon_reschedules_the_next_call(clock) -> None:
    timer = Timer(clock)
    calls: list[int] = []
    timer.subscribe(10, lambda: calls.append(1), jitter=0).fire_soon()
    assert timer.fire_due() == 1
    clock.advance(10)
    assert timer.fire_due() == 1
    assert timer.next_due() == 10


async def test_failing_callbacks_are_logged_and_the_rest_called(clock, caplog) -> None:
    async def fail_later() -> None:
        raise RuntimeError("later")

    def fail() -> None:
        raise RuntimeError("now")

    timer = Timer(clock)
    calls: list[int] = []
    for callback in (fail, fail_later, lambda: calls.append(1)):
        timer.subscribe(1, callback, jitter=0)
    with caplog.at_level(logging.ERROR):
        for _ in range(2):
            clock.advance(1)
            timer.fire_due()
            await _run_event_loop()
    assert len(calls) == 2
    assert len(caplog.records) == 4


async def test_slow_callback_neither_overlaps_itself_nor_delays_others(clock) -> None:
    gate = asyncio.Event()
    started = 0
    quick: list[int] = []

    async def work() -> None:
        nonlocal started
        started += 1
        await gate.wait()

    timer = Timer(clock)
    slow = timer.subscribe(1, work, jitter=0)
    timer.subscribe(1, lambda: quick.append(1), jitter=0)
    for _ in range(3):
        clock.advance(1)
        timer.fire_due()
        await _run_event_loop()
    assert (started, len(quick)) == (1, 3)
    slow.fire_soon()
    gate.set()
    await _run_event_loop()
    timer.fire_due()
    await _run_event_loop()
    assert started == 2


async def test_runs_as_a_service_and_cancels_running_calls_on_stop() -> None:
    cancelled = asyncio.Event()
    called = asyncio.Event()

    async def hang() -> None:
        called.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    timer = Timer()
    async with timer:
        timer.subscribe(0.01, hang)
        await await_within(called.wait(), 5)
    assert cancelled.is_set()


def test_rejects_an_interval_that_is_not_positive(clock) -> None:
    with pytest.raises(ValueError):
        Timer(clock).subscribe(0, lambda: None)
