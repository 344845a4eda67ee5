"""Watches on tables of the store."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import logging
import random
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs
from mode import Service

from basilroad.clocks import read_boot_clock
from basilroad.platform.store import ConnectionLostError, HistoryGoneError, StoreError
from basilroad.platform.storeclock import StoreClock

if TYPE_CHECKING:
    from basilroad.gateway.exchange.relay import Relay, Update
    from basilroad.gateway.revision import Revision
    from basilroad.platform.staleness import StalenessBudget
    from basilroad.platform.store import Changes, StoreClient, StoreRow

RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.4
"""Limits of the backoff while the store is unavailable; a version has to be in force within a few
seconds."""

FOLLOW_CHECK_INTERVAL_S = 0.1
"""Interval of checks whether a reader still sends updates; a fraction of the time after which this
host takes over."""

FIRST_EPOCH = 1
"""Epoch of a store that was never restored."""

_LOGGER = logging.getLogger(__name__)


class OutdatedResponseError(Exception):
    """The store's response is older than the known state, so it confirms nothing."""


@attrs.frozen
class Restore:
    """The first sight of a store that was restored from an older copy.

    :param head: revision at that moment; rows up to it may come from the copy
    :param seen_at: boot clock reading in seconds
    """

    head: Revision
    seen_at: float

    def may_contain(self, row: StoreRow) -> bool:
        """:return: whether the row may come from the copy."""
        return row.revision <= self.head

    def age_s(self) -> float:
        """:return: seconds since the first sight."""
        return read_boot_clock() - self.seen_at


