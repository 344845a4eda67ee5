"""Estimation of when the store made a response, from its own clock."""

from __future__ import annotations

import math

MAX_CLOCK_DRIFT = 1e-4
"""Maximum drift of two monotonic clocks, in seconds per second; quartz clocks stay well below."""

CLOCK_TOLERANCE_S = 0.1
"""Difference of two clocks that shows no other clock: readings are rounded, and hosts' clocks are
slewed."""


class StoreClock:
    """Estimates the offset between the store's monotonic clock and this host's boot clock.

    A long poll alone doesn't show when its response was made; the offset from a shorter call does.
    """

    def __init__(self) -> None:
        self._offset_s = math.inf
        self._least_offset_s = -math.inf
        self._updated_at = 0.0

    @property
    def is_known(self) -> bool:
        """:return: whether the offset is known."""
        return self._offset_s < math.inf

    def reset(self) -> None:
        """Discard the offset; after an outage another store may respond, with another clock."""
        self._offset_s, self._least_offset_s = math.inf, -math.inf

    def is_other(self, earliest: float, received_at: float, store_s: float | None) -> bool:
        """Check whether a response was made by another clock than those before.

        :param earliest: earliest possible time of the response, by the boot clock in seconds
        :param received_at: time at which it was received, by the boot clock in seconds
        :param store_s: store clock in seconds, as given in the response; ``None`` if not given
        :return: whether no offset fits them all
        """
        if store_s is None:
            return False
        is_ahead = store_s - received_at > self._bound_offset(received_at) + CLOCK_TOLERANCE_S
        least = self._least_offset_s - self._bound_drift(received_at)
        return is_ahead or store_s - earliest < least - CLOCK_TOLERANCE_S

    def convert(self, store_s: float, now: float) -> float | None:
        """Convert a reading of the store clock to the boot clock.

        :param store_s: store clock in seconds, as reported by another host
        :param now: boot clock in seconds
        :return: lower bound of the same moment by the boot clock; ``None`` if no offset is known,
            or it is that of another clock
        """
        if not self.is_known:
            return None
        if store_s - now > self._bound_offset(now) + CLOCK_TOLERANCE_S:
            # another clock, as no host reports a time in the future
            return None
        return min(now, store_s - self._bound_offset(now))

    def _bound_offset(self, now: float) -> float:
        return self._offset_s + self._bound_drift(now)

    def _bound_drift(self, now: float) -> float:
        return MAX_CLOCK_DRIFT * max(0.0, now - self._updated_at)

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
        least = self._least_offset_s - self._bound_drift(received_at)
        self._least_offset_s = max(least, store_s - received_at)
        self._updated_at = received_at
        return min(received_at, max(earliest, store_s - self._offset_s))


__all__ = ["StoreClock"]
