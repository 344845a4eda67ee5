"""Endpoint scoring for routing decisions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from basilroad.logs import Candidate, Decision, log_decision
from basilroad.world.prefix import BLOCK_WORDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.entry.dispatch.prefixes import PrefixIndex
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import EndpointView
    from basilroad.entry.links.linkcost import LinkCosts

FULL_LOAD_COST_S = 0.3
"""Score penalty of a full endpoint over an idle one, in seconds."""

PREFILL_TOKEN_COST_S = 0.0005
"""Prefill time of one prompt token, in seconds."""

CROSS_DATA_CENTRE_COST_S = 0.002
"""Score penalty of another data centre, in seconds; other regions add the link cost."""

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Scorer:
    """Scores endpoints; the lowest score is best.

    :param data_centre: data centre of this entry
    :param costs: costs of the links to other regions
    :param prefixes: estimated contents of the endpoints' prefix caches
    """

    data_centre: str
    costs: LinkCosts
    prefixes: PrefixIndex

    def score(self, flight: Flight, views: Sequence[EndpointView]) -> list[Candidate]:
        """Score endpoints for one request.

        :param flight: the request
        :param views: the endpoints
        :return: one candidate per endpoint, best first
        """
        candidates = [self._score_one(flight, view) for view in views]
        return sorted(candidates, key=lambda c: (c.score, c.endpoint))

    def _score_one(self, flight: Flight, view: EndpointView) -> Candidate:
        state = view.state
        load = (state.running + state.reserved + view.unreported_work) / max(1, state.slots)
        prefixes = flight.request.prefixes
        blocks = len(prefixes) - self.prefixes.count_cached_blocks(view.name, prefixes)
        parts = {
            "load": FULL_LOAD_COST_S * load,
            "prefill": PREFILL_TOKEN_COST_S * blocks * BLOCK_WORDS,
            "distance": self._measure_distance(flight, view),
        }
        return Candidate(view.name, sum(parts.values()), parts)

    def _measure_distance(self, flight: Flight, view: EndpointView) -> float:
        hello = view.link.hello
        if hello is not None and hello.data_centre == self.data_centre:
            return 0.0
        cost = self.costs.estimate(flight.request.prompt, flight.remaining, view)
        return CROSS_DATA_CENTRE_COST_S + cost.seconds


def log_route(flight: Flight, chosen: str, candidates: Sequence[Candidate], reason: str) -> None:
    """Log the endpoint chosen for a request's next attempt.

    :param flight: the request
    :param chosen: name of the endpoint
    :param candidates: scored endpoints, best first
    :param reason: why the endpoint was chosen
    """
    decision = Decision(
        what="route",
        request=flight.key.hex(),
        generation=flight.generation,
        attempt=flight.attempts + 1,
        chosen=chosen,
        candidates=tuple(candidates),
        reason=reason,
    )
    log_decision(_LOGGER, decision)


__all__ = [
    "CROSS_DATA_CENTRE_COST_S",
    "FULL_LOAD_COST_S",
    "PREFILL_TOKEN_COST_S",
    "Scorer",
    "log_route",
]
