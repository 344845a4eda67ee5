"""Containment of requests that crash the endpoints they run on."""

from __future__ import annotations

import enum
import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

ISOLATE_AFTER_DEATHS = 2
"""Endpoint deaths after which a request runs isolated."""

REFUSE_AFTER_DEATHS = 3
"""Endpoint deaths at similar positions after which a request is refused, if it ran alone in any
of its deaths."""

REFUSE_ANY_POSITION_AFTER_DEATHS = 6
"""Endpoint deaths after which a request that ran alone in one is refused at any positions."""

SIMILAR_POSITION_TOKENS = 16
"""Maximum difference between similar positions, in tokens."""

SIMILAR_POSITION_RATIO = 1.5
"""Maximum ratio between similar positions."""

CLEARANCE_RATIO = 2.0
"""Multiple of a request's longest fatal run, in tokens, after which it is past that position."""

CLEARANCE_TOKENS = 64
"""Tokens that a request must generate in addition to that multiple."""


class PoisonStatus(enum.Enum):
    """How requests with a fingerprint are treated."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    ISOLATED = "alone"
    REFUSED = "refused"


@attrs.frozen
class PoisonSettings:
    """Settings of the containment.

    :param retain_s: seconds for which a death counts
    :param limit: maximum fingerprints kept; the least recently marked one is evicted first
    :param deaths_limit: maximum deaths kept per fingerprint
    """

    retain_s: float = 3600.0
    limit: int = 10_000
    deaths_limit: int = 16


@attrs.frozen
class PoisonMark:
    """Record that a fingerprint ran on an endpoint when it died.

    :param fingerprint: hash of the request's content
    :param death: identifier of one death of one endpoint
    :param alone: whether the endpoint ran nothing else
    :param cleared: whether a request with the fingerprint has completed since
    :param age_s: seconds since the death
    :param progress: tokens that the request had generated on that endpoint
    :param offset: tokens that it had generated in total
    """

    fingerprint: str
    death: str
    alone: bool = False
    cleared: bool = False
    age_s: float = 0.0
    progress: int = 0
    offset: int = 0


@attrs.frozen
class MarkBatch:
    """Marks to send to a peer.

    :param serial: position to read from next time
    :param marks: marks added or changed since
    """

    serial: int
    marks: tuple[PoisonMark, ...]


@attrs.define
class _Death:
    occurred_at: float
    serial: int
    alone: bool
    cleared: bool
    progress: int
    offset: int


class PoisonLedger:
    """Counts, for each fingerprint, the endpoint deaths in which it was involved.

    A fingerprint is suspect after one death, runs isolated after two, and is refused after three
    if it was alone in one of them. A request that merely shared endpoints with a poisonous one
    may be involved in two or more deaths; it is not refused, since it then runs isolated,
    completes and is cleared.

    A poisonous request crashes its endpoints at similar positions: after a similar number of
    tokens on each, or at the same offset of its output. If the positions differ, the endpoints
    died for other reasons, as may happen to a long generation; the request runs isolated up to
    ``REFUSE_ANY_POSITION_AFTER_DEATHS`` deaths, and is cleared once it is past the fatal position.

    The bound of three endpoints per poisonous request requires that one ``CopyLimiter`` per
    fingerprint is asked before each request starts. It limits the endpoints that run copies sent
    through several entries: two while clean and one when suspect, so at most two die before the
    fingerprint is isolated, and one when isolated, so the third death leads to refusal. Without
    it, every endpoint that runs a copy before peers have received the first marks dies too.

    Marks form a grow-only set, so that peers can merge them in any order and any number of
    times. They expire by their age, which is passed on from peer to peer.

    :param settings: settings of the containment
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self, settings: PoisonSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._serial = itertools.count(1)
        self._last_serial = 0
        self._deaths: OrderedDict[str, dict[str, _Death]] = OrderedDict()

    def __len__(self) -> int:
        """:return: number of fingerprints kept."""
        return len(self._deaths)

    def record_death(self, mark: PoisonMark) -> PoisonStatus:
        """Record that a request ran on an endpoint when it died.

        :param mark: the death and its position; its identifier is the same at every peer
        :return: how the fingerprint is treated from now on
        """
        self.merge([mark])
        return self.standing(mark.fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Record that a request completed; its previous deaths no longer count.

        :param fingerprint: hash of the request's content
        """
        for death in self._deaths.get(fingerprint, {}).values():
            if not death.cleared:
                death.cleared = True
                death.serial = self._next_serial()

    def standing(self, fingerprint: str) -> PoisonStatus:
        """Determine how a request is to be treated.

        :param fingerprint: hash of the request's content
        :return: its status
        """
        counted = self._counted_deaths(fingerprint)
        enough = len(counted) >= REFUSE_ANY_POSITION_AFTER_DEATHS or _has_similar_positions(counted)
        if enough and any(death.alone for death in counted):
            return PoisonStatus.REFUSED
        if len(counted) >= ISOLATE_AFTER_DEATHS:
            return PoisonStatus.ISOLATED
        return PoisonStatus.SUSPECT if counted else PoisonStatus.CLEAN

    def clearance_tokens(self, fingerprint: str) -> int | None:
        """Compute how far a request must run to be past the position at which its endpoints died.

        :param fingerprint: hash of the request's content
        :return: tokens to generate on one endpoint before it is cleared; ``None`` if no death
            counts
        """
        counted = self._counted_deaths(fingerprint)
        if not counted:
            return None
        longest = max(death.progress for death in counted)
        return int(CLEARANCE_RATIO * longest) + CLEARANCE_TOKENS

    def counted_marks(self, fingerprint: str) -> tuple[PoisonMark, ...]:
        """:return: the marks of a fingerprint that count."""
        deaths = self._deaths.get(fingerprint, {})
        return tuple(
            self._build_mark(fingerprint, name, death)
            for name, death in deaths.items()
            if not death.cleared and self._is_unexpired(death)
        )

    def marks_since(self, serial: int) -> MarkBatch:
        """Collect the marks that a peer has not received.

        :param serial: the serial of the last batch for this peer; 0 for all marks
        :return: the marks added, changed or merged since
        """
        if serial == self._last_serial:
            return MarkBatch(serial, ())
        marks = [
            self._build_mark(fingerprint, name, death)
            for fingerprint, deaths in self._deaths.items()
            for name, death in deaths.items()
            if death.serial > serial and self._is_unexpired(death)
        ]
        return MarkBatch(self._last_serial, tuple(marks))

    def merge(self, marks: Iterable[PoisonMark]) -> bool:
        """Merge marks of a peer.

        :param marks: the marks, in any order
        :return: whether any of them changed the ledger
        """
        changed = [self._merge_mark(mark) for mark in marks]
        return any(changed)

    def expire(self) -> None:
        """Evict the expired deaths; to be called periodically."""
        for fingerprint in list(self._deaths):
            deaths = self._deaths[fingerprint]
            unexpired = {name: death for name, death in deaths.items() if self._is_unexpired(death)}
            if unexpired:
                self._deaths[fingerprint] = unexpired
            else:
                del self._deaths[fingerprint]

    def _merge_mark(self, mark: PoisonMark) -> bool:
        if mark.age_s >= self._settings.retain_s:
            return False
        deaths = self._deaths.setdefault(mark.fingerprint, {})
        current = deaths.get(mark.death)
        if current is None:
            self._add(mark, deaths)
            return True
        alone, cleared = current.alone or mark.alone, current.cleared or mark.cleared
        if (alone, cleared) == (current.alone, current.cleared):
            return False
        current.alone, current.cleared = alone, cleared
        current.serial = self._next_serial()
        return True

    def _add(self, mark: PoisonMark, deaths: dict[str, _Death]) -> None:
        occurred_at = self._clock() - mark.age_s
        deaths[mark.death] = _Death(
            occurred_at, self._next_serial(), mark.alone, mark.cleared, mark.progress, mark.offset
        )
        if len(deaths) > self._settings.deaths_limit:
            del deaths[min(deaths, key=lambda name: _eviction_order(deaths[name]))]
        self._deaths.move_to_end(mark.fingerprint)
        while len(self._deaths) > self._settings.limit:
            self._deaths.popitem(last=False)

    def _build_mark(self, fingerprint: str, name: str, death: _Death) -> PoisonMark:
        return PoisonMark(
            fingerprint,
            name,
            death.alone,
            death.cleared,
            self._clock() - death.occurred_at,
            death.progress,
            death.offset,
        )

    def _counted_deaths(self, fingerprint: str) -> list[_Death]:
        deaths = self._deaths.get(fingerprint, {})
        return [
            death for death in deaths.values() if not death.cleared and self._is_unexpired(death)
        ]

    def _is_unexpired(self, death: _Death) -> bool:
        return self._clock() - death.occurred_at < self._settings.retain_s

    def _next_serial(self) -> int:
        self._last_serial = next(self._serial)
        return self._last_serial


def _has_similar_positions(deaths: list[_Death]) -> bool:
    """:return: whether enough deaths to refuse a request occurred at similar positions."""
    by_progress = sorted(death.progress for death in deaths)
    by_offset = sorted(death.offset for death in deaths)
    return _has_cluster(by_progress, SIMILAR_POSITION_RATIO) or _has_cluster(by_offset, 1.0)


def _has_cluster(positions: list[int], ratio: float) -> bool:
    for first, last in zip(positions, positions[REFUSE_AFTER_DEATHS - 1 :], strict=False):
        if last <= ratio * first + SIMILAR_POSITION_TOKENS:
            return True
    return False


def _eviction_order(death: _Death) -> tuple[bool, bool, float]:
    """Sort key: cleared deaths are evicted first, then deaths not alone, then the oldest."""
    return not death.cleared, death.alone, death.occurred_at


__all__ = ["MarkBatch", "PoisonLedger", "PoisonMark", "PoisonSettings", "PoisonStatus"]
