"""Event extraction over several runs of a stream."""

from __future__ import annotations

import time

import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.streams.events import (
    IDLE_EVENTS,
    IDLE_EVENTS_PER_S,
    EventOrderError,
    EventSequence,
)


def write_events(first: int, last: int) -> bytes:
    return b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in range(first, last + 1))


@given(st.integers(1, 12), st.lists(st.integers(1, 400), max_size=20))
def test_bytes_in_any_pieces_give_the_same_events(count: int, cuts: list[int]) -> None:
    data = write_events(1, count)
    sequence, taken, start = EventSequence(), b"", 0
    for end in [*sorted({cut for cut in cuts if cut < len(data)}), len(data)]:
        taken += sequence.take(data[start:end])
        start = end
    assert taken == data
    assert sequence.last == count
    assert sequence.is_whole


@given(st.integers(1, 10), st.integers(1, 10), st.integers(0, 8))
def test_a_second_run_neither_repeats_nor_loses_events(stop: int, more: int, torn: int) -> None:
    whole = write_events(1, stop + more)
    sequence = EventSequence()
    taken = sequence.take(write_events(1, stop) + write_events(stop + 1, stop + 1)[:torn])
    sequence.start_run()
    taken += sequence.take(whole[len(write_events(1, stop - 1)) :])
    assert taken == whole


def test_a_missing_event_is_an_error() -> None:
    sequence = EventSequence(last=4)
    with pytest.raises(EventOrderError, match="event 6 came after event 4"):
        sequence.take(write_events(6, 6))


@pytest.mark.parametrize("rest", [write_events(9, 9), b"id: x\n\n", b":\n\n" * (IDLE_EVENTS + 1)])
def test_events_before_an_error_are_repeated_by_the_next_run(rest: bytes) -> None:
    """Events received together with an invalid one were counted as forwarded, and missing."""
    sequence = EventSequence(last=2)
    with pytest.raises(EventOrderError):
        sequence.take(write_events(3, 5) + rest)
    assert (sequence.last, sequence.received) == (2, 0)
    sequence.start_run()
    assert sequence.take(write_events(3, 6)) == write_events(3, 6)


def test_a_run_that_stops_within_an_event_is_not_whole() -> None:
    sequence = EventSequence()
    assert sequence.take(b"id: 1\ndata: x") == b""
    assert not sequence.is_whole


def test_an_id_that_is_no_number_is_an_error() -> None:
    with pytest.raises(EventOrderError, match="id"):
        EventSequence().take(b"id: 1x\ndata: x\n\n")


USELESS = [b"x\n\n", b":\n\n", b"\n\n", b"data: x\n\n", b"id: 3\ndata: x\n\n"]


@pytest.mark.parametrize("event", USELESS)
def test_events_without_a_new_id_end_a_run(event: bytes) -> None:
    """Review case 6: lines that are no event were passed on until the stream's time limit."""
    sequence = EventSequence(last=3)
    sequence.start_run()
    with pytest.raises(EventOrderError, match="without a new id"):
        sequence.take(event * (IDLE_EVENTS + 3 + IDLE_EVENTS_PER_S))


@pytest.mark.parametrize("event", USELESS)
def test_a_burst_of_events_without_a_new_id_is_allowed(event: bytes) -> None:
    sequence = EventSequence(last=3)
    sequence.start_run()
    sequence.take(event * IDLE_EVENTS)
    assert sequence.take(write_events(4, 5)) == write_events(4, 5)


def test_a_long_run_may_send_a_comment_now_and_then(monkeypatch: pytest.MonkeyPatch) -> None:
    seconds = 600
    sequence = EventSequence()
    sequence.start_run()
    now = time.monotonic() + seconds
    monkeypatch.setattr(time, "monotonic", lambda: now)
    for _ in range(seconds * IDLE_EVENTS_PER_S):
        assert sequence.take(b":\n\n") == b":\n\n"


def test_a_run_may_repeat_all_that_was_received() -> None:
    last = 3 * IDLE_EVENTS
    sequence = EventSequence(last=last)
    sequence.start_run()
    assert sequence.take(write_events(1, last + 2)) == write_events(last + 1, last + 2)


def test_many_numbered_events_at_once_are_allowed() -> None:
    data = write_events(1, 20 * IDLE_EVENTS)
    assert EventSequence().take(data) == data
