"""Estimates of when the store made a response."""

from __future__ import annotations

import pytest

from basilroad.platform.storeclock import StoreClock

STORE_OFFSET_S = 1000.0
"""The store's clock minus this host's."""


def test_a_response_during_a_long_poll_is_dated_by_an_earlier_short_call() -> None:
    # a config changes late in a long poll, and the store becomes unavailable soon after
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    made_at = clock.estimate_time(10.01, 11.9, STORE_OFFSET_S + 11.895)
    assert made_at == pytest.approx(11.89, abs=0.01)
    assert made_at <= 11.895


def test_a_delayed_response_is_not_dated_later_than_it_was_made() -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    made_at = clock.estimate_time(10.01, 16.0, STORE_OFFSET_S + 10.5)
    assert 10.48 <= made_at <= 10.5


def test_without_a_short_call_the_earliest_time_is_used() -> None:
    clock = StoreClock()
    assert clock.estimate_time(10.0, 12.0, STORE_OFFSET_S + 11.9) == 10.0


def test_a_response_without_store_time_is_dated_by_its_request() -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    assert clock.estimate_time(10.01, 12.0, None) == 10.01


def test_clock_drift_dates_no_response_too_late() -> None:
    clock = StoreClock()
    clock.estimate_time(0.0, 0.01, STORE_OFFSET_S + 0.005)
    # the store's clock runs fast by 100 ppm for an hour
    made_at = 3600.0
    assert clock.estimate_time(3599.0, 3601.0, STORE_OFFSET_S + made_at * 1.0001) <= made_at + 0.005


def test_reset_discards_the_offset() -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    clock.reset()
    assert clock.estimate_time(20.0, 22.0, 5000.0) == 20.0


# fault: the readings of another clock dated a response as late as it was received, so keys that
# were taken away while it was in flight counted as confirmed
@pytest.mark.parametrize("step_s", [-5000.0, -3.5, 3.5, 5000.0])
def test_another_clock_dates_no_response_too_late(step_s: float) -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    clock.estimate_time(10.01, 12.21, STORE_OFFSET_S + 12.205)
    step_at = STORE_OFFSET_S + step_s
    assert clock.is_other(12.3, 15.0, step_at + 12.4)
    clock.reset()
    assert clock.estimate_time(12.3, 15.0, step_at + 12.4) <= 12.4
    assert not clock.is_other(15.0, 15.01, step_at + 15.005)


def test_a_slow_response_or_a_rounded_reading_shows_no_other_clock() -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.001, STORE_OFFSET_S + 10.0005)
    assert not clock.is_other(11.0, 11.001, STORE_OFFSET_S + 11.002)
    assert not clock.is_other(11.0, 11.001, STORE_OFFSET_S + 10.999)
    assert not clock.is_other(11.0, 16.0, STORE_OFFSET_S + 11.0)
    assert not clock.is_other(11.0, 16.0, STORE_OFFSET_S + 16.0)
    assert not clock.is_other(11.0, 16.0, None)


def test_the_drift_of_a_day_shows_no_other_clock() -> None:
    clock = StoreClock()
    clock.estimate_time(10.0, 10.01, STORE_OFFSET_S + 10.005)
    for drift_s in (-8.0, 8.0):
        assert not clock.is_other(86410.0, 86410.01, STORE_OFFSET_S + 86410.005 + drift_s)


def test_nothing_is_another_clock_than_none() -> None:
    assert not StoreClock().is_other(10.0, 10.01, STORE_OFFSET_S)
