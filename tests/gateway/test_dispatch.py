"""Who waits and who goes first; no network."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from basilroad.gateway.call import PromptSize
from basilroad.gateway.directory import Directory
from basilroad.gateway.dispatch import Dispatcher
from basilroad.gateway.selection import Chooser
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route


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


async def test_urgent_calls_go_first_when_an_engine_gets_free(dispatcher: Dispatcher) -> None:
    # pattern: a flood of the least urgent work, then urgent work
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
    # pattern: the largest prompts starve while small ones fill each gap
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
    await asyncio.wait_for(large, 1)
    await asyncio.wait_for(small, 1)


async def test_a_call_that_stops_waiting_takes_no_room(dispatcher: Dispatcher) -> None:
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


async def test_a_call_cancelled_as_it_is_placed_gives_its_room_back(
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


async def test_a_call_without_room_is_told_so_when_its_wait_ends(dispatcher: Dispatcher) -> None:
    await fill(dispatcher)
    started = time.monotonic()
    call = build_call(build_stream_route())
    assert await dispatcher.place(call, started + 0.1) is None
    assert 0.08 < time.monotonic() - started < 0.5


async def test_callers_of_other_workspaces_do_not_wait_behind_a_flood(
    dispatcher: Dispatcher,
) -> None:
    # pattern: one workspace sends many times its usual while the engines are full
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


async def test_a_call_that_must_not_go_where_there_is_room_holds_up_nobody(
    dispatcher: Dispatcher,
) -> None:
    taken = await fill(dispatcher)
    until = time.monotonic() + 5
    picky = asyncio.ensure_future(dispatcher.place(build_call(build_stream_route()), until, {"e1"}))
    await asyncio.sleep(0)
    other = asyncio.ensure_future(dispatcher.place(build_call(build_stream_route()), until))
    await asyncio.sleep(0)
    dispatcher.release(taken[0])
    await asyncio.wait_for(other, 1)
    assert not picky.done()
    picky.cancel()
    await asyncio.gather(picky, return_exceptions=True)
    assert dispatcher.waiting == 0
