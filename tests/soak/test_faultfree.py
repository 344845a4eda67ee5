"""Check for how long a run goes on after its last fault."""

from __future__ import annotations

import asyncio
import os

import attrs
import pytest

from soak.faultfree import (
    FAULT_FREE_S,
    MAX_FAULT_FREE_S,
    MAX_UNJUDGED_S,
    MIN_COUNTED,
    wait_fault_free,
)
from soak.promises import CalmIsServed
from soak.records import Kind, Record, Request, Stall
from soak.settings import RECOVERY_S
from soak.stalls import STALL_S, StallWatch
from support.virtualloop import run_virtually

STEP_S = 0.05
QUIET_S = FAULT_FREE_S - 1.0
"""Seconds too short for a run to end by, with more than ``MIN_COUNTED`` requests to judge."""


@attrs.define
class Machine:
    """A machine that stalls every second, but for a quiet time.

    :param quiet_from_s: beginning of the quiet time, in seconds since the start
    :param quiet_s: seconds of it
    """

    quiet_from_s: float = 0.0
    quiet_s: float = 0.0
    record: Record = attrs.field(factory=Record)

    def measure(self) -> float:
        """:return: seconds for which a run beside it goes on after its last fault."""
        return run_virtually(self._measure())

    async def _measure(self) -> float:
        loop = asyncio.get_running_loop()
        stalls = StallWatch(self.record, list, {os.getpid(): 0.0}.__getitem__, loop.time)
        working = asyncio.ensure_future(self._work(loop))
        await wait_fault_free(self.record, stalls, loop.time)
        working.cancel()
        return loop.time()

    async def _work(self, loop: asyncio.AbstractEventLoop) -> None:
        stalled_at = 0.0
        while True:
            now = loop.time()
            is_quiet = self.quiet_from_s <= now < self.quiet_from_s + self.quiet_s
            if now - stalled_at >= 1.0 and not is_quiet:
                stalled_at = now
                self.record.stalls.append(Stall(now - STALL_S, now, STALL_S))
            name = f"r{now}"
            request = Request(name, Kind.LOOK, 0, "/l/", "k", "w", b"", now, ended_at=now + STEP_S)
            self.record.requests[name] = request
            await asyncio.sleep(STEP_S)


def test_traffic_without_stalls_ends_soon() -> None:
    assert Machine(quiet_s=1e6).measure() == pytest.approx(FAULT_FREE_S, abs=STEP_S)


def test_traffic_goes_on_after_a_stall() -> None:
    took_s = Machine(quiet_from_s=10.0, quiet_s=1e6).measure()
    assert 10.0 - 1.0 + FAULT_FREE_S <= took_s <= 10.0 + FAULT_FREE_S


# fault: a run ended beside stalls that had met all of its requests
def test_traffic_goes_on_until_it_can_be_judged() -> None:
    took_s = Machine(quiet_from_s=50.0, quiet_s=QUIET_S).measure()
    assert 50.0 + RECOVERY_S < took_s <= 50.0 + QUIET_S + 1.0


def test_traffic_that_can_be_judged_ends_in_time() -> None:
    took_s = Machine(quiet_from_s=10.0, quiet_s=QUIET_S).measure()
    assert took_s == pytest.approx(MAX_FAULT_FREE_S, abs=FAULT_FREE_S)


# fault: a run that few requests could judge ended
def test_few_requests_do_not_judge_a_run() -> None:
    machine = Machine(quiet_from_s=50.0, quiet_s=RECOVERY_S)
    assert machine.measure() > MAX_UNJUDGED_S - 1.0
    assert 0 < len(CalmIsServed().list_counted(machine.record)) < MIN_COUNTED


def test_stalls_for_ever_end_a_run() -> None:
    assert Machine().measure() == pytest.approx(MAX_UNJUDGED_S, abs=1.0)
