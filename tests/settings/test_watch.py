"""Check that settings are followed through outages and stale reads."""

from __future__ import annotations

import asyncio
import time

import pytest
from fake_table import FakeTable

from basilroad.coordination.table import Changes
from basilroad.settings.store import ApplyResult, SettingsStore
from basilroad.settings.watch import JITTER, SettingsWatch, WatchSettings

RANK = "settings/ranks/urgent"
OWNERS = "settings/owners/ranks"


def make_watch(
    table: FakeTable,
    store: SettingsStore,
    received: list[ApplyResult] | None = None,
    nodes: int = 1,
) -> SettingsWatch:
    settings = WatchSettings(min_interval_s=0.01)
    applied_results = [] if received is None else received
    return SettingsWatch(settings, table, store, lambda: nodes, applied_results.append)


async def test_changes_are_applied_and_passed_on_once() -> None:
    table, store = FakeTable(), SettingsStore()
    received: list[ApplyResult] = []
    watch = make_watch(table, store, received)
    row = table.put(RANK, '{"order": 4}')
    table.put("claims/x", "{}")
    await watch.poll()
    await watch.poll()
    assert [applied.rows for applied in received] == [(row,)]
    assert (store.revision, store.complete_revision) == (1, 2)


async def test_outage_leaves_settings_in_force() -> None:
    table, store = FakeTable(), SettingsStore()
    watch = make_watch(table, store)
    table.put(RANK, '{"order": 4}')
    await watch.poll()
    table.unavailable = True
    assert await watch.poll() == ApplyResult()
    assert store.view.rank_by_order(4).name == "urgent"
    table.unavailable = False
    table.put(RANK, '{"order": 5}')
    await watch.poll()
    assert store.view.rank_by_order(5).name == "urgent"


async def test_stale_read_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    table, store = FakeTable(), SettingsStore()
    watch = make_watch(table, store)
    old = table.put(RANK, '{"order": 4}')
    table.put(RANK, '{"order": 5}')
    await watch.poll()

    async def read_stale(_prefix: str, _since: int) -> Changes:
        return Changes(1, (old,))

    monkeypatch.setattr(table, "changes", read_stale)
    assert await watch.poll() == ApplyResult()
    assert store.complete_revision == 2


async def test_gap_left_by_peers_is_filled_by_the_next_read() -> None:
    table, store = FakeTable(), SettingsStore()
    watch = make_watch(table, store)
    missed = table.put(RANK, '{"order": 4}')
    store.apply([table.put("settings/drains/a", "{}")])
    applied = await watch.poll()
    assert applied.rows == (missed,)


async def test_new_process_finds_the_last_valid_value_in_the_history() -> None:
    table, store = FakeTable(), SettingsStore()
    table.put(RANK, '{"order": 4}')
    table.put(RANK, '{"order": -1}')
    await make_watch(table, store).poll()
    assert store.view.rank_by_order(4).name == "urgent"
    assert [refusal.revision for refusal in store.refusals] == [2]


async def test_new_process_judges_rows_by_the_owners_at_that_time() -> None:
    table, old, new = FakeTable(), SettingsStore(), SettingsStore()
    watch = make_watch(table, old)
    for key, value, author in (
        (OWNERS, '{"authors": ["ops"]}', "ops"),
        (RANK, '{"order": 4}', "ops"),
        (RANK, '{"order": 5}', "eve"),
        (OWNERS, '{"authors": ["ops", "duty"]}', "ops"),
    ):
        table.put(key, value, author)
        await watch.poll()
    await make_watch(table, new).poll()
    assert new.view == old.view
    assert new.refusals == old.refusals
    assert new.view.rank_by_order(4).name == "urgent"


@pytest.mark.parametrize("nodes", [1, 26, 410])
def test_interval_bounds_the_reads_and_the_delay(nodes: int) -> None:
    store = SettingsStore()
    watch = SettingsWatch(WatchSettings(), FakeTable(), store, lambda: nodes, lambda _: None)
    waits = [watch.next_wait() for _ in range(1000)]
    assert max(waits) < 5
    assert nodes / min(waits) <= watch.settings.reads_per_s / (1 - JITTER)


async def test_service_reads_until_it_is_stopped() -> None:
    table, store = FakeTable(), SettingsStore()
    table.unavailable = True
    async with make_watch(table, store):
        await asyncio.sleep(0.03)
        table.unavailable = False
        table.put(RANK, '{"order": 4}')
        deadline = time.monotonic() + 5
        while not store.revision and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
    reads = table.reads
    await asyncio.sleep(0.05)
    assert store.revision == 1
    assert table.reads == reads
