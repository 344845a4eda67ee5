"""Permits of a rate that one process gives out to several."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs

from basilroad.coordination.budget import TokenBucket

BURST_S = 0.25
"""Time whose permits may be given out at once after a time without requests."""

CONTENTION_WINDOW_S = 2.0
"""Time for which a process that was refused counts as waiting."""

MIN_WAIT_S = 0.05
"""Shortest wait that is sent to a process; a round trip between regions is as long."""

MAX_WAIT_S = 5.0
"""Longest wait that is sent to a process; the rate may rise meanwhile."""


@attrs.define(eq=False)
class PermitSource:
    """Gives out the permits of one rate.

    :param clock: monotonic seconds
    :param generator: random number generator
    :param initial: permits that may be given out at once at first
    """

    clock: Callable[[], float] = time.monotonic
    generator: random.Random = attrs.field(factory=random.Random)
    initial: float = 1.0
    _bucket: TokenBucket | None = None
    _refused: dict[str, float] = attrs.field(factory=dict)

    def take(self, process: str, per_s: float) -> float:
        """Ask for a permit.

        :param process: name of the process that asks
        :param per_s: current rate in permits per second
        :return: seconds until the next permit of this process; 0 if it has one now
        """
        now, bucket = self.clock(), self._bucket
        if bucket is None:
            bucket = self._bucket = TokenBucket(per_s, max(1.0, BURST_S * per_s), self.clock)
            bucket.force(max(0.0, bucket.burst - self.initial))
        bucket.resize(per_s, max(1.0, BURST_S * per_s))
        if bucket.take(1):
            self._refused.pop(process, None)
            return 0.0
        self._refused[process] = now
        for name in [n for n, at in self._refused.items() if now - at > CONTENTION_WINDOW_S]:
            del self._refused[name]
        # the next permits go to those that ask first, in no order
        turns = self.generator.uniform(0, len(self._refused) - 1)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, bucket.delay(1) + turns / per_s))


__all__ = ["BURST_S", "CONTENTION_WINDOW_S", "MAX_WAIT_S", "MIN_WAIT_S", "PermitSource"]
