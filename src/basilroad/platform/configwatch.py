"""Watch on the operator's config in the store."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

from basilroad.clocks import read_boot_clock
from basilroad.gateway.exchange.relay import Confirmation
from basilroad.platform.config import ConfigError, decode_config
from basilroad.platform.restorerecord import RestoreRecord
from basilroad.platform.watch import TableWatch

if TYPE_CHECKING:
    from mode.types import ServiceT

    from basilroad.gateway.exchange.configexchange import ConfigExchange, FetchedConfig
    from basilroad.gateway.exchange.relay import Relay, Update
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.revision import Revision
    from basilroad.platform.staleness import StalenessBudget
    from basilroad.platform.store import StoreClient, StoreRow

CONFIG_TABLE = "op"
CONFIG_KEY = "config"

CONFIG_LONG_POLL_S = 2.2
"""Maximum duration of a long poll for config changes; a lost poll is noticed at its end, within the
four seconds after which the fleet specifications count a host as reconnected."""

KEY_AGE_POLL_SHARE = 0.5
"""Maximum duration of a config poll as a share of the key age limit, as each response confirms the
keys; the rest is left for one lost poll and a read."""

RESTORE_SETTLE_S = 2.0
"""Time after a restore within which the operator writes again what the store has lost; until then
the copy may still hold a key that was taken away."""

SETTLE_MARGIN_S = 0.02
"""Time by which a poll exceeds that, as its wait is rounded."""

CONFIRMATION_LAG_S = 2.0
"""Time by which a follower's keys may be older than its reader's before it reads the store, whose
clock may be another one than it knows; several times the delay of a datagram."""

CLOCK_CHECK_INTERVAL_S = 10.0
"""Shortest time between two such reads: each is of the whole config, and a read over a slow link
leaves the clock as uncertain as it was."""

_LOGGER = logging.getLogger(__name__)


class ConfigWatch(TableWatch):
    """Keeps the gateway's routing table in sync with the operator's config.

    :param store: the platform's store
    :param gateway: gateway to which new versions are applied
    :param relay: role of this host among those that share a reader
    :param exchange: exchange of the config with the others
    :param budget: time after which a silent connection must have been noticed
    """

    def __init__(
        self,
        store: StoreClient,
        gateway: Gateway,
        relay: Relay,
        exchange: ConfigExchange,
        budget: StalenessBudget,
    ) -> None:
        key_age_s = gateway.settings.key_age_limit_s
        wait_s = CONFIG_LONG_POLL_S
        if key_age_s is not None:
            wait_s = min(wait_s, KEY_AGE_POLL_SHARE * key_age_s)
        super().__init__(store, CONFIG_TABLE, wait_s, relay, budget)
        self._gateway = gateway
        self._exchange = exchange
        self._required_version = 0
        self._required_epoch = 0
        self._is_clock_suspect = False
        self._clock_checked_at = -math.inf
        self._restores = RestoreRecord(store)
        self._has_read = False

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: the child services."""
        return [self._restores]

    @property
    def poll_limit_s(self) -> float:
        """:return: maximum duration of a poll; one ends when a restored store has settled."""
        limit_s = super().poll_limit_s
        if self._restore is None or not self._is_settling(read_boot_clock()):
            return limit_s
        return min(limit_s, RESTORE_SETTLE_S - self._restore.age_s() + SETTLE_MARGIN_S)

    def _is_settling(self, at: float) -> bool:
        """Check whether a restored store may have lacked the last config.

        :param at: boot clock reading in seconds
        :return: whether it may have lacked it at that time
        """
        return self._restore is not None and at < self._restore.seen_at + RESTORE_SETTLE_S

    def on_restored(self) -> None:
        """Confirm nothing to other hosts until the store confirms the keys again."""
        self._record_confirmation(None)

    def apply_snapshot(self, rows: Sequence[StoreRow], _: Revision | None) -> None:
        """Apply the config, if it is among the rows."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Apply the config if it changed; a malformed one leaves the last one in force."""
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self._apply_document(row.value)

    def _apply_document(self, document: bytes) -> None:
        try:
            accepted = self._gateway.apply_table(decode_config(document))
        except ConfigError as error:
            _LOGGER.error("config not understood", extra={"detail": str(error)})
            return
        if accepted:
            self._exchange.document = document

    def apply_update(self, update: Update) -> None:
        """Confirm the routing table, or request a read if the reader knows more.

        After a restore the clock of the store has to be read anew.
        """
        table = self._gateway.table
        epoch = self._revision.epoch if self._revision is not None else update.epoch
        if table is None or update.epoch > epoch or update.config_version > table.version:
            self._required_version = update.config_version
            self._required_epoch = update.epoch
            self._request_read()
            return
        if (update.epoch, update.config_version) != (epoch, table.version):
            return
        now, age_s = read_boot_clock(), update.age_ms / 1000
        at = self._clock.convert(update.store_s, now)
        if at is not None:
            self._gateway.freshness.confirm(min(at, now - age_s))
        is_late = not self._gateway.freshness.is_within(age_s + CONFIRMATION_LAG_S)
        is_due = now - self._clock_checked_at >= CLOCK_CHECK_INTERVAL_S
        if is_late and is_due and self._clock.is_known:
            self._is_clock_suspect = True
            self._clock_checked_at = now
            self._request_read()

    async def read_missing(self) -> None:
        """Read the config itself from the reader, or else from the store.

        A version that the reader announces during the fetch is fetched after its next update.
        """
        reader, required_version = self._relay.reader, self._required_version
        if reader is not None:
            fetched = await self._exchange.fetch(reader)
            if fetched is not None:
                self._apply_document(fetched.document)
                self._confirm_fetched(fetched)
        table = self._gateway.table
        is_restored = self._revision is not None and self._required_epoch > self._revision.epoch
        is_outdated = table is None or is_restored or table.version < required_version
        if is_outdated or self._is_clock_suspect:
            await self._read_snapshot()
            self._is_clock_suspect = False

    async def _read_snapshot(self) -> None:
        await super()._read_snapshot()
        is_first, self._has_read = not self._has_read, True
        if is_first and self._restore is not None:
            await self._check_settled(self._restore.head.epoch)

    async def _check_settled(self, epoch: int) -> None:
        """Confirm the keys at the start if the store has settled since the last restore.

        :param epoch: epoch of the store
        """
        if not await self._restores.has_settled(epoch):
            return
        self._restore = None
        _LOGGER.info("restore settled before", extra={"epoch": epoch})
        # the listing may be older than the record
        await self._poll_changes(0.0)

    def _confirm_fetched(self, fetched: FetchedConfig) -> None:
        # no clock of the store is involved, so this also holds while its epoch isn't known here
        table = self._gateway.table
        if table is not None and table.version == fetched.confirmed_version:
            self._gateway.freshness.confirm(fetched.confirmed_at)

    async def _follow_reader(self) -> None:
        await super()._follow_reader()
        # a poll would confirm the keys only at its end
        self._confirmation_due = True

    def on_confirmed(self, at: float, store_s: float | None) -> None:
        """Confirm the routing table, and with it the keys, as of that time.

        A restored store confirms them once it has settled.
        """
        table = self._gateway.table
        if table is None:
            return
        if self._is_settling(at):
            self._gateway.freshness.record_response(at)
            # the response may have been in flight when the store settled
            self._confirmation_due = not self._is_settling(read_boot_clock())
            return
        self._gateway.freshness.confirm(at)
        if self._restore is not None and not self._relay.follows:
            self._restores.record_settled(self._restore.head.epoch)
        if store_s is not None:
            self._record_confirmation(Confirmation(table.version, store_s, at))

    def on_lost(self) -> None:
        """Send no more updates to other hosts."""
        self._record_confirmation(None)

    def _record_confirmation(self, confirmation: Confirmation | None) -> None:
        self._relay.record_confirmation(confirmation)
        self._exchange.confirmation = confirmation


__all__ = ["ConfigWatch"]
