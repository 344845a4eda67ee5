"""Rate limits that delay or reject operations."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from time import monotonic

MAX_BURST_S = 0.05
"""Unused time of a throttle that may be spent in one burst."""


class Throttle:
    """Limits a rate by delaying operations.

    :param per_s: operations per second
    """

    def __init__(self, per_s: float) -> None:
        self._interval_s = 1 / per_s
        self._next = -math.inf

    async def acquire(self) -> None:
        """Wait until the next operation is allowed."""
        now = monotonic()
        self._next = max(self._next, now - MAX_BURST_S) + self._interval_s
        if self._next > now:
            await asyncio.sleep(self._next - now)


class RateLimit:
    """Limits a rate by rejecting operations (token bucket).

    :param per_s: operations per second
    :param burst: operations allowed at once
    :param clock: monotonic time in seconds
    """

    def __init__(self, per_s: float, burst: int, clock: Callable[[], float] = monotonic) -> None:
        self._per_s = per_s
        self._burst = burst
        self._clock = clock
        self._available = float(burst)
        self._updated_at = clock()

    def try_acquire(self) -> float:
        """Admit one operation if the rate allows it.

        :return: seconds to wait before a retry; 0 if admitted
        """
        now = self._clock()
        self._available = min(self._burst, self._available + (now - self._updated_at) * self._per_s)
        self._updated_at = now
        if self._available < 1:
            return (1 - self._available) / self._per_s
        self._available -= 1
        return 0.0


__all__ = ["RateLimit", "Throttle"]
