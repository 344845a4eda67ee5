"""Exponentially decaying sums."""

from __future__ import annotations

import math
import time
from collections.abc import Callable


class DecayedSum:
    """Sum in which an amount decays to ``1/e`` of itself after the window.

    :param window_s: seconds in which an amount decays to ``1/e``
    :param clock: monotonic clock in seconds
    """

    __slots__ = ("_clock", "_updated_at", "_value", "_window_s")

    def __init__(self, window_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._window_s = window_s
        self._clock = clock
        self._value = 0.0
        self._updated_at = clock()

    @property
    def value(self) -> float:
        """:return: the current sum."""
        now = self._clock()
        if now > self._updated_at:
            self._value *= math.exp((self._updated_at - now) / self._window_s)
            self._updated_at = now
        return self._value

    def add(self, amount: float) -> None:
        """Add an amount; the sum never falls below zero.

        :param amount: amount to add; negative to subtract
        """
        self._value = max(0.0, self.value + amount)


__all__ = ["DecayedSum"]
