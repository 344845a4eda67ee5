"""How an engine gets the prompt of a call: from its memory, from another engine, or by prefill."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.promptlocations import PromptLocations
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits

PREFILL_TOKENS_PER_S = 8000.0
"""Prefill rate of an engine, as specified for the fleets."""

OTHER_DATA_CENTRE_FACTOR = 2.0
"""Time of a transfer between data centres, relative to one within a data centre."""


class PromptAccess(enum.Enum):
    """How an engine gets a prompt: ``COPIED`` means that it holds a backup of the stream."""

    CACHED = "cached"
    COPIED = "copied"
    FETCHED = "fetched"
    COMPUTED = "computed"


@attrs.frozen
class PromptHolder:
    """Engine that ran a prompt last, as far as it can be used.

    :param endpoint: the engine; ``None`` if there is none
    :param reason: why there is none
    """

    endpoint: Endpoint | None = None
    reason: str = "not known"


@attrs.frozen
class PromptPlan:
    """How one engine gets a prompt.

    :param access: from where
    :param duration_s: expected seconds
    :param source: engine from which it is fetched
    :param reason: why it is computed
    """

    access: PromptAccess
    duration_s: float
    source: Endpoint | None = None
    reason: str = ""

    def without_source(self, reason: str) -> PromptPlan:
        """:return: the plan to compute the prompt, as it can't be fetched."""
        return PromptPlan(PromptAccess.COMPUTED, self.duration_s, reason=reason)


COPIED = PromptPlan(PromptAccess.COPIED, 0.0)
"""Plan at an engine that holds a backup of the stream."""


def find_holder(call: Call, locations: PromptLocations, directory: Directory) -> PromptHolder:
    """Find the engine that has the prompt of a call.

    :param call: the call
    :param locations: known locations of prompts
    :param directory: known endpoints
    :return: the engine, unless it is gone or has restarted
    """
    location = locations.find(call.cache_key)
    if location is None:
        return PromptHolder()
    endpoint = directory.get(location.endpoint_id)
    if endpoint is None:
        return PromptHolder(reason="its engine is gone")
    if not location.is_at(endpoint.entry.lifetime):
        return PromptHolder(reason="its engine has restarted")
    return PromptHolder(endpoint)


def plan_prompt(
    endpoint: Endpoint, call: Call, engine: EngineLimits | None, holder: PromptHolder
) -> PromptPlan:
    """Plan how an engine gets the prompt of a call.

    :param endpoint: the engine
    :param call: the call
    :param engine: limits of the engines of its service
    :param holder: engine that has the prompt
    :return: the fastest way
    """
    tokens, source = call.size.prompt_tokens, holder.endpoint
    computed_s = tokens / PREFILL_TOKENS_PER_S
    if source is None:
        return PromptPlan(PromptAccess.COMPUTED, computed_s, reason=holder.reason)
    if source is endpoint:
        return PromptPlan(PromptAccess.CACHED, 0.0)
    if source.entry.version != endpoint.entry.version:
        reason = "its engine has another software version"
        return PromptPlan(PromptAccess.COMPUTED, computed_s, reason=reason)
    if engine is None or not engine.can_fetch:
        return PromptPlan(PromptAccess.COMPUTED, computed_s, reason="engines can't fetch")
    fetched_s = engine.estimate_transfer(tokens)
    if source.entry.data_centre != endpoint.entry.data_centre:
        fetched_s *= OTHER_DATA_CENTRE_FACTOR
    if fetched_s >= computed_s:
        return PromptPlan(PromptAccess.COMPUTED, computed_s, reason="prefill is faster")
    return PromptPlan(PromptAccess.FETCHED, fetched_s, source)


__all__ = [
    "COPIED",
    "PREFILL_TOKENS_PER_S",
    "PromptAccess",
    "PromptHolder",
    "PromptPlan",
    "find_holder",
    "plan_prompt",
]
