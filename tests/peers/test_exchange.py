"""Check how settings come from one process to its peers."""

from __future__ import annotations

from basilroad.coordination.table import Row
from basilroad.peers.exchange import SettingsExchange
from basilroad.peers.heartbeat import IDLE_BEATS, REMOTE_BEATS, HeartbeatScheduler
from basilroad.peers.serialization import pack_rows
from basilroad.peers.sync import SettingsSync
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.store import SettingsStore

RANK = "settings/ranks/urgent"


class Peer:
    """Keeps what it was sent."""

    def __init__(self) -> None:
        self.sync = SettingsSync()
        self.sent: list[wire.SettingsChanges] = []

    def send(self, message: wire.SettingsChanges) -> None:
        self.sent.append(message)

    @property
    def revisions(self) -> list[list[int]]:
        return [[change.revision for change in sent.changes] for sent in self.sent]


def build(peer: Peer) -> tuple[SettingsStore, SettingsExchange]:
    store = SettingsStore()
    return store, SettingsExchange(store, lambda: [peer], lambda changes: changes)


def test_only_what_is_new_is_passed_on() -> None:
    peer = Peer()
    _, exchange = build(peer)
    message = pack_rows([Row(RANK, '{"order":1}', 4, "ann")])
    exchange.merge_remote(message)
    exchange.merge_remote(message)
    assert peer.revisions == [[4]]


def test_peer_that_was_greeted_gets_later_settings_only() -> None:
    peer = Peer()
    store, exchange = build(peer)
    store.apply([Row(RANK, '{"order":1}', 4, "ann")])
    exchange.send_snapshot(peer)
    peer.sync.record_remote_revision(4, store.digest)
    exchange.send_missing(peer)
    assert peer.revisions == [[4]]
    store.apply([Row(RANK, '{"order":2}', 6, "ann")])
    exchange.send_missing(peer)
    assert peer.revisions == [[4], [6]]


def test_remote_peers_get_fewer_heartbeats() -> None:
    beats = HeartbeatScheduler(SettingsStore())
    due = {"near": 0, "busy": 0, "idle": 0}
    for sequence in range(1, 1 + REMOTE_BEATS * IDLE_BEATS):
        assert beats.build_next().sequence == sequence
        due["near"] += beats.is_due(remote=False, busy=False)
        due["busy"] += beats.is_due(remote=True, busy=True)
        due["idle"] += beats.is_due(remote=True, busy=False)
    assert due == {"near": REMOTE_BEATS * IDLE_BEATS, "busy": IDLE_BEATS, "idle": REMOTE_BEATS}
