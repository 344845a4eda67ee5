"""Check the synchronization of settings between two peers."""

from __future__ import annotations

import attrs

from basilroad.coordination.table import Row
from basilroad.peers import sync as sync_module
from basilroad.peers.sync import (
    MISMATCH_CONFIRM_S,
    ROWS_PER_HEARTBEAT_MAX,
    SNAPSHOT_INTERVAL_MIN_S,
    SettingsSync,
)
from basilroad.settings.store import SettingsStore


@attrs.define
class Peers:
    now_s: float = 100.0
    store: SettingsStore = attrs.field(factory=SettingsStore)
    other: SettingsStore = attrs.field(factory=SettingsStore)
    sent: int = 0

    def make_sync(self) -> SettingsSync:
        return SettingsSync(lambda: self.now_s)

    def beat(self, sync: SettingsSync, *, applies: bool = True) -> int:
        sync.record_remote_revision(self.other.revision, self.other.digest)
        rows = sync.take_due(self.store)
        if applies:
            self.other.apply(rows)
        self.sent += len(rows)
        return len(rows)


def make_row(number: int, revision: int) -> Row:
    return Row(f"settings/workspaces/w{number}", '{"weight":2.0}', revision, "ann")


def test_peer_that_is_behind_gets_missing_rows_once() -> None:
    peers = Peers()
    peers.store.apply([make_row(1, 1), make_row(2, 2)])
    peers.other.apply([make_row(1, 1)])
    sync = peers.make_sync()
    assert peers.beat(sync, applies=False) == 1
    assert peers.beat(sync) == 0
    assert peers.beat(peers.make_sync()) == 1
    assert peers.other.digest == peers.store.digest


def test_missing_row_at_equal_revisions_is_sent() -> None:
    peers = Peers()
    peers.store.apply([make_row(1, 1), make_row(2, 2), make_row(3, 3)])
    peers.other.apply([make_row(1, 1), make_row(3, 3)])
    assert peers.other.revision == peers.store.revision
    sync = peers.make_sync()
    assert peers.beat(sync) == 0
    peers.now_s += MISMATCH_CONFIRM_S
    peers.beat(sync)
    assert peers.other.digest == peers.store.digest


def test_missed_deletion_is_sent() -> None:
    peers = Peers()
    peers.store.apply([make_row(1, 1), attrs.evolve(make_row(1, 2), value=None), make_row(3, 3)])
    peers.other.apply([make_row(1, 1), make_row(3, 3)])
    sync = peers.make_sync()
    peers.beat(sync)
    peers.now_s += MISMATCH_CONFIRM_S
    peers.beat(sync)
    assert "w1" not in peers.other.view.workspaces


def test_peer_that_never_converges_gets_few_snapshots() -> None:
    peers = Peers()
    peers.store.apply([make_row(number, number) for number in range(1, 11)])
    peers.other.apply([make_row(99, 10)])
    sync = peers.make_sync()
    beats = int(3600 / 0.25)
    for _ in range(beats):
        peers.now_s += 0.25
        peers.beat(sync, applies=False)
    assert peers.sent <= 10 * 14


def test_large_snapshot_is_sent_in_parts() -> None:
    peers = Peers()
    peers.store.apply(
        [make_row(number, number) for number in range(1, 2 * ROWS_PER_HEARTBEAT_MAX + 2)]
    )
    sync = peers.make_sync()
    assert [peers.beat(sync) for _ in range(4)] == [
        ROWS_PER_HEARTBEAT_MAX,
        ROWS_PER_HEARTBEAT_MAX,
        1,
        0,
    ]
    assert peers.other.digest == peers.store.digest
    assert sync_module.SNAPSHOT_INTERVAL_MAX_S > SNAPSHOT_INTERVAL_MIN_S
