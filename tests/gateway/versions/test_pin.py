"""Streams resume only at the software version that began them."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_stream_route
from support.timelimit import await_within, limit_time

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
ALL_EVENTS = list(range(1, 21))
ENDED_AT_ONCE_S = 1.0
"""Well below the time that a stream may wait for an endpoint."""


async def run(gateway: Gateway, responder: RecordingResponder | None = None, **changes: object):
    responder = responder or RecordingResponder()
    await CallHandler(gateway).handle(build_call(ROUTE, **changes), responder)
    return responder


async def start_engine(start_server, name: str, data_centre: str, software: str, **options: object):
    return await start_server(
        name, service="llm", events=20, data_centre=data_centre, software=software, **options
    )


async def wait_for_events(responder: RecordingResponder, count: int) -> None:
    async with limit_time(5):
        while len(responder.numbers) < count:
            await asyncio.sleep(0.005)


async def test_a_stream_resumes_only_at_its_version(gateway, start_server) -> None:
    # fault: events of two software versions in one answer
    await start_engine(start_server, "i-1", "riga-a", "v1", reset_at_event=8)
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    same = await start_engine(start_server, "i-3", "riga-a", "v1", response_delay_s=0.01)
    assert (await run(gateway)).numbers == ALL_EVENTS
    assert not other.seen
    assert same.seen[0].headers["last-event-id"] == "7"


@pytest.mark.parametrize("leaves", ["removed", "draining"])
async def test_a_stream_whose_version_has_left_ends_at_once(gateway, start_server, leaves) -> None:
    # fault: it resumed at another version, or waited up to its deadline
    first = await start_engine(start_server, "i-1", "riga-a", "v1", event_interval_s=0.02)
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    await wait_for_events(responder, 3)
    if leaves == "removed":
        gateway.directory.remove("i-1")
    else:
        entry = gateway.directory.get("i-1").entry
        gateway.directory.put(attrs.evolve(entry, state=EndpointState.DRAINING))
    began = time.monotonic()
    await first.stop()
    with pytest.raises(StreamBrokenError, match="version v1"):
        await task
    assert time.monotonic() - began < ENDED_AT_ONCE_S
    assert not other.seen


async def test_a_stream_that_waits_for_its_version_ends_when_that_has_left(
    gateway, start_server
) -> None:
    first = await start_engine(start_server, "i-1", "riga-a", "v1", event_interval_s=0.02)
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    await wait_for_events(responder, 3)
    await first.stop()
    await asyncio.sleep(0.2)
    assert not task.done()
    gateway.directory.remove("i-1")
    with pytest.raises(StreamBrokenError, match="version v1"):
        await await_within(task, ENDED_AT_ONCE_S)
    assert not other.seen


async def test_a_stream_waits_for_its_version_while_the_listing_is_unreliable(
    gateway, start_server
) -> None:
    first = await start_engine(start_server, "i-1", "riga-a", "v1", event_interval_s=0.02)
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    await wait_for_events(responder, 3)
    gateway.directory.remove("i-1")
    gateway.directory.mark_listing_unreliable()
    await first.stop()
    await asyncio.sleep(0.2)
    assert not task.done()
    await start_engine(start_server, "i-3", "riga-b", "v1")
    assert (await task).numbers == ALL_EVENTS
    assert not other.seen


async def test_a_stream_resumes_at_the_same_endpoint_if_its_version_has_no_other(
    gateway, start_server
) -> None:
    first = await start_engine(
        start_server, "i-1", "riga-a", "v1", event_interval_s=0.02, reset_at_event=4
    )
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    async with limit_time(5):
        while gateway.directory.get("i-1").last_failed_at < 0:
            await asyncio.sleep(0.001)
    first.reset_at_event = 0
    assert (await await_within(task, 3)).numbers == ALL_EVENTS
    assert not other.seen


async def test_a_stream_does_not_wait_for_the_full_other_endpoint_of_its_version(
    gateway, start_server
) -> None:
    # fault: it waited up to its deadline, as all but the endpoint that broke it off were full
    first = await start_engine(start_server, "i-1", "riga-a", "v1", reset_at_event=4)
    second = await start_engine(start_server, "i-2", "riga-a", "v1")
    await start_engine(start_server, "i-3", "riga-b", "v2")
    full = gateway.directory.get("i-2")
    full.load.memory_tokens = 80_000
    task = asyncio.ensure_future(run(gateway))
    async with limit_time(5):
        while gateway.directory.get("i-1").last_failed_at < 0:
            await asyncio.sleep(0.001)
    first.reset_at_event = 0
    assert (await await_within(task, 3)).numbers == ALL_EVENTS
    assert not second.seen


async def test_a_stalled_stream_moves_only_to_its_version(gateway, start_server) -> None:
    # fault: the stream moved to the nearest endpoint with room
    await start_engine(start_server, "i-1", "riga-a", "v1", trickle_at_event=5, trickle=b": \n")
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    same = await start_engine(start_server, "i-3", "riga-a", "v1")
    assert (await run(gateway)).numbers == ALL_EVENTS
    assert not other.seen
    assert same.seen


async def test_a_silent_stream_stays_if_its_version_has_no_other_endpoint(
    gateway, start_server
) -> None:
    first = await start_engine(start_server, "i-1", "riga-a", "v1", event_interval_s=0.02)
    other = await start_engine(start_server, "i-2", "riga-b", "v2")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    await wait_for_events(responder, 3)
    first.trickle_at_event = 1
    first.silent = True
    await asyncio.sleep(1.0)
    first.silent = False
    first.trickle_at_event = 0
    assert (await task).numbers == ALL_EVENTS
    assert not other.seen
    assert len(first.seen) == 1


async def test_the_first_event_decides_on_the_version_of_a_stream(gateway, start_server) -> None:
    # fault: a stream held to the version at which it was placed first
    first = await start_engine(start_server, "i-1", "riga-a", "v1")
    first.schedule_faults([WireFault.RESET])
    second = await start_engine(start_server, "i-2", "riga-b", "v2", reset_at_event=8)
    third = await start_engine(start_server, "i-3", "kurzeme-a", "v2")
    assert (await run(gateway)).numbers == ALL_EVENTS
    assert (len(first.seen), len(second.seen), len(third.seen)) == (1, 1, 1)


async def test_an_event_whose_version_can_not_be_recorded_is_not_passed_on(
    gateway, start_server
) -> None:
    # fault: the version that had begun the stream was not known later
    first = await start_engine(start_server, "i-1", "riga-a", "v1")
    await start_engine(start_server, "i-2", "riga-b", "v2")

    async def confirm(_call: object, version: str) -> bool:
        return version == "v2"

    gateway.stream_versions.confirm = confirm
    responder = await run(gateway)
    assert responder.numbers == ALL_EVENTS
    assert ("X-Response-Seal", "seal-of-i-2") in responder.headers
    assert len(first.seen) == 1


async def test_new_streams_begin_where_their_version_can_be_recorded(gateway, start_server) -> None:
    first = await start_engine(start_server, "i-1", "riga-a", "v1")
    gateway.stream_versions.may_begin = lambda _service, version: version != "v1"
    assert (await run(gateway)).numbers == ALL_EVENTS
    assert len(first.seen) == 1, "no other will do"
    second = await start_engine(start_server, "i-2", "kurzeme-a", "v2")
    assert (await run(gateway)).numbers == ALL_EVENTS
    assert len(second.seen) == 1


async def test_the_memory_of_versions_records_begin_and_end(gateway, start_server) -> None:
    await start_engine(start_server, "i-1", "riga-a", "v1")
    recorded: list[tuple[str, ...]] = []
    versions = gateway.stream_versions
    versions.begin = lambda call, version: recorded.append(("begin", call.id, version))
    versions.end = lambda call: recorded.append(("end", call.id))
    await run(gateway)
    assert recorded == [("begin", "c1", "v1"), ("end", "c1")]


async def test_an_endpoint_that_restarts_while_its_connection_opens_is_sent_nothing(
    gateway, start_server
) -> None:
    # fault: the request reached a start of which nothing was known when it was placed
    first = await start_engine(start_server, "i-1", "riga-a", "v1")
    await start_engine(start_server, "i-2", "kurzeme-a", "v1")
    gateway.directory.get("i-2").full_until = float("inf")
    endpoint = gateway.directory.get("i-1")
    opened = endpoint.pool.open
    entry = endpoint.entry

    async def open_late(*args: object) -> object:
        channel = await opened(*args)
        gateway.directory.put(attrs.evolve(entry, version="v2"))
        return channel

    endpoint.pool.open = open_late
    await run(gateway)
    assert entry.version == "v1"
    assert len(first.seen) == 1
    taken_up = build_call(ROUTE, id="c2", resumes="c1", resume_after="3")
    assert await gateway.stream_versions.find(taken_up) == "v2"
