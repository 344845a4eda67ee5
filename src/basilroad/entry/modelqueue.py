"""What waits at an entry for one model."""

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
    from basilroad.entry.flight import Flight
    from basilroad.entry.placement import Placement

RATE_WINDOW_S = 2.5
"""Time constant of the served rate."""

SATURATED_S = 5.0
"""Seconds of waiting without a pause after which the served rate is all that there is."""


@attrs.define(eq=False)
class QueuedRequest:
    """A place in a queue.

    :param flight: what waits
    :param flow: its rank, workspace and caller
    :param placed: resolved with the endpoint
    :param begun: whether tokens of it may have been made, so that it is not refused
    :param queued_s: monotonic time of its coming
    """

    flight: Flight
    flow: Flow
    placed: asyncio.Future[Placement]
    begun: bool = False
    queued_s: float = attrs.field(factory=time.monotonic)


class ModelQueue:
    """The queue for one model.

    :param fairness: settings of the fair order; the defaults if absent
    """

    def __init__(self, fairness: FairSettings | None = None) -> None:
        self.queue: FairQueue[QueuedRequest] = FairQueue(fairness or FairSettings())
        self.waiting: dict[QueuedRequest, None] = {}
        self._served = DecayedSum(RATE_WINDOW_S)
        self._waiting_since_s = math.inf

    @property
    def rate(self) -> float:
        """:return: tokens a second that this entry was served lately."""
        return self._served.value / RATE_WINDOW_S

    @property
    def saturated(self) -> bool:
        """:return: whether something has waited for long enough to trust the rate."""
        return time.monotonic() - self._waiting_since_s >= SATURATED_S

    def record_served(self, tokens: int) -> None:
        """Count tokens that this entry was served.

        :param tokens: how many
        """
        self._served.add(tokens)

    def push(self, ticket: QueuedRequest, *, first: bool = False) -> None:
        """Let a ticket wait.

        :param ticket: the ticket
        :param first: whether it goes before the others of its flow
        """
        if not len(self.queue):
            self._waiting_since_s = time.monotonic()
        push = self.queue.push_front if first else self.queue.push
        self.waiting[ticket] = None
        push(ticket, ticket.flow, float(ticket.flight.remaining))

    def remove(self, ticket: QueuedRequest) -> None:
        """Let a ticket wait no more.

        :param ticket: the ticket, which need not wait
        """
        self.queue.remove(ticket)
        self.waiting.pop(ticket, None)
        if not len(self.queue):
            self._waiting_since_s = math.inf

    def estimate_wait(self, flow: Flow, cost: float) -> float:
        """Estimate how long a new item would wait.

        :param flow: its flow
        :param cost: estimated tokens
        :return: seconds; 0 while it is not known
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
