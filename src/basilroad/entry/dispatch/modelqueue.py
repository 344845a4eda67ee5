"""Queue of an entry for one model."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.decay import DecayedSum
from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.coordination.fairqueue import FairQueue

if TYPE_CHECKING:
    from basilroad.entry.dispatch.placement import Placement
    from basilroad.entry.generations.flight import Flight

RATE_WINDOW_S = 2.5
"""Time constant of the average served rate."""

SATURATED_AFTER_S = 5.0
"""Seconds with a non-empty queue after which the served rate counts as the full capacity."""


@attrs.define(eq=False)
class QueuedRequest:
    """A queued request.

    :param flight: the queued generation
    :param flow: its rank, workspace and caller
    :param placed: resolved with its placement
    :param has_started: whether tokens may have been generated, so that it can't be evicted
    :param queued_s: monotonic time at which it was queued
    """

    flight: Flight
    flow: Flow
    placed: asyncio.Future[Placement]
    has_started: bool = False
    queued_s: float = attrs.field(factory=time.monotonic)


class ModelQueue:
    """The queue for one model.

    :param fairness: fair-queueing settings; the defaults if absent
    """

    def __init__(self, fairness: FairSettings | None = None) -> None:
        self.queue: FairQueue[QueuedRequest] = FairQueue(fairness or FairSettings())
        self.waiting: dict[QueuedRequest, None] = {}
        self._served = DecayedSum(RATE_WINDOW_S)
        self._backlogged_since_s = math.inf

    @property
    def rate(self) -> float:
        """:return: recent rate of tokens received by this entry, per second."""
        return self._served.value / RATE_WINDOW_S

    @property
    def saturated(self) -> bool:
        """:return: whether the queue has been non-empty for long enough to trust the rate."""
        return time.monotonic() - self._backlogged_since_s >= SATURATED_AFTER_S

    def record_served(self, tokens: int) -> None:
        """Count tokens received by this entry.

        :param tokens: number of tokens
        """
        self._served.add(tokens)

    def push(self, queued: QueuedRequest, *, first: bool = False) -> None:
        """Queue a request.

        :param queued: the request
        :param first: whether to put it at the head of its flow
        """
        if not len(self.queue):
            self._backlogged_since_s = time.monotonic()
        push = self.queue.push_front if first else self.queue.push
        self.waiting[queued] = None
        push(queued, queued.flow, float(queued.flight.remaining))

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue.

        :param queued: the request, which need not be queued
        """
        self.queue.remove(queued)
        self.waiting.pop(queued, None)
        if not len(self.queue):
            self._backlogged_since_s = math.inf

    def estimate_wait(self, flow: Flow, cost: float) -> float:
        """Estimate the queueing delay of a new request.

        :param flow: flow of the request
        :param cost: estimated tokens
        :return: seconds; 0 if unknown
        """
        rate = self.rate
        if not self.saturated or rate <= 0:
            return 0.0
        own = self.queue.cost_ahead(flow, cost)
        ahead = sum(self.queue.waiting_cost(rank) for rank in range(flow.rank))
        floor = self.queue.policy.floor_of(flow.rank)
        by_order = (ahead + own) / rate
        return min(by_order, own / (floor * rate)) if floor > 0 else by_order


__all__ = ["ModelQueue", "QueuedRequest"]
