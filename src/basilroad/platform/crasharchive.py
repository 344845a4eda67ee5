"""Crashes that show what is refused, kept in the store for gateways that start."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Annotated

import msgspec
from mode import Service

from basilroad.clocks import read_boot_clock
from basilroad.coordination.decoding import DecodeError, JsonDecoder
from basilroad.gateway.exchange.crashreports import (
    MAX_REFUSED_RECORDS,
    CrashReport,
    pack_record,
    unpack_report,
)
from basilroad.platform.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.coordination.crashledger import CrashRecord
    from basilroad.gateway.crashes.containment import Containment
    from basilroad.platform.store import Changes, StoreClient

CRASHES_TABLE = "crashes"

WRITE_INTERVAL_S = 1.0
"""Shortest interval between writes of a gateway; requests to the store are billed."""

RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0
"""Limits of the backoff while the store is unavailable; nothing waits for the archive."""

_LOGGER = logging.getLogger(__name__)


class _Row(msgspec.Struct):
    """Crashes that show what a gateway refuses.

    :param written_s: store clock in seconds at which the ages of the crashes were taken
    :param reports: the crashes
    """

    written_s: float
    reports: Annotated[list[CrashReport], msgspec.Meta(max_length=MAX_REFUSED_RECORDS)]


_ROW_DECODER = JsonDecoder(_Row)


class CrashArchive(Service):
    """Keeps crashes that show what is refused in the store, and reads them at the start.

    Gateways report crashes to each other, so this matters when all of them end at once. One row for
    each gateway: it is written when crashes that this gateway saw change what is refused.

    :param store: the platform's store
    :param host: name of this host
    :param containment: refuses calls
    """

    def __init__(self, store: StoreClient, host: str, containment: Containment) -> None:
        super().__init__()
        self._store = store
        self._host = host
        self._containment = containment
        self._changed = asyncio.Event()
        self._written: frozenset[tuple[str, str]] = frozenset()
        self._clock_offset_s: float | None = None
        containment.subscribe(self._changed.set)
        store.subscribe(self._prepare_repeat)

    def _prepare_repeat(self) -> None:
        # a restored store may have another clock, and may have lost the row
        self._clock_offset_s, self._written = None, frozenset()
        self._changed.set()

    @Service.task
    async def _read_and_write(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.should_stop:
            try:
                if self._clock_offset_s is None:
                    await self._read()
                self._changed.clear()
                await self._write()
            except StoreError as error:
                _LOGGER.info("crash archive not reached", extra={"detail": str(error)})
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, 2 * pause_s)
            else:
                pause_s = RETRY_MIN_S
                await asyncio.sleep(WRITE_INTERVAL_S)
                await self._changed.wait()

    async def _read(self) -> None:
        changes = await self._store.read_table(CRASHES_TABLE)
        if changes.store_s is None:
            raise StoreError("the response has no clock, so that crashes can't be dated")
        self._clock_offset_s = changes.store_s - read_boot_clock()
        records = list(_unpack_rows(changes, changes.store_s))
        if records:
            _LOGGER.info("crash archive read", extra={"crashes": len(records)})
            self._containment.restore(records)

    async def _write(self) -> None:
        records = self._containment.exchange.list_refused()
        if not any(self._containment.has_recorded(record.crash) for record in records):
            records = []
        names = frozenset((record.crash, record.content) for record in records)
        if names == self._written:
            return
        assert self._clock_offset_s is not None
        written_s = self._clock_offset_s + read_boot_clock()
        row = msgspec.json.encode(_Row(written_s, [pack_record(record) for record in records]))
        await self._store.put(CRASHES_TABLE, self._host, row)
        self._written = names
        _LOGGER.info("crash archive written", extra={"crashes": len(records)})


def _unpack_rows(changes: Changes, store_s: float) -> Iterator[CrashRecord]:
    for row in changes.rows:
        try:
            decoded = _ROW_DECODER.decode(row.value or b"")
        except DecodeError as error:
            _LOGGER.warning("crashes skipped", extra={"peer": row.key, "detail": str(error)})
            continue
        # a store that was replaced may have a clock that is behind
        age_s = max(0.0, store_s - decoded.written_s)
        for report in decoded.reports:
            yield unpack_report(report, age_s)


__all__ = ["CRASHES_TABLE", "CrashArchive"]
