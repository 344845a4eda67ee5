"""Software versions of streams, which go on only at endpoints of the version that began them."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import OrderedDict
from typing import TYPE_CHECKING, TypeVar

import attrs

from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.baseversion import BASE_KEY, VERSION_MEMORY_S, BaseVersion
from basilroad.gateway.freshness import read_boot_clock
from basilroad.gateway.sharedread import SharedRead
from basilroad.gateway.streamrecords import (
    BATCH_ENTRIES,
    KEY_END,
    KEY_PREFIX,
    ORPHAN_AGE_S,
    RESUME_WINDOW_S,
    StreamRecords,
    build_key,
    decode_version,
    is_orphaned,
)
from basilroad.gateway.versionarchive import (
    ArchiveRow,
    ArchiveUnavailableError,
    Committed,
    Conflict,
    RowChange,
)
from basilroad.gateway.versionlisting import VersionListing
from basilroad.gateway.writepace import WritePace

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilroad.gateway.call import Call
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.metrics import GatewayMetrics
    from basilroad.gateway.versionarchive import Outcome, VersionArchive

MAX_REMEMBERED = 4096
"""Streams whose version is remembered; the oldest leave first."""

CONFIRM_LIMIT_S = 1.0
"""Longest wait of a first event for its record: several transactions, and a quarter of the target
for the first event of a stream."""

FIND_LIMIT_S = 1.5
"""Longest search for the version of a stream, with one repeated read."""

FIND_RETRY_S = 1.0
"""Time after which a caller may repeat a take-up while the records can't be read."""

READ_PAUSE_S = 0.1
"""Pause between two reads of one search."""

MAX_READS = 8
"""Reads of records at once; each takes a few milliseconds, also when all streams have broken."""

CHECK_INTERVAL_S = 0.25
"""Interval of checks while the base version is not trusted."""

ResultT = TypeVar("ResultT")

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _Known:
    """A stream that was begun here.

    :param version: version of its first event that was passed on
    :param leaves_at: seconds after which it can't be taken up
    """

    version: str
    leaves_at: float = math.inf


