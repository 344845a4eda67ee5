"""Share of recent calls that failed."""

from __future__ import annotations

import math

FAILURE_HALF_LIFE_S = 2.0
"""Half-life of the failure rate; a few calls per endpoint arrive in that time."""

FAILURE_WEIGHT = 0.3
"""Weight of one outcome in the failure rate; three failures in a row raise it above one half."""


class FailureRate:
    """Moving average of the outcomes of calls, which decays with time."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, *, failed: bool) -> None:
        """Update the rate with one outcome.

        :param now: monotonic seconds
        :param failed: whether the call failed
        """
        average = self.estimate(now)
        self._rate = average + FAILURE_WEIGHT * (float(failed) - average)
        self._recorded_at = now

    def estimate(self, now: float) -> float:
        """:return: share of recent calls that failed."""
        age_s = now - self._recorded_at
        return self._rate * math.exp2(-age_s / FAILURE_HALF_LIFE_S)


__all__ = ["FailureRate"]
