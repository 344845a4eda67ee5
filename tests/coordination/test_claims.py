"""Tests that a claimed request is sent at most once under injected faults."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from basilroad.coordination.callledger import CallLedger, CallLedgerSettings, CallState
from basilroad.coordination.claim import (
    AlreadyClaimed,
    Claimed,
    ClaimRequest,
    ClaimState,
    KeyMismatch,
    StoredHeader,
    StoredOutcome,
    Unavailable,
)
from basilroad.coordination.claimpoller import ClaimPoller, ClaimPollerSettings
from basilroad.coordination.claims import Claims
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.groupcommit import GroupCommit, GroupCommitSettings
from basilroad.coordination.table import ABSENT, TableUnavailableError, TableUnknownError, Write
from coordination.faketable import FakeTable, Fault
from support.timelimit import limit_time

SETTINGS = ClaimsSettings(
    batch_s=0, retry_s=0.001, write_s=0.2, body_limit=100, outcome_retry_s=0.01, clean_s=0.01
)
CLAIM_TIMEOUT_S = 0.3

CLAIMS_PATIENCE_S = 30.0
"""Deadline of claims in seconds where the number of commits is checked, not their duration."""

OUTCOME = StoredOutcome(200, (StoredHeader("x", "y"),), b"\x00done")


def _request(key: str = "k", timeout_s: float = CLAIM_TIMEOUT_S, **changes) -> ClaimRequest:
    fields = {
        "workspace": "w",
        "caller": "c",
        "key": key,
        "fingerprint": "f",
        "holder": "entry-1",
        "agent": "agent-1",
        "agent_incarnation": "i",
        "deadline": time.monotonic() + timeout_s,
    }
    return ClaimRequest(**{**fields, **changes})


@pytest.fixture
async def claims(table):
    async with Claims(table, SETTINGS) as service:
        yield service


async def _until(condition) -> None:
    async with limit_time(5):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.holds_once
async def test_first_claim_wins_its_key(claims) -> None:
    first = await claims.claim(_request())
    assert isinstance(first, Claimed)
    assert await claims.claim(_request()) == AlreadyClaimed(first.claim)
    assert await claims.claim(_request(fingerprint="other")) == KeyMismatch()
    assert isinstance(await claims.claim(_request(caller="d")), Claimed)
    assert await claims.read("w", "c", "k") == first.claim


@pytest.mark.holds_once
@pytest.mark.parametrize("fault", list(Fault))
async def test_claim_retries_faults_until_the_deadline(claims, table, fault) -> None:
    table.faults = [fault]
    table.read_faults = [fault]
    claimed = await claims.claim(_request())
    table.apply_late_writes()
    assert isinstance(claimed, Claimed)
    assert await claims.claim(_request()) == AlreadyClaimed(claimed.claim)


@pytest.mark.holds_not_run
async def test_outage_beyond_the_deadline_is_reported_as_not_run(table) -> None:
    # The deadline passes between two commits: with one in flight the claim would be unsettled.
    def read_clock() -> float:
        return started + len(table.commits) * CLAIM_TIMEOUT_S / 10

    started = time.monotonic()
    async with Claims(table, SETTINGS, read_clock) as claims:
        table.down = True
        assert await claims.claim(_request(deadline=started + CLAIM_TIMEOUT_S)) == Unavailable(
            settled=True
        )
        assert len(table.commits) == 10
        table.down = False
        assert table.rows == {}
        deadline = read_clock() + CLAIM_TIMEOUT_S
        assert isinstance(await claims.claim(_request(deadline=deadline)), Claimed)


async def test_claim_with_a_commit_in_flight_at_the_deadline_is_unsettled(table) -> None:
    async with Claims(table, SETTINGS) as claims:
        table.delay_s = 0.2
        assert await claims.claim(_request(timeout_s=0.05)) == Unavailable(settled=False)


@pytest.mark.holds_not_run
async def test_claim_applied_after_it_was_abandoned_is_deleted(claims, table) -> None:
    table.faults = [Fault.LOST_LATE] + [Fault.UNAVAILABLE] * 1000
    table.read_faults = [Fault.UNAVAILABLE] * 1000
    assert await claims.claim(_request(timeout_s=0.05)) == Unavailable(settled=False)
    table.faults.clear()
    table.read_faults.clear()
    table.apply_late_writes()
    assert len(table.rows) == 1
    await _until(lambda: not table.rows)


@pytest.mark.holds_once
async def test_key_of_an_abandoned_claim_can_be_claimed_immediately(table) -> None:
    slow = ClaimsSettings(batch_s=0, retry_s=0.001, clean_s=60)
    async with Claims(table, slow) as claims:
        table.faults = [Fault.LOST_DONE] + [Fault.UNAVAILABLE] * 1000
        table.read_faults = [Fault.UNAVAILABLE] * 1000
        assert await claims.claim(_request(timeout_s=0.05)) == Unavailable(settled=False)
        table.faults.clear()
        table.read_faults.clear()
        abandoned = await claims.read("w", "c", "k")
        claimed = await claims.claim(_request())
        assert isinstance(claimed, Claimed)
        assert claimed.nonce != abandoned.record.nonce


async def test_cancelled_claim_is_deleted(claims, table) -> None:
    table.delay_s = 0.02
    task = asyncio.create_task(claims.claim(_request()))
    await asyncio.sleep(0.01)
    task.cancel()
    await _until(lambda: table.revision >= 2)
    assert table.rows == {}


@pytest.mark.holds_once
async def test_claim_written_after_the_deadline_must_not_be_sent(table, clock) -> None:
    table.on_commit = lambda: clock.advance(5)
    async with Claims(table, SETTINGS, clock) as claims:
        outcome = await claims.claim(_request(deadline=clock() + 2))
        assert outcome == Unavailable(settled=False)
        await _until(lambda: clock.advance(0.1) or not table.rows)


# fault: each claim has a commit of its own; a pause of the process must not decide the outcome
@pytest.mark.parametrize("pause_s", [0, 2 * CLAIM_TIMEOUT_S])
async def test_many_claims_share_few_commits(table, pause_s) -> None:
    patient = attrs.evolve(SETTINGS, write_s=CLAIMS_PATIENCE_S)
    requests = [_request(f"k{number % 100}", CLAIMS_PATIENCE_S) for number in range(200)]
    table.delay_s = 0.001
    pauses = iter([pause_s])
    table.on_commit = lambda: time.sleep(next(pauses, 0))
    async with Claims(table, patient) as claims:
        outcomes = await asyncio.gather(*map(claims.claim, requests))
    assert Counter(type(outcome) for outcome in outcomes) == {Claimed: 100, AlreadyClaimed: 100}
    assert sum(table.commits) == 200
    assert len(table.commits) <= 6


@pytest.mark.holds_once
async def test_one_of_two_take_overs_wins(claims, table) -> None:
    first = await claims.claim(_request())
    async with Claims(table, SETTINGS) as other:
        table.faults = [Fault.LOST_DONE]
        outcomes = await asyncio.gather(
            claims.take_over(first.claim, _request(agent="agent-2")),
            other.take_over(first.claim, _request(agent="agent-3")),
        )
    assert Counter(type(outcome) for outcome in outcomes) == {Claimed: 1, AlreadyClaimed: 1}
    assert first.nonce not in {outcome.claim.record.nonce for outcome in outcomes}


@pytest.mark.parametrize("fault", list(Fault))
async def test_take_over_retries_after_a_fault(claims, table, fault) -> None:
    first = await claims.claim(_request())
    table.faults = [fault]
    taken = await claims.take_over(first.claim, _request(agent="agent-2"))
    table.apply_late_writes()
    assert isinstance(taken, Claimed)
    assert await claims.read("w", "c", "k") == taken.claim


async def test_outcome_of_a_claim_that_was_taken_over_is_not_stored(claims) -> None:
    first = await claims.claim(_request())
    taken = await claims.take_over(first.claim, _request())
    claims.record_outcome(first, OUTCOME)
    await _until(lambda: not claims.pending_outcomes())
    assert await claims.read("w", "c", "k") == taken.claim


async def test_request_that_ran_is_not_taken_over(claims) -> None:
    claimed = await claims.claim(_request())
    claims.record_outcome(claimed, OUTCOME)
    await _until(lambda: not claims.pending_outcomes())
    ran = await claims.read("w", "c", "k")
    assert await claims.take_over(ran, _request()) == AlreadyClaimed(ran)
    assert await claims.take_over(claimed.claim, _request()) == AlreadyClaimed(ran)


@pytest.mark.parametrize("fault", list(Fault))
async def test_outcome_is_stored_after_faults_and_the_poller_returns_it(
    claims, table, fault
) -> None:
    claimed = await claims.claim(_request())
    table.faults = [Fault.UNAVAILABLE, fault]
    claims.record_outcome(claimed, OUTCOME)
    found = await ClaimPoller(claims, ClaimPollerSettings(first_s=0.005)).wait(claimed.claim, 5)
    assert (found.record.state, found.record.outcome) == (ClaimState.RAN, OUTCOME)
    await _until(lambda: not claims.pending_outcomes())


async def test_poller_times_out_and_detects_a_freed_key(claims, table) -> None:
    claimed = await claims.claim(_request())
    poller = ClaimPoller(claims, ClaimPollerSettings(first_s=0.005))
    table.read_faults = [Fault.UNAVAILABLE]
    assert await poller.wait(claimed.claim, 0.05) == claimed.claim
    assert await claims.release(claimed)
    assert await poller.wait(claimed.claim, 5) is None
    assert isinstance(await claims.claim(_request()), Claimed)


async def test_poller_detects_that_a_claim_was_taken_over(claims) -> None:
    claimed = await claims.claim(_request())
    taken = await claims.take_over(claimed.claim, _request())
    async with limit_time(2):
        found = await ClaimPoller(claims, ClaimPollerSettings(first_s=0.005)).wait(
            claimed.claim, 60
        )
    assert found == taken.claim


@pytest.mark.holds_once
async def test_release_of_a_claim_that_was_taken_over_deletes_nothing(claims) -> None:
    claimed = await claims.claim(_request())
    taken = await claims.take_over(claimed.claim, _request())
    await claims.release(claimed)
    assert await claims.read("w", "c", "k") == taken.claim


async def test_release_during_an_outage_is_retried(claims, table) -> None:
    claimed = await claims.claim(_request())
    table.down = True
    assert not await claims.release(claimed)
    table.down = False
    await _until(lambda: not table.rows)


async def test_pending_outcomes_are_bounded(table) -> None:
    small = ClaimsSettings(batch_s=0, body_limit=10, outcomes_limit=3, outcome_bytes_limit=15)
    async with Claims(table, small) as claims:
        claimed = [await claims.claim(_request(f"k{number}")) for number in range(5)]
        table.down = True
        for number, claim in enumerate(claimed):
            claims.record_outcome(claim, StoredOutcome(200, body=b"x" * (11 if number == 2 else 8)))
        assert claims.pending_outcomes() == 3
        table.down = False
    found = [await claims.read("w", "c", f"k{number}") for number in range(5)]
    assert [claim.record.state.value for claim in found] == ["claimed"] * 2 + ["ran"] * 3
    assert [claim.record.outcome.body_kept for claim in found[2:]] == [False, True, False]


async def test_writes_of_one_row_go_in_separate_commits(table) -> None:
    async with GroupCommit(table, GroupCommitSettings(batch_s=0)) as commits:
        writes = [commits.submit(Write("k", value, ABSENT), 1) for value in "12"]
        results = await asyncio.gather(*writes)
    assert [result.done for result in results] == [True, False]
    assert table.commits == [1, 1]


@pytest.mark.parametrize(
    ("batch_s", "error"), [(0, TableUnknownError), (60, TableUnavailableError)]
)
async def test_write_without_answer_is_unknown_only_once_it_was_sent(table, batch_s, error) -> None:
    table.delay_s = 60
    async with GroupCommit(table, GroupCommitSettings(batch_s=batch_s)) as commits:
        with pytest.raises(error):
            await commits.submit(Write("k", "1"), 0.05)


async def test_stopped_group_commit_fails_queued_writes(table) -> None:
    commits = GroupCommit(table, GroupCommitSettings(batch_s=60))
    async with commits:
        task = asyncio.create_task(commits.submit(Write("k", "1"), 60))
        await asyncio.sleep(0)
    for write in (task, commits.submit(Write("k", "1"), 1)):
        with pytest.raises(TableUnavailableError):
            await write
    assert table.commits == []


async def _run_request(claims: Claims, ledger: CallLedger, runs: list[int], deadline: float) -> str:
    """Run one request as an entry does and return the result that its caller gets."""
    request = _request(deadline=deadline)
    outcome = await claims.claim(request)
    if isinstance(outcome, AlreadyClaimed):
        existing = outcome.claim
        if ledger.settle(existing.ticket, "i") is CallState.NOT_STARTED:
            outcome = await claims.take_over(existing, request)
    if not isinstance(outcome, Claimed):
        return type(outcome).__name__
    await asyncio.sleep(0)
    if not ledger.begin(outcome.claim.ticket, "i", deadline):
        return "refused"
    runs.append(1)
    await asyncio.sleep(0)
    ledger.finish(outcome.claim.ticket, answered=True)
    claims.record_outcome(outcome, OUTCOME)
    return "ran"


@pytest.mark.holds_once
@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.sampled_from(list(Fault)), max_size=12),
    st.lists(st.sampled_from(list(Fault)), max_size=6),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 20)), min_size=1, max_size=8),
    st.integers(0, 15),
)
def test_request_runs_at_most_once(faults, read_faults, sendings, late_write_turns) -> None:
    asyncio.run(_check_runs_at_most_once(faults, read_faults, sendings, late_write_turns))


async def _check_runs_at_most_once(faults, read_faults, sendings, late_write_turns) -> None:
    table, runs = FakeTable(), []
    table.faults, table.read_faults = list(faults), list(read_faults)
    ledger = CallLedger("i", CallLedgerSettings())

    async def send(entry: Claims, turns: int) -> str:
        for _ in range(turns):
            await asyncio.sleep(0)
        return await _run_request(entry, ledger, runs, time.monotonic() + 0.05)

    async def apply_late_writes() -> None:
        for _ in range(late_write_turns):
            await asyncio.sleep(0)
        table.apply_late_writes()

    async with AsyncExitStack() as stack:
        entries = [await stack.enter_async_context(Claims(table, SETTINGS)) for _ in range(3)]
        jobs = [send(entries[number], turns) for number, turns in sendings]
        answers = (await asyncio.gather(apply_late_writes(), *jobs))[1:]
        table.apply_late_writes()
    assert len(runs) == answers.count("ran") <= 1
    if len(faults) + len(read_faults) == 0:
        assert answers.count("ran") == 1
