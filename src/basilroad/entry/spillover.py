"""When work leaves its region."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilroad.entry.flight import Flight
    from basilroad.entry.link import EndpointView
    from basilroad.entry.linkcost import LinkCosts
    from basilroad.entry.modelqueue import ModelQueue
    from basilroad.settings.view import SettingsView

SPILL_WAIT_S = 0.3
"""Seconds of waiting at home for which work is never sent away, however cheap the link."""

TARGET_SHARE = 0.5
"""Share of a rank's target for the first token that may pass at home."""

UNTARGETED_WAIT_S = 10.0
"""Seconds that work whose rank has no target waits at home."""


class SpilloverPolicy:
    """Weighs waiting at home against the link to another region.

    :param costs: of the links
    :param read_view: gives the settings in force
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
        """Choose those endpoints that are worth their link.

        :param flight: needs an endpoint
        :param lane: queue of its model
        :param free: endpoints with a free slot
        :param all_views: every endpoint that could run it
        :return: those in the own region if any is free, else those that are worth the link
        """
        near = [view for view in free if not self.is_remote(view)]
        if near:
            return near
        ahead = sum(model_queue.queue.waiting_cost(r) for r in range(flight.identity.rank + 1))
        wait_s = self.expect_wait(model_queue, ahead + flight.remaining, all_views)
        return [view for view in free if self._is_worth(flight, wait_s, view)]

    def is_wanted(
        self,
        flight: Flight,
        age_s: float,
        model_queue: ModelQueue,
        views: Sequence[EndpointView],
        view: EndpointView,
    ) -> bool:
        """Tell whether queued work is to be offered to an endpoint.

        :param flight: what has waited longest
        :param age_s: seconds that it has waited
        :param lane: the queue
        :param views: every endpoint that could run it
        :param view: the endpoint
        :return: true within the region
        """
        if not self.is_remote(view):
            return True
        wait_s = max(age_s, self.expect_wait(model_queue, float(flight.remaining), views))
        return self._is_worth(flight, wait_s, view)

    def expect_wait(
        self, model_queue: ModelQueue, cost: float, views: Sequence[EndpointView]
    ) -> float:
        """Expect how long work waits for a slot of the own region.

        :param lane: the queue
        :param cost: tokens of all that goes first and of the work itself
        :param views: every endpoint that could run it
        :return: seconds; infinite if no endpoint of the region runs the model
        """
        near = [view for view in views if view.usable and not self.is_remote(view)]
        if not near:
            return math.inf
        # what the lane was served lately says little before its first answers and after a lull
        rate = max(model_queue.rate, sum(view.state.tokens_per_second for view in near))
        return cost / rate if rate > 0 else 0.0

    def is_remote(self, view: EndpointView) -> bool:
        """:return: whether an endpoint stands in another region."""
        return self._costs.is_remote(view.link.region)

    def _is_worth(self, flight: Flight, wait_s: float, view: EndpointView) -> bool:
        cost = self._costs.estimate(flight.request.prompt, flight.remaining, view)
        return cost.fits and wait_s > max(self._find_patience(flight), cost.seconds)

    def _find_patience(self, flight: Flight) -> float:
        if flight.interrupted_s is not None:
            return SPILL_WAIT_S
        rank = self._read_view().rank_by_order(flight.identity.rank)
        if not rank.first_token_target_s:
            return UNTARGETED_WAIT_S
        return max(SPILL_WAIT_S, TARGET_SHARE * rank.first_token_target_s)


__all__ = ["SPILL_WAIT_S", "SpilloverPolicy"]
