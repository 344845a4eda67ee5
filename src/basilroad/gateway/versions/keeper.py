"""Keeps the versions of streams in an archive."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.versions.archive import (
    ArchiveRow,
    ArchiveUnavailableError,
    Committed,
    Conflict,
    RowChange,
)
from basilroad.gateway.versions.baseversion import BASE_KEY, BaseVersion
from basilroad.gateway.versions.records import (
    BATCH_ENTRIES,
    StreamRecords,
)
from basilroad.gateway.versions.sharedread import SharedRead
from basilroad.gateway.versions.streamrow import (
    KEY_END,
    KEY_PREFIX,
    ORPHAN_AGE_S,
    is_orphaned,
)
from basilroad.gateway.versions.writepace import WritePace

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from basilroad.gateway.metrics import GatewayMetrics
    from basilroad.gateway.versions.archive import Outcome, VersionArchive
    from basilroad.gateway.versions.listing import VersionListing

CHECK_INTERVAL_S = 0.25
"""Interval of checks while the base version is not trusted."""

_LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ServiceVersions:
    """Versions of the streams of one service.

    :param name: its name
    :param base: the version that needs no records
    :param base_read: reads of the row of that version
    :param records: records of the streams of other versions
    :param cleans_at: when this host removes the records of hosts that died, in seconds
    :param cleans_from: first key of those that are left to look through
    """

    name: str
    base: BaseVersion
    base_read: SharedRead[ArchiveRow | None]
    records: StreamRecords = attrs.field(factory=StreamRecords)
    cleans_at: float = math.inf
    cleans_from: str = KEY_PREFIX


class VersionKeeper:
    """Reads and writes the base version of each service and the records of its streams.

    :param listing: versions of the listed endpoints
    :param clock: seconds that include suspend time
    :param generator: random number generator
    :param metrics: metrics of the gateway
    """

    def __init__(
        self,
        listing: VersionListing,
        clock: Callable[[], float],
        generator: random.Random,
        metrics: GatewayMetrics | None = None,
    ) -> None:
        self._listing = listing
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self.archive: VersionArchive | None = None
        self._pace = WritePace(lambda: 1)
        self._services: dict[str, ServiceVersions] = {}
        self._progress = asyncio.Event()
        self._work = asyncio.Event()

    @property
    def is_away(self) -> bool:
        """:return: whether the archive could not be reached lately."""
        return self._pace.is_away

    def estimate_write(self) -> float:
        """:return: seconds that a record is likely to take that is requested now."""
        return self._pace.estimate_write(self._clock())

    def find_batch_delay(self) -> float:
        """:return: seconds for which a new record is batched while its stream has no event."""
        return self._pace.find_batch_delay(self._clock())

    def attach(self, archive: VersionArchive, count_hosts: Callable[[], int]) -> None:
        """Use an archive from now on.

        :param archive: the archive
        :param count_hosts: counts the gateways that write to it
        """
        self.archive = archive
        self._pace = WritePace(count_hosts)

    def observe(self) -> None:
        """Record which versions are listed."""
        now = self._clock()
        for service in self._services.values():
            # before a version that was away counts as listed again
            service.base.is_trusted(now)
        self._listing.observe(now)
        if any(service.base.needs_write(now) for service in self._services.values()):
            self.request_work()

    def find(self, name: str) -> ServiceVersions | None:
        """:return: what is kept for a service, if anything."""
        return self._services.get(name)

    def request_work(self) -> None:
        """Let :meth:`wait_work` return, as something may have to be read or written."""
        self._work.set()

    async def wait_progress(self, until: float) -> None:
        """Wait until something was read or written, or a call failed.

        :param until: time of the event loop in seconds
        :raises TimeoutError: nothing was by then
        """
        progress = self._progress
        async with asyncio.timeout_at(until):
            await progress.wait()

    def open(self, name: str) -> ServiceVersions:
        """:return: what is kept for a service, from now on."""
        service = self._services.get(name)
        if service is None:
            base = BaseVersion(name, self._listing, self._random)
            service = ServiceVersions(name, base, SharedRead(lambda: self._read_base(name)))
            self._services[name] = service
            self.observe()
            self.request_work()
        return service

    def repeat(self) -> None:
        """Write again what a restored store may lack."""
        for service in self._services.values():
            service.records.repeat()
            service.base.record_restore(self._clock())
        self.request_work()

    async def wait_work(self) -> None:
        """Wait until something may have to be read or written."""
        now, due = self._clock(), math.inf
        for service in self._services.values():
            due = min(due, service.records.next_leaving())
            due = min(due, max(service.records.due_at(), self._pace.next_at))
            due = min(due, max(service.cleans_at, self._pace.next_at))
            due = min(due, max(service.base.write_at, self._pace.next_at))
            if not service.base.is_trusted(now):
                due = min(due, max(now + CHECK_INTERVAL_S, self._pace.retry_at))
        if self._pace.is_away and not self._is_write_due(now):
            due = min(due, self._pace.retry_at)
        try:
            async with asyncio.timeout(max(0.0, due - now) if due < math.inf else None):
                await self._work.wait()
        except TimeoutError:
            pass
        self._work.clear()

    async def work(self) -> None:
        """Read and write what is due; calls to the store are billed, so one at a time."""
        assert self.archive is not None
        for service in list(self._services.values()):
            service.records.expire(self._clock())
            await self._keep_base(service)
            await self._write_records(service, self.archive)
            await self._clean(service, self.archive)
        if self._pace.is_away and self._pace.may_read(self._clock()):
            await self._check_reached()

    async def _check_reached(self) -> None:
        if self._is_write_due(self._clock()):
            return
        if await self._refresh_base(next(iter(self._services.values()))):
            self._pace.record_success()

    def _is_write_due(self, now: float) -> bool:
        return any(service.records.due_at() <= now for service in self._services.values())

    async def _keep_base(self, service: ServiceVersions) -> None:
        assert self.archive is not None
        change = service.base.find_change(self._clock())
        if service.base.needs_read(self._clock()) and self._pace.may_read(self._clock()):
            await self._refresh_base(service)
            change = service.base.find_change(self._clock())
        now = self._clock()
        if change is None or not self._pace.may_write(now):
            return
        self._pace.record_write(now)
        outcome = await self.archive.write(service.name, [change])
        previous = service.base.version
        service.base.apply(outcome, now)
        self._record_outcome(outcome)
        if isinstance(outcome, Committed) and previous not in (None, service.base.version):
            # by then no stream runs that began before the change
            service.cleans_at, service.cleans_from = now + ORPHAN_AGE_S, KEY_PREFIX

    async def _refresh_base(self, service: ServiceVersions) -> bool:
        try:
            await service.base_read.read()
        except ArchiveUnavailableError as error:
            self._pace.record_failure(self._clock(), str(error))
            return False
        return True

    async def _read_base(self, name: str) -> ArchiveRow | None:
        assert self.archive is not None
        requested_at = self._clock()
        row = await self.archive.read(name, BASE_KEY)
        archive = self.archive
        self._services[name].base.apply_read(row, requested_at, archive.was_restored, archive.epoch)
        self._pace.record_read()
        self._report_progress()
        return row

    async def _write_records(self, service: ServiceVersions, archive: VersionArchive) -> None:
        now = self._clock()
        base = service.base.version
        if base is not None and service.base.is_trusted(now):
            service.records.withdraw_all(base)
        if service.records.due_at() > now or not self._pace.may_write(now):
            return
        self._pace.record_write(now)
        batch = service.records.take_batch()
        outcome = await archive.write(service.name, batch.build_changes(archive.store_s))
        written = service.records.apply(batch, outcome)
        if self._metrics is not None:
            self._metrics.stream_records.inc(written)
        self._record_outcome(outcome)

    async def _clean(self, service: ServiceVersions, archive: VersionArchive) -> None:
        now = self._clock()
        if service.cleans_at > now or not self._pace.may_write(now):
            return
        try:
            rows = await archive.list_rows(service.name, service.cleans_from, KEY_END)
        except ArchiveUnavailableError as error:
            self._pace.record_failure(now, str(error))
            return
        store_s = archive.store_s
        if not rows or store_s is None:
            service.cleans_at = math.inf
            return
        orphaned = [
            RowChange(key, None, row.revision)
            for key, row in rows
            if is_orphaned(row, store_s) and not service.records.has(key)
        ][: BATCH_ENTRIES // 2]
        if orphaned:
            self._pace.record_write(now)
            outcome = await archive.write(service.name, orphaned)
            self._record_outcome(outcome)
            _LOGGER.info("stream records removed", extra={"records": len(orphaned)})
        if len(orphaned) < BATCH_ENTRIES // 2:
            service.cleans_from = rows[-1][0] + "\0"

    def _record_outcome(self, outcome: Outcome) -> None:
        self._pace.record_response(self._clock())
        if isinstance(outcome, Committed | Conflict):
            self._pace.record_success()
        else:
            self._pace.record_failure(self._clock(), outcome.detail, wrote=True)
        self._report_progress()

    def _report_progress(self) -> None:
        progress, self._progress = self._progress, asyncio.Event()
        progress.set()


__all__ = ["CHECK_INTERVAL_S", "ServiceVersions", "VersionKeeper"]
