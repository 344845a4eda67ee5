"""Check that concurrent writers and lost responses neither lose nor hide a write."""

from __future__ import annotations

import pytest
from fake_table import FakeTable

from basilroad.coordination.table import Write
from basilroad.settings import publish
from basilroad.settings.publish import (
    Accepted,
    Change,
    Conflict,
    Forbidden,
    Unavailable,
    Unknown,
    publish_changes,
)

RANK = "settings/ranks/urgent"
DRAIN = "settings/drains/a"
NEW = Change(RANK, '{"order":4}')


@pytest.fixture(autouse=True)
def _resend_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publish, "RESEND_DELAY_S", 0.0)


async def test_racing_write_is_a_conflict_and_nothing_is_written() -> None:
    table = FakeTable()
    table.competing_writes = [Write(RANK, '{"order":5}', author="bob")]
    outcome = await publish_changes(table, [Change(DRAIN, "{}"), NEW], "ann")
    assert isinstance(outcome, Conflict)
    assert (outcome.path, outcome.expected) == (RANK, 0)
    assert outcome.row is not None
    assert outcome.row.author == "bob"
    assert table.get(DRAIN) is None


async def test_expected_revision_is_enforced() -> None:
    table = FakeTable()
    table.put(RANK, '{"order":1}')
    table.put(RANK, '{"order":2}')
    stale = Change(RANK, '{"order":4}', expected=1)
    assert isinstance(await publish_changes(table, [stale], "ann"), Conflict)
    fresh = Change(RANK, '{"order":4}', expected=2)
    assert isinstance(await publish_changes(table, [fresh], "ann"), Accepted)


async def test_author_who_does_not_own_the_path_is_refused_before_the_write() -> None:
    table = FakeTable()
    table.put("settings/owners/ranks", '{"authors":["ops"]}')
    outcome = await publish_changes(table, [Change(DRAIN, "{}"), NEW], "eve")
    assert outcome == Forbidden(RANK, ("ops",))
    assert table.commits == 0


@pytest.mark.parametrize("text", ['{"order":4}', None])
async def test_lost_response_is_resolved_by_reading_back(text: str | None) -> None:
    table = FakeTable()
    table.put(RANK, '{"order":1}')
    table.lost_answers = 1
    outcome = await publish_changes(table, [Change(RANK, text)], "ann")
    assert isinstance(outcome, Accepted)
    assert table.commits == 1


async def test_lost_write_is_sent_again_and_takes_effect_once() -> None:
    table = FakeTable()
    table.delayed_writes = 1
    outcome = await publish_changes(table, [NEW], "ann")
    assert isinstance(outcome, Accepted)
    table.apply_delayed_writes()
    assert [row.value for row in table.store.list_history(RANK)] == ['{"order":4}']


async def test_lost_write_overtaken_by_another_is_a_conflict() -> None:
    table = FakeTable()
    table.delayed_writes = 1
    table.competing_writes = [Write(RANK, '{"order":5}', author="bob")]
    outcome = await publish_changes(table, [NEW], "ann")
    assert isinstance(outcome, Conflict)
    table.apply_delayed_writes()
    assert len(table.store.list_history(RANK)) == 1


async def test_setting_deleted_by_another_author_meanwhile_is_not_written_again() -> None:
    table = FakeTable()
    table.lost_answers = 1
    real_commit = table.store.commit

    def commit_and_delete(writes: list[Write], *, atomic: bool) -> object:
        results = real_commit(writes, atomic=atomic)
        real_commit([Write(RANK, None, author="bob")], atomic=True)
        return results

    table.store.commit = commit_and_delete  # type: ignore[method-assign, assignment]
    assert isinstance(await publish_changes(table, [NEW], "ann"), Conflict)
    assert table.commits == 1


async def test_unresolved_write_is_unknown() -> None:
    table = FakeTable()
    table.delayed_writes = 1 + publish.RESEND_ATTEMPTS
    assert isinstance(await publish_changes(table, [NEW], "ann"), Unknown)


async def test_unavailable_table_is_reported() -> None:
    table = FakeTable()
    table.unavailable = True
    assert isinstance(await publish_changes(table, [NEW], "ann"), Unavailable)
