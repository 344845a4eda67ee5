"""Tests that tokens are accepted once and in order."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.sequence import Gap, TokenSequence

COMPLETE_OUTPUT = [f"t{number}" for number in range(30)]


@pytest.mark.holds_tokens
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30), st.integers(0, 8))))
def test_accepted_output_is_always_a_prefix_of_the_complete_output(messages) -> None:
    sequence = TokenSequence("g")
    sequence.begin_attempt()
    sequence.begin_attempt()
    accepted: list[str] = []
    for attempt, offset, count in messages:
        tokens = COMPLETE_OUTPUT[offset : offset + count] if attempt == 2 else ["wrong"] * count
        result = sequence.accept(attempt, offset, tokens)
        if isinstance(result, Gap):
            assert result == Gap(len(accepted), offset)
            continue
        accepted += result
    assert accepted == COMPLETE_OUTPUT[: len(accepted)]
    assert sequence.next_offset == len(accepted)


@pytest.mark.holds_tokens
def test_next_attempt_continues_at_the_next_offset() -> None:
    sequence = TokenSequence("g")
    first = sequence.begin_attempt()
    assert sequence.accept(first, 0, ["a", "b"]) == ["a", "b"]
    second = sequence.begin_attempt()
    assert sequence.accept(first, 2, ["c"]) == []
    assert sequence.accept(second, 1, ["b", "c"]) == ["c"]
    assert sequence.accept(second, 5, ["f"]) == Gap(3, 5)
