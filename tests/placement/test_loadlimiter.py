"""Check the rate of loads, and what is remembered of engines and of demand."""

from __future__ import annotations

import attrs

from basilroad.placement.loadlimiter import LoadRateLimiter, LoadRateSettings
from basilroad.placement.plan import Action, Change, EngineReport
from basilroad.placement.trackers import GRACE_S, DemandTracker, EngineTracker
from basilroad.world.loaded import Loaded


@attrs.define
class Clock:
    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_load(number: int, data_centre: str) -> Change:
    target = Loaded("spec", "", "1")
    return Change(f"e{number}", Action.LOAD, target, "riga", data_centre, "")


def test_loads_keep_to_the_rate_and_take_turns_between_data_centres() -> None:
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


def test_a_short_loss_moves_nothing() -> None:
    clock = Clock()
    sightings = EngineTracker(clock)
    report = EngineReport("e1", "h1", "riga", "riga-a", Loaded("spec", "", "1"))
    assert sightings.update([report]) == (report,)
    clock.now_s += GRACE_S
    (kept,) = sightings.update([])
    assert kept == attrs.evolve(report, orderable=False)
    clock.now_s += 0.1
    assert sightings.update([]) == ()


def test_capacity_follows_only_what_waits_for_long_and_not_too_often() -> None:
    clock = Clock()
    demand = DemandTracker(hold_s=10.0, rest_s=60.0, clock=clock)
    place = ("spec", "riga")
    assert demand.update({place: 3}) == {}
    clock.now_s += 9.0
    assert demand.update({}) == {}
    clock.now_s += 1.0
    assert demand.update({place: 3}) == {}
    clock.now_s += 10.0
    assert demand.update({place: 4}) == {place: 4}
    demand.record_move("riga")
    clock.now_s += 59.0
    assert demand.update({place: 4}) == {}
    clock.now_s += 1.0
    assert demand.update({place: 4}) == {place: 4}
