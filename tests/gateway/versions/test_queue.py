"""Queueing of streams that are bound to a software version; no network."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from basilroad.gateway.dispatch.dispatcher import Dispatcher
from basilroad.gateway.dispatch.selection import Chooser, estimate_prefill_savings
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.notices import Notice, Source
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route
from support.timelimit import await_within

ROUTE = build_stream_route()


@pytest.fixture
def dispatcher() -> Dispatcher:
    """:return: a dispatcher with one engine of each of two versions."""
    directory = Directory()
    directory.put(build_entry("e1", service="llm", slots=48, version="v1"))
    directory.put(build_entry("e2", service="llm", slots=48, version="v2"))
    return Dispatcher(directory, Chooser(PLACE, random.Random(1)), lambda _: ENGINE)


async def fill(dispatcher: Dispatcher, version: str) -> list:
    taken = []
    while (found := await dispatcher.place(build_call(ROUTE), 0.0, version=version)) is not None:
        taken.append(found)
    assert {r.endpoint.entry.version for r in taken} == {version}
    return taken


def start_waiting(dispatcher: Dispatcher, version: str | None = None, **changes: object):
    until = time.monotonic() + 5
    return asyncio.ensure_future(
        dispatcher.place(build_call(ROUTE, **changes), until, version=version)
    )


async def test_a_stream_that_waits_for_its_version_blocks_no_other(dispatcher: Dispatcher) -> None:
    # fault: new streams waited though other versions had room
    await fill(dispatcher, "v1")
    bound = start_waiting(dispatcher, "v1")
    await asyncio.sleep(0)
    assert dispatcher.has_room(build_call(ROUTE), ())
    placed = await await_within(start_waiting(dispatcher), 0.2)
    assert placed.endpoint.id == "e2"
    assert not bound.done()
    bound.cancel()


async def test_a_queued_stream_passes_one_that_waits_for_its_version(
    dispatcher: Dispatcher,
) -> None:
    await fill(dispatcher, "v1")
    taken = await fill(dispatcher, "v2")
    bound = start_waiting(dispatcher, "v1")
    await asyncio.sleep(0)
    other = start_waiting(dispatcher)
    await asyncio.sleep(0)
    assert dispatcher.waiting == 2
    dispatcher.release(taken[0])
    assert (await await_within(other, 0.2)).endpoint.id == "e2"
    assert not bound.done()
    bound.cancel()


async def test_new_streams_take_no_place_for_which_a_bound_one_waits(
    dispatcher: Dispatcher,
) -> None:
    # fault: streams that were broken off starved while new ones took each place of their version
    taken = await fill(dispatcher, "v1")
    await fill(dispatcher, "v2")
    bound = start_waiting(dispatcher, "v1")
    await asyncio.sleep(0)
    # capacity that becomes free without a call of this gateway ending
    taken[0].release()
    assert not dispatcher.has_room(build_call(ROUTE), ())
    assert await dispatcher.place(build_call(ROUTE), 0.0) is None
    dispatcher.dispatch_waiting()
    assert (await await_within(bound, 0.2)).endpoint.id == "e1"


async def test_an_urgent_stream_does_not_wait_behind_a_bound_one(dispatcher: Dispatcher) -> None:
    taken = await fill(dispatcher, "v1")
    await fill(dispatcher, "v2")
    bound = start_waiting(dispatcher, "v1", rank=2)
    await asyncio.sleep(0)
    taken[0].release()
    placed = await dispatcher.place(build_call(ROUTE, rank=0), 0.0)
    assert placed is not None
    assert placed.endpoint.id == "e1"
    bound.cancel()


async def test_a_wait_ends_when_the_version_has_left(dispatcher: Dispatcher) -> None:
    await fill(dispatcher, "v1")
    bound = start_waiting(dispatcher, "v1")
    await asyncio.sleep(0)
    assert dispatcher.waiting == 1
    dispatcher.directory.remove("e1")
    dispatcher.dispatch_waiting()
    assert await await_within(bound, 0.2) is None
    assert await await_within(start_waiting(dispatcher, "v1"), 0.2) is None


async def test_the_pause_of_a_version_is_that_of_its_endpoints(dispatcher: Dispatcher) -> None:
    # fault: a bound stream waited to its limit for endpoints that want nothing for longer
    endpoint = dispatcher.directory.get("e1")
    assert endpoint is not None
    endpoint.notices.record(Notice(pause_s=30.0), Source.ANSWER, time.monotonic())
    call = build_call(ROUTE)
    assert dispatcher.find_pause(call) is None
    pause = dispatcher.find_pause(call, version="v1")
    assert pause is not None
    assert pause.paused == 1
    assert await await_within(start_waiting(dispatcher, "v1"), 0.2) is None


async def test_a_cached_prompt_of_another_version_saves_nothing(dispatcher: Dispatcher) -> None:
    call, directory = build_call(ROUTE, prompt_key="p"), dispatcher.directory
    first, second = directory.get("e1"), directory.get("e2")
    assert first is not None
    assert second is not None
    dispatcher.prompt_locations.begin(call.cache_key, second, 25.0)
    holder = dispatcher._candidates.find_holder(call)
    assert holder.endpoint is second
    assert estimate_prefill_savings(first, call, ENGINE, holder) == 0.0
    assert estimate_prefill_savings(second, call, ENGINE, holder) > 0.0


@pytest.mark.parametrize("version", [None, "v1"])
async def test_a_dispatch_reads_the_endpoints_once_for_all_that_wait(
    dispatcher: Dispatcher, monkeypatch: pytest.MonkeyPatch, version: str | None
) -> None:
    # fault: each dispatch went through all endpoints again for each queued call
    await fill(dispatcher, "v1")
    await fill(dispatcher, "v2")
    waiting = [start_waiting(dispatcher, version) for _ in range(100)]
    await asyncio.sleep(0)
    assert dispatcher.waiting == 100
    directory, reads = dispatcher.directory, 0
    listed = directory.list_by_service

    def count_read(service: str) -> list:
        nonlocal reads
        reads += 1
        return listed(service)

    monkeypatch.setattr(directory, "list_by_service", count_read)
    dispatcher.dispatch_waiting()
    assert reads < 10
    for task in waiting:
        task.cancel()
