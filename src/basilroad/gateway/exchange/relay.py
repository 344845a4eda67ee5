"""Relay of the platform's listing between the gateways of a data centre.

One gateway of a group reads the store; the others apply its updates and read the store themselves
only while no reader sends updates, or when an update leaves a gap after what they know.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

from basilroad.gateway.exchange.changes import RecentChanges, Span
from basilroad.gateway.exchange.state import Count
from basilroad.gateway.registry.endpoint import EndpointEntry, EndpointState
from basilroad.gateway.revision import Revision
from basilroad.peers.address import parse_remote_address

if TYPE_CHECKING:
    from basilroad.peers.address import Address

UPDATE_INTERVAL_S = 0.25
"""Interval of updates without changes; changes are sent at once."""

UPDATE_TIMEOUT_S = 0.8
"""Time without an update after which a gateway reads the store itself; allows for two lost ones."""

TAKEOVER_STEP_S = 0.15
"""Further time for each gateway that precedes this one, so that one takes over before the others
try."""

MAX_TAKEOVER_S = 0.6
"""Upper limit of that further time; drained endpoints must be known to all within seconds."""

MAX_CONFIRMATION_AGE_S = 2.8
"""Age of a reader's own confirmation beyond which it sends no updates: a long poll and a retry."""

WITHDRAWALS_SENT = 3
"""Number of times that a withdrawal is sent, as datagrams get lost."""

GROUP_HOSTS = 16
"""Largest number of gateways that follow one reader; bounds what a reader sends."""

_LOGGER = logging.getLogger(__name__)


RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

StoreSeconds = Annotated[float, msgspec.Meta(ge=-(2.0**53), le=2.0**53)]
"""Reading of the store's clock in seconds; this excludes those that are not finite."""


class EntryRecord(msgspec.Struct, array_like=True):
    """A change of one entry, as sent between gateways.

    :param revision: number of the change's revision, in the epoch of its update
    :param id: id of the endpoint
    :param service: its service; empty if the entry was removed
    :param version: version of its software; ``None`` from older gateways, which don't send it
    """

    revision: RevisionNumber
    id: str
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 1
    state: str = EndpointState.READY.value
    started_ms: int = 0
    version: str | None = None


class Update(msgspec.Struct, array_like=True, tag="update"):
    """What a reader knows of the store.

    :param host: name of the reader
    :param config_version: version of the configuration in force at the reader
    :param store_s: store clock in seconds at which that version was the latest
    :param age_ms: age of that confirmation by the reader's own clock
    :param base: number of the revision after which all changes are included
    :param revision: number of the revision up to which they are complete
    :param changes: changed entries in order
    :param epoch: epoch of all these revisions
    :param unseen_from: number of the first of two revisions between which not all changes are
        included, see :class:`~basilroad.gateway.exchange.changes.Span`
    :param unseen_to: number of the second one; 0 without them, as from older gateways
    """

    host: str
    config_version: int
    store_s: StoreSeconds
    age_ms: Count
    base: RevisionNumber
    revision: RevisionNumber
    changes: list[EntryRecord] = []
    epoch: RevisionNumber = 0
    unseen_from: RevisionNumber = 0
    unseen_to: RevisionNumber = 0

    @property
    def unseen(self) -> Span:
        """:return: the revisions between which not all changes are included."""
        start, end = Revision(self.epoch, self.unseen_from), Revision(self.epoch, self.unseen_to)
        return Span(start, end)

    @property
    def complete_from(self) -> Revision:
        """:return: revision after which all changes are included."""
        return Revision(self.epoch, self.base)

    @property
    def complete_to(self) -> Revision:
        """:return: revision up to which all changes are included."""
        return Revision(self.epoch, self.revision)

    @property
    def lacks_versions(self) -> bool:
        """:return: whether its entries have to be read from the store to know their versions."""
        return any(change.service and change.version is None for change in self.changes)


class Withdrawal(msgspec.Struct, array_like=True, tag="withdrawal"):
    """Notice from a reader that it may have lost the store, so that it would miss changes.

    :param host: name of the reader
    """

    host: str


