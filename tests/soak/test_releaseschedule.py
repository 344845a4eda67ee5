"""Releases of a run and the faults beside them."""

from __future__ import annotations

from collections import Counter

import attrs
import pytest

from soak.releaseschedule import (
    FIRST_VERSION,
    KillAllGateways,
    ReleaseEndpoint,
    ReleaseSchedule,
    RestartEndpoint,
    draw_faults,
)
from soak.schedule import Schedule
from soak.settings import SoakSettings

SEEDS = range(20)


def draw_releases(seed: int, length_s: float = 30.0) -> list[ReleaseEndpoint | RestartEndpoint]:
    faults = ReleaseSchedule(SoakSettings(seed, length_s)).draw()
    return [one for one in faults if isinstance(one, ReleaseEndpoint | RestartEndpoint)]


@pytest.mark.parametrize("seed", SEEDS)
def test_each_run_has_a_release_and_an_end_of_all_gateways(seed: int) -> None:
    settings = SoakSettings(seed, length_s=4.0)
    faults = ReleaseSchedule(settings).draw()
    assert any(isinstance(one, KillAllGateways) and one.at_s < 4.0 for one in faults)
    releases = draw_releases(seed, 4.0)
    assert releases
    assert {one.target for one in releases} <= set(settings.list_engines())


def test_versions_serve_side_by_side_and_return() -> None:
    side_by_side = returned = at_same_name = False
    for seed in SEEDS:
        versions = dict.fromkeys(SoakSettings(seed).list_engines(), FIRST_VERSION)
        for one in draw_releases(seed):
            returned |= one.version < versions[one.target]
            at_same_name |= isinstance(one, RestartEndpoint) and one.keeps_name
            versions[one.target] = one.version
            side_by_side |= len(set(versions.values())) > 2
    assert side_by_side
    assert returned
    assert at_same_name


def test_a_seed_determines_the_releases_and_keeps_its_other_faults() -> None:
    settings = SoakSettings(seed=7)
    assert draw_faults(settings) == draw_faults(settings)
    assert draw_faults(settings) != draw_faults(SoakSettings(seed=8))
    without = SoakSettings(seed=7, has_releases=False)
    assert draw_faults(without) == Schedule(settings).draw()
    assert set(draw_faults(without)) < set(draw_faults(settings))


@pytest.mark.parametrize("seed", SEEDS)
def test_each_run_has_a_pause_of_half_of_the_engines(seed: int) -> None:
    settings = SoakSettings(seed, length_s=10.0)
    without = set(draw_faults(attrs.evolve(settings, has_pauses=False)))
    pauses = set(draw_faults(settings)) - without
    assert without < set(draw_faults(settings))
    half = len(settings.list_engines()) // 2
    assert pauses
    assert set(Counter(fault.at_s for fault in pauses).values()) == {half}
