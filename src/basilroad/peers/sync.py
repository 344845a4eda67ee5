"""Selection of the settings to send to a peer, from its heartbeats."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from basilroad.coordination.table import Row

if TYPE_CHECKING:
    from basilroad.settings.store import SettingsStore

ROWS_PER_HEARTBEAT_MAX = 256
"""Most rows sent in response to one heartbeat of a peer."""

MISMATCH_CONFIRM_S = 1.0
"""Time for which two digests must differ unchanged before a snapshot is sent."""

SNAPSHOT_INTERVAL_MIN_S = 10.0
"""Interval after the first snapshot to a peer; doubled after each further one."""

SNAPSHOT_INTERVAL_MAX_S = 600.0
"""Longest interval between two snapshots to the same peer."""


class SettingsSync:
    """Settings that a peer has, and those sent to it on this stream.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._peer_revision = 0
        self._peer_digest = 0
        self._sent_revision = 0
        self._pending_rows: list[Row] = []
        self._mismatch = (0, 0)
        self._mismatch_since_s = 0.0
        self._snapshot_sent_s = float("-inf")
        self._snapshot_interval_s = 0.0

    def record_remote_revision(self, revision: int, digest: int) -> None:
        """Record the revision and digest in a heartbeat of the peer.

        :param revision: newest revision of the peer's settings
        :param digest: digest of the settings in force at the peer
        """
        self._peer_revision = revision
        self._peer_digest = digest

    def mark_sent(self, revision: int) -> None:
        """Record that all settings up to a revision were sent.

        :param revision: newest revision that was sent
        """
        self._sent_revision = max(self._sent_revision, revision)

    def take_due(self, store: SettingsStore) -> tuple[Row, ...]:
        """Select the rows to send now; call once for each heartbeat of the peer.

        :param store: settings of this process
        :return: at most ``ROWS_PER_HEARTBEAT_MAX`` rows
        """
        same = self._peer_digest == store.digest
        if same:
            self._snapshot_interval_s = 0.0
        if same and self._peer_revision >= store.revision:
            self._pending_rows.clear()
            return ()
        if not self._pending_rows:
            self._pending_rows = self._find_missing(store)
        due = self._pending_rows[:ROWS_PER_HEARTBEAT_MAX]
        del self._pending_rows[:ROWS_PER_HEARTBEAT_MAX]
        return tuple(due)

    def _find_missing(self, store: SettingsStore) -> list[Row]:
        known = max(self._peer_revision, self._sent_revision)
        if known < store.revision:
            self.mark_sent(store.revision)
            return list(store.rows_since(known))
        if self._peer_digest == store.digest or not self._is_snapshot_due(store.digest):
            return []
        return list(store.rows())

    def _is_snapshot_due(self, digest: int) -> bool:
        # Equal revisions with different digests: one peer lacks a row, which revisions don't show.
        now = self._clock()
        if self._mismatch != (digest, self._peer_digest):
            self._mismatch = (digest, self._peer_digest)
            self._mismatch_since_s = now
        if (
            now - self._mismatch_since_s < MISMATCH_CONFIRM_S
            or now - self._snapshot_sent_s < self._snapshot_interval_s
        ):
            return False
        self._snapshot_sent_s = now
        self._snapshot_interval_s = min(
            SNAPSHOT_INTERVAL_MAX_S, max(SNAPSHOT_INTERVAL_MIN_S, 2 * self._snapshot_interval_s)
        )
        return True


__all__ = [
    "MISMATCH_CONFIRM_S",
    "ROWS_PER_HEARTBEAT_MAX",
    "SNAPSHOT_INTERVAL_MIN_S",
    "SettingsSync",
]
