"""Time limits that leave out the time in which the machine keeps processes from running."""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

NANOSECONDS = 1_000_000_000


def read_run_delay(pid: int) -> float:
    """Read how long the threads of a process were ready to run and waited for a processor.

    :param pid: id of the process
    :return: seconds since its start; 0 if it has ended
    """
    delay_ns = 0
    for statistics in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        # a thread that ends meanwhile has no file, or one that can't be read
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            delay_ns += int(statistics.read_text().split()[1])
    return delay_ns / NANOSECONDS


class RunLimit:
    """Time limit of a wait for processes, in which only time counts that they could use.

    Of the time since the last check counts what neither this process nor one of the others spent
    waiting for a processor. A process that hangs, or waits for something else, waits for none.

    :param limit_s: seconds
    :param list_pids: ids of the processes that are awaited
    :param read_delay: seconds for which a process has waited for a processor
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        limit_s: float,
        list_pids: Callable[[], Iterable[int]],
        read_delay: Callable[[int], float] = read_run_delay,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._left_s = limit_s
        self._lost_s = 0.0
        self._list_pids = list_pids
        self._read_delay = read_delay
        self._clock = clock
        self._checked_at = clock()
        self._delays_s = self._read_delays()

    def is_over(self) -> bool:
        """:return: whether the time limit has passed."""
        self._check()
        return self._left_s < 0

    def measure_lost(self) -> float:
        """:return: seconds since the start that did not count."""
        self._check()
        return self._lost_s

    def describe(self) -> str:
        """:return: the time that did not count."""
        return f"besides {self._lost_s:.1f} s of waits for a processor"

    def _check(self) -> None:
        now, delays_s = self._clock(), self._read_delays()
        # one that was started since then has waited since its start
        lost_s = sum(
            max(0.0, delay_s - self._delays_s.get(pid, 0.0)) for pid, delay_s in delays_s.items()
        )
        passed_s = now - self._checked_at
        lost_s = min(lost_s, passed_s)
        self._left_s -= passed_s - lost_s
        self._lost_s += lost_s
        self._checked_at, self._delays_s = now, delays_s

    def _read_delays(self) -> dict[int, float]:
        return {pid: self._read_delay(pid) for pid in (os.getpid(), *self._list_pids())}


__all__ = ["RunLimit", "read_run_delay"]
