"""Check the table in memory against a plain model of it."""

from __future__ import annotations

from hypothesis import given, strategies as st

from basilroad.coordination.table import ABSENT, Write
from basilroad.standin.memorytable import InMemoryTable

KEYS = ["a/1", "a/2", "ab", "b/1"]
WRITES = st.builds(
    Write,
    key=st.sampled_from(KEYS),
    value=st.sampled_from(["1", "2", None]),
    expected=st.sampled_from([None, ABSENT, 1, 2, 3, 4]),
)
COMMITS = st.lists(
    st.tuples(st.lists(WRITES, min_size=1, max_size=3, unique_by=lambda w: w.key), st.booleans()),
    max_size=12,
)
State = dict[str, tuple[str, int]]


def apply(state: State, writes: list[Write], atomic: bool, revision: int) -> tuple[State, int]:
    """:return: the state and the revision after a commit, computed the simple way."""
    after = dict(state)
    held = 0
    for write in writes:
        actual = state[write.key][1] if write.key in state else ABSENT
        if write.expected not in (None, actual):
            continue
        held += 1
        after.pop(write.key, None)
        if write.value is not None:
            after[write.key] = (write.value, revision + 1)
    if held == 0 or (atomic and held < len(writes)):
        return state, revision
    return after, revision + 1


@given(COMMITS)
def test_store_agrees_with_the_model_at_each_revision(
    commits: list[tuple[list[Write], bool]],
) -> None:
    store = InMemoryTable()
    states: list[State] = [{}]
    for writes, atomic in commits:
        state, revision = apply(states[-1], writes, atomic, store.revision)
        store.commit(writes, atomic=atomic)
        assert store.revision == revision
        if revision == len(states):
            states.append(state)
    for revision, state in enumerate(states):
        rows = store.scan("", revision)
        assert {row.key: (row.value, row.revision) for row in rows} == state
        assert [row.key for row in store.scan("a/", revision)] == sorted(
            key for key in state if key.startswith("a/")
        )


@given(COMMITS, st.integers(0, 12))
def test_changes_bring_an_older_copy_up_to_date(
    commits: list[tuple[list[Write], bool]], since: int
) -> None:
    store = InMemoryTable()
    for writes, atomic in commits:
        store.commit(writes, atomic=atomic)
    since = min(since, store.revision)
    copy = {row.key: row for row in store.scan("", since)}
    changes = store.list_changes("", since, store.revision)
    for row in changes.rows:
        assert row.revision > since
        copy.pop(row.key, None)
        if row.value is not None:
            copy[row.key] = row
    assert sorted(copy) == [row.key for row in store.scan("", store.revision)]
    assert set(copy.values()) == set(store.scan("", store.revision))
