"""Time limits that leave out the time in which the machine keeps processes from running."""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

NANOSECONDS = 1_000_000_000
READY = "R"
MIN_UNENDED_WAIT_S = 0.1
"""Seconds from which a thread that is ready to run but doesn't run is known to wait; the kernel
counts at its clock ticks how long a thread has run."""


@attrs.frozen
class ThreadTimes:
    """Use that a thread makes of the processors.

    :param waited_s: seconds for which it was ready to run and waited; a wait is added at its end
    :param ran_s: seconds for which it ran
    :param is_ready: whether it is ready to run, or runs
    """

    waited_s: float = 0.0
    ran_s: float = 0.0
    is_ready: bool = False


def read_threads(pid: int) -> dict[int, ThreadTimes]:
    """Read the use that the threads of a process make of the processors.

    :param pid: id of the process
    :return: by id of the thread; nothing if the process has ended
    """
    threads = {}
    for folder in Path(f"/proc/{pid}/task").glob("*"):
        # a thread that ends meanwhile has no files, or some that can't be read
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            ran_ns, waited_ns, _ = map(int, (folder / "schedstat").read_text().split())
            state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
            threads[int(folder.name)] = ThreadTimes(
                waited_ns / NANOSECONDS, ran_ns / NANOSECONDS, state == READY
            )
    return threads


def read_run_delay(pid: int) -> float:
    """Read how long the threads of a process were ready to run and waited for a processor.

    :param pid: id of the process
    :return: seconds since its start; 0 if it has ended
    """
    return sum(thread.waited_s for thread in read_threads(pid).values())


@attrs.define
class _Interval:
    passed_s: float
    lost_s: float


class RunLimit:
    """Time limit of a wait for processes, in which only time counts that they could use.

    Of the time since the last check counts what neither this process nor one of the others spent
    waiting for a processor. A process that hangs, or waits for something else, waits for none.

    :param limit_s: seconds
    :param list_pids: ids of the processes that are awaited
    :param read: use that the threads of a process make of the processors
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        limit_s: float,
        list_pids: Callable[[], Iterable[int]],
        read: Callable[[int], dict[int, ThreadTimes]] = read_threads,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._left_s = limit_s
        self._list_pids = list_pids
        self._read = read
        self._clock = clock
        self._checked_at = clock()
        self._threads = self._read_all()
        self._ready_since: dict[tuple[int, int], float] = {}
        self._intervals: list[_Interval] = []

    def is_over(self) -> bool:
        """:return: whether the time limit has passed."""
        self._check()
        return self._left_s < 0

    def measure_lost(self) -> float:
        """:return: seconds since the start that did not count."""
        self._check()
        return self._sum_lost()

    def describe(self) -> str:
        """:return: the time that did not count."""
        return f"besides {self._sum_lost():.1f} s of waits for a processor"

    def _sum_lost(self) -> float:
        return sum(interval.lost_s for interval in self._intervals)

    def _check(self) -> None:
        now, threads = self._clock(), self._read_all()
        passed_s = now - self._checked_at
        # one that was started since then has waited since its start
        ended_s = [
            max(0.0, thread.waited_s - self._threads.get(key, ThreadTimes()).waited_s)
            for key, thread in threads.items()
        ]
        unended_s = self._measure_unended(now, threads)
        lost_s = min(sum(ended_s) + unended_s, passed_s)
        self._left_s -= passed_s - lost_s
        self._left_s += self._give_back(max(unended_s, *ended_s, 0.0) - passed_s)
        self._intervals.append(_Interval(passed_s, lost_s))
        self._checked_at, self._threads = now, threads

    def _measure_unended(self, now: float, threads: dict[tuple[int, int], ThreadTimes]) -> float:
        """:return: seconds for which a thread of the other processes has been waiting."""
        self._ready_since = {
            key: self._ready_since.get(key, self._checked_at)
            for key, thread in threads.items()
            if key[0] != os.getpid() and thread.is_ready and thread == self._threads.get(key)
        }
        waiting_s = now - min(self._ready_since.values(), default=now)
        return waiting_s if waiting_s >= MIN_UNENDED_WAIT_S else 0.0

    def _give_back(self, waited_s: float) -> float:
        """Leave out a wait that had begun before the last check and is only known at its end.

        :param waited_s: seconds of it up to the last check
        :return: seconds of them that had counted
        """
        given_s = 0.0
        for interval in reversed(self._intervals):
            if waited_s <= 0:
                break
            back_s = min(interval.passed_s - interval.lost_s, waited_s)
            interval.lost_s += back_s
            given_s += back_s
            waited_s -= interval.passed_s
        return given_s

    def _read_all(self) -> dict[tuple[int, int], ThreadTimes]:
        return {
            (pid, number): thread
            for pid in (os.getpid(), *self._list_pids())
            for number, thread in self._read(pid).items()
        }


__all__ = ["RunLimit", "ThreadTimes", "read_run_delay", "read_threads"]
