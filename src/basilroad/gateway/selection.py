"""Choice of the endpoint for a call."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.preference import EnginePreference

if TYPE_CHECKING:
    from basilroad.gateway.call import Call, PromptSize
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.promptlocations import PromptLocation
    from basilroad.gateway.route import EngineLimits

READ_TOKENS_PER_S = 8000.0
"""Prompt tokens that an engine reads in a second, as the fleets' sheets state."""

GENERATION_SLOWDOWN_S = 0.05
"""Seconds that each generation beside it adds to a call's wait: its share of the engine's steps
while a prompt is read."""

PLAIN_WORK_S = 0.03
"""Seconds that a call of a plain service takes, about the mean of the fleets' sheets."""

FAILURE_COST_S = 0.5
"""Seconds that a certain failure counts as: the try that follows it."""

DOUBT_S = 4.0
"""Seconds for which a loss casts doubt on the endpoints beside it; entries of crashed endpoints
stay listed for three heartbeats."""

DOUBT_COST_S = 0.5
"""Seconds that such a doubt counts as: more than the difference between loads, so that a sound
data centre goes first."""

DATA_CENTRE_COST_S = 0.002
"""Seconds that another data centre of the region counts as: the way there and back."""

REGION_COST_S = 0.08
"""Seconds that another region counts as: the way there and back, twice, as its link is paid."""

DETOUR_S = 0.25
"""Seconds that a whole ring away from a gateway's territory counts as, a quarter of the time that a
prompt of mean size takes to read: a gateway leaves its territory for an engine that reads nothing,
or runs some generations less."""

DETOUR_HOSTS = 6
"""Gateways up to which that is enough, as many as hear of a load in one round; the root of more of
them widens it, since they choose from older views of the same engines."""

CHANCE_S = 0.25
"""Spread of chance between engines while no other gateway of the region is heard, in place of a
territory."""

TIE_S = 0.02
"""Spread of chance that decides between engines that are equal otherwise."""

MEMORY_SHARE = 0.95
"""Share of an engine's memory that reservations may take; estimates of output are rough."""


@attrs.frozen
class Locality:
    """Where a gateway stands.

    :param data_centre: its data centre
    :param region: its region
    :param regions: region of each data centre
    """

    data_centre: str
    region: str
    regions: dict[str, str]

    def distance_s(self, data_centre: str) -> float:
        """:return: cost in seconds of an endpoint in a data centre."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return DATA_CENTRE_COST_S
        return REGION_COST_S


def has_room(endpoint: Endpoint, size: PromptSize, engine: EngineLimits | None) -> bool:
    """Tell whether an endpoint can hold one more call, for all that is known.

    :param endpoint: the endpoint
    :param size: tokens of the call
    :param engine: limits of its engine, ``None`` for a plain service
    :return: whether slots and memory suffice
    """
    load, remote = endpoint.load, endpoint.remote
    if engine is None:
        # a plain service keeps a short queue of its own
        return load.calls + remote.calls < 2 * endpoint.entry.slots
    if load.calls + remote.calls >= min(engine.slots, endpoint.entry.slots):
        return False
    taken = count_memory(endpoint)
    return taken + size.total <= MEMORY_SHARE * engine.memory_tokens or taken == 0


def count_memory(endpoint: Endpoint) -> int:
    """:return: tokens of an engine's memory that are promised, as far as is known."""
    return endpoint.load.memory_tokens + endpoint.remote.memory_tokens


def estimate_wait(endpoint: Endpoint, size: PromptSize) -> float:
    """Estimate the seconds until a call's answer begins at an endpoint.

    :param endpoint: the endpoint
    :param size: tokens of the call
    :return: seconds, without the way there
    """
    load, remote = endpoint.load, endpoint.remote
    calls = load.calls + remote.calls
    if not size.total:
        beyond = max(0, calls + 1 - endpoint.entry.slots)
        # each call slows the others a little even while slots are free
        return PLAIN_WORK_S * (beyond + 0.2 * calls) / max(1, endpoint.entry.slots)
    unread = load.unread_tokens + remote.unread_tokens
    return unread / READ_TOKENS_PER_S + calls * GENERATION_SLOWDOWN_S


def find_losses(endpoints: Iterable[Endpoint]) -> dict[str, float]:
    """:return: when an endpoint was last lost, by data centre."""
    losses: dict[str, float] = {}
    for endpoint in endpoints:
        data_centre = endpoint.entry.data_centre
        losses[data_centre] = max(losses.get(data_centre, -math.inf), endpoint.lost_at)
    return losses


