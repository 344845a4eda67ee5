"""Endpoint selection."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping
from operator import itemgetter
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.dispatch.preference import EnginePreference
from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptHolder, plan_prompt

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, PromptSize
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits

GENERATION_SLOWDOWN_S = 0.05
"""Delay that each concurrent generation adds to a call: its share of the engine's steps during
prefill."""

PLAIN_CALL_DURATION_S = 0.03
"""Duration of a call of a plain service, about the mean specified for the fleets."""

FAILURE_COST_S = 0.5
"""Cost at a failure rate of 1: the retry that follows each failure."""

SUSPICION_DURATION_S = 4.0
"""Time for which a failed endpoint makes the others of its data centre suspect; crashed endpoints
stay listed for three heartbeats."""

SUSPICION_COST_S = 0.5
"""Cost of a suspect endpoint: more than usual load differences, so that a healthy data centre is
preferred."""

DATA_CENTRE_COST_S = 0.002
"""Cost of another data centre in the region: one round trip."""

REGION_COST_S = 0.08
"""Cost of another region: two round trips, since traffic between regions is charged."""

RING_DISTANCE_COST_S = 0.25
"""Cost of a full turn of the ring from a gateway's position, a quarter of the prefill time of a
mean prompt: a gateway still prefers a distant engine that has no prefill pending or that runs
some generations fewer."""

RING_DISTANCE_HOSTS = 6
"""Number of gateways up to which that cost is enough, as many as one gossip round reaches; beyond
it the cost grows with the square root, since gateways then select from older load reports."""

PERMIT_COST_S = 0.005
"""Cost of asking for the permit of an endpoint that named a limit, beyond the round trip to the
grantor, which is in the region of the endpoint."""

LIMIT_REFRESH_S = 1.0
"""Time after the last response of an endpoint that named a limit after which it is preferred: else
the end of the limit would never show while others have room."""

LIMIT_REFRESH_BONUS_S = 0.05
"""Cost that such an endpoint is allowed beyond that of others, less than that of another region."""

RANDOM_SPREAD_S = 0.25
"""Random cost spread between engines while no other gateway of the region is known, in place of
ring distances."""

TIE_BREAK_SPREAD_S = 0.02
"""Random cost spread that breaks ties between otherwise equal engines."""

MAX_MEMORY_SHARE = 0.95
"""Share of an engine's memory that may be reserved; output estimates are rough."""


NO_HOLDER = PromptHolder()


