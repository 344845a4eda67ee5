"""Notice of pauses of the own process."""

from __future__ import annotations

import time
from collections.abc import Callable


class PauseDetector:
    """Tells when the process did not run for a while, by the time between two checks.

    :param pause_s: seconds between two checks above which the process was paused; to be well
        above the interval of the checks
    :param clock: seconds that only grow
    """

    def __init__(self, pause_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._pause_s = pause_s
        self._clock = clock
        self._checked = clock()
        self._woken = self._checked

    def check(self) -> float:
        """Note that the process runs.

        :return: time at which the process last woke from a pause, or started
        """
        now = self._clock()
        if now - self._checked > self._pause_s:
            self._woken = now
        self._checked = now
        return self._woken


class RunClock:
    """Seconds for which the process ran; a pause counts no more than ``pause_s``.

    :param pause_s: most seconds that the time between two readings counts
    :param clock: seconds that only grow
    """

    def __init__(self, pause_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._pause_s = pause_s
        self._clock = clock
        self._read = clock()
        self._ran = 0.0

    def __call__(self) -> float:
        """:return: seconds for which the process ran."""
        now = self._clock()
        self._ran += min(now - self._read, self._pause_s)
        self._read = now
        return self._ran


__all__ = ["PauseDetector", "RunClock"]
