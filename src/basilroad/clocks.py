"""Clocks of the kernel."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """:return: seconds since boot, including suspend time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["read_boot_clock"]
