"""Report the settings in force on a host, under ``status/`` of the platform's table."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable

import attrs
from mode import Service

from basilroad.coordination.table import Table, TableError, Write
from basilroad.settings.status import (
    STATUS_ROOT,
    HostState,
    HostStatus,
    encode_status,
    shorten_refusals,
)
from basilroad.settings.store import SettingsStore
from basilroad.world.validators import check_positive

logger = logging.getLogger(__name__)

JITTER = 0.5
"""Largest fraction of the gap added to a wait, so that nodes don't write in step."""


@attrs.frozen(kw_only=True)
class ReportSettings:
    """How often a host reports.

    A host writes at most once in ``nodes / writes_per_s`` seconds, so all hosts together write at
    most ``writes_per_s`` rows per second, however often the settings change. 410 nodes at
    20 writes per second have a gap of 20.5 s and refresh every 41 s, which alone makes 10 writes
    per second; 1,400 changes a day (one in 62 s) add at most 410 / 62 = 6.6 per second.

    :param writes_per_s: maximum writes per second of all hosts together
    :param min_gap_s: shortest gap between two writes of one host, in seconds
    :param refresh_s: seconds after which an unchanged report is written again
    """

    writes_per_s: float = attrs.field(default=20.0, validator=check_positive)
    min_gap_s: float = attrs.field(default=1.0, validator=check_positive)
    refresh_s: float = attrs.field(default=30.0, validator=check_positive)


class SettingsReporter(Service):
    """Writes the status row of one host, on change and periodically.

    :param settings: how often to write
    :param host: name of the host
    :param table: the platform's table
    :param store: settings of this process
    :param count_nodes: returns the number of known nodes
    :param collect: returns the state of the daemon; any difference counts as a change, so loads
        should be rounded
    """

    def __init__(
        self,
        settings: ReportSettings,
        host: str,
        table: Table,
        store: SettingsStore,
        count_nodes: Callable[[], int],
        collect: Callable[[], HostState],
    ) -> None:
        super().__init__()
        self.settings = settings
        self._path = STATUS_ROOT + host
        self._host = host
        self._table = table
        self._store = store
        self._count_nodes = count_nodes
        self._collect = collect
        self._random = random.Random()
        self._last: HostStatus | None = None
        self._last_s = 0.0
        self._reported_revision = 0

    @property
    def gap_s(self) -> float:
        """:return: shortest gap between two writes, in seconds."""
        return max(self.settings.min_gap_s, self._count_nodes() / self.settings.writes_per_s)

    @property
    def refresh_s(self) -> float:
        """:return: seconds after which an unchanged report is written again."""
        return max(self.settings.refresh_s, 2 * self.gap_s)

    async def report(self) -> bool:
        """Write the row if it has changed or its refresh is due.

        :return: whether it was written
        """
        status = self._make_status()
        if not self._is_due(status):
            return False
        revision = self._store.revision
        try:
            await self._table.commit([Write(self._path, encode_status(status), author=self._host)])
        except (TableError, TimeoutError) as error:
            logger.info("status not written: path=%s error=%s", self._path, error)
            return False
        self._last = status
        self._last_s = time.monotonic()
        self._reported_revision = revision
        return True

    def _make_status(self) -> HostStatus:
        refusals = self._store.refusals
        return HostStatus(
            self._host,
            self._store.complete_revision,
            shorten_refusals(refusals),
            len(refusals),
            self._collect(),
            time.time(),
            self.refresh_s + self.gap_s * (1 + JITTER),
        )

    def _is_due(self, status: HostStatus) -> bool:
        last = self._last
        if last is None or time.monotonic() - self._last_s >= self.refresh_s:
            return True
        # The table's revision grows with every write to the table, so it is no change by itself.
        unchanged = attrs.evolve(
            last,
            revision=status.revision,
            written_s=status.written_s,
            refresh_s=status.refresh_s,
        )
        # A setting may come from a peer before a read of the table shows that none before it is
        # missing; report again once it does.
        confirmed = last.revision < self._store.revision <= status.revision
        return confirmed or status != unchanged or self._reported_revision != self._store.revision

    async def on_stop(self) -> None:
        """Delete the row, so that a stopped host is not expected to report."""
        if self._last is None:
            return
        try:
            await self._table.commit([Write(self._path, None, author=self._host)])
        except (TableError, TimeoutError) as error:
            logger.info("status not deleted: path=%s error=%s", self._path, error)

    @Service.task
    async def _report(self) -> None:
        while not self.should_stop:
            # Wait first, so that hosts that start together don't write in step.
            await self.sleep(self.gap_s * (1.0 + JITTER * self._random.random()))
            if self.should_stop:
                return
            try:
                await self.report()
            except Exception:
                logger.exception("writing the status failed")


__all__ = ["JITTER", "ReportSettings", "SettingsReporter"]
