"""Time limits that count what arrived while the event loop was late."""

from __future__ import annotations

import asyncio
from types import TracebackType

READ_TURNS = 8
"""Turns of the event loop in which it takes over a connection or response that has arrived."""


class TimeLimit:
    """Cancels the code in its context after a time, with a :exc:`TimeoutError`.

    A late event loop runs an expired timer in the turn in which it reads what arrived before the
    limit, so the code in the context has some turns left to end with that.

    :param limit_s: seconds until it expires; ``None`` for never
    :param turns: turns of the event loop that are left then
    """

    def __init__(self, limit_s: float | None, turns: int = READ_TURNS) -> None:
        self._limit_s = limit_s
        self._turns = turns
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> TimeLimit:
        await self._timeout.__aenter__()
        self.restart(self._limit_s, self._turns)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop()
        await self._timeout.__aexit__(kind, error, traceback)

    def restart(self, limit_s: float | None, turns: int = READ_TURNS) -> None:
        """Replace the limit.

        :param limit_s: seconds from now until it expires; ``None`` for never
        :param turns: turns of the event loop that are left then
        """
        self._stop()
        if limit_s is None or self._timeout.expired():
            return
        loop = asyncio.get_running_loop()
        if turns:
            self._timer = loop.call_later(limit_s, self._expire, turns)
        else:
            self._timeout.reschedule(loop.time() + limit_s)

    def _expire(self, turns: int) -> None:
        loop = asyncio.get_running_loop()
        if turns:
            self._timer = loop.call_soon(self._expire, turns - 1)
        else:
            self._timeout.reschedule(loop.time())

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._timeout.expired():
            self._timeout.reschedule(None)


__all__ = ["READ_TURNS", "TimeLimit"]
