"""Permits of one rate that several processes ask for; no network."""

from __future__ import annotations

import random

from hypothesis import given, strategies as st

from basilroad.coordination.permits import BURST_S, MAX_WAIT_S, MIN_WAIT_S, PermitSource


@given(
    st.floats(0.1, 50),
    st.lists(st.tuples(st.floats(0, 2), st.integers(0, 9)), max_size=200),
)
def test_all_processes_together_get_no_more_than_the_rate(
    per_s: float, steps: list[tuple[float, int]]
) -> None:
    now, given_out = 0.0, 0
    source = PermitSource(lambda: now, random.Random(1))
    for wait_s, process in steps:
        now += wait_s
        next_s = source.take(f"p{process}", per_s)
        given_out += next_s == 0
        assert next_s == 0 or MIN_WAIT_S <= next_s <= MAX_WAIT_S
    assert given_out <= per_s * now + max(1.0, BURST_S * per_s) + 1e-6


def test_a_process_that_waits_as_requested_gets_a_permit(clock) -> None:
    source = PermitSource(clock, random.Random(1))
    for _ in range(20):
        wait_s = source.take("p", 0.7)
        if wait_s:
            clock.advance(wait_s + 1e-6)
            assert source.take("p", 0.7) == 0


# fault: all processes that were refused ask for the next permit at the same moment
def test_more_processes_wait_longer_and_at_different_times(clock) -> None:
    source = PermitSource(clock, random.Random(1))
    source.take("first", 1.0)
    waits = [source.take(f"p{number}", 1.0) for number in range(8)]
    assert waits[0] <= 1.0
    assert len({round(wait, 1) for wait in waits}) >= 5
    assert max(waits) > 2.0


def test_a_source_may_begin_without_a_permit(clock) -> None:
    source = PermitSource(clock, random.Random(1), initial=0.0)
    assert source.take("p", 1.0) > 0
    clock.advance(1.1)
    assert source.take("p", 1.0) == 0


def test_a_rate_that_rises_shortens_the_wait(clock) -> None:
    source = PermitSource(clock, random.Random(1))
    assert source.take("p", 0.5) == 0
    assert source.take("p", 0.5) > 1.0
    assert source.take("p", 10.0) <= 0.2
