"""Records of the versions of streams, and the transactions that keep them."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from itertools import islice
from typing import TYPE_CHECKING

import attrs
import msgspec

from basilroad.coordination.keyedheap import KeyedHeap
from basilroad.gateway.versions.archive import (
    Committed,
    Conflict,
    MayCommit,
    NotCommitted,
    Outcome,
    RowChange,
)
from basilroad.gateway.versions.streamrow import (
    ORPHAN_AGE_S,
    RESUME_WINDOW_S,
    StoredVersion,
    build_key,
    decode_version,
    find_duration,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.gateway.calls.call import Call

BATCH_ENTRIES = 100
"""Limit of the store for the conditions, writes and removals of one transaction."""

BATCH_DELAY_S = 0.2
"""Time for which records are batched; a stream's first event takes several times as long."""

REMOVE_DELAY_S = 15.0
"""Time for which removals wait for a transaction that writes records."""


@attrs.define(eq=False)
class _Record:
    """One stream's record, here and in the store.

    :param wanted: version that the store has to hold
    :param due_at: when it is to be written
    :param lasts_s: longest time from the call to the last take-up of the stream in seconds
    :param stored: version that the store was last known to hold
    :param revision: revision of the stored row, as far as known; 0 without a row
    :param sent: whether it was ever sent to the store
    :param unconfirmed: versions in transactions that may still be applied, one for each transaction
    """

    wanted: str
    due_at: float
    lasts_s: float
    stored: str | None = None
    revision: int = 0
    sent: bool = False
    unconfirmed: list[str] = attrs.field(factory=list)

    @property
    def is_settled(self) -> bool:
        """:return: whether the store holds the wanted version, and no other can take its place."""
        return self.stored == self.wanted and not self.unconfirmed


def _find_first(heap: KeyedHeap[str]) -> float:
    key = heap.head()
    return math.inf if key is None else heap.priority(key)


@attrs.frozen
class Batch:
    """Changes for one transaction.

    :param writes: version and expected revision by key of the records that are written
    :param removals: keys of the records that are removed
    :param restores: number of restores of the store that were known
    :param lasts_s: seconds in which the streams of the written records may be taken up, by key
    """

    writes: dict[str, tuple[str, int]]
    removals: tuple[str, ...]
    restores: int
    lasts_s: dict[str, float]

    def build_changes(self, store_s: float | None) -> list[RowChange]:
        """Build the changes.

        :param store_s: the store's clock in seconds; ``None`` if not known
        :return: the changes
        """
        writes = [
            RowChange(key, self._encode(key, version, store_s), revision)
            for key, (version, revision) in self.writes.items()
        ]
        return writes + [RowChange(key, None) for key in self.removals]

    def _encode(self, key: str, version: str, store_s: float | None) -> bytes:
        lasts_s = self.lasts_s[key]
        stored = StoredVersion(version, store_s, lasts_s if lasts_s > ORPHAN_AGE_S else None)
        return msgspec.json.encode(stored)