def weigh_doubt(endpoint: Endpoint, losses: Mapping[str, float], now: float) -> float:
    """Weigh that an endpoint may be lost along with one beside it.

    :param endpoint: the endpoint
    :param losses: when an endpoint was last lost, by data centre
    :param now: monotonic seconds
    :return: cost in seconds; 0 for an endpoint heard or listed since
    """
    lost_at = losses[endpoint.entry.data_centre]
    seen_at = max(endpoint.heard_at, endpoint.listed_at)
    return DOUBT_COST_S if seen_at <= lost_at and now - lost_at < DOUBT_S else 0.0


def weigh_memory(endpoint: Endpoint, size: PromptSize, read_at: PromptLocation | None) -> float:
    """Weigh that an endpoint still has a prompt in its memory.

    :param endpoint: the endpoint
    :param size: tokens of the call
    :param read_at: where its prompt was read lately
    :return: seconds of reading that are saved
    """
    if read_at is None or read_at.endpoint_id != endpoint.id:
        return 0.0
    if endpoint.listed_at > read_at.seen_at:
        return 0.0
    return size.prompt_tokens / READ_TOKENS_PER_S


@attrs.frozen
class Chooser:
    """Chooses endpoints for one gateway.

    :param place: where the gateway stands
    :param generator: source of chance
    :param count_hosts: how many gateways choose among the same endpoints
    :param find_territory: which engines this one prefers
    """

    place: Locality
    generator: random.Random = attrs.field(factory=random.Random)
    count_hosts: Callable[[], int] = lambda: 1
    find_preference: Callable[[], EnginePreference] = EnginePreference

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        call: Call,
        engine: EngineLimits | None,
        now: float,
        avoid: Collection[str] = (),
        read_at: PromptLocation | None = None,
    ) -> Endpoint | None:
        """Choose where a call runs.

        :param endpoints: endpoints of its service
        :param call: the call
        :param engine: limits of the service's engines
        :param now: monotonic seconds
        :param avoid: endpoints that won't do
        :param read_at: where its prompt was read lately
        :return: the best one with room, if there is one
        """
        best, best_score = None, math.inf
        endpoints = list(endpoints)
        losses = find_losses(endpoints)
        detours = self.find_detours(endpoints) if engine is not None else {}
        for endpoint in endpoints:
            if endpoint.id in avoid or not endpoint.is_available(now):
                continue
            if not has_room(endpoint, call.size, engine):
                continue
            score = self.score(endpoint, call, now) + weigh_doubt(endpoint, losses, now)
            score += detours.get(endpoint.id, 0.0)
            score -= weigh_memory(endpoint, call.size, read_at)
            if score < best_score:
                best, best_score = endpoint, score
        return best

    def score(self, endpoint: Endpoint, call: Call, now: float) -> float:
        """:return: cost in seconds of running a call at an endpoint; lower is better."""
        distance_s = self.place.distance_s(endpoint.entry.data_centre)
        failure_s = FAILURE_COST_S * endpoint.failing(now)
        return estimate_wait(endpoint, call.size) + distance_s + failure_s

    def find_detours(self, endpoints: Iterable[Endpoint]) -> dict[str, float]:
        """Weigh which engines this gateway leaves to others.

        :param endpoints: the engines
        :return: seconds that each counts worse, by its id
        """
        preference = self.find_preference()
        if not preference.is_shared:
            return {endpoint.id: self.generator.uniform(0, CHANCE_S) for endpoint in endpoints}
        ring_s = DETOUR_S * math.sqrt(max(1.0, self.count_hosts() / DETOUR_HOSTS))
        shares = preference.measure(endpoints, self.place.regions)
        return {
            endpoint_id: ring_s * share + self.generator.uniform(0, TIE_S)
            for endpoint_id, share in shares.items()
        }

    def choose_copy_holder(
        self,
        endpoints: Iterable[Endpoint],
        runs_at: Endpoint,
        size: PromptSize,
        engine: EngineLimits,
        now: float,
    ) -> Endpoint | None:
        """Choose where a copy of a run's memory is kept.

        :param endpoints: endpoints of the service
        :param runs_at: where it runs; its data centre may be lost with it
        :param size: tokens of the run
        :param engine: limits of the service's engines
        :param now: monotonic seconds
        :return: an endpoint of another data centre with room, if there is one: rather not one in
            doubt, and the one with most room, as a copy needs no work
        """
        endpoints = list(endpoints)
        losses = find_losses(endpoints)
        elsewhere = [
            endpoint
            for endpoint in endpoints
            if endpoint.entry.data_centre != runs_at.entry.data_centre
            and endpoint.is_available(now)
            and has_room(endpoint, size, engine)
        ]
        if not elsewhere:
            return None
        return min(
            elsewhere,
            key=lambda e: (weigh_doubt(e, losses, now), count_memory(e), self.generator.random()),
        )


__all__ = ["Chooser", "Locality", "estimate_wait", "has_room"]
