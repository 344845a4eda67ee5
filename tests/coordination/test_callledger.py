"""Check the memory of claimed calls beside an endpoint."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.callledger import CallLedger, CallLedgerSettings, CallState

SMALL = CallLedgerSettings(retain_s=100, pause_s=60, limit=3)


def _ledger(clock) -> CallLedger:
    return CallLedger("i", SMALL, clock)


@pytest.mark.holds_once
def test_call_begins_once_in_time_and_in_its_incarnation(clock) -> None:
    ledger = _ledger(clock)
    assert not ledger.begin("1:a", "former", clock() + 1)
    assert not ledger.begin("1:a", "i", clock())
    for ticket in ("a", "1:", "01:a", "x:a"):
        assert not ledger.begin(ticket, "i", clock() + 1)
    assert ledger.begin("1:a", "i", clock() + 1)
    assert not ledger.begin("1:a", "i", clock() + 1)


def test_settle_tells_how_far_a_call_got(clock) -> None:
    ledger = _ledger(clock)
    told = []
    for answered in (True, False):
        ticket = f"1:{answered}"
        ledger.begin(ticket, "i", clock() + 1)
        told.append(ledger.settle(ticket, "i"))
        ledger.finish(ticket, answered=answered)
        told.append(ledger.settle(ticket, "i"))
    ledger.begin("1:c", "i", clock() + 1)
    ledger.cancel("1:c")
    told += [ledger.settle("1:c", "i"), ledger.settle("1:d", "i"), ledger.settle("1:e", "former")]
    assert [state.value for state in told] == [
        "running",
        "ran",
        "running",
        "may_have_run",
        "never",
        "never",
        "may_have_run",
    ]
    assert not ledger.begin("1:d", "i", clock() + 1)


@pytest.mark.holds_once
def test_forgotten_calls_may_have_run_and_newer_ones_may_begin(clock) -> None:
    ledger = _ledger(clock)
    ledger.begin("5:a", "i", clock() + 1)
    ledger.finish("5:a", answered=True)
    for _ in range(4):
        clock.advance(59)
        ledger.begin("6:never", "other", clock() + 1)
        ledger.settle("9:b", "i")
    assert ledger.settle("5:a", "i") is CallState.MAY_HAVE_RUN
    assert not ledger.begin("4:late", "i", clock() + 1)
    assert ledger.begin("10:c", "i", clock() + 1)


@pytest.mark.holds_once
def test_long_pause_forgets_no_tombstone(clock) -> None:
    ledger = _ledger(clock)
    ledger.settle("5:a", "i")
    clock.advance(1e6)
    assert not ledger.begin("5:a", "i", clock() + 1)
    assert ledger.settle("5:a", "i") is CallState.NOT_STARTED


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "finish", "cancel", "settle"]),
        st.integers(0, 12),
        st.sampled_from([0, 30, 59]),
    ),
    max_size=80,
)


@pytest.mark.holds_once
@given(STEPS)
def test_no_call_begins_twice_or_after_it_was_told_never(steps) -> None:
    now = 0.0
    ledger = CallLedger("i", SMALL, lambda: now)
    begun: set[str] = set()
    cancelled: set[str] = set()
    fenced: set[str] = set()
    for step, number, wait in steps:
        now += wait
        ticket = f"{number}:n"
        if step == "begin" and ledger.begin(ticket, "i", now + 1):
            assert ticket not in begun | fenced
            begun.add(ticket)
        elif step == "finish":
            ledger.finish(ticket, answered=True)
        elif step == "cancel":
            if ledger.settle(ticket, "i") is CallState.RUNNING:
                cancelled.add(ticket)
            ledger.cancel(ticket)
        elif step == "settle" and ledger.settle(ticket, "i") is CallState.NOT_STARTED:
            assert ticket not in begun - cancelled
            fenced.add(ticket)
        running = len(begun)
        assert len(ledger) <= SMALL.limit + running
