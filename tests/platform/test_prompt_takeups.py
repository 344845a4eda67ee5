"""Streams taken up at another gateway find their prompts in the caches of engines."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from support.promptrig import PROMPT_TOKENS, PromptFleet
from support.streamcaller import OK

pytestmark = pytest.mark.by_turns

LONG_S = 12.0
"""Time for which a stream has run, several times that between the send of a prompt and its end."""

STREAMS = 4
"""Streams of one test, whose prompts have different keepers."""

ASK_LIMIT_S = 0.25
"""Time that the question to keepers which don't reply may add to the first event."""


@pytest.fixture
async def fleet() -> AsyncIterator[PromptFleet]:
    fleet = PromptFleet()
    await fleet.start()
    yield fleet
    await fleet.stop()


# fault: a gateway took a prompt to be cached for 6 s from its send, so that the prompts of longer
# streams were read anew when another gateway took them up
async def test_the_prompt_of_a_long_stream_is_not_read_anew(fleet: PromptFleet) -> None:
    first, second, _ = fleet.gateways
    holder = fleet.engines[0]
    callers = await fleet.begin_at(first, holder, STREAMS)
    fleet.skip(LONG_S)
    await fleet.kill(first)
    await fleet.wait_cut(callers)
    await fleet.crowd(second, holder)
    await fleet.take_up(second, *callers)
    assert all(caller.is_whole for caller in callers)
    assert fleet.count_read() == STREAMS * PROMPT_TOKENS


# fault: the locations of prompts left with the gateways that knew them
async def test_a_planned_stop_hands_over_the_locations(fleet: PromptFleet) -> None:
    old, holder = list(fleet.gateways), fleet.engines[0]
    callers = await fleet.begin_at(old[0], holder, STREAMS)
    for _ in range(2):
        last = await fleet.add_gateway()
    fleet.skip(LONG_S)
    await fleet.stop_planned(*old)
    await fleet.wait_cut(callers)
    await fleet.crowd(last, holder)
    await fleet.take_up(last, *callers)
    assert all(caller.is_whole for caller in callers)
    assert fleet.count_read() == STREAMS * PROMPT_TOKENS


# fault: a gateway that had started after the send of a prompt did not know its location
async def test_a_new_gateway_asks_those_that_know_after_a_kill(fleet: PromptFleet) -> None:
    killed, holder = fleet.gateways[0], fleet.engines[0]
    callers = await fleet.begin_at(killed, holder, STREAMS)
    await fleet.kill(killed)
    await fleet.wait_cut(callers)
    new = await fleet.add_gateway()
    await fleet.crowd(new, holder)
    fleet.skip(LONG_S)
    await fleet.take_up(new, *callers)
    assert all(caller.is_whole for caller in callers)
    assert fleet.count_read() == STREAMS * PROMPT_TOKENS


# fault: a gateway that knows nothing of a prompt might wait for those that were killed with it
async def test_streams_are_served_whole_after_a_kill_of_all_gateways(fleet: PromptFleet) -> None:
    holder = fleet.engines[0]
    callers = await fleet.begin_at(fleet.gateways[0], holder, STREAMS)
    await fleet.kill(*fleet.gateways)
    await fleet.wait_cut(callers)
    new = await fleet.add_gateway()
    fleet.set_full(holder)
    await fleet.take_up(new, *callers)
    assert all(caller.is_whole for caller in callers)
    assert [caller.tries[1].status for caller in callers] == [OK] * STREAMS
    assert fleet.count_read() == 2 * STREAMS * PROMPT_TOKENS
    assert not fleet.list_fetches()


@pytest.mark.parametrize("end", ["stopped", "unlisted", "silent"])
async def test_a_stream_goes_on_when_the_holder_is_gone(fleet: PromptFleet, end: str) -> None:
    # fault: a take-up might insist on the engine that had its prompt
    first, second, _ = fleet.gateways
    (caller,) = await fleet.begin(first)
    holder = fleet.find_engine(caller)
    await fleet.kill(first)
    await fleet.wait_cut([caller])
    if end == "silent":
        holder.silent = True
    else:
        await holder.stop()
    if end == "unlisted":
        fleet.unlist_engine(holder)
        await fleet.wait_unlisted(holder)
    await fleet.take_up(second, caller)
    assert caller.is_whole
    assert len(caller.tries) == 2
    assert fleet.count_read() == 2 * PROMPT_TOKENS


# fault: a prompt was read anew when the engine that had it in its cache was full
async def test_a_prompt_is_fetched_when_the_holder_is_full(fleet: PromptFleet) -> None:
    first, second, _ = fleet.gateways
    (caller,) = await fleet.begin(first)
    holder = fleet.find_engine(caller)
    fleet.skip(LONG_S)
    await fleet.kill(first)
    await fleet.wait_cut([caller])
    fleet.set_full(holder)
    await fleet.take_up(second, caller)
    assert caller.is_whole
    assert fleet.find_engine(caller) is not holder
    assert fleet.count_read() == PROMPT_TOKENS
    (fetch,) = fleet.list_fetches()
    assert fetch.headers["kv-fetch"] == f"{holder.ip}:{holder.port}"
    assert sum(engine.prompts.tokens_fetched for engine in fleet.engines) == PROMPT_TOKENS


