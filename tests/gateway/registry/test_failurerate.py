"""Failure rate of an endpoint, with plain values."""

from __future__ import annotations

import pytest

from basilroad.gateway.registry.failurerate import (
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    FailureRate,
)

NOW = 100.0


def test_no_calls_count_as_sound() -> None:
    assert FailureRate().estimate(NOW) == 0.0


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ([True], FAILURE_WEIGHT),
        ([False], 0.0),
        ([True, True], FAILURE_WEIGHT * (2.0 - FAILURE_WEIGHT)),
        ([True, False], FAILURE_WEIGHT * (1.0 - FAILURE_WEIGHT)),
    ],
)
def test_the_rate_is_a_moving_average_of_outcomes(outcomes: list[bool], expected: float) -> None:
    rate = FailureRate()
    for failed in outcomes:
        rate.record(NOW, failed=failed)
    assert rate.estimate(NOW) == pytest.approx(expected)


def test_three_failures_in_a_row_are_above_one_half() -> None:
    rate = FailureRate()
    for _ in range(3):
        rate.record(NOW, failed=True)
    assert rate.estimate(NOW) > 0.5


def test_the_rate_decays_by_half_in_a_half_life_also_before_an_outcome() -> None:
    rate = FailureRate()
    rate.record(NOW, failed=True)
    later = NOW + FAILURE_HALF_LIFE_S
    assert rate.estimate(later) == pytest.approx(FAILURE_WEIGHT / 2)
    rate.record(later, failed=False)
    assert rate.estimate(later) == pytest.approx(FAILURE_WEIGHT / 2 * (1.0 - FAILURE_WEIGHT))
