"""Spillover of requests to other regions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilroad.entry.dispatch.modelqueue import ModelQueue
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import EndpointView
    from basilroad.entry.links.linkcost import LinkCosts
    from basilroad.settings.view import SettingsView

LOCAL_WAIT_MIN_S = 0.3
"""Minimum expected local wait before spillover, regardless of the link cost."""

LOCAL_TARGET_SHARE = 0.5
"""Share of a rank's first-token target that may be spent waiting locally."""

UNTARGETED_LOCAL_WAIT_S = 10.0
"""Local wait before spillover for ranks without a first-token target."""


class SpilloverPolicy:
    """Compares the expected local wait with the cost of sending work to another region.

    :param costs: costs of the links
    :param read_view: returns the current settings
    """

    def __init__(self, costs: LinkCosts, read_view: Callable[[], SettingsView]) -> None:
        self._costs = costs
        self._read_view = read_view

    def keep_reachable(
        self,
        flight: Flight,
        model_queue: ModelQueue,
        free: Sequence[EndpointView],
        all_views: Sequence[EndpointView],
    ) -> list[EndpointView]:
        """Select the endpoints whose link cost is acceptable.

        :param flight: generation that needs an endpoint
        :param model_queue: queue of its model
        :param free: endpoints with a free slot
        :param all_views: all endpoints that could run it
        :return: local ones if any is free, otherwise those worth the cost of a link with capacity
        """
        local = [view for view in free if not self.is_remote(view)]
        if local:
            return local
        ahead = sum(model_queue.queue.waiting_cost(r) for r in range(flight.identity.rank + 1))
        wait_s = self.estimate_local_wait(model_queue, ahead + flight.remaining, all_views)
        return [view for view in free if self._is_worth_sending(flight, wait_s, view)]

    def is_wanted(
        self,
        flight: Flight,
        age_s: float,
        model_queue: ModelQueue,
        views: Sequence[EndpointView],
        view: EndpointView,
    ) -> bool:
        """Check whether queued work should be offered to an endpoint.

        :param flight: generation of its rank that has been queued longest
        :param age_s: seconds since it was queued
        :param model_queue: the queue
        :param views: all endpoints that could run it
        :param view: the endpoint
        :return: whether to offer it; always true for a local endpoint
        """
        if not self.is_remote(view):
            return True
        wait_s = max(age_s, self.estimate_local_wait(model_queue, float(flight.remaining), views))
        return self._is_worth_sending(flight, wait_s, view)

    def estimate_local_wait(
        self, model_queue: ModelQueue, cost: float, views: Sequence[EndpointView]
    ) -> float:
        """Estimate the wait for a slot in the local region.

        :param model_queue: the queue
        :param cost: tokens of the requests ahead and of the request itself
        :param views: all endpoints that could run it
        :return: seconds; infinite if no local endpoint runs the model
        """
        local = [view for view in views if view.usable and not self.is_remote(view)]
        if not local:
            return math.inf
        # the served rate is too low before the first answers and after an idle period
        rate = max(model_queue.rate, sum(view.state.tokens_per_second for view in local))
        return cost / rate if rate > 0 else 0.0

    def is_remote(self, view: EndpointView) -> bool:
        """:return: whether an endpoint is in another region."""
        return self._costs.is_remote(view.link.region)

    def _is_worth_sending(self, flight: Flight, wait_s: float, view: EndpointView) -> bool:
        cost = self._costs.estimate(flight.request.prompt, flight.remaining, view)
        return cost.fits and wait_s > max(self._find_local_wait_limit(flight), cost.seconds)

    def _find_local_wait_limit(self, flight: Flight) -> float:
        if flight.interrupted_s is not None:
            return LOCAL_WAIT_MIN_S
        rank = self._read_view().rank_by_order(flight.identity.rank)
        if not rank.first_token_target_s:
            return UNTARGETED_LOCAL_WAIT_S
        return max(LOCAL_WAIT_MIN_S, LOCAL_TARGET_SHARE * rank.first_token_target_s)


__all__ = ["LOCAL_WAIT_MIN_S", "SpilloverPolicy"]
