"""Watches on the operator's config and the server entries in the store."""

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

CONFIG_LONG_POLL_S = 2.2
"""Maximum duration of a long poll for config changes; a lost poll is noticed at its end, within the
four seconds after which the fleet specifications count a host as reconnected."""

KEY_AGE_POLL_SHARE = 0.5
"""Maximum duration of a config poll as a share of the key age limit, as each response confirms the
keys; the rest is left for one lost poll and a read."""

SERVERS_LONG_POLL_S = 4.0
"""Duration of a long poll for entry changes; a change ends it at once, and requests to the store
are billed."""

SERVERS_PAUSE_S = 0.5
"""Maximum pause between a change of the entries and the next poll: endpoints of a data centre are
added and removed together within about a second, and requests to the store are billed."""

DRAIN_PAUSE_SHARE = 0.4
"""Maximum share of the drain limit that the pause may take; the rest is left for a read and for
calls on their way."""

RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.4
"""Limits of the backoff while the store is unavailable; a version has to be in force within a few
seconds."""

_LOGGER = logging.getLogger(__name__)


class TableWatch(Service):
    """Watches a table: reads a snapshot, then polls for changes.

    :param store: the platform's store
    :param table: name of the table
    :param wait_s: duration of a long poll in seconds
    :param pause_s: pause between changes and the next poll in seconds
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
    def apply_snapshot(self, rows: Sequence[StoreRow]) -> None:
        """Replace the local state by all rows of the table."""

    @abc.abstractmethod
    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Apply the changed rows to the local state."""

    def on_confirmed(self, at: float) -> None:
        """Handle a confirmation of the local state.

        :param at: boot clock reading in seconds at which the state was current
        """

    def on_lost(self) -> None:
        """Handle a failed read of the store."""

    @Service.task
    async def _follow(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.should_stop:
            try:
                revision = self._revision
                if revision is None or self._lost:
                    revision = await self._read_snapshot()
                await self._poll_changes(revision)
            except HistoryGoneError as error:
                self._revision = None
                _LOGGER.info("history gone", extra={"table": self._table, "detail": str(error)})
            except StoreError as error:
                self._report_lost(str(error))
            else:
                pause_s = RETRY_MIN_S
                continue
            # the history can be gone right after a full read, so this also backs off
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    async def _read_snapshot(self) -> int:
        requested_at = read_boot_clock()
        changes = await self._store.read_table(self._table)
        self._apply(changes, self.apply_snapshot)
        self._confirm(changes, requested_at)
        self._report_recovered()
        return changes.revision

    async def _poll_changes(self, revision: int) -> None:
        requested_at = read_boot_clock()
        changes = await self._store.wait_changes(self._table, revision, self._wait_s)
        self._apply(changes, self.apply_changes)
        waited_s = read_boot_clock() - requested_at
        # the store sends an empty response only at the end of the wait
        idle_s = self._wait_s if not changes.rows and waited_s >= self._wait_s else 0.0
        self._confirm(changes, requested_at + idle_s)
        if changes.rows and self._pause_s:
            await self.sleep(self._pause_s)

    def _apply(self, changes: Changes, apply: Callable[[Sequence[StoreRow]], None]) -> None:
        apply(changes.rows)
        self._revision = changes.revision

    def _confirm(self, changes: Changes, earliest: float) -> None:
        received_at = read_boot_clock()
        self.on_confirmed(self._clock.estimate_time(earliest, received_at, changes.store_s))

    def _report_lost(self, detail: str) -> None:
        self.on_lost()
        self._clock.reset()
        if not self._lost:
            self._lost = True
            _LOGGER.warning("store lost", extra={"table": self._table, "detail": detail})

    def _report_recovered(self) -> None:
        if self._lost:
            self._lost = False
            _LOGGER.info("store regained", extra={"table": self._table, "revision": self._revision})


class ConfigWatch(TableWatch):
    """Keeps the gateway's routing table in sync with the operator's config.

    :param store: the platform's store
    :param gateway: gateway to which new versions are applied
    """

    def __init__(self, store: StoreClient, gateway: Gateway) -> None:
        key_age_s = gateway.settings.key_age_limit_s
        wait_s = CONFIG_LONG_POLL_S
        if key_age_s is not None:
            wait_s = min(wait_s, KEY_AGE_POLL_SHARE * key_age_s)
        super().__init__(store, CONFIG_TABLE, wait_s)
        self._gateway = gateway

    def apply_snapshot(self, rows: Sequence[StoreRow]) -> None:
        """Apply the config, if it is among the rows."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Apply the config if it changed; a malformed one leaves the last one in force."""
        for row in rows:
            if row.key != CONFIG_KEY or row.value is None:
                continue
            try:
                self._gateway.apply_table(decode_config(row.value))
            except ConfigError as error:
                _LOGGER.error("config not understood", extra={"detail": str(error)})

    def on_confirmed(self, at: float) -> None:
        """Confirm the routing table, and with it the keys, as of that time."""
        if self._gateway.table is not None:
            self._gateway.freshness.confirm(at)


class ServersWatch(TableWatch):
    """Keeps the gateway's endpoint directory in sync with the server entries.

    :param store: the platform's store
    :param gateway: gateway whose directory is updated
    :param drain_s: seconds within which a draining endpoint must stop receiving calls
    """

    def __init__(self, store: StoreClient, gateway: Gateway, drain_s: float) -> None:
        pause_s = min(SERVERS_PAUSE_S, DRAIN_PAUSE_SHARE * drain_s)
        super().__init__(store, SERVERS_TABLE, SERVERS_LONG_POLL_S, pause_s)
        self._directory = gateway.directory

    def apply_snapshot(self, rows: Sequence[StoreRow]) -> None:
        """Replace all entries of the directory."""
        entries = [_decode_entry(row) for row in rows]
        self._directory.replace(entry for entry in entries if entry is not None)

    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Update or remove the changed entries; a malformed one is removed."""
        for row in rows:
            entry = _decode_entry(row)
            if entry is None:
                self._directory.remove(row.key)
            else:
                self._directory.put(entry)

    def on_lost(self) -> None:
        """Mark the listing unreliable: entries of running servers may be missing."""
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
