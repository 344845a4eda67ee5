"""How long streams take."""

from __future__ import annotations

import attrs

FIRST_S = 6.0
"""Seconds that a stream is expected to take before any has ended, from the fleets' sheets: a second
to read the prompt and some five for 130 events."""

WEIGHT = 0.1
"""Weight of one stream in the averages; about ten streams of one host count."""

SPREAD_FACTOR = 1.5
"""Mean deviations above the mean below which most streams end."""


@attrs.define
class StreamTime:
    """Average duration of streams and its spread.

    :param mean_s: average in seconds
    :param spread_s: average distance from it in seconds
    """

    mean_s: float = FIRST_S
    spread_s: float = 0.0

    def note(self, took_s: float) -> None:
        """Count a stream that came to its end.

        :param took_s: seconds from its arrival
        """
        self.spread_s += WEIGHT * (abs(took_s - self.mean_s) - self.spread_s)
        self.mean_s += WEIGHT * (took_s - self.mean_s)

    @property
    def upper_s(self) -> float:
        """:return: seconds within which most streams end."""
        return self.mean_s + SPREAD_FACTOR * self.spread_s


__all__ = ["StreamTime"]
