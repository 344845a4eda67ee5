"""Detection of stalled token streams."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from basilroad.coordination.pause import PauseDetector

GAP_WEIGHT = 0.1
"""Weight of a new gap in the moving average."""


@attrs.frozen
class StallSettings:
    """Settings of the detection of stalled streams.

    :param multiple: maximum time without tokens as a multiple of the stream's recent gap
    :param floor_s: lower bound of that maximum in seconds
    :param ceiling_s: upper bound of that maximum in seconds
    :param first_s: timeout of the first token in seconds
    :param pause_s: seconds between two checks above which this process counts as paused
    """

    multiple: float = 8.0
    floor_s: float = 0.5
    ceiling_s: float = 5.0
    first_s: float = 10.0
    pause_s: float = 0.5


class StallDetector:
    """Detects a stall of one stream by comparison with its own recent gaps.

    ``is_stalled`` must be called several times per ``pause_s``. After a pause of this process the
    stream gets its full time again.

    :param settings: settings of the detection
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self, settings: StallSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pause_detector = PauseDetector(settings.pause_s, clock)
        self._last_arrival = clock()
        self._gap_s: float | None = None
        self._has_started = False

    def record_tokens(self) -> None:
        """Record the arrival of tokens."""
        now = self._clock()
        paused = self._pause_detector.check() > self._last_arrival
        if self._has_started and not paused:
            self._record_gap(now - self._last_arrival)
        self._has_started = True
        self._last_arrival = now

    def allowed(self) -> float:
        """:return: maximum seconds without tokens at present."""
        if not self._has_started:
            return self._settings.first_s
        if self._gap_s is None:
            return self._settings.ceiling_s
        allowed_s = self._settings.multiple * self._gap_s
        return min(max(allowed_s, self._settings.floor_s), self._settings.ceiling_s)

    def is_stalled(self) -> bool:
        """:return: whether no token has arrived for longer than :meth:`allowed`."""
        resumed_at = self._pause_detector.check()
        return self._clock() - max(self._last_arrival, resumed_at) > self.allowed()

    def _record_gap(self, gap_s: float) -> None:
        # A long gap counts in full at once, so that a stream that slows down is not cut off.
        mean = gap_s if self._gap_s is None else self._gap_s + GAP_WEIGHT * (gap_s - self._gap_s)
        self._gap_s = max(gap_s, mean)


__all__ = ["StallDetector", "StallSettings"]
