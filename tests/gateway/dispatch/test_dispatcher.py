"""Queueing and priority of calls; no network."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.dispatcher import Dispatcher
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.notices import Notice, Source
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route
from support.timelimit import await_within, limit_time


@pytest.fixture
def dispatcher() -> Dispatcher:
    directory = Directory()
    directory.put(build_entry("e1", service="llm", slots=48))
    chooser = Chooser(PLACE, random.Random(1))
    return Dispatcher(directory, chooser, lambda _: ENGINE)


async def fill(dispatcher: Dispatcher) -> list:
    taken = []
    while True:
        call = build_call(build_stream_route())
        reservation = await dispatcher.place(call, 0.0)
        if reservation is None:
            return taken
        taken.append(reservation)


async def test_urgent_calls_go_first_when_an_engine_gets_free_capacity(
    dispatcher: Dispatcher,
) -> None:
    # low-priority calls fill the queue before an urgent call
    taken = await fill(dispatcher)
    until = time.monotonic() + 5
    placed = []

    async def wait(name: str, rank: int) -> None:
        call = build_call(build_stream_route(), rank=rank)
        assert await dispatcher.place(call, until) is not None
        placed.append(name)

    tasks = [asyncio.ensure_future(wait(f"low{i}", 2)) for i in range(3)]
    await asyncio.sleep(0)
    tasks.append(asyncio.ensure_future(wait("urgent", 0)))
    await asyncio.sleep(0)
    for reservation in taken[:4]:
        dispatcher.release(reservation)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await asyncio.gather(*tasks)
    assert placed == ["urgent", "low0", "low1", "low2"]


async def test_a_small_call_does_not_pass_a_large_one_that_waits(dispatcher: Dispatcher) -> None:
    # fault: the largest prompts starve while small ones take each free slot
    taken = await fill(dispatcher)
    until = time.monotonic() + 5
    route = build_stream_route()
    large = asyncio.ensure_future(
        dispatcher.place(build_call(route, size=PromptSize(14000, 1600)), until)
    )
    await asyncio.sleep(0)
    small = asyncio.ensure_future(
        dispatcher.place(build_call(route, size=PromptSize(100, 10)), until)
    )
    await asyncio.sleep(0)
    assert not small.done()
    for reservation in taken[:2]:
        dispatcher.release(reservation)
    await await_within(large, 1)
    await await_within(small, 1)


async def test_a_cancelled_call_takes_no_capacity(dispatcher: Dispatcher) -> None:
    taken = await fill(dispatcher)
    waiting = asyncio.ensure_future(
        dispatcher.place(build_call(build_stream_route()), time.monotonic() + 5)
    )
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert dispatcher.waiting == 0
    dispatcher.release(taken[0])
    again = await dispatcher.place(build_call(build_stream_route()), 0.0)
    assert again is not None


async def test_a_call_cancelled_while_it_is_assigned_releases_its_capacity(
    dispatcher: Dispatcher,
) -> None:
    taken = await fill(dispatcher)
    endpoint = taken[0].endpoint
    waiting = asyncio.ensure_future(
        dispatcher.place(build_call(build_stream_route()), time.monotonic() + 5)
    )
    await asyncio.sleep(0)
    before = endpoint.load.calls
    dispatcher.release(taken[0])
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert endpoint.load.calls == before - 1


async def test_a_call_without_capacity_times_out(dispatcher: Dispatcher) -> None:
    await fill(dispatcher)
    started = time.monotonic()
    call = build_call(build_stream_route())
    assert await dispatcher.place(call, started + 0.1) is None
    assert 0.08 < time.monotonic() - started < 0.5


async def test_callers_of_other_workspaces_do_not_wait_behind_a_flood(
    dispatcher: Dispatcher,
) -> None:
    # one workspace sends many times its usual traffic while the engines are full
    taken = await fill(dispatcher)
    until = time.monotonic() + 5
    placed: list[str] = []

    async def wait(workspace: str) -> None:
        call = build_call(build_stream_route(), workspace=workspace)
        assert await dispatcher.place(call, until) is not None
        placed.append(workspace)

    tasks = [asyncio.ensure_future(wait("hot")) for _ in range(6)]
    await asyncio.sleep(0)
    tasks += [asyncio.ensure_future(wait(name)) for name in ("b", "c")]
    await asyncio.sleep(0)
    for reservation in taken[:8]:
        dispatcher.release(reservation)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await asyncio.gather(*tasks)
    assert {"b", "c"} <= set(placed[:4])
    assert len(placed) == 8


async def test_a_call_with_excluded_endpoints_does_not_block_others(
    dispatcher: Dispatcher,
) -> None:
    taken = await fill(dispatcher)
    until = time.monotonic() + 5
    restricted = asyncio.ensure_future(
        dispatcher.place(build_call(build_stream_route()), until, {"e1"})
    )
    await asyncio.sleep(0)
    other = asyncio.ensure_future(dispatcher.place(build_call(build_stream_route()), until))
    await asyncio.sleep(0)
    dispatcher.release(taken[0])
    await await_within(other, 1)
    assert not restricted.done()
    restricted.cancel()
    await asyncio.gather(restricted, return_exceptions=True)
    assert dispatcher.waiting == 0


async def test_a_call_that_no_endpoint_takes_in_time_is_not_queued(dispatcher: Dispatcher) -> None:
    # fault: calls wait to their limit for endpoints that want nothing for longer
    endpoint = dispatcher.directory.get("e1")
    assert endpoint is not None
    now = time.monotonic()
    endpoint.notices.record(Notice(pause_s=2.0), Source.ANSWER, now)
    call = build_call(build_stream_route())
    async with limit_time(0.2):
        assert await dispatcher.place(call, now + 1.5) is None
        assert await dispatcher.place(call, now + 1.5, {"e1"}) is None
    waiting = asyncio.ensure_future(dispatcher.place(call, now + 5))
    await asyncio.sleep(0)
    assert dispatcher.waiting == 1
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_a_queued_call_that_excludes_the_usable_endpoints_does_not_wait_for_paused_ones(
    dispatcher: Dispatcher,
) -> None:
    # fault: a retry waits to its limit for endpoints that want nothing for longer
    await fill(dispatcher)
    dispatcher.directory.put(build_entry("e2", service="llm", slots=0))
    until = time.monotonic() + 5
    retry = asyncio.ensure_future(dispatcher.place(build_call(build_stream_route()), until, {"e1"}))
    await asyncio.sleep(0)
    endpoint = dispatcher.directory.get("e2")
    assert endpoint is not None
    endpoint.notices.record(Notice(pause_s=30.0), Source.ANSWER, time.monotonic())
    dispatcher.dispatch_waiting()
    assert await await_within(retry, 0.2) is None
    assert dispatcher.waiting == 0
