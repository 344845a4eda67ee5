"""Times in which the machine keeps the soak or a gateway from running."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable

from soak.records import Record, Stall
from soak.rundelay import read_run_delay

STALL_S = 0.3
"""Seconds of waits for a processor, between two checks, that disturb a run like a fault; equal to
``SILENCE_LIMIT_S`` of the gateways, as endpoints and store run in the process of the soak."""


class StallWatch:
    """Records when this process or a gateway waited long for a processor.

    :param record: record of the run
    :param list_pids: ids of the gateways
    :param read_delay: seconds for which a process has waited for a processor
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        record: Record,
        list_pids: Callable[[], Iterable[int]],
        read_delay: Callable[[int], float] = read_run_delay,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._record = record
        self._list_pids = list_pids
        self._read_delay = read_delay
        self._clock = clock
        self._checked_at = clock()
        self._delays_s = self._read_delays()

    def check(self) -> None:
        """Record a stall if one of the processes waited for ``STALL_S`` since the last check."""
        now, delays_s = self._clock(), self._read_delays()
        waited_s = max(delay_s - self._delays_s.get(pid, 0.0) for pid, delay_s in delays_s.items())
        if waited_s >= STALL_S:
            # a wait is counted at its end, so that it may have begun before the last check
            began = min(self._checked_at, now - waited_s)
            self._record.stalls.append(Stall(began, now, waited_s))
        self._checked_at, self._delays_s = now, delays_s

    def measure_quiet(self) -> float:
        """:return: seconds since the last stall, or since the beginning of time without one."""
        self.check()
        return self._clock() - max((stall.ended for stall in self._record.stalls), default=0.0)

    def _read_delays(self) -> dict[int, float]:
        return {pid: self._read_delay(pid) for pid in (os.getpid(), *self._list_pids())}


__all__ = ["STALL_S", "StallWatch"]
