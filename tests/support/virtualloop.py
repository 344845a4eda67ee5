"""Event loop whose time passes at once while nothing is ready, for tests without a network."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class _SkippingSelector(selectors.DefaultSelector):
    """Adds up the waits instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """:return: what is ready."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled, so that the test would wait for ever")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own, which starts at zero."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """:return: seconds since the start."""
        return self._skipping.now_s


def run_virtually(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on an event loop of its own.

    :param main: the coroutine
    :return: its result
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


__all__ = ["VirtualLoop", "run_virtually"]