class StreamRecords:
    """The records of those streams of one service that were begun here.

    A transaction without a response may be applied later if its conditions still hold, so a record
    is settled only after a response to a transaction that was sent later.

    Records are ordered by when they are due, so that none is visited before.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._unsettled: KeyedHeap[str] = KeyedHeap()
        self._leaving: KeyedHeap[str] = KeyedHeap()
        self._unsent: set[str] = set()
        self._removals: dict[str, float] = {}
        self._restores = 0

    def request(self, call: Call, version: str, now: float, delay_s: float = BATCH_DELAY_S) -> None:
        """Request that the store holds a version for a stream.

        :param call: the stream's call
        :param version: the version
        :param now: seconds
        :param delay_s: seconds for which the write may wait for others
        """
        key = build_key(call)
        record = self._records.get(key)
        if record is None:
            leaves_at = now + (call.expires_at - call.arrived_at) + RESUME_WINDOW_S
            self._insert(key, _Record(version, now + delay_s, find_duration(call)), leaves_at)
            return
        if record.is_settled and record.wanted != version:
            record.due_at = now + delay_s
        record.wanted = version
        record.due_at = min(record.due_at, now + delay_s)
        self._schedule(key, record)

    def add(
        self,
        key: str,
        version: str,
        now: float,
        leaves_at: float,
        lasts_s: float,
    ) -> None:
        """Request a record of a stream that had none, unless there is one.

        :param key: key of the record
        :param version: version that began it
        :param now: seconds
        :param leaves_at: when the record leaves in seconds
        :param lasts_s: longest time from its call to its last take-up in seconds
        """
        if key not in self._records:
            self._insert(key, _Record(version, now, lasts_s), leaves_at)

    def withdraw(self, call: Call) -> bool:
        """Withdraw the request for a stream unless it was sent to the store.

        :param call: the stream's call
        :return: whether the store holds no record of it, nor will later
        """
        key = build_key(call)
        record = self._records.get(key)
        if record is not None and record.sent:
            return False
        if record is not None:
            self._discard(key)
        return True

    def has(self, key: str) -> bool:
        """:return: whether a record is one of this host."""
        return key in self._records

    def withdraw_all(self, version: str) -> None:
        """Withdraw the requests for a version that were not sent to the store.

        :param version: the version
        """
        for key in [key for key in self._unsent if self._records[key].wanted == version]:
            self._discard(key)

    def is_settled(self, call: Call) -> bool:
        """:return: whether the store holds the requested version, and will keep it."""
        record = self._records.get(build_key(call))
        return record is not None and record.is_settled

    def may_differ(self, call: Call, version: str) -> bool:
        """:return: whether the store holds another version for a stream, or may do so later."""
        record = self._records.get(build_key(call))
        if record is None:
            return False
        possible = {*record.unconfirmed, record.stored}
        return not possible <= {version, None}

    def keep(self, call: Call, until: float = math.inf) -> None:
        """Keep the record of a stream until a moment, by default until another one is named.

        :param call: the stream's call
        :param until: seconds
        """
        key = build_key(call)
        if key in self._records:
            self._leaving.put(key, until)

    def repeat(self) -> None:
        """Write all records again, as the store was restored from a copy."""
        self._restores += 1
        for key, record in self._records.items():
            record.stored, record.revision = None, 0
            self._schedule(key, record)

    def expire(self, now: float) -> None:
        """Let the records leave whose streams can't be taken up any more.

        :param now: seconds
        """
        while self.next_leaving() <= now:
            key = self._leaving.head()
            assert key is not None
            if self._discard(key).sent:
                self._removals[key] = now

    def due_at(self) -> float:
        """:return: when the next transaction is due in seconds; infinity for none."""
        if len(self._removals) >= BATCH_ENTRIES:
            return -math.inf
        # removals are in the order of their times
        oldest = next(iter(self._removals.values()), math.inf)
        return min(_find_first(self._unsettled), oldest + REMOVE_DELAY_S)

    def next_leaving(self) -> float:
        """:return: when the next record leaves in seconds; infinity for none."""
        return _find_first(self._leaving)

    def take_batch(self) -> Batch:
        """:return: the changes of the next transaction, whose outcome has to be applied."""
        writes: dict[str, tuple[str, int]] = {}
        # each write has a condition, which counts as an entry too
        for key in self._unsettled.list_first(BATCH_ENTRIES // 2):
            record = self._records[key]
            writes[key] = (record.wanted, record.revision)
            record.sent = True
            record.unconfirmed.append(record.wanted)
            self._unsent.discard(key)
        room = BATCH_ENTRIES - 2 * len(writes)
        lasts_s = {key: self._records[key].lasts_s for key in writes}
        return Batch(writes, tuple(islice(self._removals, room)), self._restores, lasts_s)

    def apply(self, batch: Batch, outcome: Outcome) -> int:
        """Apply the outcome of a transaction.

        :param batch: its changes
        :param outcome: their outcome
        :return: number of records that were written
        """
        if batch.restores != self._restores and not isinstance(outcome, NotCommitted):
            # it may have been applied before the restore, so that the store has lost it
            return 0
        written = self._apply(outcome, batch)
        for key in batch.writes:
            record = self._records.get(key)
            if record is not None:
                self._schedule(key, record)
        return written

    def _insert(self, key: str, record: _Record, leaves_at: float) -> None:
        self._records[key] = record
        self._removals.pop(key, None)
        self._leaving.put(key, leaves_at)
        self._schedule(key, record)

    def _discard(self, key: str) -> _Record:
        self._unsettled.pop(key)
        self._leaving.pop(key)
        self._unsent.discard(key)
        return self._records.pop(key)

    def _schedule(self, key: str, record: _Record) -> None:
        if record.is_settled:
            self._unsettled.pop(key)
        elif key not in self._unsettled or self._unsettled.priority(key) != record.due_at:
            self._unsettled.put(key, record.due_at)
        if record.sent:
            self._unsent.discard(key)
        else:
            self._unsent.add(key)

    @singledispatchmethod
    def _apply(self, outcome: object, batch: Batch) -> int:
        raise NotImplementedError(type(outcome).__name__)

    @_apply.register
    def _(self, outcome: Committed, batch: Batch) -> int:
        for record, (version, _) in self._list_written(batch):
            record.stored, record.revision = version, outcome.revision
            record.unconfirmed.clear()
        for key in batch.removals:
            self._removals.pop(key, None)
        return len(batch.writes)

    @_apply.register
    def _(self, outcome: Conflict, batch: Batch) -> int:
        self._take_back(batch)
        for key, (_, expected) in batch.writes.items():
            record, row = self._records.get(key), outcome.rows.get(key)
            revision = 0 if row is None else row.revision
            if record is None or revision == expected:
                continue
            # whatever expects the former revision can't be applied any more
            record.unconfirmed.clear()
            record.revision = revision
            record.stored = None if row is None else decode_version(row)
        return 0

    @_apply.register
    def _(self, outcome: NotCommitted, batch: Batch) -> int:
        del outcome
        self._take_back(batch)
        return 0

    @_apply.register
    def _(self, outcome: MayCommit, batch: Batch) -> int:
        del outcome, batch
        return 0

    def _take_back(self, batch: Batch) -> None:
        for record, (version, _) in self._list_written(batch):
            if version in record.unconfirmed:
                record.unconfirmed.remove(version)
            record.sent = bool(record.unconfirmed or record.revision)

    def _list_written(self, batch: Batch) -> Iterator[tuple[_Record, tuple[str, int]]]:
        for key, write in batch.writes.items():
            record = self._records.get(key)
            if record is not None:
                yield record, write


__all__ = [
    "BATCH_DELAY_S",
    "BATCH_ENTRIES",
    "REMOVE_DELAY_S",
    "Batch",
    "StreamRecords",
]
