"""Detection of pauses of the current process."""

from __future__ import annotations

import time
from collections.abc import Callable


class PauseDetector:
    """Detects pauses of the process by the time between two checks.

    :param pause_s: seconds between two checks above which the process counts as paused; must be
        well above the interval of the checks
    :param clock: monotonic clock in seconds
    """

    def __init__(self, pause_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._pause_s = pause_s
        self._clock = clock
        self._checked_at = clock()
        self._resumed_at = self._checked_at

    def check(self) -> float:
        """Record that the process is running.

        :return: time at which the process last resumed after a pause, or started
        """
        now = self._clock()
        if now - self._checked_at > self._pause_s:
            self._resumed_at = now
        self._checked_at = now
        return self._resumed_at


class RunClock:
    """Clock of the time that the process ran; a pause counts as at most ``pause_s``.

    :param pause_s: maximum seconds counted between two readings
    :param clock: monotonic clock in seconds
    """

    def __init__(self, pause_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._pause_s = pause_s
        self._clock = clock
        self._read_at = clock()
        self._elapsed_s = 0.0

    def __call__(self) -> float:
        """:return: seconds that the process ran."""
        now = self._clock()
        self._elapsed_s += min(now - self._read_at, self._pause_s)
        self._read_at = now
        return self._elapsed_s


__all__ = ["PauseDetector", "RunClock"]
