"""What the planner has seen of engines that may be away for a moment."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import attrs

from basilroad.placement.plan import EngineReport

GRACE_S = 5.0
"""Seconds for which an engine that is not seen any more still counts."""


@attrs.define
class _Sighting:
    report: EngineReport
    seen_s: float


class EngineTracker:
    """Counts an engine that is lost for a while yet, so that a short loss moves no models.

    :param clock: seconds that only grow
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._seen: dict[str, _Sighting] = {}

    def update(self, reports: Iterable[EngineReport]) -> tuple[EngineReport, ...]:
        """Take what is seen now.

        :param reports: engines that live
        :return: these, and those seen lately, which can't be given orders
        """
        now = self._clock()
        present = {report.endpoint: report for report in reports}
        for report in present.values():
            self._seen[report.endpoint] = _Sighting(report, now)
        self._seen = {n: s for n, s in self._seen.items() if now - s.seen_s <= GRACE_S}
        return tuple(
            sighting.report if name in present else attrs.evolve(sighting.report, orderable=False)
            for name, sighting in sorted(self._seen.items())
        )


class DemandTracker:
    """Tells for which models requests have waited long enough to move capacity.

    :param hold_s: seconds for which they must have waited
    :param rest_s: seconds without a move after one, by region
    :param clock: seconds that only grow
    """

    def __init__(
        self,
        hold_s: float = 10.0,
        rest_s: float = 60.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._hold_s = hold_s
        self._rest_s = rest_s
        self._clock = clock
        self._since: dict[tuple[str, str], float] = {}
        self._moved: dict[str, float] = {}

    def update(self, waiting: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
        """Take what waits now.

        :param waiting: requests by model and region
        :return: those that have waited all the time in a region that had no move lately
        """
        now = self._clock()
        self._since = {place: self._since.get(place, now) for place in waiting}
        return {
            place: count
            for place, count in waiting.items()
            if now - self._since[place] >= self._hold_s and self._may_move(place[1], now)
        }

    def record_move(self, region: str) -> None:
        """Note that capacity was moved.

        :param region: where
        """
        self._moved[region] = self._clock()

    def _may_move(self, region: str, now: float) -> bool:
        moved_s = self._moved.get(region)
        return moved_s is None or now - moved_s >= self._rest_s


__all__ = ["GRACE_S", "DemandTracker", "EngineTracker"]
