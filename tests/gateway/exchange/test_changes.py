"""Changes that a reader repeats, with plain revisions."""

from __future__ import annotations

import attrs
import pytest

from basilroad.gateway.exchange.changes import (
    LOG_LENGTH,
    MAX_CHANGES_SENT,
    REPEAT_S,
    RecentChanges,
)
from basilroad.gateway.revision import Revision

NOW = 100.0


@attrs.frozen
class Change:
    revision: Revision


def revise(number: int, epoch: int = 0) -> Revision:
    return Revision(epoch, number)


def build_changes(*numbers: int) -> list[Change]:
    return [Change(revise(number)) for number in numbers]


def build_recent(*numbers: int) -> RecentChanges[Change]:
    recent: RecentChanges[Change] = RecentChanges()
    recent.record(build_changes(*numbers), revise(max(numbers, default=0)), NOW)
    return recent


def list_parts(recent: RecentChanges[Change], now: float = NOW) -> list[tuple[int, int, list[int]]]:
    return [
        (part.base.number, part.revision.number, [c.revision.number for c in part.changes])
        for part in recent.split(now)
    ]


def test_without_changes_one_part_tells_the_revision() -> None:
    recent = build_recent()
    recent.record([], revise(9), NOW)
    assert list_parts(recent) == [(0, 9, [])]


def test_a_change_is_repeated_for_a_time_and_then_assumed_known() -> None:
    recent = build_recent(3)
    recent.record(build_changes(5), revise(8), NOW + 0.5)
    assert list_parts(recent, NOW + REPEAT_S) == [(0, 8, [3, 5])]
    assert list_parts(recent, NOW + REPEAT_S + 0.1) == [(3, 8, [5])]
    assert list_parts(recent, NOW + REPEAT_S + 0.6) == [(5, 8, [])]


@pytest.mark.parametrize("count", [1, MAX_CHANGES_SENT, MAX_CHANGES_SENT + 1, 25])
def test_each_part_begins_where_the_one_before_ends(count: int) -> None:
    numbers = list(range(1, count + 1))
    parts = list_parts(build_recent(*numbers))
    assert len(parts) == -(-count // MAX_CHANGES_SENT)
    assert [number for _, _, part in parts for number in part] == numbers
    assert [base for base, _, _ in parts] == [0, *(end for _, end, _ in parts[:-1])]
    assert parts[-1][1] == count


def test_changes_of_one_revision_stay_together() -> None:
    numbers = [1] * 2 + [2] * MAX_CHANGES_SENT + [3]
    assert list_parts(build_recent(*numbers)) == [(0, 2, numbers[:-1]), (2, 3, [3])]


def test_changes_beyond_the_length_of_the_log_are_left_out() -> None:
    parts = list_parts(build_recent(*range(1, LOG_LENGTH + 4)))
    assert parts[0][0] == 3
    assert [number for _, _, part in parts for number in part] == list(range(4, LOG_LENGTH + 4))


def test_a_listing_replaces_what_was_known() -> None:
    recent = build_recent(7, 8)
    recent.record_listing(revise(2, epoch=1))
    assert recent.revision == revise(2, epoch=1)
    assert list_parts(recent) == [(2, 2, [])]


def test_the_revision_does_not_fall() -> None:
    recent = build_recent(8)
    recent.record([], revise(5), NOW)
    assert recent.revision == revise(8)
    recent.record([], revise(1, epoch=1), NOW)
    assert recent.revision == revise(1, epoch=1)