@attrs.define(eq=False)
class _Service:
    """Streams of one service.

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


class StreamVersions:
    """Remembers by which software version each stream was begun.

    The version of a stream is that of its first event that was passed on to its caller. Gateways
    that start know it from the archive: from the record of the stream, or, if it has none, from the
    base version of its service. Without an archive, only this gateway's own streams are known.

    :param directory: the listed endpoints
    :param metrics: metrics of the gateway
    :param clock: seconds that include suspend time
    :param generator: random number generator; seeded by the system if omitted
    """

    def __init__(
        self,
        directory: Directory,
        metrics: GatewayMetrics | None = None,
        clock: Callable[[], float] = read_boot_clock,
        generator: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._random = generator or random.Random()
        self._listing = VersionListing(directory)
        self._known: OrderedDict[tuple[str, str, str], _Known] = OrderedDict()
        self._services: dict[str, _Service] = {}
        self._archive: VersionArchive | None = None
        self._pace = WritePace(lambda: 1)
        self._reads = asyncio.Semaphore(MAX_READS)
        self._progress = asyncio.Event()
        self._work = asyncio.Event()

    def attach(self, archive: VersionArchive, count_hosts: Callable[[], int]) -> None:
        """Keep the versions in an archive from now on.

        :param archive: the archive
        :param count_hosts: counts the gateways that write to it
        """
        self._archive = archive
        self._pace = WritePace(count_hosts)

    def observe(self) -> None:
        """Record which versions are listed."""
        now = self._clock()
        for service in self._services.values():
            # before a version that was away counts as listed again
            service.base.is_trusted(now)
        self._listing.observe(now)

    def may_begin(self, service: str, version: str) -> bool:
        """Check whether new streams may be placed at a version now.

        :param service: their service
        :param version: the version
        :return: false while a record that they need can't be made
        """
        is_slow = self._pace.estimate_write(self._clock()) > CONFIRM_LIMIT_S
        if not (self._pace.is_away or is_slow) or not self._needs_record(service, version):
            return True
        return not self._has_other(service, version)

    def begin(self, call: Call, version: str) -> None:
        """Prepare the record of a new stream whose request is sent, while it waits for an event.

        :param call: the call
        :param version: version of the endpoint
        """
        if self._archive is None:
            return
        now, service = self._clock(), self._open(call.service)
        if self._needs_record(call.service, version) or not service.records.withdraw(call):
            service.records.request(call, version, now)
            self._work.set()

    async def confirm(self, call: Call, version: str) -> bool:
        """Wait until the first event of a new stream may be passed on.

        :param call: the call
        :param version: version of the endpoint that made it
        :return: false if its version can't be recorded, so that it may not be passed on
        """
        if self._archive is not None:
            if not await self._record(call, version):
                return False
            self._open(call.service).records.keep(call)
        self._known[call.service, call.workspace, call.id] = _Known(version)
        while len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)
        return True

    def end(self, call: Call) -> None:
        """Record that the response to a call has ended, so that its caller may come back.

        :param call: the call
        """
        now = self._clock()
        # tries that follow are made in the time that the first one had
        leaves_at = now + max(RESUME_WINDOW_S, call.expires_at - call.arrived_at)
        known = self._known.get((call.service, call.workspace, call.id))
        if known is not None:
            known.leaves_at = leaves_at
        service = self._services.get(call.service)
        if service is not None:
            service.records.keep(call, leaves_at)
            self._work.set()

    async def find(self, call: Call) -> str | None:
        """Find the version of the stream that a caller takes up again.

        :param call: the call, which names it in ``resumes``
        :return: the version; ``None`` if it isn't known, so that the stream may not go on
        :raises RefusedError: the records can't be read now
        """
        try:
            source, version = await self._search(call)
        except ArchiveUnavailableError as error:
            self._count_takeup("unavailable")
            message = "the version of the stream can't be read now"
            _LOGGER.info(
                "stream version not read", extra={"request": call.id, "detail": str(error)}
            )
            raise refuse(ErrorKind.STORE_UNAVAILABLE, message, FIND_RETRY_S) from error
        self._count_takeup(source)
        _LOGGER.info(
            "stream version found",
            extra={
                "request": call.id,
                "resumes": call.resumes,
                "version": version,
                "source": source,
            },
        )
        return version

    # take-ups

    async def _search(self, call: Call) -> tuple[str, str | None]:
        known = self._known.get((call.service, call.workspace, call.resumes))
        if known is not None and self._clock() < known.leaves_at:
            return "memory", known.version
        if self._archive is None:
            return self._find_sole_listed(call.service)
        service = self._open(call.service)
        sole = self._find_sole(service)
        if sole is not None and (not call.resumes or self._is_base(service, sole)):
            return "sole", sole
        if not call.resumes:
            return "unknown", None
        try:
            async with asyncio.timeout(FIND_LIMIT_S):
                return await self._search_archive(service, call, self._archive)
        except TimeoutError as error:
            raise ArchiveUnavailableError(f"not read within {FIND_LIMIT_S} s") from error

    async def _search_archive(
        self, service: _Service, call: Call, archive: VersionArchive
    ) -> tuple[str, str | None]:
        key = build_key(call.workspace, call.resumes)
        async with self._reads:
            row = await _read_twice(lambda: archive.read(service.name, key))
        if row is not None:
            version = decode_version(row)
            return ("record" if version is not None else "unknown"), version
        # a stream without a record was begun by the base version that was in force then
        if not service.base.is_trusted(self._clock()):
            await _read_twice(service.base_read.read)
        base = service.base.version
        return ("base", base) if base is not None else self._find_sole_listed(service.name)

    def _find_sole(self, service: _Service) -> str | None:
        """:return: version that alone was listed for as long as streams may be taken up."""
        since = self._clock() - VERSION_MEMORY_S
        versions = self._listing.list_since(service.name, since)
        versions.update(self._listing.count_listed(service.name))
        if len(versions) != 1 or not self._listing.is_complete_since(since):
            return None
        return versions.pop()

    def _find_sole_listed(self, service: str) -> tuple[str, str | None]:
        versions = list(self._listing.count_listed(service))
        return ("sole", versions[0]) if len(versions) == 1 else ("unknown", None)

    def _count_takeup(self, source: str) -> None:
        if self._metrics is not None:
            self._metrics.takeups.labels(source).inc()

    # first events

    async def _record(self, call: Call, version: str) -> bool:
        limit = asyncio.get_running_loop().time() + CONFIRM_LIMIT_S
        while not self._is_recorded(call, version):
            progress = self._progress
            try:
                async with asyncio.timeout_at(limit):
                    await progress.wait()
            except TimeoutError:
                return self._may_pass_unrecorded(call, version)
        return True

    def _is_recorded(self, call: Call, version: str) -> bool:
        records = self._open(call.service).records
        if not self._needs_record(call.service, version) and records.withdraw(call):
            return True
        records.request(call, version, self._clock(), delay_s=0.0)
        self._work.set()
        return records.is_settled(call)

    def _may_pass_unrecorded(self, call: Call, version: str) -> bool:
        service = self._open(call.service)
        if service.records.may_differ(call, version) or self._has_other(call.service, version):
            return False
        others = self._listing.count_ready(call.service)
        del others[version]
        if others and not service.base.is_trusted(self._clock()):
            # another host would take it up at the base version, which may be one of these
            return False
        _LOGGER.warning("stream not recorded", extra={"request": call.id, "version": version})
        if self._metrics is not None:
            self._metrics.unrecorded_streams.inc()
        return True

    def _needs_record(self, service: str, version: str) -> bool:
        return self._archive is not None and not self._is_base(self._open(service), version)

    def _is_base(self, service: _Service, version: str) -> bool:
        return service.base.version == version and service.base.is_trusted(self._clock())

    def _has_other(self, service: str, version: str) -> bool:
        """:return: whether streams may begin at another version that needs no records."""
        base = self._open(service).base
        if base.version in (None, version) or not base.is_trusted(self._clock()):
            return False
        return self._listing.count_ready(service)[base.version] > 0

    # the archive

    def _open(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            base = BaseVersion(name, self._listing, self._random)
            service = _Service(name, base, SharedRead(lambda: self._read_base(name)))
            self._services[name] = service
            self.observe()
            self._work.set()
        return service

    def repeat(self) -> None:
        """Write again what a restored store may lack."""
        for service in self._services.values():
            service.records.repeat()
            service.base.doubt(self._clock())
        self._work.set()

    async def wait_work(self) -> None:
        """Wait until something may have to be read or written."""
        now, due = self._clock(), math.inf
        for service in self._services.values():
            due = min(due, service.records.next_leaving())
            due = min(due, max(service.records.due_at(), self._pace.next_at))
            due = min(due, max(service.cleans_at, self._pace.next_at))
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
        assert self._archive is not None
        for service in list(self._services.values()):
            service.records.expire(self._clock())
            await self._keep_base(service)
            await self._write_records(service, self._archive)
            await self._clean(service, self._archive)
        if self._pace.is_away and self._pace.may_read(self._clock()):
            await self._check_reached()

    async def _check_reached(self) -> None:
        if self._is_write_due(self._clock()):
            return
        if await self._refresh_base(next(iter(self._services.values()))):
            self._pace.record_success()

    def _is_write_due(self, now: float) -> bool:
        return any(service.records.due_at() <= now for service in self._services.values())

    async def _keep_base(self, service: _Service) -> None:
        assert self._archive is not None
        change = service.base.find_change(self._clock())
        if service.base.needs_read(self._clock()) and self._pace.may_read(self._clock()):
            await self._refresh_base(service)
            change = service.base.find_change(self._clock())
        now = self._clock()
        if change is None or not self._pace.may_write(now):
            return
        self._pace.record_write(now)
        outcome = await self._archive.write(service.name, [change])
        previous = service.base.version
        service.base.apply(outcome, now)
        self._record_outcome(outcome)
        if isinstance(outcome, Committed) and previous not in (None, service.base.version):
            # by then no stream runs that began before the change
            service.cleans_at, service.cleans_from = now + ORPHAN_AGE_S, KEY_PREFIX

    async def _refresh_base(self, service: _Service) -> bool:
        try:
            await service.base_read.read()
        except ArchiveUnavailableError as error:
            self._pace.record_failure(self._clock(), str(error))
            return False
        return True

    async def _read_base(self, name: str) -> ArchiveRow | None:
        assert self._archive is not None
        requested_at = self._clock()
        row = await self._archive.read(name, BASE_KEY)
        restored = self._archive.was_restored
        self._services[name].base.apply_read(row, requested_at, restored)
        self._pace.record_read()
        self._report_progress()
        return row

    async def _write_records(self, service: _Service, archive: VersionArchive) -> None:
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

    async def _clean(self, service: _Service, archive: VersionArchive) -> None:
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


async def _read_twice(read: Callable[[], Awaitable[ResultT]]) -> ResultT:
    try:
        return await read()
    except ArchiveUnavailableError as error:
        _LOGGER.info("stream versions read again", extra={"detail": str(error)})
    await asyncio.sleep(READ_PAUSE_S)
    return await read()


__all__ = ["CONFIRM_LIMIT_S", "FIND_LIMIT_S", "MAX_REMEMBERED", "StreamVersions"]
