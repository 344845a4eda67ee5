"""Check the rate limit of loads and the trackers of engines and demand."""

from __future__ import annotations

import attrs

from basilroad.placement.loadlimiter import LoadRateLimiter, LoadRateSettings
from basilroad.placement.plan import Action, Change, EngineReport
from basilroad.placement.trackers import UNREACHABLE_GRACE_S, DemandTracker, EngineTracker
from basilroad.world.loaded import Loaded


@attrs.define
class Clock:
    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_load(number: int, data_centre: str) -> Change:
    target = Loaded("spec", "", "1")
    return Change(f"e{number}", Action.LOAD, target, "riga", data_centre, "")


def test_loads_are_rate_limited_round_robin_over_data_centres() -> None:
    clock = Clock()
    load_limiter = LoadRateLimiter(LoadRateSettings(loads_per_s=0.5, burst=2), clock)
    changes = [make_load(n, "riga-a") for n in range(5)]
    changes += [make_load(n, "riga-b") for n in range(5, 9)]
    unload = Change("e9", Action.UNLOAD, None, "riga", "riga-a", "")
    granted = load_limiter.admit([*changes, unload])
    assert [c.endpoint for c in granted] == ["e9", "e0", "e5"]
    clock.now_s += 1.9
    assert not load_limiter.admit(changes)
    clock.now_s += 0.1
    assert len(load_limiter.admit(changes)) == 1
    clock.now_s += 1000
    assert len(load_limiter.admit(changes)) == 2


def test_short_outage_of_an_engine_moves_nothing() -> None:
    clock = Clock()
    engine_tracker = EngineTracker(clock)
    report = EngineReport("e1", "h1", "riga", "riga-a", Loaded("spec", "", "1"))
    assert engine_tracker.update([report]) == (report,)
    clock.now_s += UNREACHABLE_GRACE_S
    (kept,) = engine_tracker.update([])
    assert kept == attrs.evolve(report, accepts_commands=False)
    clock.now_s += 0.1
    assert engine_tracker.update([]) == ()


def test_demand_must_be_sustained_and_moves_have_a_cooldown() -> None:
    clock = Clock()
    tracker = DemandTracker(sustained_s=10.0, cooldown_s=60.0, clock=clock)
    key = ("spec", "riga")
    assert tracker.update({key: 3}) == {}
    clock.now_s += 9.0
    assert tracker.update({}) == {}
    clock.now_s += 1.0
    assert tracker.update({key: 3}) == {}
    clock.now_s += 10.0
    assert tracker.update({key: 4}) == {key: 4}
    tracker.record_move("riga")
    clock.now_s += 59.0
    assert tracker.update({key: 4}) == {}
    clock.now_s += 1.0
    assert tracker.update({key: 4}) == {key: 4}
