"""Follows the operator's config and the servers' entries in the store."""

from __future__ import annotations

import abc
import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from mode import Service

from basilroad.gateway.freshness import read_boot_clock
from basilroad.platform.config import ConfigError, decode_config, decode_server
from basilroad.platform.store import HistoryGoneError, StoreError
from basilroad.platform.storeclock import StoreClock

if TYPE_CHECKING:
    from basilroad.gateway.endpoint import EndpointEntry
    from basilroad.gateway.gateway import Gateway
    from basilroad.platform.store import Changes, StoreClient, StoreRow

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
SERVERS_TABLE = "servers"

CONFIG_WAIT_S = 2.2
"""Longest call for changes of the config, in seconds; a lost one is noticed at its end, within the
four seconds after which the fleets' sheets count a host as in touch again."""

CONFIRM_SHARE = 0.5
"""Share of the time for which keys count that such a call may take, as its answers confirm them;
the rest is left for one lost call and a read."""

SERVERS_WAIT_S = 4.0
"""Seconds of one call for changes of the entries; changes end it at once, and calls are paid."""

SERVERS_PAUSE_S = 0.5
"""Longest pause between changes of the entries and the next call for more, in seconds: endpoints of
a data centre come and go together within about a second, and calls are paid."""

DRAIN_SHARE = 0.4
"""Share of the time in which a leaving endpoint is to get no more calls that the pause may take;
the rest is left for a read and for calls on their way."""

RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.4
"""Seconds between tries while the store is away; a version has to be in force in a few seconds."""

_LOGGER = logging.getLogger(__name__)


class TableWatch(Service):
    """Follows one table.

    :param store: the platform's store
    :param table: name of the table
    :param wait_s: seconds of one call for changes
    :param pause_s: seconds between changes and the next call
    """

    def __init__(self, store: StoreClient, table: str, wait_s: float, pause_s: float = 0.0) -> None:
        super().__init__()
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._clock = StoreClock()
        self._revision: int | None = None
        self._lost = False

    @abc.abstractmethod
    def take_all(self, rows: Sequence[StoreRow]) -> None:
        """Take all rows of the table."""

    @abc.abstractmethod
    def take_changes(self, rows: Sequence[StoreRow]) -> None:
        """Take the rows that changed."""

    def on_confirmed(self, at: float) -> None:
        """Note that what is known was the store's state at a moment of the boot clock."""

    def on_lost(self) -> None:
        """Note that the store could not be read."""

    @Service.task
    async def _follow(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.should_stop:
            try:
                revision = self._revision
                if revision is None or self._lost:
                    revision = await self._read_whole()
                await self._await_changes(revision)
            except HistoryGoneError as error:
                self._revision = None
                _LOGGER.info("history gone", extra={"table": self._table, "detail": str(error)})
            except StoreError as error:
                self._tell_lost(str(error))
            else:
                pause_s = RETRY_MIN_S
                continue
            # a table that was just read can lack its history again, so that is a failure too
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    async def _read_whole(self) -> int:
        asked_at = read_boot_clock()
        changes = await self._store.read_table(self._table)
        self._accept(changes, self.take_all)
        self._confirm(changes, asked_at)
        self._tell_regained()
        return changes.revision

    async def _await_changes(self, revision: int) -> None:
        asked_at = read_boot_clock()
        changes = await self._store.wait_changes(self._table, revision, self._wait_s)
        self._accept(changes, self.take_changes)
        waited_s = read_boot_clock() - asked_at
        # an empty answer is made at the end of the wait
        idle_s = self._wait_s if not changes.rows and waited_s >= self._wait_s else 0.0
        self._confirm(changes, asked_at + idle_s)
        if changes.rows and self._pause_s:
            await self.sleep(self._pause_s)

    def _accept(self, changes: Changes, take: Callable[[Sequence[StoreRow]], None]) -> None:
        take(changes.rows)
        self._revision = changes.revision

    def _confirm(self, changes: Changes, earliest: float) -> None:
        received_at = read_boot_clock()
        self.on_confirmed(self._clock.date(earliest, received_at, changes.store_s))

    def _tell_lost(self, detail: str) -> None:
        self.on_lost()
        self._clock.forget()
        if not self._lost:
            self._lost = True
            _LOGGER.warning("store lost", extra={"table": self._table, "detail": detail})

    def _tell_regained(self) -> None:
        if self._lost:
            self._lost = False
            _LOGGER.info("store regained", extra={"table": self._table, "revision": self._revision})


class ConfigWatch(TableWatch):
    """Keeps the gateway's routing table at the operator's newest config.

    :param store: the platform's store
    :param gateway: takes the versions
    """

    def __init__(self, store: StoreClient, gateway: Gateway) -> None:
        key_age_s = gateway.settings.key_age_limit_s
        wait_s = CONFIG_WAIT_S
        if key_age_s is not None:
            wait_s = min(wait_s, CONFIRM_SHARE * key_age_s)
        super().__init__(store, CONFIG_TABLE, wait_s)
        self._gateway = gateway

    def take_all(self, rows: Sequence[StoreRow]) -> None:
        """Take the config among all rows."""
        self.take_changes(rows)

    def take_changes(self, rows: Sequence[StoreRow]) -> None:
        """Take the config if it changed; one that can't be read leaves the last one in force."""
        for row in rows:
            if row.key != CONFIG_KEY or row.value is None:
                continue
            try:
                self._gateway.apply_table(decode_config(row.value))
            except ConfigError as error:
                _LOGGER.error("config not understood", extra={"detail": str(error)})

    def on_confirmed(self, at: float) -> None:
        """Note until when keys are known to hold."""
        if self._gateway.table is not None:
            self._gateway.freshness.confirm(at)


class ServersWatch(TableWatch):
    """Keeps the gateway's endpoints at the servers' entries.

    :param store: the platform's store
    :param gateway: takes the entries
    :param drain_s: seconds within which a leaving endpoint is to get no more calls
    """

    def __init__(self, store: StoreClient, gateway: Gateway, drain_s: float) -> None:
        pause_s = min(SERVERS_PAUSE_S, DRAIN_SHARE * drain_s)
        super().__init__(store, SERVERS_TABLE, SERVERS_WAIT_S, pause_s)
        self._directory = gateway.directory

    def take_all(self, rows: Sequence[StoreRow]) -> None:
        """Replace all entries."""
        entries = [_decode_entry(row) for row in rows]
        self._directory.replace(entry for entry in entries if entry is not None)

    def take_changes(self, rows: Sequence[StoreRow]) -> None:
        """Take the entries that changed."""
        for row in rows:
            entry = _decode_entry(row)
            if entry is None:
                self._directory.remove(row.key)
            else:
                self._directory.put(entry)

    def on_lost(self) -> None:
        """Expect false absences."""
        self._directory.mark_listing_unreliable()


def _decode_entry(row: StoreRow) -> EndpointEntry | None:
    if row.value is None:
        return None
    try:
        return decode_server(row.key, row.value)
    except ConfigError as error:
        _LOGGER.warning("entry skipped", extra={"endpoint": row.key, "detail": str(error)})
        return None


__all__ = ["ConfigWatch", "ServersWatch", "TableWatch"]
