"""Servers in trouble that send bytes without end until the gateway closes the connection."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.attempt import MAX_RESPONSE_BYTES
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.registry.endpoint import MAX_BUFFERED_BYTES
from basilroad.gateway.route import RetrySafety
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_route, build_stream_route
from support.timelimit import limit_time

ENDLESS_HEADS = [
    WireFault.ENDLESS_HEADER,
    WireFault.ENDLESS_HEADERS,
    WireFault.ENDLESS_INTERIM,
]
ENDLESS_BODIES = [
    WireFault.ENDLESS_BODY,
    WireFault.ENDLESS_CHUNKS,
    WireFault.ENDLESS_UNFRAMED,
    WireFault.ENDLESS_SMALL_CHUNKS,
    WireFault.ENDLESS_EXTENSIONS,
]
ENDLESS_EVENTS = [
    WireFault.ENDLESS_EVENT,
    WireFault.ENDLESS_LINES,
    WireFault.ENDLESS_COMMENTS,
    WireFault.ENDLESS_BLANKS,
    WireFault.ENDLESS_UNNUMBERED,
    WireFault.ENDLESS_REPEATS,
]
ONCE = build_route(retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1, timeout_s=20.0)
STREAM = build_stream_route(prefix="/s/", timeout_s=9.0)
SOCKET_BYTES = 8 * 1024 * 1024
"""Bytes that the buffers of both sockets may hold beyond those that were read."""


async def run(gateway, route, **changes: object) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(route, **changes), responder)
    return responder


@pytest.mark.parametrize("fault", ENDLESS_HEADS + ENDLESS_BODIES)
async def test_an_endless_response_is_aborted_long_before_the_deadline(
    gateway, start_server, fault
) -> None:
    server = await start_server("i-1")
    server.schedule_faults([fault])
    began = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await run(gateway, ONCE)
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert time.monotonic() - began < 5.0
    await asyncio.sleep(0.1)
    sent = server.endless_bytes
    assert sent < MAX_RESPONSE_BYTES + SOCKET_BYTES
    await asyncio.sleep(0.1)
    assert server.endless_bytes == sent


async def test_endless_responses_of_one_endpoint_share_a_limit(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.ENDLESS_BODY] * 12)
    calls = [run(gateway, ONCE, id=f"c{number}") for number in range(12)]
    await asyncio.gather(*calls, return_exceptions=True)
    assert server.endless_bytes < MAX_BUFFERED_BYTES + 12 * SOCKET_BYTES
    endpoint = gateway.directory.get("i-1")
    with endpoint.count_buffered() as count:
        assert count(MAX_BUFFERED_BYTES), "the bytes of ended responses are not counted any more"


async def test_other_calls_are_served_beside_an_endless_response(gateway, start_server) -> None:
    first = await start_server("i-1")
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.ENDLESS_INTERIM])
    endless = asyncio.ensure_future(run(gateway, ONCE))
    began = time.monotonic()
    await CallHandler(gateway).handle(build_call(id="c2"), RecordingResponder())
    assert time.monotonic() - began < 1.0
    await asyncio.gather(endless, return_exceptions=True)


@pytest.mark.parametrize(
    "fault",
    [*ENDLESS_EVENTS, WireFault.ENDLESS_SMALL_CHUNKS, WireFault.ENDLESS_EXTENSIONS],
)
async def test_other_calls_are_served_beside_an_endless_stream(
    gateway, start_server, fault
) -> None:
    """Review cases 6 and 10: one answer of one server held up the calls of all others."""
    first = await start_server("i-1", service="llm", events=10)
    await start_server("i-2")
    first.schedule_faults([fault] * 3)
    once = build_stream_route(retry_safety=RetrySafety.FORBIDDEN, prefix="/s/", timeout_s=9.0)
    streams = [asyncio.ensure_future(run(gateway, once, id=f"s{n}")) for n in range(3)]
    for number in range(20):
        async with limit_time(0.5):
            await CallHandler(gateway).handle(build_call(id=f"c{number}"), RecordingResponder())
    # a stream without an event is given up long before its time limit
    async with limit_time(5.0):
        await asyncio.gather(*streams, return_exceptions=True)


@pytest.mark.parametrize("fault", [*ENDLESS_HEADS, *ENDLESS_EVENTS, WireFault.ENDLESS_SMALL_CHUNKS])
async def test_a_stream_resumes_elsewhere_after_an_endless_response(
    gateway, start_server, fault
) -> None:
    first = await start_server("i-1", service="llm", events=10)
    await start_server("i-2", service="llm", events=10, data_centre="kurzeme-a")
    first.schedule_faults([fault])
    responder = await run(gateway, STREAM)
    assert responder.numbers == list(range(1, 11))
    assert first.endless_bytes < SOCKET_BYTES
