"""Lease on a row of the table, with an increasing fencing number."""

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

RENEW_ATTEMPTS = 2
"""Writes per renewal: a second one if an earlier write turns out to have been applied."""


@attrs.frozen
class LeaseSettings:
    """Settings of a lease.

    :param lease_s: duration of the lease after each write, in seconds
    :param margin_s: seconds by which the holder stops earlier and others wait longer
    :param renew_s: seconds between renewals
    :param retry_s: seconds between attempts to acquire
    """

    lease_s: float = 10.0
    margin_s: float = 0.5
    renew_s: float = 3.0
    retry_s: float = 2.0


@attrs.define
class _Observation:
    """Write of another holder and the time at which its row was first observed.

    The write is identified by tenure and serial: a table that was restored from an older copy gives
    revisions out again.
    """

    tenure: str
    serial: int
    first_seen: float


class Lease:
    """Lease with at most one holder at a time, independent of the wall clocks of the hosts.

    The holder counts from before its write was sent, others from after they first observed the
    row; each uses only its own monotonic clock. After a pause of the process beyond the
    deadline, ``is_held`` returns false. The fencing number lets receivers reject commands that a
    former holder sent earlier.

    :param table: table that holds the row
    :param key: path of the row
    :param holder: name of this process; unique for each run
    :param settings: settings of the lease
    :param clock: monotonic clock in seconds
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
        self._own_row: LeaseRow | None = None
        self._revision = ABSENT
        self._observed: _Observation | None = None
        self._highest_fence = 0

    def is_held(self) -> bool:
        """Return whether the lease is held now; to be checked right before each action.

        :return: whether its deadline has not passed and no release has begun
        """
        if self._own_row is None or self._releasing:
            return False
        return self._clock() < self._deadline

    def fence(self) -> int | None:
        """:return: the fencing number for commands; ``None`` if the lease is not held."""
        if self._own_row is None or not self.is_held():
            return None
        return self._own_row.fence

    def raise_fence(self, seen: int) -> None:
        """Use a higher fencing number from the next renewal on.

        :param seen: fencing number that a receiver has admitted
        """
        self._highest_fence = max(self._highest_fence, seen)

    async def acquire(self) -> bool:
        """Try once to acquire the lease, or to renew it if held.

        :return: whether the lease is held
        """
        async with self._lock:
            if self.is_held():
                return await self._renew()
            return await self._acquire()

    async def renew(self) -> bool:
        """Try to extend the lease; an expired lease is not renewed.

        :return: whether the lease is held
        """
        async with self._lock:
            return await self._renew()

    async def release(self) -> None:
        """Release the lease; it counts as not held as soon as this is called."""
        self._releasing = True
        async with self._lock:
            own_row = self._own_row
            self._own_row = None
            self._releasing = False
            if own_row is not None:
                await self._release(own_row)

    async def _acquire(self) -> bool:
        try:
            row = await self._table.read(self.key)
            fence = await self._next_fence(row)
        except TableError as error:
            logger.warning("failed to read lease key=%s error=%r", self.key, error)
            return False
        if not self._is_available(row):
            return False
        self._own_row = None
        own_row = LeaseRow(self.holder, uuid.uuid4().hex, 1, fence, self.settings.lease_s)
        return await self._write(own_row, row.revision if row else ABSENT)

    async def _renew(self) -> bool:
        for _ in range(RENEW_ATTEMPTS):
            if self._own_row is None or not self.is_held():
                return False
            revision = self._revision
            fence = self._own_row.fence
            own_row = attrs.evolve(self._own_row, serial=self._own_row.serial + 1)
            if self._highest_fence > own_row.fence:
                # No holder since had it: the table lost the row of the one that did.
                own_row = attrs.evolve(own_row, fence=self._highest_fence + 1)
            if await self._write(own_row, revision):
                break
            if self._own_row is not None:
                # A higher number counts once the table has it.
                self._own_row = attrs.evolve(self._own_row, fence=fence)
            if self._revision == revision:
                break
        return self.is_held()

    async def _release(self, own_row: LeaseRow) -> None:
        released = attrs.evolve(own_row, holder=NO_HOLDER, serial=own_row.serial + 1)
        try:
            await self._table.commit([self._build_write(released, self._revision)])
        except TableError as error:
            logger.warning(
                "failed to release lease, it will expire key=%s error=%r", self.key, error
            )

    async def _write(self, own_row: LeaseRow, expected: int) -> bool:
        sent_at = self._clock()
        try:
            (written,) = await self._table.commit([self._build_write(own_row, expected)])
        except TableUnavailableError as error:
            logger.warning("failed to write lease key=%s error=%r", self.key, error)
            return False
        except TableUnknownError as error:
            logger.warning("lease write has unknown outcome key=%s error=%r", self.key, error)
            return await self._read_back(own_row, sent_at)
        return self._handle_result(own_row, sent_at, written)

    async def _read_back(self, own_row: LeaseRow, sent_at: float) -> bool:
        try:
            row = await self._table.read(self.key)
        except TableError as error:
            logger.warning("failed to read back lease key=%s error=%r", self.key, error)
            self._remember(own_row)
            return False
        return self._handle_result(own_row, sent_at, WriteResult(False, row))

    def _handle_result(self, own_row: LeaseRow, sent_at: float, written: WriteResult) -> bool:
        row = written.row
        found = read_lease(row)
        if row is None or found is None or found.tenure != own_row.tenure:
            self._handle_loss(own_row, row)
            return False
        self._revision = row.revision
        if found.serial != own_row.serial:
            # An earlier write of this tenure was applied late; the next one builds on it.
            self._remember(own_row)
            return False
        self._own_row = own_row
        self._highest_fence = max(self._highest_fence, own_row.fence)
        self._deadline = sent_at + self.settings.lease_s - self.settings.margin_s
        logger.info("lease held key=%s fence=%d serial=%d", self.key, own_row.fence, own_row.serial)
        return self.is_held()

    def _handle_loss(self, own_row: LeaseRow, row: Row | None) -> None:
        if self._own_row is None:
            # The write may still be applied; this process may then take the row over.
            self._remember(own_row)
            return
        logger.warning("lease lost key=%s row=%r", self.key, row)
        self._own_row = None

    def _remember(self, own_row: LeaseRow) -> None:
        if self._own_row is None:
            self._deadline = 0.0
        self._own_row = own_row

    def _is_available(self, row: Row | None) -> bool:
        found = read_lease(row)
        if row is None or found is None or found.holder == NO_HOLDER:
            return True
        if self._own_row is not None and found.tenure == self._own_row.tenure:
            return True
        return self._has_expired(found)

    def _has_expired(self, found: LeaseRow) -> bool:
        now = self._clock()
        observed = self._observed
        if observed is None or (observed.tenure, observed.serial) != (found.tenure, found.serial):
            observed = self._observed = _Observation(found.tenure, found.serial, now)
        lease_s = max(found.lease_s, self.settings.lease_s)
        return now - observed.first_seen >= lease_s + self.settings.margin_s

    async def _next_fence(self, row: Row | None) -> int:
        found = read_lease(row)
        if found is not None:
            # A restored table may hold an older fence than was seen.
            self._highest_fence = max(self._highest_fence, found.fence)
            return self._highest_fence + 1
        # The row never existed or was deleted: no earlier fence exceeds the table's revision.
        changes = await self._table.changes(self.key, ABSENT)
        return max(changes.revision, self._highest_fence) + 1

    def _build_write(self, own_row: LeaseRow, expected: int) -> Write:
        value = msgspec.json.encode(own_row).decode()
        return Write(self.key, value, expected, self.holder)


__all__ = ["Lease", "LeaseSettings"]
