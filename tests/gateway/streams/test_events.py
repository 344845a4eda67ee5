"""Event extraction over several runs of a stream."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.streams.events import EventOrderError, EventSequence


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


def test_a_run_that_stops_within_an_event_is_not_whole() -> None:
    sequence = EventSequence()
    assert sequence.take(b"id: 1\ndata: x") == b""
    assert not sequence.is_whole


def test_an_id_that_is_no_number_is_an_error() -> None:
    with pytest.raises(EventOrderError, match="id"):
        EventSequence().take(b"id: 1x\ndata: x\n\n")
