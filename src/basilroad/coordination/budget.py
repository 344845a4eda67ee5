"""Limits on retries and on what a link carries."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from basilroad.coordination.decay import DecayedSum


@attrs.frozen
class RetrySettings:
    """Settings of a retry budget.

    :param ratio: most retries for each request, over the window
    :param minimum_per_s: retries a second that are allowed however few requests there are
    :param window_s: seconds over which both are counted
    """

    ratio: float = 0.1
    minimum_per_s: float = 1.0
    window_s: float = 10.0


class RetryBudget:
    """Keeps retries and hedges of one service to a share of its requests.

    :param settings: settings of the budget
    :param clock: seconds that only grow
    :param find_share: part of the minimum that is this process's own, where several share it
    """

    def __init__(
        self,
        settings: RetrySettings,
        clock: Callable[[], float] = time.monotonic,
        get_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._settings = settings
        self._find_share = get_share
        self._requests = DecayedSum(settings.window_s, clock)
        self._retries = DecayedSum(settings.window_s, clock)

    def record_request(self) -> None:
        """Count a first try."""
        self._requests.add(1)

    def available(self) -> float:
        """:return: retries that may be made now."""
        minimum = self._settings.minimum_per_s * self._settings.window_s * self._find_share()
        allowed = self._settings.ratio * self._requests.value + minimum
        return allowed - self._retries.value

    def take(self) -> bool:
        """Ask for one retry or hedge.

        :return: whether it may be made; it is then counted
        """
        if self.available() < 1:
            return False
        self._retries.add(1)
        return True


class TokenBucket:
    """Limit on a rate, with bursts.

    An amount above the burst passes when the bucket is full and leaves it in debt.

    :param rate: units a second
    :param burst: units that may pass at once
    :param clock: seconds that only grow
    """

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        if rate <= 0 or burst <= 0:
            raise ValueError("the rate and the burst must be positive")
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._updated = clock()

    def take(self, amount: float) -> bool:
        """Ask to let an amount pass.

        :param amount: units
        :return: whether it may pass; it is then counted
        """
        if self.delay(amount) > 0:
            return False
        self._level -= amount
        return True

    def force(self, amount: float) -> None:
        """Count an amount that passes whatever the level is.

        :param amount: units
        """
        self._fill()
        self._level -= amount

    def delay(self, amount: float) -> float:
        """Tell how long an amount would have to wait.

        :param amount: units
        :return: seconds; 0 if it may pass now
        """
        self._fill()
        missing = min(amount, self._burst) - self._level
        return max(0.0, missing / self._rate)

    def _fill(self) -> None:
        now = self._clock()
        grown = self._level + (now - self._updated) * self._rate
        self._level = min(self._burst, grown)
        self._updated = now


__all__ = ["RetryBudget", "RetrySettings", "TokenBucket"]
