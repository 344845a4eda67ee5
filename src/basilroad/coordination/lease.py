"""Lease on a row of the table, with a growing fencing number."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from collections.abc import Callable

import attrs
import msgspec

from basilroad.coordination.leaserow import NO_HOLDER, LeaseRow, read_lease
from basilroad.coordination.table import (
    ABSENT,
    Row,
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)

logger = logging.getLogger(__name__)

RENEW_TRIES = 2
"""Writes of one renewal: a second one if an earlier write turns out to have landed."""


@attrs.frozen
class LeaseSettings:
    """Settings of a lease.

    :param lease_s: seconds for which a write holds the lease
    :param margin_s: seconds by which the holder stops early, and by which others wait longer
    :param renew_s: seconds between two renewals
    :param retry_s: seconds between two tries to acquire
    """

    lease_s: float = 10.0
    margin_s: float = 0.5
    renew_s: float = 3.0
    retry_s: float = 2.0


@attrs.define
class _Sight:
    """A revision of another holder's row and when it was first seen."""

    revision: int
    seen: float


class Lease:
    """Lease that at most one holder has at a time, whatever the clocks of the hosts say.

    The holder counts from before its write was sent, and others count from after they first
    saw the row; both use only their own monotonic clock. A holder that pauses finds on waking
    that ``is_held`` is false. An order that was sent before is what the fencing number is for.

    :param table: table that holds the row
    :param key: path of the row
    :param holder: name of the own process, other than that of any before it
    :param settings: settings of the lease
    :param clock: seconds that only grow
    """

    def __init__(
        self,
        table: Table,
        key: str,
        holder: str,
        settings: LeaseSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.key = key
        self.holder = holder
        self.settings = settings
        self._table = table
        self._clock = clock
        self._lock = asyncio.Lock()
        self._releasing = False
        self._deadline = 0.0
        self._mine: LeaseRow | None = None
        self._revision = ABSENT
        self._sight: _Sight | None = None

    def is_held(self) -> bool:
        """Tell whether the lease is held now; to be asked right before each act.

        :return: whether the own deadline is still ahead
        """
        if self._mine is None or self._releasing:
            return False
        return self._clock() < self._deadline

    def fence(self) -> int | None:
        """:return: the fencing number for an order; ``None`` if the lease is not held."""
        if self._mine is None or not self.is_held():
            return None
        return self._mine.fence

    async def acquire(self) -> bool:
        """Try once to get the lease, or to renew one that is held.

        :return: whether the lease is held
        """
        async with self._lock:
            if self.is_held():
                return await self._renew()
            return await self._acquire()

    async def renew(self) -> bool:
        """Try to hold the lease for longer; a lease that lapsed is not renewed.

        :return: whether the lease is held
        """
        async with self._lock:
            return await self._renew()

    async def release(self) -> None:
        """Give the lease up; it is not held from the start of this on."""
        self._releasing = True
        async with self._lock:
            mine = self._mine
            self._mine = None
            self._releasing = False
            if mine is not None:
                await self._free(mine)

    async def _acquire(self) -> bool:
        try:
            row = await self._table.read(self.key)
            fence = await self._next_fence(row)
        except TableError as error:
            logger.warning("lease not read key=%s error=%r", self.key, error)
            return False
        if not self._is_free(row):
            return False
        self._mine = None
        mine = LeaseRow(self.holder, uuid.uuid4().hex, 1, fence, self.settings.lease_s)
        return await self._write(mine, row.revision if row else ABSENT)

    async def _renew(self) -> bool:
        for _ in range(RENEW_TRIES):
            if self._mine is None or not self.is_held():
                return False
            known = self._revision
            mine = attrs.evolve(self._mine, serial=self._mine.serial + 1)
            if await self._write(mine, known) or self._revision == known:
                break
        return self.is_held()

    async def _free(self, mine: LeaseRow) -> None:
        freed = attrs.evolve(mine, holder=NO_HOLDER, serial=mine.serial + 1)
        try:
            await self._table.commit([self._build_write(freed, self._revision)])
        except TableError as error:
            logger.warning("lease left to lapse key=%s error=%r", self.key, error)

    async def _write(self, mine: LeaseRow, expected: int) -> bool:
        sent = self._clock()
        try:
            (written,) = await self._table.commit([self._build_write(mine, expected)])
        except TableUnavailableError as error:
            logger.warning("lease not written key=%s error=%r", self.key, error)
            return False
        except TableUnknownError as error:
            logger.warning("lease answer lost key=%s error=%r", self.key, error)
            return await self._settle(mine, sent)
        return self._take_result(mine, sent, written)

    async def _settle(self, mine: LeaseRow, sent: float) -> bool:
        try:
            row = await self._table.read(self.key)
        except TableError as error:
            logger.warning("lease not settled key=%s error=%r", self.key, error)
            self._remember(mine)
            return False
        return self._take_result(mine, sent, WriteResult(False, row))

    def _take_result(self, mine: LeaseRow, sent: float, written: WriteResult) -> bool:
        row = written.row
        found = read_lease(row)
        if row is None or found is None or found.tenure != mine.tenure:
            self._lose(mine, row)
            return False
        self._revision = row.revision
        if found.serial != mine.serial:
            # An earlier write of this tenure landed late; the next one builds on it.
            self._remember(mine)
            return False
        self._mine = mine
        self._deadline = sent + self.settings.lease_s - self.settings.margin_s
        logger.info("lease held key=%s fence=%d serial=%d", self.key, mine.fence, mine.serial)
        return self.is_held()

    def _lose(self, mine: LeaseRow, row: Row | None) -> None:
        if self._mine is None:
            # Not landed yet, but it may: the row is ours to take over if it does.
            self._remember(mine)
            return
        logger.warning("lease lost key=%s row=%r", self.key, row)
        self._mine = None

    def _remember(self, mine: LeaseRow) -> None:
        if self._mine is None:
            self._deadline = 0.0
        self._mine = mine

    def _is_free(self, row: Row | None) -> bool:
        found = read_lease(row)
        if row is None or found is None or found.holder == NO_HOLDER:
            return True
        if self._mine is not None and found.tenure == self._mine.tenure:
            return True
        return self._has_lapsed(row, found)

    def _has_lapsed(self, row: Row, found: LeaseRow) -> bool:
        now = self._clock()
        if self._sight is None or self._sight.revision != row.revision:
            self._sight = _Sight(row.revision, now)
        lease_s = max(found.lease_s, self.settings.lease_s)
        return now - self._sight.seen >= lease_s + self.settings.margin_s

    async def _next_fence(self, row: Row | None) -> int:
        found = read_lease(row)
        if found is not None:
            return found.fence + 1
        # The row was never there or was deleted: no fence was above the table's revision.
        changes = await self._table.changes(self.key, ABSENT)
        return changes.revision + 1

    def _build_write(self, mine: LeaseRow, expected: int) -> Write:
        value = msgspec.json.encode(mine).decode()
        return Write(self.key, value, expected, self.holder)


__all__ = ["Lease", "LeaseSettings"]
