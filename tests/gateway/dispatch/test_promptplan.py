"""How engines get the prompts of calls; no network.

Pattern: the engine that has the prompt is full, leaves, or is far away, and the others can fetch
its cache in a hundredth of the time of a prefill.
"""

from __future__ import annotations

import random

import attrs
import pytest

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.dispatcher import Dispatcher
from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptAccess, PromptPlan
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import EndpointState, Reservation
from basilroad.gateway.route import EngineLimits
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route

ROUTE = build_stream_route()
FETCHING = attrs.evolve(ENGINE, kv_token_bytes=192_512.0, link_bits_per_s=1.5e12)
SLOW_LINK = attrs.evolve(FETCHING, link_bits_per_s=1e9)
CALL = build_call(ROUTE, prompt_key="p", resume_after="5")


def build_dispatcher(engine: EngineLimits = FETCHING) -> Dispatcher:
    """:return: dispatcher with two near engines, a far one and one of another version; ``e1`` has
    the prompt."""
    directory = Directory()
    directory.put(build_entry("e1", service="llm", slots=48))
    directory.put(build_entry("e2", service="llm", slots=48))
    directory.put(build_entry("far", service="llm", slots=48, data_centre="kurzeme-a"))
    directory.put(build_entry("new", service="llm", slots=48, version="v2"))
    dispatcher = Dispatcher(directory, Chooser(PLACE, random.Random(1)), lambda _: engine)
    holder = directory.get("e1")
    assert holder is not None
    dispatcher.prompt_locations.begin(CALL.cache_key, holder, 25.0)
    return dispatcher


def plan(dispatcher: Dispatcher, name: str) -> PromptPlan:
    endpoint = dispatcher.directory.get(name)
    assert endpoint is not None
    return dispatcher.plan_prompt(CALL, endpoint)


def test_the_engine_that_has_a_prompt_uses_its_cache() -> None:
    assert plan(build_dispatcher(), "e1") == PromptPlan(PromptAccess.CACHED, 0.0)


# fault: the prompt of a stream that was taken up elsewhere was read anew
def test_another_engine_fetches_the_prompt() -> None:
    dispatcher = build_dispatcher()
    near, far = plan(dispatcher, "e2"), plan(dispatcher, "far")
    assert near.access is far.access is PromptAccess.FETCHED
    assert near.source is dispatcher.directory.get("e1")
    assert 0.0 < near.duration_s < 0.02
    assert far.duration_s > near.duration_s


# fault: an engine of another software version would go on from a cache that it can't read
def test_no_engine_fetches_from_another_version() -> None:
    found = plan(build_dispatcher(), "new")
    assert found.access is PromptAccess.COMPUTED
    assert "version" in found.reason
    assert found.duration_s == CALL.size.prompt_tokens / PREFILL_TOKENS_PER_S


@pytest.mark.parametrize(("engine", "reason"), [(ENGINE, "can't fetch"), (SLOW_LINK, "faster")])
def test_engines_without_a_fast_link_compute_the_prompt(engine: EngineLimits, reason: str) -> None:
    found = plan(build_dispatcher(engine), "e2")
    assert found.access is PromptAccess.COMPUTED
    assert reason in found.reason


# fault: a call waited for a fetch from an engine that was gone or had lost its cache
@pytest.mark.parametrize(("change", "reason"), [("remove", "gone"), ("restart", "restarted")])
def test_an_engine_that_lost_the_prompt_is_no_source(change: str, reason: str) -> None:
    dispatcher = build_dispatcher()
    if change == "remove":
        dispatcher.directory.remove("e1")
    else:
        dispatcher.directory.put(build_entry("e1", service="llm", slots=48, started_ms=2))
    found = plan(dispatcher, "e2")
    assert found.access is PromptAccess.COMPUTED
    assert reason in found.reason


def test_an_engine_that_leaves_is_a_source() -> None:
    dispatcher = build_dispatcher()
    entry = build_entry("e1", service="llm", slots=48, state=EndpointState.DRAINING)
    dispatcher.directory.put(entry)
    assert plan(dispatcher, "e2").source is dispatcher.directory.get("e1")


def test_an_unknown_prompt_is_computed() -> None:
    dispatcher = build_dispatcher()
    endpoint = dispatcher.directory.get("e2")
    assert endpoint is not None
    found = dispatcher.plan_prompt(build_call(ROUTE, prompt_key="other"), endpoint)
    assert found.access is PromptAccess.COMPUTED
    assert found.source is None


# fault: a call waited for the engine that had its prompt, while another one could fetch it at once
async def test_a_call_does_not_wait_for_a_busy_engine_that_has_its_prompt() -> None:
    dispatcher = build_dispatcher()
    holder = dispatcher.directory.get("e1")
    assert holder is not None
    Reservation(holder, PromptSize(24_000, 1000))
    placed = await dispatcher.place(CALL, 0.0, version="v1")
    assert placed is not None
    assert placed.endpoint.id == "e2"


async def test_a_call_goes_to_the_engine_that_has_its_prompt_if_nothing_can_be_fetched() -> None:
    dispatcher = build_dispatcher(ENGINE)
    holder = dispatcher.directory.get("e1")
    assert holder is not None
    Reservation(holder, PromptSize(4000, 1000))
    placed = await dispatcher.place(CALL, 0.0, version="v1")
    assert placed is not None
    assert placed.endpoint is holder


# fault: a prompt that needed no prefill kept other calls from its engine; its transfer counted none
async def test_a_prompt_that_is_fetched_counts_as_its_transfer() -> None:
    dispatcher = build_dispatcher()
    placed = await dispatcher.place(CALL, 0.0, ["e1"], version="v1")
    assert placed is not None
    transfer_s = dispatcher.plan_prompt(CALL, placed.endpoint).duration_s
    assert 0.0 < transfer_s < 0.02
    transfer_tokens = round(transfer_s * PREFILL_TOKENS_PER_S)
    assert placed.endpoint.load.pending_prefill_tokens == transfer_tokens
    placed.record_started()
    assert placed.endpoint.load.pending_prefill_tokens == 0
    # another call counts its whole prompt
    other = await dispatcher.place(build_call(ROUTE, prompt_key="other"), 0.0)
    assert other is not None
    assert other.endpoint.load.pending_prefill_tokens == CALL.size.prompt_tokens


# fault: one engine was given all prompts that were fetched at a time
async def test_prompts_that_are_fetched_at_a_time_are_spread() -> None:
    dispatcher = build_dispatcher(attrs.evolve(FETCHING, link_bits_per_s=3e10))
    holder = dispatcher.directory.get("e1")
    assert holder is not None
    Reservation(holder, PromptSize(60_000, 1000))
    placed = [await dispatcher.place(CALL, 0.0, version="v1") for _ in range(6)]
    counts = [
        sum(p is not None and p.endpoint.id == name for p in placed) for name in ("e2", "far")
    ]
    assert min(counts) >= 2
