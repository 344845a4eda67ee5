"""Heartbeats between peers, with the revision and digest of their settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.settings.store import SettingsStore

REMOTE_HEARTBEAT_INTERVAL = 2
"""One in this many heartbeats is sent to a busy peer in a remote region; local peers get all."""

IDLE_HEARTBEAT_INTERVAL = 8
"""One in this many heartbeats is sent to an idle peer in a remote region."""


class HeartbeatScheduler:
    """Builds heartbeats and decides which peers receive each of them.

    :param store: settings of this process
    """

    def __init__(self, store: SettingsStore) -> None:
        self._store = store
        self._sequence = 0

    def build_next(self) -> wire.Heartbeat:
        """:return: the next heartbeat."""
        self._sequence += 1
        return wire.Heartbeat(
            sequence=self._sequence,
            settings_revision=self._store.revision,
            settings_digest=self._store.digest,
        )

    def is_due(self, *, remote: bool, busy: bool) -> bool:
        """Return whether a peer receives the last built heartbeat.

        :param remote: whether the peer is in a remote region
        :param busy: whether there is work in progress with the peer
        """
        if not remote:
            return True
        return (
            self._sequence % (REMOTE_HEARTBEAT_INTERVAL if busy else IDLE_HEARTBEAT_INTERVAL) == 0
        )


__all__ = ["HeartbeatScheduler"]