@attrs.frozen
class ListedChange:
    """A change of one entry.

    :param revision: store revision of the change
    :param endpoint_id: id of the endpoint
    :param entry: the entry; ``None`` if it was removed
    """

    revision: Revision
    endpoint_id: str
    entry: EndpointEntry | None


@attrs.frozen
class Confirmation:
    """The configuration's version at a moment of the store's clock.

    :param version: the version
    :param store_s: store clock in seconds
    :param at: the same moment by the clock of this gateway, in seconds
    """

    version: int
    store_s: float
    at: float


def pack_change(change: ListedChange) -> EntryRecord:
    """:return: the change as sent between gateways."""
    entry = change.entry
    if entry is None:
        return EntryRecord(change.revision.number, change.endpoint_id)
    return EntryRecord(
        change.revision.number,
        change.endpoint_id,
        entry.service,
        str(entry.address),
        entry.data_centre,
        entry.slots,
        entry.state.value,
        entry.started_ms,
        entry.version,
    )


def unpack_changes(update: Update) -> list[ListedChange]:
    """Read the changes sent by another gateway.

    :param update: what it sent
    :return: the changes in order; one that can't be read names no endpoint
    """
    return [_unpack_change(record, update.epoch) for record in update.changes]


def _unpack_change(record: EntryRecord, epoch: int) -> ListedChange:
    revision = Revision(epoch, record.revision)
    if not record.service:
        return ListedChange(revision, record.id, None)
    try:
        entry = EndpointEntry(
            record.id,
            record.service,
            parse_remote_address(record.address),
            record.data_centre,
            record.slots,
            EndpointState(record.state),
            record.started_ms,
            record.version or "",
        )
    except ValueError as error:
        # like an entry of the store that can't be read, it names no endpoint
        _LOGGER.warning("entry skipped", extra={"endpoint": record.id, "detail": str(error)})
        return ListedChange(revision, record.id, None)
    return ListedChange(revision, record.id, entry)


