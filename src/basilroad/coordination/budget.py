"""Retry budgets and rate limits."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from basilroad.coordination.decay import DecayedSum


@attrs.frozen
class RetrySettings:
    """Settings of a retry budget.

    :param ratio: maximum ratio of retries to requests within the window
    :param minimum_per_s: retries per second that are allowed regardless of the request rate
    :param window_s: seconds in which a past request or retry decays to ``1/e``
    """

    ratio: float = 0.1
    minimum_per_s: float = 1.0
    window_s: float = 10.0


class RetryBudget:
    """Limits retries and hedges of one service to a ratio of its requests.

    :param settings: settings of the budget
    :param clock: monotonic clock in seconds
    :param get_share: returns this process's share of the minimum, if several processes divide it
    """

    def __init__(
        self,
        settings: RetrySettings,
        clock: Callable[[], float] = time.monotonic,
        get_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._settings = settings
        self._get_share = get_share
        self._requests = DecayedSum(settings.window_s, clock)
        self._retries = DecayedSum(settings.window_s, clock)
        self._borrowed = DecayedSum(settings.window_s, clock)

    def record_request(self) -> None:
        """Count a first attempt."""
        self._requests.add(1)

    def available(self) -> float:
        """:return: number of retries available now."""
        minimum = self._settings.minimum_per_s * self._settings.window_s * self._get_share()
        allowed = self._settings.ratio * self._requests.value + minimum
        return allowed + self._borrowed.value - self._retries.value

    def take(self) -> bool:
        """Try to consume one retry or hedge.

        :return: whether it is allowed; if so, it has been counted
        """
        if self.available() < 1:
            return False
        self._retries.add(1)
        return True

    def refund(self) -> None:
        """Give back a retry that never reached the service."""
        self._retries.add(-1)

    def lend(self, retries: int) -> None:
        """Give allowed retries to another process that shares the same limit.

        :param retries: number of retries
        """
        self._retries.add(retries)

    def borrow(self, retries: int) -> None:
        """Add retries that another process has lent; they expire as the lender regains them.

        :param retries: number of retries
        """
        self._borrowed.add(retries)


class TokenBucket:
    """Rate limit that allows bursts.

    An amount above the burst is admitted when the bucket is full and leaves the level negative.

    :param rate: units per second
    :param burst: capacity in units
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        if rate <= 0 or burst <= 0:
            raise ValueError(f"rate and burst must be positive: got {rate} and {burst}")
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._updated_at = clock()

    @property
    def burst(self) -> float:
        """:return: capacity in units."""
        return self._burst

    def resize(self, rate: float, burst: float) -> None:
        """Change the rate from now on; the level is kept as far as it fits.

        :param rate: units per second
        :param burst: capacity in units
        """
        if rate <= 0 or burst <= 0:
            raise ValueError(f"rate and burst must be positive: got {rate} and {burst}")
        self._refill()
        self._rate, self._burst = rate, burst
        self._level = min(self._level, burst)

    def take(self, amount: float) -> bool:
        """Try to consume an amount.

        :param amount: units
        :return: whether it is admitted; if so, it has been counted
        """
        if self.delay(amount) > 0:
            return False
        self._level -= amount
        return True

    def force(self, amount: float) -> None:
        """Consume an amount regardless of the level.

        :param amount: units
        """
        self._refill()
        self._level -= amount

    def delay(self, amount: float) -> float:
        """Compute how long an amount has to wait.

        :param amount: units
        :return: seconds; 0 if it is admitted now
        """
        self._refill()
        shortfall = min(amount, self._burst) - self._level
        return max(0.0, shortfall / self._rate)

    def _refill(self) -> None:
        now = self._clock()
        refilled = self._level + (now - self._updated_at) * self._rate
        self._level = min(self._burst, refilled)
        self._updated_at = now


__all__ = ["RetryBudget", "RetrySettings", "TokenBucket"]
