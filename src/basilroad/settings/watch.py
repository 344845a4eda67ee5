"""Follow the operators' settings in the platform's table."""

from __future__ import annotations

import logging
import math
import random
import time
from collections import deque
from collections.abc import Callable, Collection, Sequence

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

OVERLAP_S = 60.0
"""Time before the last read from which changes are read again: the age of the oldest copy whose
restore is seen although the table's revision has passed the known one between two reads."""

MARK_INTERVAL_S = 5.0
"""Shortest time between two revisions that are remembered as starts of a read."""

ApplyCallback = Callable[[ApplyResult], None]


@attrs.frozen
class _Mark:
    """Revision up to which all settings were read at a time."""

    time_s: float
    revision: int


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
        self._marks: deque[_Mark] = deque()
        self._reads_all = False
        self._read_all_due_s = math.inf

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
        unconfirmed = self._store.unconfirmed
        if time.monotonic() >= self._read_all_due_s:
            self._reads_all = True
        since = 0 if self._reads_all or not self._marks else self._marks[0].revision
        changes = await self._read(since)
        if changes is None:
            return ApplyResult()
        if not first and self._store.contradicts(changes, since):
            return await self._restart()
        if changes.revision < self._store.complete_revision:
            # A late read, or a restore that shows once the revision has passed the known one.
            self._reads_all = True
            logger.warning(
                "stale read of the settings ignored: revision=%d known=%d",
                changes.revision,
                self._store.complete_revision,
            )
            return ApplyResult()
        applied = await self._apply(changes, first)
        self._store.confirm(unconfirmed, changes.revision)
        if self._reads_all:
            self._reads_all = False
            self._read_all_due_s = math.inf
        self._add_mark(changes.revision)
        return applied

    async def _read(self, since: int) -> Changes | None:
        try:
            changes = await self._table.changes(ROOT, since)
        except (TableError, TimeoutError) as error:
            self._record_failure(error)
            return None
        self._record_success()
        return changes

    def _add_mark(self, revision: int) -> None:
        now = time.monotonic()
        if not self._marks:
            # Until then reads begin at the first one, which may be beyond the age of a copy.
            self._read_all_due_s = now + OVERLAP_S
        if not self._marks or now - self._marks[-1].time_s >= MARK_INTERVAL_S:
            self._marks.append(_Mark(now, revision))
        while len(self._marks) > 1 and now - self._marks[1].time_s >= OVERLAP_S:
            self._marks.popleft()

    async def _restart(self) -> ApplyResult:
        changes = await self._read(0)
        if changes is None:
            return ApplyResult()
        earlier = [
            version
            for row in self._store.select_new(changes)
            for version in self._select_new(await self._read_history(row.key))
        ]
        applied = self._store.restart(changes, earlier)
        self._reads_all = False
        self._marks.clear()
        self._add_mark(changes.revision)
        # Peers that know the latest version of a path would take an earlier one for a newer.
        latest = set(changes.rows)
        passed_on = attrs.evolve(
            applied, rows=tuple(each for each in applied.rows if each in latest)
        )
        if passed_on.rows:
            self._on_applied(passed_on)
        return applied

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
        refused = {(refusal.path, refusal.revision) for refusal in applied.refused}
        rows: list[Row] = []
        for path in paths:
            versions = await self._read_history(path)
            # The history of a restored table mixes eras, in which revisions can't be compared.
            rows += self._select_new(versions, refused) if self._store.era else versions
        more = self._store.apply(rows)
        return ApplyResult(
            (*applied.rows, *more.rows), (*applied.changed, *more.changed), applied.refused
        )

    def _select_new(
        self, versions: Sequence[Row], refused: Collection[tuple[str, int]] = ()
    ) -> Sequence[Row]:
        """:return: the versions after the last one that was read and not refused just now."""
        for index in range(len(versions) - 1, -1, -1):
            row = versions[index]
            if (row.key, row.revision) not in refused and self._store.was_read(row):
                return versions[index + 1 :]
        return versions

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
