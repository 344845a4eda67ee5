"""Trackers of engine reports and of unmet demand over time."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import attrs

from basilroad.placement.plan import EngineReport

UNREACHABLE_GRACE_S = 5.0
"""Seconds for which an engine without a current report still counts."""


@attrs.define
class _LastReport:
    report: EngineReport
    reported_s: float


class EngineTracker:
    """Keeps unreachable engines for a grace period, so that a short outage moves no models.

    :param clock: monotonic time, in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_reports: dict[str, _LastReport] = {}

    def update(self, reports: Iterable[EngineReport]) -> tuple[EngineReport, ...]:
        """Merge the current reports.

        :param reports: engines that are alive
        :return: these, and those reported within the grace period, which accept no commands
        """
        now = self._clock()
        present = {report.endpoint: report for report in reports}
        for report in present.values():
            self._last_reports[report.endpoint] = _LastReport(report, now)
        self._last_reports = {
            n: s for n, s in self._last_reports.items() if now - s.reported_s <= UNREACHABLE_GRACE_S
        }
        return tuple(
            (
                last_report.report
                if name in present
                else attrs.evolve(last_report.report, accepts_commands=False)
            )
            for name, last_report in sorted(self._last_reports.items())
        )


class DemandTracker:
    """Reports the models whose requests have been queued long enough to move capacity.

    :param sustained_s: seconds for which a queue must have been non-empty
    :param cooldown_s: seconds between two moves in a region
    :param clock: monotonic time, in seconds
    """

    def __init__(
        self,
        sustained_s: float = 10.0,
        cooldown_s: float = 60.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sustained_s = sustained_s
        self._cooldown_s = cooldown_s
        self._clock = clock
        self._waiting_since_s: dict[tuple[str, str], float] = {}
        self._last_move_s: dict[str, float] = {}

    def update(self, waiting: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
        """Record the queued requests.

        :param waiting: queued requests by model and region
        :return: those queued throughout ``sustained_s``, in regions that are not in cooldown
        """
        now = self._clock()
        self._waiting_since_s = {key: self._waiting_since_s.get(key, now) for key in waiting}
        return {
            key: count
            for key, count in waiting.items()
            if now - self._waiting_since_s[key] >= self._sustained_s and self._may_move(key[1], now)
        }

    def record_move(self, region: str) -> None:
        """Record that capacity was moved.

        :param region: region of the engine that was moved
        """
        self._last_move_s[region] = self._clock()

    def _may_move(self, region: str, now: float) -> bool:
        last_move_s = self._last_move_s.get(region)
        return last_move_s is None or now - last_move_s >= self._cooldown_s


__all__ = ["UNREACHABLE_GRACE_S", "DemandTracker", "EngineTracker"]
