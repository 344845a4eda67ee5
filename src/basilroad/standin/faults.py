"""Faults injected into the platform stand-in."""

from __future__ import annotations

import asyncio
from random import Random

import attrs
from aiohttp import web

from basilroad.standin.server import drop_connection


@attrs.frozen
class PlatformControl:
    """Faults to inject; those left out stay unchanged.

    :param down: whether the connection of each request is aborted
    :param refuse_s: seconds for which connections are refused
    :param slow_s: seconds by which requests to table, objects and weights are delayed, before they
        take effect
    :param lose_answers: number of writes to apply without sending a response
    :param lose_share: share of further writes to apply without a response, 0 to 1
    :param seed: seed of the random choice for lose_share
    :param stale_reads_s: seconds by which reads of the table lag, except reads of a row's history;
        commits never lag
    :param restore_s: restore the table from a copy that is this many seconds old, at most 300;
        later writes are lost and their revisions are given out again
    :param freeze_s: suspend all work for this many seconds
    :param die: crash at once
    """

    down: bool | None = None
    refuse_s: float = 0.0
    slow_s: float | None = None
    lose_answers: int | None = None
    lose_share: float | None = None
    seed: int | None = None
    stale_reads_s: float | None = None
    restore_s: float = 0.0
    freeze_s: float = 0.0
    die: bool = False


class PlatformFaults:
    """Faults in effect."""

    def __init__(self) -> None:
        self.down = False
        self.slow_s = 0.0
        self.stale_reads_s = 0.0
        self._lose_answers = 0
        self._lose_share = 0.0
        self._random = Random(0)

    def update(self, control: PlatformControl) -> None:
        """Apply the faults that are set in a control request.

        :param control: the changes
        """
        if control.down is not None:
            self.down = control.down
        if control.slow_s is not None:
            self.slow_s = control.slow_s
        if control.stale_reads_s is not None:
            self.stale_reads_s = control.stale_reads_s
        if control.lose_answers is not None:
            self._lose_answers = control.lose_answers
        if control.lose_share is not None:
            self._lose_share = control.lose_share
        if control.seed is not None:
            self._random = Random(control.seed)

    async def delay(self) -> None:
        """Wait for the configured delay, before a request takes effect."""
        if self.slow_s > 0:
            await asyncio.sleep(self.slow_s)

    def lose_answer(self, request: web.Request) -> None:
        """Abort the connection of a write whose response is to be lost.

        :param request: the write, already applied
        :raises DroppedError: the connection was aborted
        """
        if self._lose_answers > 0:
            self._lose_answers -= 1
            drop_connection(request)
        if self._random.random() < self._lose_share:
            drop_connection(request)


__all__ = ["PlatformControl", "PlatformFaults"]
