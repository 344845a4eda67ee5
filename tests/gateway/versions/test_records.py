"""Records of the versions of streams, without a store."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from basilroad.gateway.calls.call import Call
from basilroad.gateway.versions.archive import Committed, Conflict, MayCommit, NotCommitted
from basilroad.gateway.versions.records import (
    BATCH_DELAY_S,
    BATCH_ENTRIES,
    REMOVE_DELAY_S,
    StreamRecords,
)
from basilroad.gateway.versions.streamrow import RESUME_WINDOW_S
from builders import build_call, build_stream_route

BUDGET_S = 25.0
RECORDS_A_WRITE = BATCH_ENTRIES // 2
MAY_COMMIT = MayCommit("no response")


def build_stream_call(call_id: str) -> Call:
    """:return: the call of a stream."""
    route = build_stream_route(timeout_s=BUDGET_S)
    return build_call(route, id=call_id, arrived_at=0.0, expires_at=BUDGET_S)


def write_all(records: StreamRecords, now: float) -> None:
    """Apply transactions until none is due."""
    revision = 0
    while records.due_at() <= now:
        revision += 1
        records.apply(records.take_batch(), Committed(revision))


def keep_streams(count: int) -> StreamRecords:
    """:return: settled records of streams whose responses have ended."""
    records = StreamRecords()
    for n in range(count):
        call = build_stream_call(f"kept-{n}")
        records.request(call, "v2", 0.0)
        records.keep(call)
        records.keep(call, 1.0 + RESUME_WINDOW_S)
    write_all(records, 1.0)
    return records


def wake(records: StreamRecords, now: float) -> None:
    """Do what a wake-up of the keeper does, with a transaction if one is due."""
    records.expire(now)
    records.withdraw_all("v1")
    if records.due_at() <= now:
        records.apply(records.take_batch(), Committed(999))
    records.next_leaving()


def count_calls(function: Callable[[], None]) -> int:
    """:return: number of functions, generators and properties that a call enters."""
    entered = 0

    def profile(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal entered
        del frame, argument
        entered += event == "call"

    previous = sys.getprofile()
    sys.setprofile(profile)
    try:
        function()
    finally:
        sys.setprofile(previous)
    return entered


# fault: each wake-up went through all records of a host, 17 ms with 16,000 of them
@pytest.mark.parametrize("requested", [0, 1, 20])
def test_a_wake_up_visits_no_more_records_where_more_are_kept(requested: int) -> None:
    calls = []
    for kept in (100, 1_000):
        records = keep_streams(kept)
        for n in range(requested):
            records.request(build_stream_call(f"new-{n}"), "v2", 2.0, delay_s=0.0)
        calls.append(count_calls(functools.partial(wake, records, 2.0)))
        assert records.due_at() > 2.0
    assert calls[0] == calls[1]


# fault: as above, where a stream begins and ends
def test_a_stream_visits_no_records_of_others() -> None:
    calls = []
    for kept in (100, 1_000):
        records = keep_streams(kept)
        call = build_stream_call("new")

        def pass_on(records: StreamRecords = records, call: Call = call) -> None:
            records.request(call, "v2", 2.0)
            wake(records, 2.0 + BATCH_DELAY_S)
            records.keep(call)
            records.keep(call, 4.0 + RESUME_WINDOW_S)

        calls.append(count_calls(pass_on))
        assert records.is_settled(call)
    assert calls[0] == calls[1]


def test_the_records_that_are_due_first_are_written_first() -> None:
    records = StreamRecords()
    calls = [build_stream_call(f"stream-{n}") for n in range(RECORDS_A_WRITE + 10)]
    for n, call in enumerate(calls):
        records.request(call, "v2", float(n))
    records.request(calls[-1], "v2", 0.0, delay_s=0.0)
    assert records.due_at() == 0.0
    records.apply(records.take_batch(), Committed(1))
    settled = [call.id for call in calls if records.is_settled(call)]
    assert settled == [call.id for call in [*calls[: RECORDS_A_WRITE - 1], calls[-1]]]
    assert records.due_at() == RECORDS_A_WRITE - 1 + BATCH_DELAY_S


def test_a_transaction_without_a_response_is_sent_again_before_others() -> None:
    records = StreamRecords()
    calls = [build_stream_call(f"stream-{n}") for n in range(2 * RECORDS_A_WRITE)]
    for call in calls:
        records.request(call, "v2", 0.0)
    first = records.take_batch()
    records.apply(first, MAY_COMMIT)
    second = records.take_batch()
    assert list(second.writes) == list(first.writes)
    records.apply(second, Committed(1))
    assert all(records.is_settled(call) for call in calls[:RECORDS_A_WRITE])
    assert not records.take_batch().writes.keys() & first.writes.keys()


@pytest.mark.parametrize("outcome", [MAY_COMMIT, NotCommitted("refused"), Conflict({})])
def test_a_record_that_was_not_written_stays_due(
    outcome: MayCommit | NotCommitted | Conflict,
) -> None:
    records, call = StreamRecords(), build_stream_call("stream")
    records.request(call, "v2", 1.0)
    records.apply(records.take_batch(), outcome)
    assert records.due_at() == 1.0 + BATCH_DELAY_S
    assert not records.is_settled(call)


def test_a_settled_record_of_which_another_version_is_requested_is_due_again() -> None:
    records, call = StreamRecords(), build_stream_call("stream")
    records.request(call, "v2", 0.0)
    write_all(records, 1.0)
    records.request(call, "v3", 5.0)
    assert records.due_at() == 5.0 + BATCH_DELAY_S
    records.request(call, "v3", 5.0, delay_s=0.0)
    assert records.due_at() == 5.0
    assert [version for version, _ in records.take_batch().writes.values()] == ["v3"]


def test_all_records_are_due_again_after_a_restore() -> None:
    records = keep_streams(10)
    assert records.due_at() > 1.0
    records.repeat()
    assert records.due_at() <= 1.0
    assert len(records.take_batch().writes) == 10


def test_only_requests_of_a_version_that_were_not_sent_are_withdrawn() -> None:
    records = StreamRecords()
    sent, left, moved, other = [build_stream_call(name) for name in ("a", "b", "c", "d")]
    records.request(sent, "v1", 0.0)
    records.apply(records.take_batch(), MAY_COMMIT)
    records.request(left, "v1", 1.0)
    records.request(moved, "v2", 1.0)
    records.request(moved, "v1", 1.0)
    records.request(other, "v2", 1.0)
    records.withdraw_all("v1")
    assert records.due_at() == BATCH_DELAY_S
    assert [version for version, _ in records.take_batch().writes.values()] == ["v1", "v2"]
    assert (records.withdraw(left), records.withdraw(moved)) == (True, True)
    assert (records.withdraw(sent), records.withdraw(other)) == (False, False)


def test_a_record_leaves_at_the_last_time_that_was_named() -> None:
    records, call = StreamRecords(), build_stream_call("stream")
    records.request(call, "v2", 0.0)
    write_all(records, 1.0)
    assert records.next_leaving() == BUDGET_S + RESUME_WINDOW_S
    records.keep(call)
    records.expire(1e6)
    assert records.is_settled(call)
    records.keep(call, 90.0)
    records.expire(89.0)
    assert records.is_settled(call)
    records.expire(90.0)
    assert not records.is_settled(call)
    assert records.due_at() == 90.0 + REMOVE_DELAY_S
    batch = records.take_batch()
    assert (len(batch.writes), len(batch.removals)) == (0, 1)
    records.apply(batch, Committed(2))
    assert records.due_at() == records.next_leaving() == float("inf")


def test_a_full_transaction_of_removals_is_due_at_once() -> None:
    records = keep_streams(BATCH_ENTRIES + 5)
    records.expire(1.0 + RESUME_WINDOW_S)
    assert records.due_at() < 1.0 + RESUME_WINDOW_S
    assert len(records.take_batch().removals) == BATCH_ENTRIES
