"""Check that settings get into force, and never go back, after the table was restored."""

from __future__ import annotations

import asyncio
import random

import pytest
from fake_table import FakeTable

from basilroad.coordination.table import Changes
from basilroad.settings import watch as watch_module
from basilroad.settings.store import ApplyResult, SettingsStore
from basilroad.settings.watch import SettingsWatch, WatchSettings

RANK = "settings/ranks/urgent"
OWNERS = "settings/owners/ranks"
DRAIN = "settings/drains/a"
# many paths, as a restore that loses all versions of one that are kept is not covered
RANKS = ("a", "b", "c", "d", "e", "f")


def make_watch(
    table: FakeTable, store: SettingsStore, peers: tuple[SettingsStore, ...] = ()
) -> SettingsWatch:
    def pass_on(applied: ApplyResult) -> None:
        for peer in peers:
            peer.apply(applied.rows)

    return SettingsWatch(WatchSettings(min_interval_s=0.01), table, store, lambda: 1, pass_on)


def get_order(store: SettingsStore) -> int | None:
    rank = store.view.rank("urgent")
    return rank.order if rank else None


async def make_restored(written: int) -> tuple[FakeTable, SettingsStore, SettingsWatch]:
    """:return: a table that lost ``written`` writes, and a process that had read them."""
    table, store = FakeTable(), SettingsStore()
    watch = make_watch(table, store)
    table.put(RANK, '{"order": 4}')
    await watch.poll()
    copy = table.store.revision
    for number in range(written):
        table.put("status/host", str(number))
    await watch.poll()
    table.store.restore(copy)
    return table, store, watch


# Guards against: a setting written under a revision that was given out before the restore is
# skipped for good, once the table's revision has passed the known one.
async def test_setting_in_the_gap_of_a_restored_table_gets_into_force() -> None:
    table, store, watch = await make_restored(written=5)
    table.put(DRAIN, "{}")
    table.put(RANK, '{"order": 5}')
    for number in range(5):
        table.put("status/host", str(number))
    await watch.poll()
    assert "a" in store.view.drains
    assert get_order(store) == 5
    assert store.complete_revision == table.store.revision


# Guards against: settings of a restored table are read only after its revision has passed the
# known one.
async def test_setting_of_a_restored_table_gets_into_force_below_the_known_revision() -> None:
    table, store, watch = await make_restored(written=100)
    table.put(DRAIN, "{}")
    table.put(RANK, '{"order": 5}')
    await watch.poll()
    assert "a" in store.view.drains
    assert get_order(store) == 5


# Guards against: what is in force goes back when the table lost it.
async def test_setting_that_a_restored_table_lost_stays_in_force() -> None:
    table, store, watch = await make_restored(written=0)
    copy = table.store.revision
    table.put(RANK, '{"order": 6}')
    await watch.poll()
    table.store.restore(copy)
    for _ in range(3):
        await watch.poll()
        assert get_order(store) == 6
        table.put(DRAIN, "{}")
    await watch.poll()
    assert get_order(store) == 6


# Guards against: a setting that was lost and is written again stays without effect, because the
# lost one had a higher revision.
@pytest.mark.parametrize("same_revision", [False, True])
async def test_setting_written_again_after_a_restore_replaces_the_lost_one(
    same_revision: bool,
) -> None:
    table, store, watch = await make_restored(written=0)
    copy = table.store.revision
    if not same_revision:
        table.put("status/host", "1")
    table.put(RANK, '{"order": 6}')
    await watch.poll()
    table.store.restore(copy)
    table.put(RANK, '{"order": 5}')
    table.put("status/host", "2")
    await watch.poll()
    assert get_order(store) == 5
    table.put(RANK, '{"order": 7}')
    await watch.poll()
    assert get_order(store) == 7


# Guards against: a setting that a peer passed on first counts as known from before the restore.
async def test_setting_received_from_a_peer_after_a_restore_replaces_the_lost_one() -> None:
    table, store, watch = await make_restored(written=0)
    copy = table.store.revision
    table.put("status/host", "1")
    table.put(RANK, '{"order": 6}')
    await watch.poll()
    table.store.restore(copy)
    store.apply([table.put(RANK, '{"order": 5}')])
    assert get_order(store) == 6
    table.put("status/host", "2")
    await watch.poll()
    assert get_order(store) == 5


# Guards against: a lost setting that a peer still holds comes back after it was written again.
async def test_lost_setting_of_a_peer_does_not_replace_the_one_written_again() -> None:
    table, store, watch = await make_restored(written=0)
    copy = table.store.revision
    table.put("status/host", "1")
    lost = table.put(RANK, '{"order": 6}')
    await watch.poll()
    table.store.restore(copy)
    written = table.put(RANK, '{"order": 5}')
    table.put("status/host", "2")
    await watch.poll()
    store.apply([lost])
    assert get_order(store) == 5
    assert written in store.rows()
    assert lost not in store.rows()


