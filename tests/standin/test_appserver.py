"""The application server stand-in reports its software version."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import aiohttp
import pytest

from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.streamevents import StreamEvent, decode_events
from support.addresses import take_kernel_ports

EVENTS = 3
SILENT_S = 0.3
DOWN_S = 2.0


@pytest.fixture
async def server() -> AsyncIterator[AppServerStandin]:
    server = AppServerStandin("i-1", events=EVENTS, version="v7")
    await server.start()
    yield server
    await server.stop()


async def read_events(server: AppServerStandin) -> list[StreamEvent]:
    url = f"http://{server.ip}:{server.port}/s/1"
    async with aiohttp.ClientSession() as session, session.post(url) as response:
        return decode_events(await response.read())


async def read_end(asked: AbstractAsyncContextManager[aiohttp.ClientResponse]) -> Exception | None:
    """:return: failure with which a response ends."""
    try:
        async with asked as response:
            await response.read()
    except aiohttp.ClientError as error:
        return error
    return None


async def ask_for_crashes(server: AppServerStandin, count: int) -> None:
    """Send requests that crash the server, all at once, and wait for their ends."""
    url = f"http://{server.ip}:{server.port}/s/1"
    async with aiohttp.ClientSession() as session:
        asked = (session.post(url, data=server.crash_body) for _ in range(count))
        ends = await asyncio.gather(*(read_end(one) for one in asked))
    assert all(isinstance(end, aiohttp.ClientError) for end in ends)


async def test_events_name_the_version_and_the_run(server: AppServerStandin) -> None:
    runs = [await read_events(server) for _ in range(2)]
    for events in runs:
        assert [event.number for event in events] == [1, 2, 3]
        assert {event.version for event in events} == {"v7"}
    names = [{event.run for event in events} for events in runs]
    assert len(names[0]) == len(names[1]) == 1
    assert names[0] != names[1]


@pytest.mark.parametrize("name", ["", "i-2"])
async def test_a_release_keeps_the_address(server: AppServerStandin, name: str) -> None:
    before = server.build_entry("llm")
    await server.release("v8", name=name)
    after = server.build_entry("llm", slots=9)
    assert server.id == (name or "i-1")
    assert (before["version"], after["version"], after["slots"]) == ("v7", "v8", 9)
    assert before["address"] == after["address"]
    assert before["born"] != after["born"]
    assert {event.version for event in await read_events(server)} == {"v8"}


async def test_a_server_continues_after_a_silence(server: AppServerStandin) -> None:
    began = time.monotonic()
    events, _ = await asyncio.gather(read_events(server), server.fall_silent(SILENT_S))
    assert len(events) == EVENTS
    assert time.monotonic() - began >= SILENT_S


def test_damaged_events_are_not_decoded() -> None:
    event = StreamEvent(2, "v1", "i-1/1")
    assert decode_events(event.encode() * 2) == [event, event]
    assert decode_events(event.encode()[:-1]) == []
    assert decode_events(event.encode().replace(b"token 2", b"token 3")) == []


# fault: another listener got the port of a server that was down, which could not return to it
async def test_no_other_listener_gets_the_port_of_a_server_that_is_down(
    server: AppServerStandin,
) -> None:
    release = asyncio.ensure_future(server.release("v8", down_s=DOWN_S))
    await asyncio.sleep(DOWN_S / 2)
    assert server.port not in take_kernel_ports(server.ip)
    await release
    assert len(await read_events(server)) == EVENTS


# fault: a release in the turns of a restart left two listeners at one port, and failed
@pytest.mark.parametrize("turns", range(10))
async def test_a_release_beside_the_restart_after_a_crash(
    server: AppServerStandin, turns: int
) -> None:
    server.crash_body, server.down_s = b"bung", 0.0
    crash = asyncio.ensure_future(ask_for_crashes(server, 1))
    while server.starts < 2:
        await asyncio.sleep(0)
    for _ in range(turns):
        await asyncio.sleep(0)
    server.crash_body = b""
    await server.release("v8")
    assert {event.version for event in await read_events(server)} == {"v8"}
    await crash


# fault: two requests that crashed a server at once had it started twice, and one start failed
async def test_two_requests_that_crash_a_server_at_once(server: AppServerStandin) -> None:
    server.crash_body, server.down_s = b"bung", DOWN_S / 10
    await ask_for_crashes(server, 2)
    await asyncio.sleep(DOWN_S)
    server.crash_body = b""
    assert (server.crashes, server.starts) == (1, 2)
    assert len(await read_events(server)) == EVENTS
