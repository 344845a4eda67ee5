"""Check that settings never go back to older versions, in whatever order rows arrive."""

from __future__ import annotations

import random

import pytest
from hypothesis import example, given, settings, strategies as st

from basilroad.coordination.table import Row
from basilroad.settings import store as store_module
from basilroad.settings.store import SettingsStore
from basilroad.settings.view import SettingsView

RANK = "settings/ranks/urgent"
OWNERS = "settings/owners/ranks"


def make_rank(revision: int, order: object, author: str = "", path: str = RANK) -> Row:
    return Row(path, f'{{"order": {order}}}', revision, author)


def make_owners(revision: int, *authors: str, path: str = OWNERS, author: str = "") -> Row:
    listed = ", ".join(f'"{each}"' for each in authors)
    return Row(path, f'{{"authors": [{listed}]}}', revision, author)


def get_order(store: SettingsStore) -> int:
    rank = store.view.rank("urgent")
    assert rank is not None
    return rank.order


def test_older_row_never_replaces_a_newer_one() -> None:
    store = SettingsStore()
    assert store.apply([make_rank(5, 7)]).changed == (RANK,)
    assert store.apply([make_rank(4, 3)]).changed == ()
    assert store.apply([make_rank(5, 7)]).rows == ()
    assert (get_order(store), store.revision) == (7, 5)


def test_bad_value_leaves_the_old_one_in_force_and_is_recorded() -> None:
    store = SettingsStore()
    store.apply([make_rank(5, 7)])
    applied = store.apply([make_rank(6, '"x"', "ann")])
    assert applied.changed == ()
    [refusal] = store.refusals
    assert applied.refused == (refusal,)
    assert (refusal.path, refusal.revision, refusal.author) == (RANK, 6, "ann")
    assert "expected a whole number" in refusal.reason
    assert (get_order(store), store.revision) == (7, 6)
    store.apply([make_rank(7, 8)])
    assert (get_order(store), store.refusals) == (8, ())


def test_new_process_gets_the_old_value_from_a_peer_when_the_newest_is_bad() -> None:
    old, new = SettingsStore(), SettingsStore()
    old.apply([make_rank(5, 7)])
    old.apply([make_rank(6, '"x"')])
    new.apply([make_rank(6, '"x"')], through=6)
    new.apply(old.rows())
    assert get_order(new) == 7
    assert new.refusals == old.refusals


def test_deleted_setting_is_not_resurrected_by_a_stale_peer() -> None:
    store = SettingsStore()
    store.apply([make_rank(5, 7), Row(RANK, None, 6)])
    store.apply([make_rank(5, 7)])
    assert get_order(store) == 0
    assert [row.value for row in store.rows()] == [None]


def test_setting_whose_deletion_was_dropped_is_not_resurrected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "TOMBSTONES_KEPT", 1)
    store = SettingsStore()
    store.apply([Row(RANK, None, 6), Row("settings/drains/a", None, 7)], through=7)
    store.apply([Row("settings/drains/b", None, 8)], through=8)
    assert [row.key for row in store.rows()] == ["settings/drains/b"]
    store.apply([make_rank(5, 7)])
    assert get_order(store) == 0


def test_only_an_owner_writes_below_the_longest_prefix() -> None:
    store = SettingsStore()
    nested = "settings/owners/ranks/urgent"
    store.apply([make_owners(1, "ops"), make_owners(2, "duty", path=nested, author="ops")])
    store.apply([make_rank(3, 5, "ops")])
    assert get_order(store) == 0
    assert "ops does not own" in store.refusals[0].reason
    store.apply([make_rank(4, 6, "duty")])
    assert (get_order(store), store.refusals) == (6, ())


def test_subtree_is_transferred_only_by_its_owner() -> None:
    store = SettingsStore()
    store.apply([make_owners(1, "ops"), make_owners(2, "eve", author="eve")])
    store.apply([make_rank(3, 5, "eve")])
    assert {refusal.path for refusal in store.refusals} == {OWNERS, RANK}
    store.apply([make_owners(4, "eve", author="ops"), make_rank(5, 9, "eve")])
    assert get_order(store) == 9


def test_setting_written_before_its_owners_changed_stays() -> None:
    store = SettingsStore()
    store.apply([make_rank(1, 5, "ann"), make_owners(2, "ops")])
    assert get_order(store) == 5


def test_row_in_force_is_withdrawn_when_earlier_owners_arrive_late() -> None:
    store = SettingsStore()
    store.apply([make_rank(1, 4, "ann"), make_rank(3, 5, "ann")])
    store.apply([make_owners(2, "ops")])
    assert get_order(store) == 4


def test_subscriber_is_called_on_changes_only_and_may_raise() -> None:
    received: list[SettingsView] = []

    def fail(_view: SettingsView) -> None:
        raise RuntimeError("subscriber")

    store = SettingsStore()
    store.subscribe(fail)
    cancel = store.subscribe(received.append)
    store.apply([make_rank(1, 4)])
    store.apply([make_rank(1, 4), make_rank(2, 4)])
    cancel()
    store.apply([make_rank(3, 5)])
    assert [view.revision for view in received] == [1]


def test_snapshot_does_not_change() -> None:
    store = SettingsStore()
    before = store.view
    store.apply([make_rank(1, 4)])
    assert before.rank_by_order(0).name == "urgent"
    assert store.view.rank_by_order(0).name == "standard"


AUTHORS = ("ann", "ops")
PATHS = (RANK, "settings/ranks/batch")
OWNER_PATHS = (OWNERS, "settings/owners/ranks/batch", "settings/owners/owners")


@st.composite
def draw_rows(draw: st.DrawFn) -> list[Row]:
    paths = draw(st.lists(st.sampled_from(PATHS + OWNER_PATHS), max_size=12))
    rows = []
    for revision, path in enumerate(paths, 1):
        if paths[:revision].count(path) > 4:
            continue
        author = draw(st.sampled_from(AUTHORS))
        if draw(st.integers(0, 4)) == 0:
            rows.append(Row(path, None, revision, author))
        elif path in OWNER_PATHS:
            owner = draw(st.sampled_from(AUTHORS))
            rows.append(make_owners(revision, owner, path=path, author=author))
        else:
            order = draw(st.sampled_from([0, 1, 2, 3, '"bad"']))
            rows.append(make_rank(revision, order, author, path))
    return rows


@settings(deadline=None)
@given(rows=draw_rows(), seed=st.integers())
@example(rows=[make_rank(3, 0), Row(RANK, None, 4)], seed=0)
def test_order_batches_and_repeats_of_rows_do_not_matter(rows: list[Row], seed: int) -> None:
    in_order, shuffled, from_peer = SettingsStore(), SettingsStore(), SettingsStore()
    in_order.apply(rows)
    mixed = rows * 2
    rng = random.Random(seed)
    rng.shuffle(mixed)
    while mixed:
        batch = rng.randint(1, 3)
        shuffled.apply(mixed[:batch])
        del mixed[:batch]
    assert shuffled.view == in_order.view
    assert shuffled.refusals == in_order.refusals
    from_peer.apply(shuffled.rows())
    assert from_peer.view == in_order.view
    assert from_peer.refusals == in_order.refusals
