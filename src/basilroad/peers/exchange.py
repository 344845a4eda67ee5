"""How the settings that one process knows come to the peers that it talks with."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from basilroad.peers.serialization import pack_rows, unpack_rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from basilroad.coordination.table import Row
    from basilroad.peers.sync import SettingsSync
    from basilroad.peers.wire import peer_pb2 as wire
    from basilroad.settings.store import ApplyResult, SettingsStore


class SettingsPeer(Protocol):
    """A stream to a peer.

    :param sync: what the peer knows
    """

    sync: SettingsSync

    def send(self, message: Any) -> None:
        """Send a message, soon."""


class SettingsExchange:
    """Learns settings of peers and passes on what was new.

    :param store: settings of this process
    :param list_peers: gives the streams to all peers
    :param wrap: puts settings into a message of the streams
    """

    def __init__(
        self,
        store: SettingsStore,
        list_peers: Callable[[], Iterable[SettingsPeer]],
        wrap: Callable[[wire.SettingsChanges], Any],
    ) -> None:
        self._store = store
        self._list_peers = list_peers
        self._wrap = wrap

    def merge_remote(self, message: wire.SettingsChanges) -> None:
        """Apply settings that a peer knows and pass on what was new.

        :param message: the settings
        """
        self.broadcast(self._store.apply(unpack_rows(message)))

    def broadcast(self, applied: ApplyResult) -> None:
        """Send all peers what was new.

        :param applied: what became of settings that came in
        """
        if not applied.rows:
            return
        message = self._wrap(pack_rows(applied.rows))
        for peer in self._list_peers():
            peer.send(message)

    def send_snapshot(self, peer: SettingsPeer) -> None:
        """Send a peer all settings.

        :param peer: has just connected
        """
        self._send(peer, self._store.rows())
        peer.sync.mark_sent(self._store.revision)

    def send_missing(self, peer: SettingsPeer) -> None:
        """Send a peer the settings that it lacks.

        :param peer: has told what it knows
        """
        rows = peer.sync.take_due(self._store)
        if rows:
            self._send(peer, rows)

    def _send(self, peer: SettingsPeer, rows: Iterable[Row]) -> None:
        peer.send(self._wrap(pack_rows(rows)))


__all__ = ["SettingsExchange", "SettingsPeer"]