@attrs.frozen
class Locality:
    """Location of a gateway.

    :param data_centre: its data centre
    :param region: its region
    :param regions: region of each data centre
    """

    data_centre: str
    region: str
    regions: dict[str, str]

    def distance_s(self, data_centre: str) -> float:
        """:return: cost in seconds of using a data centre."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return DATA_CENTRE_COST_S
        return REGION_COST_S


def has_room(endpoint: Endpoint, size: PromptSize, engine: EngineLimits | None, now: float) -> bool:
    """Check whether an endpoint has capacity for one more call, as far as its load is known.

    :param endpoint: the endpoint
    :param size: tokens of the call
    :param engine: limits of its engine, ``None`` for a plain service
    :param now: monotonic seconds
    :return: whether enough slots and memory are free
    """
    load = endpoint.estimate_load(now)
    if engine is None:
        # a plain service has a short queue of its own
        return load.calls < 2 * endpoint.entry.slots
    if load.calls >= min(engine.slots, endpoint.entry.slots):
        return False
    taken = load.memory_tokens
    return taken + size.total <= MAX_MEMORY_SHARE * engine.memory_tokens or taken == 0


def estimate_wait(endpoint: Endpoint, size: PromptSize, now: float) -> float:
    """Estimate the time until an endpoint starts to answer a call.

    :param endpoint: the endpoint
    :param size: tokens of the call
    :param now: monotonic seconds
    :return: seconds, without network latency
    """
    load = endpoint.estimate_load(now)
    if not size.total:
        beyond = max(0, load.calls + 1 - endpoint.entry.slots)
        # each call slows the others slightly even while slots are free
        return PLAIN_CALL_DURATION_S * (beyond + 0.2 * load.calls) / max(1, endpoint.entry.slots)
    prefill_s = load.pending_prefill_tokens / PREFILL_TOKENS_PER_S
    return prefill_s + load.calls * GENERATION_SLOWDOWN_S


def find_last_failures(endpoints: Iterable[Endpoint]) -> dict[str, float]:
    """:return: time of the last endpoint failure by data centre."""
    failures: dict[str, float] = {}
    for endpoint in endpoints:
        data_centre = endpoint.entry.data_centre
        failures[data_centre] = max(failures.get(data_centre, -math.inf), endpoint.last_failed_at)
    return failures


def estimate_suspicion_cost(endpoint: Endpoint, failures: Mapping[str, float], now: float) -> float:
    """Estimate the cost of an endpoint whose data centre had a failure.

    :param endpoint: the endpoint
    :param failures: time of the last endpoint failure by data centre
    :param now: monotonic seconds
    :return: cost in seconds; 0 if data arrived from the endpoint or it was listed since
    """
    last_failed_at = failures[endpoint.entry.data_centre]
    last_seen_at = max(endpoint.last_received_at, endpoint.listed_at)
    return (
        SUSPICION_COST_S
        if last_seen_at <= last_failed_at and now - last_failed_at < SUSPICION_DURATION_S
        else 0.0
    )


def estimate_prefill_savings(
    endpoint: Endpoint, call: Call, engine: EngineLimits | None, holder: PromptHolder
) -> float:
    """Estimate the prefill time saved if an endpoint gets a prompt from a cache.

    :param endpoint: the endpoint
    :param call: the call
    :param engine: limits of the service's engines
    :param holder: engine that has the prompt
    :return: seconds
    """
    if holder.endpoint is None:
        return 0.0
    prefill_s = call.size.prompt_tokens / PREFILL_TOKENS_PER_S
    return prefill_s - plan_prompt(endpoint, call, engine, holder).duration_s


@attrs.frozen
class Chooser:
    """Selects endpoints for one gateway.

    :param place: location of the gateway
    :param generator: random number generator
    :param count_hosts: returns the number of gateways that use the same endpoints
    :param find_preference: returns the engine preference of this gateway
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
        holder: PromptHolder = NO_HOLDER,
    ) -> Endpoint | None:
        """Select the endpoint for a call.

        :param endpoints: endpoints of its service
        :param call: the call
        :param engine: limits of the service's engines
        :param now: monotonic seconds
        :param avoid: excluded endpoints
        :param holder: engine that has its prompt
        :return: the endpoint of least cost that has capacity, if any
        """
        scored = self.list_scored(endpoints, call, engine, now, avoid, holder)
        return min(scored, key=itemgetter(0), default=(0.0, None))[1]

    def list_scored(
        self,
        endpoints: Iterable[Endpoint],
        call: Call,
        engine: EngineLimits | None,
        now: float,
        avoid: Collection[str] = (),
        holder: PromptHolder = NO_HOLDER,
    ) -> list[tuple[float, Endpoint]]:
        """List the endpoints that have capacity for a call.

        :param endpoints: endpoints of its service
        :param call: the call
        :param engine: limits of the service's engines
        :param now: monotonic seconds
        :param avoid: excluded endpoints
        :param holder: engine that has its prompt
        :return: cost in seconds and endpoint, in no order
        """
        scored = []
        endpoints = list(endpoints)
        failures = find_last_failures(endpoints)
        ring_costs = self.compute_ring_costs(endpoints) if engine is not None else {}
        for endpoint in endpoints:
            if endpoint.id in avoid or not endpoint.is_available(now):
                continue
            if call.needs_confirmed_start and now < endpoint.unconfirmed_until:
                continue
            if not has_room(endpoint, call.size, engine, now):
                continue
            score = self.score(endpoint, call, now) + estimate_suspicion_cost(
                endpoint, failures, now
            )
            score += ring_costs.get(endpoint.id, 0.0)
            score -= estimate_prefill_savings(endpoint, call, engine, holder)
            scored.append((score, endpoint))
        return scored

    def score(self, endpoint: Endpoint, call: Call, now: float) -> float:
        """:return: cost in seconds of running a call at an endpoint; lower is better."""
        distance_s = self.place.distance_s(endpoint.entry.data_centre)
        limit = endpoint.notices.limit
        if now < limit.ends_at:
            if limit.named.age_s(now) > LIMIT_REFRESH_S:
                distance_s -= LIMIT_REFRESH_BONUS_S
            elif not limit.has_permit(now):
                distance_s += PERMIT_COST_S + distance_s
        failure_s = FAILURE_COST_S * endpoint.failure_rate(now)
        return estimate_wait(endpoint, call.size, now) + distance_s + failure_s

    def compute_ring_costs(self, endpoints: Iterable[Endpoint]) -> dict[str, float]:
        """Compute the cost of each engine by its ring distance from this gateway.

        :param endpoints: the engines
        :return: cost in seconds by engine id
        """
        preference = self.find_preference()
        if not preference.is_shared:
            return {
                endpoint.id: self.generator.uniform(0, RANDOM_SPREAD_S) for endpoint in endpoints
            }
        ring_s = RING_DISTANCE_COST_S * math.sqrt(
            max(1.0, self.count_hosts() / RING_DISTANCE_HOSTS)
        )
        shares = preference.measure(endpoints, self.place.regions)
        return {
            endpoint_id: ring_s * share + self.generator.uniform(0, TIE_BREAK_SPREAD_S)
            for endpoint_id, share in shares.items()
        }

    def choose_backup_endpoint(
        self,
        endpoints: Iterable[Endpoint],
        runs_at: Endpoint,
        size: PromptSize,
        engine: EngineLimits,
        now: float,
    ) -> Endpoint | None:
        """Select the endpoint that keeps a backup of a run's KV cache.

        :param endpoints: endpoints of the service
        :param runs_at: where it runs; its data centre may fail as a whole
        :param size: tokens of the run
        :param engine: limits of the service's engines
        :param now: monotonic seconds
        :return: an endpoint of the same version in another data centre, with capacity and without
            a limit, if any: preferably not a suspect one, then the one with most free memory, as a
            backup needs no computation
        """
        endpoints = list(endpoints)
        failures = find_last_failures(endpoints)
        elsewhere = [
            endpoint
            for endpoint in endpoints
            if endpoint.entry.data_centre != runs_at.entry.data_centre
            and endpoint.entry.version == runs_at.entry.version
            and endpoint.is_available(now)
            and not endpoint.notices.limit.is_in_force(now)
            and has_room(endpoint, size, engine, now)
        ]
        if not elsewhere:
            return None
        return min(
            elsewhere,
            key=lambda e: (
                estimate_suspicion_cost(e, failures, now),
                e.estimate_load(now).memory_tokens,
                self.generator.random(),
            ),
        )


__all__ = ["Chooser", "Locality", "estimate_wait", "has_room"]
