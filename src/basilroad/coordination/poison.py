"""Containment of requests that crash the endpoints they run on."""

from __future__ import annotations

import enum
import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

ALONE_AFTER = 2
"""Endpoint deaths after which a request runs alone."""

REFUSED_AFTER = 3
"""Endpoint deaths after which a request is refused, if it was alone in one of them and all
came at a like place."""

REFUSED_ANYWAY_AFTER = 6
"""Endpoint deaths after which a request is refused wherever they came, if alone in one."""

LIKE_TOKENS = 16
"""Difference between places that are still alike."""

LIKE_RATIO = 1.5
"""Ratio between places that are still alike."""

PASSED_RATIO = 2.0
"""Multiple of its longest fatal run after which a request has passed the place."""

PASSED_TOKENS = 64
"""Tokens that a request must make besides to have passed the place."""


class PoisonStatus(enum.Enum):
    """How a request with a fingerprint is treated."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    ISOLATED = "alone"
    REFUSED = "refused"


@attrs.frozen
class PoisonSettings:
    """Settings of the containment.

    :param retain_s: seconds for which a death counts
    :param limit: most fingerprints that are remembered; the one marked longest ago goes first
    :param deaths_limit: most deaths remembered for one fingerprint
    """

    retain_s: float = 3600.0
    limit: int = 10_000
    deaths_limit: int = 16


@attrs.frozen
class PoisonMark:
    """One fingerprint that ran on an endpoint when it died.

    :param fingerprint: hash of the request's content
    :param death: names one death of one endpoint
    :param alone: whether nothing else ran there
    :param cleared: whether a request with the fingerprint has finished whole since
    :param age_s: seconds since the death
    :param progress: tokens that the request had made on that endpoint
    :param offset: tokens that it had made in all
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

    :param serial: what to ask from next time
    :param marks: marks made or changed since
    """

    serial: int
    marks: tuple[PoisonMark, ...]


@attrs.define
class _Death:
    born: float
    serial: int
    alone: bool
    cleared: bool
    progress: int
    offset: int


class PoisonLedger:
    """Counts, for each fingerprint, the endpoint deaths that it was part of.

    A fingerprint that was part of one death is suspect, after two it runs alone, and it is
    refused when it was part of three and alone in one of them. A neighbour of a poisonous
    request may share two of its deaths and more; it is not refused, since it then runs alone,
    finishes and is cleared.

    A request that is poison crashes its endpoints at a like place: after as many tokens on
    each, or at the same offset of its answer. One whose endpoints died at places that are not
    alike lost them for other reasons, as a long generation may; it runs alone up to
    ``REFUSED_ANYWAY_AFTER`` deaths, and is cleared as soon as it has passed the place.

    The bound of three endpoints for each poisonous request needs ``CopyLimiter`` to be asked
    in one place for each fingerprint before a request starts. It keeps the copies that a
    caller sends at several entries at once to two endpoints while clean and to one when
    suspect, so no more than two die before the fingerprint must run alone, and to one
    endpoint when alone, so the third death decides. Without it, every endpoint on which a copy
    runs before the first marks have spread is lost besides.

    Marks form a set that only grows, so that peers can merge them in any order and any number
    of times. They expire by their age, which they carry from peer to peer.

    :param settings: settings of the containment
    :param clock: seconds that only grow
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
        """:return: fingerprints that are remembered."""
        return len(self._deaths)

    def record_death(self, mark: PoisonMark) -> PoisonStatus:
        """Note that a request ran on an endpoint when it died.

        :param mark: the death and where it came; its name is the same at every peer
        :return: how the fingerprint is treated from now on
        """
        self.merge([mark])
        return self.standing(mark.fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Note that a request finished whole; the deaths so far count no more.

        :param fingerprint: hash of the request's content
        """
        for death in self._deaths.get(fingerprint, {}).values():
            if not death.cleared:
                death.cleared = True
                death.serial = self._next_serial()

    def standing(self, fingerprint: str) -> PoisonStatus:
        """Tell how a request is to be treated.

        :param fingerprint: hash of the request's content
        :return: its standing
        """
        counted = self._count(fingerprint)
        enough = len(counted) >= REFUSED_ANYWAY_AFTER or _has_like(counted)
        if enough and any(death.alone for death in counted):
            return PoisonStatus.REFUSED
        if len(counted) >= ALONE_AFTER:
            return PoisonStatus.ISOLATED
        return PoisonStatus.SUSPECT if counted else PoisonStatus.CLEAN

    def clearance_tokens(self, fingerprint: str) -> int | None:
        """Tell when a request has passed the place at which its endpoints died.

        :param fingerprint: hash of the request's content
        :return: tokens to make on one endpoint, after which it is to be cleared; ``None`` if
            no death counts
        """
        counted = self._count(fingerprint)
        if not counted:
            return None
        longest = max(death.progress for death in counted)
        return int(PASSED_RATIO * longest) + PASSED_TOKENS

    def marks_since(self, serial: int) -> MarkBatch:
        """Collect the marks that a peer lacks.

        :param serial: the serial of the last batch for this peer; 0 for all marks
        :return: the marks made, changed or merged since
        """
        if serial == self._last_serial:
            return MarkBatch(serial, ())
        now = self._clock()
        marks = [
            PoisonMark(
                fingerprint,
                name,
                death.alone,
                death.cleared,
                now - death.born,
                death.progress,
                death.offset,
            )
            for fingerprint, deaths in self._deaths.items()
            for name, death in deaths.items()
            if death.serial > serial and self._is_fresh(death)
        ]
        return MarkBatch(self._last_serial, tuple(marks))

    def merge(self, marks: Iterable[PoisonMark]) -> bool:
        """Take marks of a peer.

        :param marks: the marks, in any order
        :return: whether any of them said something new
        """
        changed = [self._merge_mark(mark) for mark in marks]
        return any(changed)

    def expire(self) -> None:
        """Forget the deaths that count no more; to be called now and then."""
        for fingerprint in list(self._deaths):
            deaths = self._deaths[fingerprint]
            fresh = {name: death for name, death in deaths.items() if self._is_fresh(death)}
            if fresh:
                self._deaths[fingerprint] = fresh
            else:
                del self._deaths[fingerprint]

    def _merge_mark(self, mark: PoisonMark) -> bool:
        if mark.age_s >= self._settings.retain_s:
            return False
        deaths = self._deaths.setdefault(mark.fingerprint, {})
        known = deaths.get(mark.death)
        if known is None:
            self._add(mark, deaths)
            return True
        alone, cleared = known.alone or mark.alone, known.cleared or mark.cleared
        if (alone, cleared) == (known.alone, known.cleared):
            return False
        known.alone, known.cleared = alone, cleared
        known.serial = self._next_serial()
        return True

    def _add(self, mark: PoisonMark, deaths: dict[str, _Death]) -> None:
        born = self._clock() - mark.age_s
        deaths[mark.death] = _Death(
            born, self._next_serial(), mark.alone, mark.cleared, mark.progress, mark.offset
        )
        if len(deaths) > self._settings.deaths_limit:
            del deaths[min(deaths, key=lambda name: _keep_rank(deaths[name]))]
        self._deaths.move_to_end(mark.fingerprint)
        while len(self._deaths) > self._settings.limit:
            self._deaths.popitem(last=False)

    def _count(self, fingerprint: str) -> list[_Death]:
        deaths = self._deaths.get(fingerprint, {})
        return [death for death in deaths.values() if not death.cleared and self._is_fresh(death)]

    def _is_fresh(self, death: _Death) -> bool:
        return self._clock() - death.born < self._settings.retain_s

    def _next_serial(self) -> int:
        self._last_serial = next(self._serial)
        return self._last_serial


def _has_like(deaths: list[_Death]) -> bool:
    """:return: whether as many deaths as refuse a request came at a like place."""
    by_progress = sorted(death.progress for death in deaths)
    by_offset = sorted(death.offset for death in deaths)
    return _has_cluster(by_progress, LIKE_RATIO) or _has_cluster(by_offset, 1.0)


def _has_cluster(places: list[int], ratio: float) -> bool:
    for first, last in zip(places, places[REFUSED_AFTER - 1 :], strict=False):
        if last <= ratio * first + LIKE_TOKENS:
            return True
    return False


def _keep_rank(death: _Death) -> tuple[bool, bool, float]:
    """Order deaths by how little it costs to forget them."""
    return not death.cleared, death.alone, death.born


__all__ = ["MarkBatch", "PoisonLedger", "PoisonMark", "PoisonSettings", "PoisonStatus"]
