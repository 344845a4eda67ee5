"""The version whose streams need no record, one for each service."""

from __future__ import annotations

import logging
import math
import random
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from basilroad.gateway.versions.archive import (
    ArchiveRow,
    Committed,
    Conflict,
    MayCommit,
    NotCommitted,
    Outcome,
    RowChange,
)
from basilroad.gateway.versions.baserow import (
    BaseState,
    StoredBase,
    choose_version,
    decode_base,
    find_others,
)
from basilroad.gateway.versions.streamrow import RESUME_WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilroad.gateway.versions.listing import VersionListing

BASE_KEY = "base"

LEASE_S = RESUME_WINDOW_S
"""Time after the base version was last seen listed in which it can't have changed: shorter than the
time without it after which others change it by more than listings of hosts differ."""

CHANGE_DELAY_S = 15.0
"""Time between the announcement and the change of a base version, longer than it takes until all
hosts know a new entry."""

CREATE_SPREAD_S = 1.0
"""Random delay of the creation of a row, and of the names of further versions."""

CHANGE_SPREAD_S = 10.0
"""Random delay of other writes for which hosts compete; later ones find that they aren't needed."""

RESTORE_SETTLE_S = 10.0
"""Time after a restore in which hosts write what the copy lacks."""

REREAD_INTERVAL_S = 20.0
"""Interval of reads while the base version is not listed and another host may have changed it."""

LOST_EPOCH = 0
"""Epoch of a row that was created after a restore, before those of all stores."""

_LOGGER = logging.getLogger(__name__)