# fault: the cache of an engine might be taken to outlive it
async def test_a_holder_that_has_restarted_is_no_source(fleet: PromptFleet) -> None:
    first, second, _ = fleet.gateways
    (caller,) = await fleet.begin(first)
    holder = fleet.find_engine(caller)
    await fleet.kill(first)
    await fleet.wait_cut([caller])
    await holder.release(holder.version)
    fleet.list_engine(holder)
    await fleet.wait_listed(holder)
    fleet.set_full(holder)
    await fleet.take_up(second, caller)
    assert caller.is_whole
    assert not fleet.list_fetches()
    assert fleet.count_read() == 2 * PROMPT_TOKENS


# fault: a cache made with other weights might be used
async def test_a_holder_of_another_version_is_no_source(fleet: PromptFleet) -> None:
    first, second, _ = fleet.gateways
    (caller,) = await fleet.begin(first)
    holder = fleet.find_engine(caller)
    for engine in fleet.list_others(holder):
        await engine.release("v2")
        fleet.list_engine(engine)
        await fleet.wait_listed(engine)
    fleet.set_full(holder)
    repeated = fleet.add_caller(caller.number)
    await fleet.send(repeated, second, X_Attempt_Id="repeated")
    assert repeated.is_whole
    assert repeated.versions == {"v2"}
    assert not fleet.list_fetches()
    assert fleet.count_read() == 2 * PROMPT_TOKENS


# fault: of two take-ups of one stream, only one might find its prompt
async def test_two_take_ups_at_once_find_the_prompt(fleet: PromptFleet) -> None:
    first, *others = fleet.gateways
    holder = fleet.engines[0]
    callers = await fleet.begin_at(first, holder, STREAMS)
    fleet.skip(LONG_S)
    await fleet.kill(first)
    await fleet.wait_cut(callers)
    await fleet.crowd(others[0], holder)
    again = []
    for caller in callers:
        copy = fleet.add_caller(caller.number)
        copy.events, copy.begun_by = list(caller.events), caller.begun_by
        again.append(copy)
    await asyncio.gather(
        fleet.take_up(others[0], *callers),
        *(fleet.send(copy, others[1], X_Attempt_Id=f"copy-{copy.number}") for copy in again),
    )
    assert all(caller.is_whole for caller in [*callers, *again])
    assert fleet.count_read() == STREAMS * PROMPT_TOKENS


# fault: prompts of two workspaces with the same name counted as one
async def test_another_workspace_fetches_nothing(fleet: PromptFleet) -> None:
    first, second, _ = fleet.gateways
    (caller,) = await fleet.begin(first)
    fleet.set_full(fleet.find_engine(caller))
    for key, fetches in (("other-key", 0), ("key", 1)):
        repeated = fleet.add_caller(caller.number)
        await fleet.send(repeated, second, X_Key=key, X_Attempt_Id=f"repeated-{key}")
        assert repeated.is_whole
        assert len(fleet.list_fetches()) == fetches


# fault: the prompt of another workspace with the same name decided on the engine of a call
async def test_another_workspace_is_not_placed_by_a_prompt() -> None:
    fleet = PromptFleet(can_fetch=False)
    await fleet.start()
    first, second, _ = fleet.gateways
    holder = fleet.engines[0]
    (caller,) = await fleet.begin_at(first, holder)
    await fleet.crowd(second, holder)
    placed = {}
    for key in ("other-key", "key"):
        repeated = fleet.add_caller(caller.number)
        sent = asyncio.ensure_future(
            fleet.send(repeated, second, X_Key=key, X_Attempt_Id=f"repeated-{key}")
        )
        while not repeated.events:
            await asyncio.sleep(0.01)
        placed[key] = fleet.find_engine(repeated)
        sent.cancel()
    await fleet.stop()
    assert placed["other-key"] is not holder
    assert placed["key"] is holder


# fault: a stream might wait for gateways that don't reply
async def test_a_stream_goes_on_when_keepers_do_not_reply(fleet: PromptFleet) -> None:
    first, second, third = fleet.gateways
    callers = await fleet.begin(first, STREAMS)
    # what they know is out of date
    fleet.skip(1000 * LONG_S)
    await fleet.kill(first)
    await fleet.wait_cut(callers)
    assert third.gossip is not None
    third.gossip.datagram_received = lambda *_: None
    waits_s, taking_up = [], []
    for caller in callers:
        received, began = len(caller.events), time.monotonic()
        taking_up.append(asyncio.ensure_future(fleet.take_up(second, caller)))
        while len(caller.events) <= received:
            await asyncio.sleep(0.005)
        waits_s.append(time.monotonic() - began)
    await asyncio.gather(*taking_up)
    assert all(caller.is_whole for caller in callers)
    assert [len(caller.tries) for caller in callers] == [2] * STREAMS
    assert max(waits_s) < ASK_LIMIT_S, waits_s
