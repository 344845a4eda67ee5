"""Event loop whose clock counts only the time in which it runs, for tests marked ``by_turns``.

Callers, gateways and servers of such a test share the event loop. What the machine takes from it,
it takes from all of them, so no time limit of one says anything about another meanwhile.
"""

from __future__ import annotations

import asyncio
import selectors
import time

WAIT_S = 0.005
"""Longest wait of a turn, which distinguishes turns that waited from those that the machine held
up."""

TURN_S = 0.01
"""Time that a turn counts for at most."""

_read_monotonic = time.monotonic
_read_clock = time.clock_gettime


class _TurnSelector(selectors.DefaultSelector):
    """Ends a turn of its event loop at each call, and adds up what turns took beyond their time."""

    def __init__(self) -> None:
        super().__init__()
        self.lost_s = 0.0
        self._turn_at = _read_monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """:return: what is ready, after a shorter wait than asked for."""
        ready = super().select(WAIT_S if timeout is None else min(timeout, WAIT_S))
        ended_at = _read_monotonic()
        self.lost_s += max(0.0, ended_at - self._turn_at - TURN_S)
        self._turn_at = ended_at
        return ready


class TurnLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock stops while the machine keeps it from running."""

    def __init__(self) -> None:
        self._turns = _TurnSelector()
        super().__init__(self._turns)

    def time(self) -> float:
        """:return: seconds in which this event loop ran or waited."""
        return _read_monotonic() - self._turns.lost_s

    @property
    def lost_s(self) -> float:
        """:return: seconds that turns took beyond their time."""
        return self._turns.lost_s


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
