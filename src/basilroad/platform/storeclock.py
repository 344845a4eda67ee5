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

    def convert(self, store_s: float, now: float) -> float | None:
        """Convert a reading of the store clock to the boot clock.

        :param store_s: store clock in seconds, as told by another host
        :param now: boot clock in seconds
        :return: lower bound of the same moment by the boot clock; ``None`` if no offset is known
        """
        if self._offset_s == math.inf:
            return None
        return min(now, store_s - self._bound_offset(now))

    def _bound_offset(self, now: float) -> float:
        return self._offset_s + MAX_CLOCK_DRIFT * max(0.0, now - self._updated_at)

    def estimate_time(self, earliest: float, received_at: float, store_s: float | None) -> float:
        """Estimate when a response was made; never later than the true time.

        :param earliest: earliest possible time of the response, by the boot clock in seconds
        :param received_at: time at which it was received, by the boot clock in seconds
        :param store_s: store clock in seconds, as given in the response; ``None`` if not given
        :return: lower bound of the time at which it was made, by the boot clock in seconds
        """
        if store_s is None:
            return earliest
        self._offset_s = min(self._bound_offset(received_at), store_s - earliest)
        self._updated_at = received_at
        return min(received_at, max(earliest, store_s - self._offset_s))


__all__ = ["StoreClock"]
