"""Event loop whose clock counts only the time in which it runs, for tests marked ``by_turns``.

Callers, gateways and servers of such a test share the event loop. What the machine takes from it,
it takes from all of them, so no time limit of one says anything about another meanwhile.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time

WAIT_S = 0.005
"""Longest wait of a turn, which distinguishes turns that waited from those that the machine held
up."""

TURN_S = 0.01
"""Time that a turn counts for at most."""

MILLISECOND_S = 0.001
"""Resolution of a wait."""

_read_monotonic = time.monotonic
_read_clock = time.clock_gettime
_read_thread_clock = time.thread_time


class _TurnSelector(selectors.DefaultSelector):
    """Ends a turn of its event loop at each call, and adds up what turns ran and waited.

    A wait counts for as long as was asked at most. Work counts by the processor time of the thread,
    also within a turn: a reading that the machine held up would be ahead of those of later turns.
    """

    def __init__(self) -> None:
        super().__init__()
        self._turned_s = _read_monotonic()
        self._turn_limit_s = TURN_S
        self._worked_at = _read_thread_clock()

    def read_clock(self) -> float:
        """:return: seconds that all turns until now count for."""
        worked_s = _read_thread_clock() - self._worked_at
        return self._turned_s + min(self._turn_limit_s, worked_s)

    def skip(self, length_s: float) -> None:
        """Let time pass in which nothing runs.

        :param length_s: seconds
        """
        self._turned_s += length_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """:return: what is ready, after a shorter wait than asked for."""
        self._turned_s = self.read_clock()
        wait_s = WAIT_S if timeout is None else min(timeout, WAIT_S)
        asked_s = math.ceil(max(0.0, wait_s) / MILLISECOND_S) * MILLISECOND_S
        began_at = _read_monotonic()
        ready = super().select(wait_s)
        waited_s = min(asked_s, _read_monotonic() - began_at)
        self._turned_s += waited_s
        self._turn_limit_s = TURN_S - waited_s
        self._worked_at = _read_thread_clock()
        return ready


class TurnLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock stops while the machine keeps it from running."""

    def __init__(self) -> None:
        self._turns = _TurnSelector()
        super().__init__(self._turns)

    def time(self) -> float:
        """:return: seconds in which this event loop ran or waited."""
        return self._turns.read_clock()

    @property
    def lost_s(self) -> float:
        """:return: seconds by which this clock is behind that of the machine."""
        return _read_monotonic() - self._turns.read_clock()

    def skip(self, length_s: float) -> None:
        """Let time pass in which this event loop does nothing, as on a host without processor time.

        :param length_s: seconds
        """
        self._turns.skip(length_s)


def read_monotonic() -> float:
    """:return: the clock of such an event loop if it runs in this thread, else the machine's."""
    loop = asyncio._get_running_loop()
    return loop.time() if isinstance(loop, TurnLoop) else _read_monotonic()


def read_clock(clock: int) -> float:
    """:return: the same for a clock of the machine."""
    loop = asyncio._get_running_loop()
    lost_s = loop.lost_s if isinstance(loop, TurnLoop) else 0.0
    return _read_clock(clock) - lost_s


def install_clocks() -> None:
    """Let code that is imported from now on read these clocks."""
    time.monotonic, time.clock_gettime = read_monotonic, read_clock


__all__ = ["TURN_S", "TurnLoop", "install_clocks"]
