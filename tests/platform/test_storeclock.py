"""Dates of the store's answers."""

from __future__ import annotations

import pytest

from basilroad.platform.storeclock import StoreClock

AHEAD_S = 1000.0
"""The store's clock minus this host's."""


def test_an_answer_in_the_middle_of_a_long_call_is_dated_by_a_short_one() -> None:
    # pattern: a config changes late in a call for changes, and the store goes away soon after
    clock = StoreClock()
    clock.date(10.0, 10.01, AHEAD_S + 10.005)
    made_at = clock.date(10.01, 11.9, AHEAD_S + 11.895)
    assert made_at == pytest.approx(11.89, abs=0.01)
    assert made_at <= 11.895


def test_an_answer_that_was_held_up_is_not_dated_later_than_it_was_made() -> None:
    clock = StoreClock()
    clock.date(10.0, 10.01, AHEAD_S + 10.005)
    made_at = clock.date(10.01, 16.0, AHEAD_S + 10.5)
    assert 10.48 <= made_at <= 10.5


def test_without_a_short_call_nothing_is_assumed() -> None:
    clock = StoreClock()
    assert clock.date(10.0, 12.0, AHEAD_S + 11.9) == 10.0


def test_an_answer_without_a_date_counts_from_its_question() -> None:
    clock = StoreClock()
    clock.date(10.0, 10.01, AHEAD_S + 10.005)
    assert clock.date(10.01, 12.0, None) == 10.01


def test_clocks_that_drift_apart_date_nothing_too_late() -> None:
    clock = StoreClock()
    clock.date(0.0, 0.01, AHEAD_S + 0.005)
    # the store's clock runs fast by 100 in a million for an hour
    made_at = 3600.0
    assert clock.date(3599.0, 3601.0, AHEAD_S + made_at * 1.0001) <= made_at + 0.005


def test_after_a_loss_earlier_dates_do_not_count() -> None:
    clock = StoreClock()
    clock.date(10.0, 10.01, AHEAD_S + 10.005)
    clock.forget()
    assert clock.date(20.0, 22.0, 5000.0) == 20.0
