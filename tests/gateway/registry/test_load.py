"""Estimate of the work at an endpoint, with plain values."""

from __future__ import annotations

import attrs

from basilroad.gateway.registry.load import REPORT_VALIDITY_S, Load, ReportedLoad

NOW = 100.0
OWN = Load(1, 9000, 8000, 1)
REMOTE = Load(2, 500, 100)


def estimate(reported: ReportedLoad, own: Load = OWN, now: float = NOW) -> tuple[int, ...]:
    return attrs.astuple(reported.estimate(own, REMOTE, now))


def test_without_a_report_the_load_is_the_sum_over_the_gateways() -> None:
    reported = ReportedLoad()
    assert not reported.is_recent(NOW)
    reported.add(1000, 700)
    assert estimate(reported) == (3, 9500, 8100, 0)


def test_a_report_replaces_that_of_the_other_gateways_until_it_is_old() -> None:
    reported = ReportedLoad()
    reported.record(Load(4, 30_000, 16_000), NOW)
    assert reported.is_recent(NOW + REPORT_VALIDITY_S - 0.01)
    assert estimate(reported, now=NOW + REPORT_VALIDITY_S - 0.01) == (4, 30_000, 16_000, 0)
    assert not reported.is_recent(NOW + REPORT_VALIDITY_S)
    assert estimate(reported, now=NOW + REPORT_VALIDITY_S) == (3, 9500, 8100, 0)


def test_calls_since_the_last_report_are_added_to_it() -> None:
    reported = ReportedLoad()
    reported.add(1, 1)
    reported.record(Load(4, 30_000, 16_000), NOW)
    reported.add(1000, 700)
    reported.add(1000, 0)
    assert estimate(reported) == (6, 32_000, 16_700, 0)
    reported.record(Load(5, 31_000, 0), NOW)
    assert estimate(reported, Load()) == (5, 31_000, 0, 0)


def test_the_load_is_no_less_than_that_of_this_gateway() -> None:
    reported = ReportedLoad()
    reported.record(Load(4, 100, 0), NOW)
    assert estimate(reported) == (4, 9000, 8000, 0)


def test_a_cleared_report_counts_for_nothing() -> None:
    reported = ReportedLoad()
    reported.record(Load(4, 30_000, 16_000), NOW)
    reported.clear()
    assert estimate(reported) == (3, 9500, 8100, 0)