class BaseVersion:
    """Knows a service's base version, and takes part in its creation and changes.

    It changes in two steps, since a transaction without a response may be applied later: the first
    one announces the successor, the second one is sent only when the version has stayed away since.
    A host that reads the row without an announcement can rely on it while the version is listed;
    one that sees the version listed withdraws an announcement first.

    :param service: the service
    :param listing: versions of the listed endpoints
    :param generator: random number generator
    """

    def __init__(self, service: str, listing: VersionListing, generator: random.Random) -> None:
        self.service = service
        self._listing = listing
        self._random = generator
        self._state: BaseState | None = None
        self._best: StoredBase | None = None
        self.is_leased = False
        self._write_at: float | None = None
        self._announced_at: float | None = None
        self._settles_at = -math.inf
        self._sent: StoredBase | None = None
        self._may_lose_names = False
        self._was_restored = False
        self._epoch = 0
        self._epoch_seen_at = -math.inf

    @property
    def stored(self) -> StoredBase | None:
        """:return: the row as it was last read or written; ``None`` without one."""
        return self._state.base if self._state is not None else None

    @property
    def version(self) -> str | None:
        """:return: the base version as it was last known; ``None`` if it isn't."""
        known = self._find_known()
        return known.version if known is not None else None

    @property
    def others(self) -> tuple[str, ...]:
        """:return: other versions of which streams may be taken up, as last known."""
        known = self._find_known()
        return known.others if known is not None else ()

    @property
    def may_lack_records(self) -> bool:
        """:return: whether the store was restored from a copy that may lack records."""
        base = self.stored
        # a row that is missing after a restore may have been lost, with records
        return self._was_restored if base is None else base.epoch < self._epoch

    @property
    def is_lost(self) -> bool:
        """:return: whether a restored store has no row from before the restore."""
        base = self.stored
        return self.may_lack_records and (base is None or base.epoch == LOST_EPOCH)

    @property
    def _memory_s(self) -> float:
        return self._listing.windows.find_memory(self.service)

    def _find_known(self) -> StoredBase | None:
        known = self.stored
        if known is None or (self._best and self._best.generation > known.generation):
            return self._best
        return known

    def is_trusted(self, now: float) -> bool:
        """Check whether the base version is known and can't have changed since.

        :param now: boot clock in seconds
        :return: whether streams of the base version need no record
        """
        if self.is_leased and self._is_absent(now, LEASE_S):
            self.is_leased = False
            _LOGGER.info("base version in doubt", extra=_describe(self))
        return self.is_leased

    def record_restore(self, now: float) -> None:
        """Record a restore of the store, after which the row has to be read again.

        :param now: boot clock in seconds
        """
        self.is_leased, self._state, self._write_at, self._announced_at = False, None, None, None
        self._may_lose_names = False
        self._settles_at = now + RESTORE_SETTLE_S

    def needs_read(self, now: float) -> bool:
        """Check whether the row has to be read.

        :param now: boot clock in seconds
        :return: whether it is
        """
        state = self._state
        if state is None:
            return not self.is_trusted(now)
        is_due = self._write_at is not None and state.read_at < self._write_at <= now
        if is_due and self.needs_write(now):
            # others may have written since the row was read
            return True
        if self.is_trusted(now) or self._find_base_write(now) or now < self._settles_at:
            return False
        is_listed = state.base is not None and self._listing.is_listed(
            self.service, state.base.version
        )
        if is_listed and not self.may_lack_records:
            return True
        is_served = bool(self._listing.count_listed(self.service))
        return is_served and now - state.read_at >= REREAD_INTERVAL_S

    def apply_read(
        self, row: ArchiveRow | None, requested_at: float, restored: bool, epoch: int
    ) -> None:
        """Apply the row as it was read.

        :param row: the row; ``None`` if it doesn't exist
        :param requested_at: boot clock in seconds
        :param restored: whether the store was ever restored from a copy
        :param epoch: epoch of the store
        """
        previous = self._state
        if epoch != self._epoch:
            self._epoch, self._epoch_seen_at = epoch, requested_at
        base = None if row is None else decode_base(row)
        revision = 0 if row is None else row.revision
        self._was_restored = self._was_restored or restored
        if restored and row is None and previous is None:
            # other hosts may know what the copy lacks
            self._settles_at = max(self._settles_at, requested_at + RESTORE_SETTLE_S)
        self._state = BaseState(base, revision, requested_at)
        if previous is None or previous.revision != revision:
            self._write_at = self._announced_at = None
        if base is not None and (self._best is None or base.generation >= self._best.generation):
            self._best = base
        if base is not None and base.successor is not None and self._announced_at is None:
            self._announced_at = requested_at
        self._renew(requested_at)
        if previous is None or previous.revision != revision:
            _LOGGER.info("base version read", extra=_describe(self))

    @property
    def write_at(self) -> float:
        """:return: when this host writes the row unless another one does; infinity for never."""
        return math.inf if self._write_at is None else self._write_at

    def needs_write(self, now: float) -> bool:
        """:return: whether the row has to change, as far as this host knows it."""
        return self._find_write(now) is not None

    def find_change(self, now: float) -> RowChange | None:
        """Find the change of the row that this host has to send now.

        :param now: boot clock in seconds
        :return: the change, whose outcome has to be applied; ``None`` for none
        """
        target = self._find_write(now)
        state = self._state
        if state is None or target is None:
            self._write_at = None
            return None
        if not self._is_withdrawal(target):
            if self._write_at is None:
                self._write_at = now + self._random.uniform(0.0, self._find_spread(target))
            if state.read_at < self._write_at:
                return None
        self._sent = target
        return RowChange(BASE_KEY, msgspec.json.encode(target), state.revision)

    def _find_spread(self, target: StoredBase) -> float:
        base = self.stored
        if base is None:
            return CREATE_SPREAD_S
        is_naming = target == msgspec.structs.replace(base, others=target.others)
        adds_names = not set(target.others) <= set(base.others)
        return CREATE_SPREAD_S if is_naming and adds_names else CHANGE_SPREAD_S

    def _is_withdrawal(self, target: StoredBase) -> bool:
        # sent at once, as streams need records until then
        base = self.stored
        if base is None or base.successor is None:
            return False
        return base.version == target.version and target.successor is None

    def _find_write(self, now: float) -> StoredBase | None:
        known = self.stored
        target = (None if self.is_trusted(now) else self._find_base_write(now)) or known
        if target is None:
            return None
        named = target.others + (known.others if known is not None else ())
        others = find_others(self._listing, self.service, now, named, target.version)
        is_kept = target == known and others == target.others
        if is_kept and not self._may_lose_names:
            return None
        return msgspec.structs.replace(target, others=others)

    def _find_base_write(self, now: float) -> StoredBase | None:
        state = self._state
        if state is None:
            return None
        base, best = state.base, self._best
        if best is not None and (base is None or best.generation > base.generation):
            # a restored store has lost it; streams without a record rely on it
            return msgspec.structs.replace(best, generation=best.generation + 1, successor=None)
        if now < self._settles_at:
            return None
        candidates = self._listing.count_ready(self.service) or self._listing.count_listed(
            self.service
        )
        if base is None:
            return self._create(candidates) if candidates else None
        if self._listing.is_listed(self.service, base.version):
            return self._find_correction(base, now)
        return self._find_successor(base, candidates, now)

    def _create(self, candidates: Mapping[str, int]) -> StoredBase:
        # a row that is missing after a restore may have been lost, with records
        epoch = LOST_EPOCH if self._was_restored else self._epoch
        return StoredBase(choose_version(candidates), 1, epoch=epoch)

    def _find_correction(self, base: StoredBase, now: float) -> StoredBase | None:
        if base.successor is not None:
            return msgspec.structs.replace(base, successor=None)
        epoch = self._find_complete_epoch(base, now)
        if epoch != base.epoch:
            return msgspec.structs.replace(base, epoch=epoch)
        return None

    def _find_complete_epoch(self, base: StoredBase, now: float) -> int:
        """:return: the newest epoch of the store in which no record is missing."""
        # later, streams whose records were lost can't be taken up any more
        is_complete = now - self._epoch_seen_at >= self._memory_s
        return max(base.epoch, self._epoch) if is_complete else base.epoch

    def _find_successor(
        self, base: StoredBase, candidates: Mapping[str, int], now: float
    ) -> StoredBase | None:
        since = now - self._memory_s
        # an endpoint may have been listed again since the last observation
        is_back = base.version in self._listing.count_listed(self.service)
        if is_back or not candidates or not self._listing.is_complete_since(since):
            return None
        if not self._is_absent(now, self._memory_s):
            return None
        if base.successor is None:
            return msgspec.structs.replace(base, successor=choose_version(candidates))
        if self._announced_at is None or now - self._announced_at < CHANGE_DELAY_S:
            return None
        if base.successor not in candidates:
            return msgspec.structs.replace(base, successor=choose_version(candidates))
        epoch = self._find_complete_epoch(base, now)
        return StoredBase(base.successor, base.generation + 1, epoch=epoch, others=base.others)

    def apply(self, outcome: Outcome, now: float) -> None:
        """Apply the outcome of a change.

        :param outcome: its outcome
        :param now: boot clock in seconds at which the change was sent
        """
        self._apply(outcome, now)

    @singledispatchmethod
    def _apply(self, outcome: object, now: float) -> None:
        raise NotImplementedError(type(outcome).__name__)

    @_apply.register
    def _(self, outcome: Committed, now: float) -> None:
        sent, self._sent = self._sent, None
        if sent is None:
            # the store was restored meanwhile
            return
        self._state = BaseState(sent, outcome.revision, now)
        self._best, self._may_lose_names = sent, False
        self._write_at = None
        self._announced_at = now if sent.successor is not None else None
        _LOGGER.info("base version written", extra=_describe(self))
        self._renew(now)

    @_apply.register
    def _(self, outcome: Conflict, now: float) -> None:
        self._sent, self._may_lose_names = None, False
        self.apply_read(outcome.rows.get(BASE_KEY), now, False, self._epoch)

    @_apply.register
    def _(self, outcome: NotCommitted, now: float) -> None:
        del outcome, now
        self._sent = None

    @_apply.register
    def _(self, outcome: MayCommit, now: float) -> None:
        del outcome, now
        sent, known = self._sent, self.stored
        self._sent = self._write_at = None
        # names that a late change removes may be needed by then, so it has to be superseded
        if sent is not None and known is not None and sent.others != known.others:
            self._may_lose_names = True
        if not self.is_leased:
            # read again before anything else is decided
            self._state = None

    def _renew(self, read_at: float) -> None:
        state = self._state
        base = state.base if state is not None else None
        self.is_leased = (
            base is not None
            and base.successor is None
            and not self.may_lack_records
            and (self._best is None or self._best.generation <= base.generation)
            and read_at >= self._settles_at
            and self._listing.is_listed(self.service, base.version)
        )

    def _is_absent(self, now: float, limit_s: float) -> bool:
        version = self.version
        return version is None or now - self._listing.seen_at(self.service, version) > limit_s


def _describe(known: BaseVersion) -> dict[str, object]:
    base = known.stored
    return {
        "service": known.service,
        "version": base.version if base else None,
        "generation": base.generation if base else None,
        "successor": base.successor if base else None,
        "others": list(base.others) if base else None,
        "trusted": known.is_leased,
    }


__all__ = [
    "BASE_KEY",
    "CHANGE_DELAY_S",
    "LEASE_S",
    "REREAD_INTERVAL_S",
    "RESTORE_SETTLE_S",
    "BaseVersion",
]
