"""Estimation of when the store made a response, from its own clock."""

from __future__ import annotations

import math

MAX_CLOCK_DRIFT = 1e-4
"""Maximum drift of two monotonic clocks, in seconds per second; quartz clocks stay well below."""


class StoreClock:
    """Estimates the offset between the store's monotonic clock and this host's boot clock.

    A long poll alone doesn't tell when its response was made; the offset from a shorter call does.
    """

    def __init__(self) -> None:
        self._offset_s = math.inf
        self._updated_at = 0.0

    def reset(self) -> None:
        """Discard the offset; after an outage another store may respond, with another clock."""
        self._offset_s = math.inf

    def estimate_time(self, earliest: float, received_at: float, store_s: float | None) -> float:
        """Estimate when a response was made; never later than the true time.

        :param earliest: earliest possible time of the response, by the boot clock in seconds
        :param received_at: time at which it was received, by the boot clock in seconds
        :param store_s: store clock in seconds, as given in the response; ``None`` if not given
        :return: lower bound of the time at which it was made, by the boot clock in seconds
        """
        if store_s is None:
            return earliest
        max_offset_s = self._offset_s + MAX_CLOCK_DRIFT * max(0.0, received_at - self._updated_at)
        self._offset_s = min(max_offset_s, store_s - earliest)
        self._updated_at = received_at
        return min(received_at, max(earliest, store_s - self._offset_s))


__all__ = ["StoreClock"]
