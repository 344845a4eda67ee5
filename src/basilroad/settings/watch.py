"""Follow the operators' settings in the platform's table."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable

import attrs
from mode import Service

from basilroad.coordination.table import Changes, Row, Table, TableError
from basilroad.settings.authority import OWNERS_ROOT
from basilroad.settings.history import OWNERS_VERSIONS_KEPT
from basilroad.settings.schema import ROOT
from basilroad.settings.store import ApplyResult, SettingsStore
from basilroad.settings.tables import HistoryTable
from basilroad.world.validators import check_positive

logger = logging.getLogger(__name__)

JITTER = 0.2
"""Largest fraction of the interval by which a wait is shortened."""

ApplyCallback = Callable[[ApplyResult], None]


@attrs.frozen(kw_only=True)
class WatchSettings:
    """How often the table is read.

    :param reads_per_s: target rate of all nodes together, in reads per second
    :param min_interval_s: shortest interval between two reads of one node, in seconds
    """

    reads_per_s: float = attrs.field(default=100.0, validator=check_positive)
    min_interval_s: float = attrs.field(default=0.5, validator=check_positive)


class SettingsWatch(Service):
    """Reads changes at an interval that grows with the number of nodes.

    While the table is unavailable or slow, the settings in force stay; the interval bounds the
    load of all nodes together, so there is no burst of reads when it recovers.

    :param settings: how often to read
    :param table: the platform's table
    :param store: settings of this process
    :param count_nodes: returns the number of known nodes
    :param on_applied: called with new rows, to pass them on to peers at once
    """

    def __init__(
        self,
        settings: WatchSettings,
        table: Table,
        store: SettingsStore,
        count_nodes: Callable[[], int],
        on_applied: ApplyCallback,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.last_read_s: float | None = None
        """Monotonic time of the last successful read; ``None`` before the first."""
        self._table = table
        self._store = store
        self._count_nodes = count_nodes
        self._on_applied = on_applied
        self._random = random.Random()
        self._failing = False

    @property
    def interval_s(self) -> float:
        """:return: longest wait between two reads, in seconds."""
        return max(self.settings.min_interval_s, self._count_nodes() / self.settings.reads_per_s)

    def next_wait(self) -> float:
        """:return: seconds until the next read."""
        return self.interval_s * (1.0 - JITTER * self._random.random())

    async def poll(self) -> ApplyResult:
        """Read and apply the changes once.

        :return: what was new; nothing if the table did not respond or the response was stale
        """
        first = self._store.complete_revision == 0
        try:
            changes = await self._table.changes(ROOT, self._store.complete_revision)
        except (TableError, TimeoutError) as error:
            self._record_failure(error)
            return ApplyResult()
        self._record_success()
        if changes.revision < self._store.complete_revision:
            logger.warning(
                "stale read of the settings ignored: revision=%d known=%d",
                changes.revision,
                self._store.complete_revision,
            )
            return ApplyResult()
        return await self._apply(changes, first)

    async def _apply(self, changes: Changes, first: bool) -> ApplyResult:
        # Include earlier owners: they decide whether the rows read now are in force.
        paths = {row.key for row in changes.rows if first and row.key.startswith(OWNERS_ROOT)}
        rows = [row for path in sorted(paths) for row in await self._read_history(path)]
        applied = self._store.apply([*rows, *changes.rows], through=changes.revision)
        if applied.refused:
            applied = await self._recover(applied)
        if applied.rows:
            self._on_applied(applied)
        return applied

    async def _recover(self, applied: ApplyResult) -> ApplyResult:
        """Search the history for the last valid version of settings whose newest was refused."""
        paths = sorted({refusal.path for refusal in applied.refused})
        rows = [row for path in paths for row in await self._read_history(path)]
        more = self._store.apply(rows)
        return ApplyResult(
            (*applied.rows, *more.rows), (*applied.changed, *more.changed), applied.refused
        )

    async def _read_history(self, path: str) -> tuple[Row, ...]:
        if not isinstance(self._table, HistoryTable):
            return ()
        try:
            rows = await self._table.read_history(path)
        except (TableError, TimeoutError) as error:
            logger.warning("history not read: path=%s error=%s", path, error)
            return ()
        return rows[-OWNERS_VERSIONS_KEPT:]

    def _record_failure(self, error: Exception) -> None:
        if not self._failing:
            logger.warning(
                "settings not read, those in force stay: revision=%d error=%s",
                self._store.revision,
                error or type(error).__name__,
            )
        self._failing = True

    def _record_success(self) -> None:
        if self._failing:
            logger.info("reading settings works again")
        self._failing = False
        self.last_read_s = time.monotonic()

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            try:
                await self.poll()
            except Exception:
                logger.exception("reading the settings failed")
            await self.sleep(self.next_wait())


__all__ = ["JITTER", "ApplyCallback", "SettingsWatch", "WatchSettings"]