# Guards against: owners are compared by revisions of different eras of the table.
async def test_owners_written_after_a_restore_judge_later_settings() -> None:
    table, store, watch = await make_restored(written=20)
    table.put(OWNERS, '{"authors": ["ops"]}', "ops")
    table.put(RANK, '{"order": 5}', "ops")
    table.put(RANK, '{"order": 6}', "eve")
    await watch.poll()
    assert get_order(store) == 5
    assert [refusal.author for refusal in store.refusals] == ["eve"]


# Guards against: a process whose first read was after the time of the copy skips for good what
# was written up to that read's revision.
async def test_process_that_started_after_the_copy_reads_all_once_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    table, store = FakeTable(), SettingsStore()
    monkeypatch.setattr(watch_module, "OVERLAP_S", 0.05)
    watch = make_watch(table, store)
    for number in range(5):
        table.put("status/host", str(number))
    await watch.poll()
    table.store.restore(1)
    table.put(DRAIN, "{}")
    for number in range(5):
        table.put("status/host", str(number))
    await watch.poll()
    await asyncio.sleep(0.06)
    await watch.poll()
    assert "a" in store.view.drains


# Guards against: a read from a replica that is behind is taken for a restore.
async def test_reads_that_lag_do_not_count_as_a_restore(monkeypatch: pytest.MonkeyPatch) -> None:
    table, store = FakeTable(), SettingsStore()
    watch = make_watch(table, store)
    random.seed(7)
    paths = (RANK, DRAIN, "settings/drains/b", "status/host")

    async def read_lagging(prefix: str, since: int) -> Changes:
        behind = random.randint(0, 6)
        revision = max(0, table.store.revision - behind)
        return table.store.list_changes(prefix, since, revision)

    monkeypatch.setattr(table, "changes", read_lagging)
    newest = 0
    for number in range(1000):
        path = random.choice(paths)
        delete = table.get(path) is not None and random.random() < 0.2
        row = table.put(path, None if delete else f'{{"order": {number}}}')
        if random.random() < 0.2 and path != "status/host":
            store.apply([row])
        if random.random() < 0.5:
            await watch.poll()
        assert store.complete_revision >= newest
        newest = store.complete_revision
    assert store.era == 0


def read_orders(store: SettingsStore) -> dict[str, int]:
    return {name: rank.order for name, rank in store.view.set_ranks.items()}


async def put_rank(
    table: FakeTable, watches: list[SettingsWatch], rng: random.Random, order: int
) -> None:
    # each version is read by a process before the next one is written
    await rng.choice(watches).poll()
    table.put(f"settings/ranks/{rng.choice(RANKS)}", f'{{"order": {order}}}')


async def check_in_force(table: FakeTable, stores: list[SettingsStore], lost: int) -> None:
    """Check for the newest rows in the table, or newer ones, up to ``lost``, that it lost."""
    written = {row.key: row for row in await table.scan("settings/ranks/")}
    for store in stores:
        orders = read_orders(store)
        for name in RANKS:
            row = written.get(f"settings/ranks/{name}")
            order = int(str(row.value)[10:-1]) if row else 0
            assert order <= orders.get(name, 0)
            assert orders.get(name, 0) <= max(order, lost)


async def play(seed: int, peers: bool) -> None:
    """Write, read and restore once, in random order; later writes have higher numbers."""
    rng = random.Random(seed)
    table, stores = FakeTable(), [SettingsStore() for _ in range(3 if peers else 1)]
    watches = [
        make_watch(table, store, tuple(each for each in stores if each is not store))
        for store in stores
    ]
    table.put("status/host", "{}")
    for watch in watches:
        await watch.poll()
    best: list[dict[str, int]] = [{} for _ in stores]
    restored_at = rng.randint(10, 50)
    lost = 0
    for step in range(60):
        kind = rng.random()
        if step == restored_at:
            table.store.restore(max(1, table.store.revision - rng.randint(1, 6)))
            lost = step
        elif kind < 0.35:
            await put_rank(table, watches, rng, step + 1)
        elif kind < 0.5:
            table.put("status/host", "{}")
        else:
            await rng.choice(watches).poll()
        for known, store in zip(best, stores, strict=True):
            orders = read_orders(store)
            assert all(orders[name] >= order for name, order in known.items())
            known.update(orders)
    for _ in range(10):
        table.put("status/host", "{}")
    for watch in watches * 2:
        await watch.poll()
    await check_in_force(table, stores, lost)


# Guards against: in some order of reads, writes, messages of peers and a restore, a setting goes
# back or one in the table does not get into force.
@pytest.mark.parametrize("peers", [False, True])
async def test_settings_never_go_back_and_get_into_force_around_a_restore(peers: bool) -> None:
    for seed in range(300):
        await play(seed, peers)
