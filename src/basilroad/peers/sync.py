"""Which settings to send to a peer, from what its heartbeats tell."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from basilroad.coordination.table import Row

if TYPE_CHECKING:
    from basilroad.settings.store import SettingsStore

ROWS_MAX = 256
"""Rows that one heartbeat of a peer makes this process send at the most."""

SETTLE_S = 1.0
"""Seconds for which two peers must differ in the same way before all settings are sent."""

COPY_GAP_S = 10.0
"""Seconds after the first copy of all settings to the same peer; each further gap is doubled."""

COPY_GAP_MAX_S = 600.0
"""Seconds between two copies of all settings to the same peer at the most."""


class SettingsSync:
    """What one peer knows, and what it was sent on this stream.

    :param clock: seconds that only grow
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._revision = 0
        self._digest = 0
        self._sent = 0
        self._waiting: list[Row] = []
        self._differing = (0, 0)
        self._differing_s = 0.0
        self._copied_s = float("-inf")
        self._gap_s = 0.0

    def record_remote_revision(self, revision: int, digest: int) -> None:
        """Take what a heartbeat of the peer tells.

        :param revision: newest revision of a setting that it knows
        :param digest: of its settings in force
        """
        self._revision = revision
        self._digest = digest

    def mark_sent(self, revision: int) -> None:
        """Note that all that is known up to a revision is on its way.

        :param revision: newest revision that was sent
        """
        self._sent = max(self._sent, revision)

    def take_due(self, store: SettingsStore) -> tuple[Row, ...]:
        """Choose what to send now; to be called once for each heartbeat.

        :param store: settings of this process
        :return: rows, ``ROWS_MAX`` of them at the most
        """
        same = self._digest == store.digest
        if same:
            self._gap_s = 0.0
        if same and self._revision >= store.revision:
            self._waiting.clear()
            return ()
        if not self._waiting:
            self._waiting = self._find_missing(store)
        due = self._waiting[:ROWS_MAX]
        del self._waiting[:ROWS_MAX]
        return tuple(due)

    def _find_missing(self, store: SettingsStore) -> list[Row]:
        known = max(self._revision, self._sent)
        if known < store.revision:
            self.mark_sent(store.revision)
            return list(store.rows_since(known))
        if self._digest == store.digest or not self._is_copy_due(store.digest):
            return []
        return list(store.rows())

    def _is_copy_due(self, digest: int) -> bool:
        # Equal revisions with other settings: one of the two has a gap that revisions don't show.
        now = self._clock()
        if self._differing != (digest, self._digest):
            self._differing = (digest, self._digest)
            self._differing_s = now
        if now - self._differing_s < SETTLE_S or now - self._copied_s < self._gap_s:
            return False
        self._copied_s = now
        self._gap_s = min(COPY_GAP_MAX_S, max(COPY_GAP_S, 2 * self._gap_s))
        return True


__all__ = ["COPY_GAP_S", "ROWS_MAX", "SETTLE_S", "SettingsSync"]
