"""Software versions of streams, which resume only at endpoints of the version that began them."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import OrderedDict
from typing import TYPE_CHECKING, TypeVar

import attrs

from basilroad.clocks import read_boot_clock
from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.versions.archive import ArchiveUnavailableError
from basilroad.gateway.versions.keeper import VersionKeeper
from basilroad.gateway.versions.listing import VersionListing
from basilroad.gateway.versions.streamrow import (
    RESUME_WINDOW_S,
    StreamKey,
    decode_version,
    find_duration,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.metrics import GatewayMetrics
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.versions.archive import VersionArchive
    from basilroad.gateway.versions.keeper import ServiceVersions

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

RELIST_S = 5.0
"""Time after a restore of the store within which all endpoints are listed again: three missed
check-ins and a pause of the watch."""

UNKNOWN_VERSION = "unknown"
"""Version in the record of a stream that may have been begun by one of two, so that it may not
resume."""

ResultT = TypeVar("ResultT")

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _Known:
    """A stream that was begun here.

    :param version: version of its first event that was passed on
    :param lasts_s: longest time from its call to its last take-up in seconds
    :param leaves_at: seconds after which it can't be taken up
    """

    version: str
    lasts_s: float
    leaves_at: float = math.inf


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
        self._listing = VersionListing(directory)
        self.keeper = VersionKeeper(self._listing, clock, generator or random.Random(), metrics)
        # by service and id, as callers of several workspaces may use one id
        self._known: OrderedDict[tuple[str, str], dict[StreamKey, _Known]] = OrderedDict()
        self._reads = asyncio.Semaphore(MAX_READS)

    def apply_limits(self, limits: Mapping[str, float]) -> None:
        """Apply the time limits of a configuration.

        :param limits: longest time limit of streams in seconds, by service
        """
        self._listing.windows.extend(limits)

    def may_begin(self, service: str, version: str) -> bool:
        """Check whether new streams may be placed at a version now.

        :param service: their service
        :param version: the version
        :return: false while a record that they need can't be made
        """
        is_slow = self.keeper.estimate_write() > CONFIRM_LIMIT_S
        if not (self.keeper.is_away or is_slow) or not self._needs_record(service, version):
            return True
        return not self._has_other(service, version)

    def begin(self, call: Call, version: str) -> None:
        """Prepare the record of a new stream whose request is sent, while it waits for an event.

        :param call: the call
        :param version: version of the endpoint
        """
        if self.keeper.archive is None:
            return
        now, service = self._clock(), self.keeper.open(call.service)
        if self._needs_record(call.service, version) or not service.records.withdraw(call):
            service.records.request(call, version, now, self.keeper.find_batch_delay())
            self.keeper.request_work()

    async def confirm(self, call: Call, version: str) -> bool:
        """Wait until the first event of a new stream may be passed on.

        :param call: the call
        :param version: version of the endpoint that made it
        :return: false if its version can't be recorded, so that it may not be passed on
        """
        if self.keeper.archive is not None:
            if not await self._record(call, version):
                return False
            self.keeper.open(call.service).records.keep(call)
        begun = self._known.setdefault((call.service, call.id), {})
        begun[StreamKey.build(call, call.id)] = _Known(version, find_duration(call))
        while len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)
        return True

    def record_unknown(self, call: Call) -> None:
        """Record that no version is known to have begun a stream, so that nothing resumes it.

        :param call: the call of the stream, of which events were passed on
        """
        _LOGGER.warning("stream version unknown", extra={"request": call.id})
        known = self._find_own(call)
        if known is not None:
            known.version = UNKNOWN_VERSION
        if self.keeper.archive is not None:
            records = self.keeper.open(call.service).records
            records.request(call, UNKNOWN_VERSION, self._clock(), delay_s=0.0)
            self.keeper.request_work()

    def end(self, call: Call) -> None:
        """Record the end of the response to a call, which its caller may take up again.

        :param call: the call
        """
        now = self._clock()
        # tries that follow are made in the time that the first one had
        leaves_at = now + max(RESUME_WINDOW_S, call.expires_at - call.arrived_at)
        known = self._find_own(call)
        if known is not None:
            known.leaves_at = leaves_at
        service = self.keeper.find(call.service)
        if service is not None:
            service.records.keep(call, leaves_at)
            self.keeper.request_work()

    def repeat(self) -> None:
        """Write again what a restored store may lack.

        Where records may be missing, a stream without one is not known to be of the base version,
        so the own streams of that version get records too.
        """
        now = self._clock()
        for (service, _), begun in self._known.items():
            for key, known in begun.items():
                if now < known.leaves_at:
                    records = self.keeper.open(service).records
                    records.add(str(key), known.version, now, known.leaves_at, known.lasts_s)
        self.keeper.repeat()

    async def find(self, call: Call) -> str | None:
        """Find the version of the stream that a caller takes up again.

        :param call: the call, which names it in ``resumes``
        :return: the version; ``None`` if it isn't known, so that the stream may not resume
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
        if version == UNKNOWN_VERSION:
            source, version = "unknown", None
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
        version = self._find_remembered(call)
        if version is not None:
            return "memory", version
        archive = self.keeper.archive
        if archive is None:
            return self._find_sole_listed(call.service)
        service = self.keeper.open(call.service)
        sole = self._find_sole(service)
        if sole is not None and (not call.resumes or self._is_base(service, sole)):
            return "sole", sole
        try:
            async with asyncio.timeout(FIND_LIMIT_S):
                if not call.resumes:
                    return await self._search_unnamed(service)
                return await self._search_archive(service, call, archive)
        except TimeoutError as error:
            raise ArchiveUnavailableError(f"not read within {FIND_LIMIT_S} s") from error

    def _find_own(self, call: Call) -> _Known | None:
        begun = self._known.get((call.service, call.id), {})
        return begun.get(StreamKey.build(call, call.id))

    def _find_remembered(self, call: Call) -> str | None:
        """:return: version of the stream that a caller takes up, if it was begun here."""
        begun = self._known.get((call.service, call.resumes), {}) if call.resumes else {}
        if not begun:
            return None
        now = self._clock()
        versions: dict[StreamKey | None, str | None] = {
            key: known.version for key, known in begun.items() if now < known.leaves_at
        }
        return _select_version(StreamKey.build(call, call.resumes), versions)

    async def _search_archive(
        self, service: ServiceVersions, call: Call, archive: VersionArchive
    ) -> tuple[str, str | None]:
        key = StreamKey.build(call, call.resumes)
        async with self._reads:
            rows = await _read_twice(lambda: archive.list_rows(service.name, *key.range))
        versions = {StreamKey.parse(text): decode_version(row) for text, row in rows}
        version = _select_version(key, versions)
        if version is not None:
            return ("record" if version != UNKNOWN_VERSION else "unknown"), version
        if not call.route.repeatable:
            # streams of routes that allow no resume have no record at any version
            return self._find_sole_known(service)
        # a stream without a record was begun by the base version that was in force then
        base = await self._read_base(service)
        if service.base.may_lack_records:
            known = self._list_known(service) | self._list_named(service)
            return self._find_despite_loss(service, base, known)
        return ("base", base) if base is not None else self._find_sole_listed(service.name)

    def _find_despite_loss(
        self, service: ServiceVersions, base: str | None, known: set[str]
    ) -> tuple[str, str | None]:
        # the record may be one that a restored store has lost
        if len(known) > 1 or (known and base not in (None, *known)):
            return "unknown", None
        # any version may have left since a base version that was lost
        limit_s = self._find_memory(service) if service.base.is_lost else RELIST_S
        if not self._listing.is_complete_since(self._clock() - limit_s):
            raise ArchiveUnavailableError("the listing may lack versions since a restore")
        return ("base", known.pop()) if known else ("unknown", None)

    async def _search_unnamed(self, service: ServiceVersions) -> tuple[str, str | None]:
        # it may have a record, unless no other version than the base is known
        base = await self._read_base(service)
        if service.base.may_lack_records:
            return self._find_despite_loss(service, base, self._list_known(service))
        now = self._clock()
        if not (service.base.is_trusted(now) or self._listing.is_complete_since(now)):
            raise ArchiveUnavailableError("the listing may lack versions")
        return ("base", base) if self._list_known(service) == {base} else ("unknown", None)

    def _find_memory(self, service: ServiceVersions) -> float:
        return self._listing.windows.find_memory(service.name)

    async def _read_base(self, service: ServiceVersions) -> str | None:
        if not service.base.is_trusted(self._clock()):
            await _read_twice(service.base_read.read)
        return service.base.version

    def _list_known(self, service: ServiceVersions) -> set[str]:
        """:return: versions of which this host knows that streams may be taken up."""
        versions = self._listing.list_since(
            service.name, self._clock() - self._find_memory(service)
        )
        return versions.union(self._listing.count_listed(service.name))

    def _list_named(self, service: ServiceVersions) -> set[str]:
        """:return: versions of the row that may have left before this host saw the listing."""
        is_complete = self._listing.is_complete_since(self._clock() - self._find_memory(service))
        return set() if is_complete else set(service.base.others)

    def _find_sole(self, service: ServiceVersions) -> str | None:
        """:return: version that alone was listed for as long as streams may be taken up."""
        versions = self._list_known(service)
        since = self._clock() - self._find_memory(service)
        if len(versions) != 1 or not self._listing.is_complete_since(since):
            return None
        return versions.pop()

    def _find_sole_known(self, service: ServiceVersions) -> tuple[str, str | None]:
        sole = self._find_sole(service)
        return ("sole", sole) if sole is not None else ("unknown", None)

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
            try:
                await self.keeper.wait_progress(limit)
            except TimeoutError:
                return self._may_pass_unrecorded(call, version)
        return True

    def _is_recorded(self, call: Call, version: str) -> bool:
        records = self.keeper.open(call.service).records
        if not self._needs_record(call.service, version) and records.withdraw(call):
            return True
        records.request(call, version, self._clock(), delay_s=0.0)
        self.keeper.request_work()
        return records.is_settled(call)

    def _may_pass_unrecorded(self, call: Call, version: str) -> bool:
        service = self.keeper.open(call.service)
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
        return self.keeper.archive is not None and not self._is_base(
            self.keeper.open(service), version
        )

    def _is_base(self, service: ServiceVersions, version: str) -> bool:
        return service.base.version == version and service.base.is_trusted(self._clock())

    def _has_other(self, service: str, version: str) -> bool:
        """:return: whether streams may begin at another version that needs no records."""
        base = self.keeper.open(service).base
        if base.version in (None, version) or not base.is_trusted(self._clock()):
            return False
        return self._listing.count_ready(service)[base.version] > 0


def _select_version(
    caller: StreamKey, versions: Mapping[StreamKey | None, str | None]
) -> str | None:
    """Select the stream that a caller takes up among those of one id.

    :param caller: key that the stream would have if the caller had begun it now
    :param versions: versions by key of the streams of this id; ``None`` for what can't be read
    :return: the version; ``None`` if no stream is this caller's
    """
    if caller in versions:
        return versions[caller] or UNKNOWN_VERSION
    found = {
        version for key, version in versions.items() if key is not None and caller.may_take_up(key)
    }
    if len(found) > 1:
        # a key that has changed its workspace, and both had streams of this id
        return UNKNOWN_VERSION
    return (found.pop() or UNKNOWN_VERSION) if found else None


async def _read_twice(read: Callable[[], Awaitable[ResultT]]) -> ResultT:
    try:
        return await read()
    except ArchiveUnavailableError as error:
        _LOGGER.info("stream versions read again", extra={"detail": str(error)})
    await asyncio.sleep(READ_PAUSE_S)
    return await read()


__all__ = [
    "CONFIRM_LIMIT_S",
    "FIND_LIMIT_S",
    "MAX_REMEMBERED",
    "RELIST_S",
    "UNKNOWN_VERSION",
    "StreamVersions",
]
