"""Watch on the server entries in the store."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from basilroad.gateway.exchange.changes import Span
from basilroad.gateway.exchange.relay import ListedChange, unpack_changes
from basilroad.platform.config import ConfigError, decode_server
from basilroad.platform.watch import TableWatch

if TYPE_CHECKING:
    from basilroad.gateway.exchange.relay import Relay, Update
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.registry.endpoint import EndpointEntry
    from basilroad.gateway.revision import Revision
    from basilroad.platform.staleness import StalenessBudget
    from basilroad.platform.store import StoreClient, StoreRow

SERVERS_TABLE = "servers"

SERVERS_LONG_POLL_S = 4.0
"""Maximum duration of a long poll for entry changes; a change ends it at once, and requests to the
store are billed."""

SERVERS_PAUSE_S = 0.5
"""Maximum pause between a change of the entries and the next poll: endpoints of a data centre are
added and removed together within about a second, and requests to the store are billed."""

COPIED_ROWS_S = 8.0
"""Time after a restore for which rows of the copy don't take the place of what is known: endpoints
write their entries again within two seconds, and the entry of one that has ended is removed after
three missed check-ins, about four seconds."""

_LOGGER = logging.getLogger(__name__)


class ServersWatch(TableWatch):
    """Keeps the gateway's endpoint directory in sync with the server entries.

    :param store: the platform's store
    :param gateway: gateway whose directory is updated
    :param relay: role of this host among those that share a reader
    :param budget: time after which a silent connection must have been noticed
    """

    def __init__(
        self, store: StoreClient, gateway: Gateway, relay: Relay, budget: StalenessBudget
    ) -> None:
        super().__init__(store, SERVERS_TABLE, SERVERS_LONG_POLL_S, relay, budget, SERVERS_PAUSE_S)
        self._directory = gateway.directory
        self._held_back: set[str] = set()
        self._followed: Span | None = None  # of which a part is applied, from its start on

    @property
    def poll_limit_s(self) -> float:
        """:return: maximum duration of a poll; one ends when held back rows of a copy count."""
        limit_s = super().poll_limit_s
        if self._restore is None or not (self._held_back and self._is_copy_unconfirmed):
            return limit_s
        return min(limit_s, max(0.0, COPIED_ROWS_S - self._restore.age_s()))

    @property
    def is_snapshot_due(self) -> bool:
        """:return: whether all rows have to be read again, or those of a copy count by now."""
        return super().is_snapshot_due or (bool(self._held_back) and not self._is_copy_unconfirmed)

    @property
    def _is_copy_unconfirmed(self) -> bool:
        return self._restore is not None and self._restore.age_s() < COPIED_ROWS_S

    def on_restored(self) -> None:
        """Keep entries that the copy lacks until their endpoints can have written again."""
        self._directory.mark_listing_unreliable()

    def apply_snapshot(self, rows: Sequence[StoreRow], known: Revision | None) -> None:
        """Replace all entries of the directory."""
        revision = self._revision
        assert revision is not None
        self._followed = None
        outdated = {row.key for row in rows if self._is_outdated(row)}
        entries = {row.key: _decode_entry(row) for row in rows}
        # followers may list what this host holds back
        listed = {endpoint.id for endpoint in self._directory} | self._held_back
        removed = [endpoint_id for endpoint_id in listed if entries.get(endpoint_id) is None]
        self._held_back = outdated
        accepted = [e for e in entries.values() if e is not None and e.id not in outdated]
        self._directory.replace(accepted, kept=outdated)
        if known is None or known.epoch != revision.epoch:
            self._relay.record_listing(revision)
            return
        newer = sorted((row for row in rows if row.revision > known), key=lambda r: r.revision)
        changes = [ListedChange(row.revision, row.key, entries[row.key]) for row in newer]
        changes += [ListedChange(revision, endpoint_id, None) for endpoint_id in removed]
        self._relay.record_changes(changes, revision)
        # entries that have come and gone since the last read are in neither of the listings
        self._relay.record_unseen(Span(known, revision))

    def _is_outdated(self, row: StoreRow) -> bool:
        restore = self._restore
        if restore is None or not self._is_copy_unconfirmed or not restore.may_contain(row):
            return False
        entry = _decode_entry(row)
        if entry is None or not self._directory.is_outdated(entry):
            return False
        _LOGGER.info("entry held back", extra={"endpoint": row.key, "state": entry.state.value})
        return True

    def apply_changes(self, rows: Sequence[StoreRow]) -> None:
        """Update or remove the changed entries; a malformed one is removed."""
        self._followed = None
        self._apply_listed(
            [ListedChange(row.revision, row.key, _decode_entry(row)) for row in rows]
        )

    def apply_update(self, update: Update) -> None:
        """Apply the changes of a reader, or request a read if some are missing or incomplete."""
        if self._revision is None or self._snapshot_due:
            return
        if update.complete_from > self._revision or update.lacks_versions:
            self._request_read()
            return
        known = self._revision
        changes = [change for change in unpack_changes(update) if change.revision > known]
        unseen = update.unseen
        if unseen.is_within(known) and unseen != self._followed:
            # what can't be read from the store meanwhile counts as far as it goes
            for change in changes:
                self._apply_change(change)
            self._request_read()
            return
        self._revision = max(known, update.complete_to)
        self._apply_listed(changes)
        if known < unseen.end:
            self._followed = unseen
            self._relay.record_unseen(unseen)

    async def read_missing(self) -> None:
        """Read the changes since the last update."""
        await self._poll_changes(0.0)

    def _apply_listed(self, changes: list[ListedChange]) -> None:
        for change in changes:
            self._apply_change(change)
        assert self._revision is not None
        self._relay.record_changes(changes, self._revision)

    def _apply_change(self, change: ListedChange) -> None:
        try:
            if change.entry is None:
                self._directory.remove(change.endpoint_id)
            else:
                self._directory.put(change.entry)
        except Exception:
            # the changes of other endpoints have to be applied all the same
            _LOGGER.error(
                "entry not applied", extra={"endpoint": change.endpoint_id}, exc_info=True
            )

    def on_lost(self) -> None:
        """Mark the listing unreliable: entries of running servers may be missing."""
        self._directory.mark_listing_unreliable()
        self._relay.record_listing_lost()


def _decode_entry(row: StoreRow) -> EndpointEntry | None:
    if row.value is None:
        return None
    try:
        return decode_server(row.key, row.value)
    except ConfigError as error:
        _LOGGER.warning("entry skipped", extra={"endpoint": row.key, "detail": str(error)})
        return None


__all__ = ["ServersWatch"]