class TableWatch(Service):
    """Watches a table: reads a snapshot, then polls for changes.

    While the relay receives updates of a reader, these take the place of the polls.

    :param store: the platform's store
    :param table: name of the table
    :param wait_s: maximum duration of a long poll in seconds
    :param relay: role of this host among those that share a reader
    :param budget: time after which a silent connection must have been noticed
    :param pause_s: maximum pause between changes and the next poll in seconds
    """

    def __init__(
        self,
        store: StoreClient,
        table: str,
        wait_s: float,
        relay: Relay,
        budget: StalenessBudget,
        pause_s: float = 0.0,
    ) -> None:
        super().__init__()
        self.budget = budget
        self._responded_at = 0.0
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._relay = relay
        self._needs_read = False
        self._wake = asyncio.Event()
        relay.subscribe(self.apply_update)
        self._clock = StoreClock()
        self._revision: Revision | None = None
        self._epoch = FIRST_EPOCH
        self._restore: Restore | None = None
        self._snapshot_due = True
        self._confirmation_due = False
        self._lost = False
        self._withdrawal: asyncio.TimerHandle | None = None

    @abc.abstractmethod
    def apply_snapshot(self, rows: Sequence[StoreRow], known: Revision | None) -> None:
        """Replace the local state by all rows of the table.

        :param rows: the rows
        :param known: revision of the local state; ``None`` without any
        """

    @abc.abstractmethod
    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Apply rows that changed since the revision of the local state, in order."""

    @abc.abstractmethod
    def apply_update(self, update: Update) -> None:
        """Apply an update from a reader; sets ``_needs_read`` if it isn't enough."""

    @abc.abstractmethod
    async def read_missing(self) -> None:
        """Read from the store what the updates of a reader don't contain."""

    def on_confirmed(self, at: float, store_s: float | None) -> None:
        """Handle a confirmation of the local state.

        :param at: boot clock reading in seconds at which the state was current
        :param store_s: store clock in seconds at the same moment; ``None`` if not known
        """

    def on_lost(self) -> None:
        """Handle a failed read of the store."""

    def on_restored(self) -> None:
        """Handle a restore of the store, before its first listing is applied."""

    @property
    def poll_limit_s(self) -> float:
        """:return: maximum duration of a long poll in seconds."""
        return self.budget.limit_poll(self._wait_s, read_boot_clock() - self._responded_at)

    @property
    def is_snapshot_due(self) -> bool:
        """:return: whether all rows have to be read again."""
        return self._snapshot_due

    async def on_stop(self) -> None:
        """Cancel the scheduled withdrawal."""
        self._cancel_withdrawal()

    @Service.task
    async def _follow(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.should_stop:
            try:
                if self._relay.follows and not self.is_snapshot_due:
                    await self._follow_reader()
                else:
                    await self._read_store()
            except HistoryGoneError as error:
                self._snapshot_due = True
                self._schedule_withdrawal()
                _LOGGER.info(
                    "history gone",
                    extra={
                        "table": self._table,
                        "detail": str(error),
                        "revision": self._revision.number if self._revision else None,
                        "epoch": self._revision.epoch if self._revision else None,
                    },
                )
            except OutdatedResponseError as error:
                _LOGGER.info(
                    "response outdated", extra={"table": self._table, "detail": str(error)}
                )
            except StoreError as error:
                self._report_lost(str(error))
            except Exception:
                # one row that can't be applied must not end the watch; all rows are read again
                self._revision, self._snapshot_due = None, True
                # the followers miss what isn't applied here
                self._schedule_withdrawal()
                _LOGGER.error("watch failed", extra={"table": self._table}, exc_info=True)
            else:
                pause_s = RETRY_MIN_S
                continue
            # the history can be gone right after a full read, so this also backs off
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    async def _read_store(self) -> None:
        if self.is_snapshot_due or self._confirmation_due or self._lost:
            await self._read_snapshot()
        if not self._relay.follows:
            await self._poll_changes(self.poll_limit_s)

    async def _follow_reader(self) -> None:
        while self._relay.follows and not self.is_snapshot_due and not self.should_stop:
            if self._needs_read:
                await self.read_missing()
                self._needs_read = False
                self._report_recovered()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), FOLLOW_CHECK_INTERVAL_S)
        self._needs_read = False
        _LOGGER.info("no reader followed", extra={"table": self._table})

    def _request_read(self) -> None:
        self._needs_read = True
        self._wake.set()

    async def _read_snapshot(self) -> None:
        requested_at = read_boot_clock()
        changes = await self._store.read_table(self._table)
        self._responded_at = read_boot_clock()
        if self._lost:
            # after an outage another store may respond, with another clock
            self._clock.reset()
        self._apply_snapshot(changes)
        self._snapshot_due = self._confirmation_due = False
        self._confirm(changes, requested_at)
        self._report_recovered()

    async def _poll_changes(self, wait_s: float) -> None:
        assert self._revision is not None
        requested_at = read_boot_clock()
        try:
            changes = await self._store.wait_changes(self._table, self._revision, wait_s)
        except ConnectionLostError as error:
            _LOGGER.info("poll lost", extra={"table": self._table, "detail": str(error)})
            if error.closed:
                self._schedule_withdrawal()
            else:
                self._relay.suspend(self._table)
            # a new connection shows whether the store is lost or only the last connection
            requested_at, wait_s = read_boot_clock(), 0.0
            changes = await self._store.wait_changes(self._table, self._revision, wait_s)
        self._responded_at = read_boot_clock()
        self._apply_changes(changes)
        waited_s = read_boot_clock() - requested_at
        # the store sends an empty response only at the end of the wait
        idle_s = wait_s if not changes.rows and waited_s >= wait_s else 0.0
        self._confirm(changes, requested_at + idle_s)
        if changes.rows and self._pause_s:
            await self.sleep(self.budget.limit_pause(self._pause_s))

    def _apply_snapshot(self, changes: Changes) -> None:
        self._check_current(changes)
        known, self._revision = self._revision, changes.revision
        # the revision is forgotten when a watch fails, the epoch isn't; at its first read, a host
        # can't know how long ago a restore was
        previous, self._epoch = self._epoch, changes.revision.epoch
        if self._epoch > previous:
            self._restore = Restore(changes.revision, read_boot_clock())
            self._clock.reset()
            self.on_restored()
        self.apply_snapshot(changes.rows, known)

    def _apply_changes(self, changes: Changes) -> None:
        self._check_current(changes)
        known, self._revision = self._revision, changes.revision
        self.apply_changes([row for row in changes.rows if known is None or row.revision > known])

    def _check_current(self, changes: Changes) -> None:
        # a read may lag, and updates of a reader may have come while the response was in flight
        if self._revision is not None and changes.revision < self._revision:
            raise OutdatedResponseError("the response is older than the known state")

    def _confirm(self, changes: Changes, earliest: float) -> None:
        self._cancel_withdrawal()
        self._relay.resume(self._table)
        received_at = read_boot_clock()
        if self._clock.is_other(earliest, received_at, changes.store_s):
            # the store may have restarted without a failed read
            self._clock.reset()
            _LOGGER.warning("store clock changed", extra={"table": self._table})
        at = self._clock.estimate_time(earliest, received_at, changes.store_s)
        self.on_confirmed(at, changes.store_s)

    def _schedule_withdrawal(self) -> None:
        # the store responds, so the followers stay while the tables are read again
        if self._withdrawal is None:
            loop = asyncio.get_running_loop()
            self._withdrawal = loop.call_later(
                self.budget.reread_s, self._relay.suspend, self._table
            )

    def _cancel_withdrawal(self) -> None:
        if self._withdrawal is not None:
            self._withdrawal.cancel()
            self._withdrawal = None

    def _report_lost(self, detail: str) -> None:
        self._cancel_withdrawal()
        self._relay.suspend(self._table)
        self.on_lost()
        if not self._lost:
            self._lost = True
            _LOGGER.warning("store lost", extra={"table": self._table, "detail": detail})

    def _report_recovered(self) -> None:
        if self._lost:
            self._lost = False
            _LOGGER.info(
                "store regained",
                extra={
                    "table": self._table,
                    "revision": self._revision.number if self._revision else None,
                    "epoch": self._revision.epoch if self._revision else None,
                },
            )


__all__ = ["OutdatedResponseError", "Restore", "TableWatch"]
