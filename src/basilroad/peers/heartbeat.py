"""Signs of life that peers send each other, with what settings they know."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.settings.store import SettingsStore

REMOTE_BEATS = 2
"""Heartbeats of the own region for each one to a peer of another region with work there."""

IDLE_BEATS = 8
"""Heartbeats of the own region for each one to a peer of another region without."""


class HeartbeatScheduler:
    """Builds one heartbeat after the other, and tells which peers get it.

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
        """Tell whether a peer gets the heartbeat that was built last.

        :param remote: whether the peer stands in another region
        :param busy: whether there is work between the two
        """
        if not remote:
            return True
        return self._sequence % (REMOTE_BEATS if busy else IDLE_BEATS) == 0


__all__ = ["HeartbeatScheduler"]