class Relay:
    """Role of this gateway in its data centre, and what it sends as a reader.

    Gateways of one data centre are ordered by name. Each follows any reader that precedes it, and
    one that can't read the store follows any reader, so that the first one that can read it is the
    only reader of its group.

    :param host: name of this gateway
    :param boot_clock: monotonic seconds that include suspend time
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        host: str,
        boot_clock: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._clock = clock
        self._boot_clock = boot_clock
        self._updated_at = -math.inf
        self._position = 0
        self._recipients: list[Address] = []
        self._confirmation: Confirmation | None = None
        self._listing_read = False
        self._recent: RecentChanges[ListedChange] = RecentChanges()
        self._sent_at = -math.inf
        self._changed = False
        self._suspended: set[str] = set()
        self._withdrawals_due = 0
        self.reader: Address | None = None
        self._subscribers: list[Callable[[Update], None]] = []

    # followers

    @property
    def follows(self) -> bool:
        """:return: whether a reader that precedes this gateway sends updates."""
        return self._clock() < self._updated_at + self._timeout_s

    @property
    def _timeout_s(self) -> float:
        return UPDATE_TIMEOUT_S + min(MAX_TAKEOVER_S, TAKEOVER_STEP_S * max(0, self._position - 1))

    @property
    def _reads(self) -> bool:
        has_read = self._listing_read and self._confirmation is not None
        return has_read and not self._suspended

    def subscribe(self, callback: Callable[[Update], None]) -> None:
        """Call a function with each update of a reader that is followed.

        :param callback: the function
        """
        self._subscribers.append(callback)

    def take(self, update: Update, address: Address) -> None:
        """Apply an update from another gateway of this data centre.

        :param update: the update
        :param address: address of the gateway
        """
        if update.host == self._host or (update.host > self._host and self._reads):
            return
        if update.epoch < self._recent.revision.epoch:
            # that reader hasn't noticed yet that the store was restored
            return
        if not self.follows:
            _LOGGER.info("reader followed", extra={"reader": update.host})
        self._updated_at, self.reader = self._clock(), address
        for callback in self._subscribers:
            callback(update)

    def take_withdrawal(self, message: Withdrawal, address: Address) -> None:
        """Stop following a reader that may have lost the store.

        :param message: what it sent
        :param address: address of the gateway
        """
        if address == self.reader and self.follows:
            _LOGGER.info("reader withdrew", extra={"reader": message.host})
            self._updated_at = -math.inf

    def update_peers(self, peers: Iterable[tuple[str, Address]]) -> None:
        """Update the set of live gateways in this data centre.

        :param peers: name and address of each other one
        """
        others = sorted(peers)
        names = [host for host, _ in others]
        self._position = sum(host < self._host for host in names)
        group = self._position // GROUP_HOSTS
        self._recipients = [
            address
            for index, (_, address) in enumerate(others)
            # this gateway itself is missing from the others
            if (index + (index >= self._position)) // GROUP_HOSTS == group
        ]

    # readers

    def record_confirmation(self, confirmation: Confirmation | None) -> None:
        """Record a confirmation of the configuration by the store, or its loss.

        :param confirmation: the confirmation; ``None`` if the store can't be read
        """
        self._confirmation = confirmation

    def suspend(self, table: str) -> None:
        """Stop sending updates while changes of a table may be missed.

        A withdrawal is sent at once, so that the followers read the store themselves.

        :param table: name of the table
        """
        if self._reads and not self.follows:
            self._withdrawals_due = WITHDRAWALS_SENT
        self._suspended.add(table)

    def resume(self, table: str) -> None:
        """Send updates again, as a read of a table has succeeded.

        :param table: name of the table
        """
        self._suspended.discard(table)

    def record_listing(self, revision: Revision) -> None:
        """Record a complete listing, which earlier changes don't lead up to.

        :param revision: revision of the listing
        """
        self._recent.record_listing(revision)
        self._listing_read = True

    def record_changes(self, changes: Sequence[ListedChange], revision: Revision) -> None:
        """Record changes of the listing.

        :param changes: the changes in order
        :param revision: revision up to which they are complete
        """
        self._recent.record(changes, revision, self._clock())
        self._listing_read = True
        self._changed = self._changed or bool(changes)

    def record_unseen(self, span: Span) -> None:
        """Record that the changes between two revisions are only what differs in the end.

        :param span: the revisions
        """
        self._recent.record_unseen(span)

    def record_listing_lost(self) -> None:
        """Record that the listing can't be read."""
        self._listing_read = False

    def list_due(self) -> tuple[Sequence[Update | Withdrawal], list[Address]]:
        """:return: messages that have to be sent now, and their recipients; empty if none are."""
        now = self._clock()
        if self._suspended:
            self._withdrawals_due -= 1
            return [Withdrawal(self._host)] if self._withdrawals_due >= 0 else [], self._recipients
        if not self._changed and now < self._sent_at + UPDATE_INTERVAL_S:
            return [], []
        confirmation = self._confirmation
        if confirmation is None or not self._listing_read or self.follows or not self._recipients:
            return [], []
        age_s = max(0.0, self._boot_clock() - confirmation.at)
        if age_s > MAX_CONFIRMATION_AGE_S:
            return [], []
        self._sent_at, self._changed = now, False
        return self._build_updates(confirmation, age_s, now), self._recipients

    def _build_updates(self, confirmation: Confirmation, age_s: float, now: float) -> list[Update]:
        parts = self._recent.split(now)
        unseen = self._recent.unseen
        return [
            Update(
                self._host,
                confirmation.version,
                confirmation.store_s,
                round(1000 * age_s),
                part.base.number,
                part.revision.number,
                [pack_change(change) for change in part.changes],
                part.revision.epoch,
                unseen.start.number if unseen else 0,
                unseen.end.number if unseen else 0,
            )
            for part in parts
        ]


__all__ = [
    "Confirmation",
    "EntryRecord",
    "ListedChange",
    "Relay",
    "Update",
    "Withdrawal",
    "pack_change",
    "unpack_changes",
]
