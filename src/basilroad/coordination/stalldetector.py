"""Detection of token streams that fell silent."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from basilroad.coordination.pause import PauseDetector

GAP_WEIGHT = 0.1
"""Weight of one gap in the running mean."""


@attrs.frozen
class StallSettings:
    """Settings of the detection of silent streams.

    :param multiple: silence allowed, in recent gaps of the stream
    :param floor_s: least seconds of silence allowed
    :param ceiling_s: most seconds of silence allowed
    :param first_s: seconds allowed before the first token
    :param pause_s: seconds between two checks above which the own process was paused
    """

    multiple: float = 8.0
    floor_s: float = 0.5
    ceiling_s: float = 5.0
    first_s: float = 10.0
    pause_s: float = 0.5


class StallDetector:
    """Judges one stream by its own recent gaps.

    ``is_silent`` is to be called several times in each ``pause_s``. After a pause of the own
    process the stream gets its time anew.

    :param settings: settings of the detection
    :param clock: seconds that only grow
    """

    def __init__(
        self, settings: StallSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pause = PauseDetector(settings.pause_s, clock)
        self._heard = clock()
        self._gap: float | None = None
        self._begun = False

    def record_tokens(self) -> None:
        """Take tokens."""
        now = self._clock()
        paused = self._pause.check() > self._heard
        if self._begun and not paused:
            self._note_gap(now - self._heard)
        self._begun = True
        self._heard = now

    def allowed(self) -> float:
        """:return: seconds of silence that are allowed now."""
        if not self._begun:
            return self._settings.first_s
        if self._gap is None:
            return self._settings.ceiling_s
        wanted = self._settings.multiple * self._gap
        return min(max(wanted, self._settings.floor_s), self._settings.ceiling_s)

    def is_stalled(self) -> bool:
        """:return: whether the stream has been silent for too long."""
        woken = self._pause.check()
        return self._clock() - max(self._heard, woken) > self.allowed()

    def _note_gap(self, gap: float) -> None:
        # One long gap counts in full at once, so that a stream that slows down is not cut.
        mean = gap if self._gap is None else self._gap + GAP_WEIGHT * (gap - self._gap)
        self._gap = max(gap, mean)


__all__ = ["StallDetector", "StallSettings"]
