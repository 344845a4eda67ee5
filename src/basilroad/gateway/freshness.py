"""Age of what a process believes, by a clock that counts suspension."""

from __future__ import annotations

import time
from collections.abc import Callable


def read_boot_clock() -> float:
    """:return: seconds since boot, time in suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When a belief was last confirmed at its source.

    :param clock: seconds that also grow while the machine is suspended
    """

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self.clock = clock
        self._confirmed_at: float | None = None

    def confirm(self, at: float) -> None:
        """Note that the belief held at a moment.

        :param at: reading of the clock; earlier than the last one changes nothing
        """
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age_s(self) -> float | None:
        """:return: seconds since the belief was confirmed; ``None`` if it never was."""
        if self._confirmed_at is None:
            return None
        return max(0.0, self.clock() - self._confirmed_at)

    def is_within(self, limit_s: float) -> bool:
        """:return: whether the belief was confirmed within some seconds."""
        age_s = self.age_s()
        return age_s is not None and age_s <= limit_s


__all__ = ["Freshness", "read_boot_clock"]
