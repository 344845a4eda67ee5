"""Streams that go on at other servers, against servers that fail on the wire."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.errors import RefusedError
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.handler import CallHandler
from basilroad.gateway.route import RetrySafety
from basilroad.gateway.streaming import StreamBrokenError
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_stream_route

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
FRAGILE = build_stream_route(prefix="/s/", timeout_s=9.0, retry_safety=RetrySafety.FORBIDDEN)
"""Streams that may not be resumed."""


async def run(gateway: Gateway, route=ROUTE, **changes: object) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(route, **changes), responder)
    return responder


async def start_engines(start_server, **options: object):
    first = await start_server("i-1", service="llm", events=20, **options)
    second = await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    return first, second


async def test_a_stream_comes_whole(gateway, start_server) -> None:
    await start_server("i-1", service="llm", events=20)
    responder = await run(gateway)
    assert responder.status == 200
    assert responder.numbers == list(range(1, 21))


async def test_a_stream_goes_on_from_the_copy_of_its_memory(gateway, start_server) -> None:
    first, second = await start_engines(start_server, reset_at_event=8)
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert ("X-Response-Seal", "seal-of-i-1") in responder.headers
    assert first.seen[0].headers["x-kv-backup"] == f"127.0.0.1:{second.port}"
    resumed = second.seen[0].headers
    assert resumed["last-event-id"] == "7"
    assert resumed["kv-from"] == f"127.0.0.1:{second.port}/c1"


async def test_without_its_copy_a_stream_is_read_anew(gateway, start_server) -> None:
    _, second = await start_engines(start_server, reset_at_event=8)
    second.schedule_faults([WireFault.TURN_AWAY])
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert "kv-from" not in second.seen[1].headers
    assert second.seen[1].headers["last-event-id"] == "7"


async def test_a_silent_engine_loses_its_streams(gateway, start_server) -> None:
    first, _ = await start_engines(start_server, event_interval_s=0.02)
    task = asyncio.ensure_future(run(gateway))
    while not first.ran:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    first.silent = True
    silenced = asyncio.get_running_loop().time()
    assert (await task).numbers == list(range(1, 21))
    assert asyncio.get_running_loop().time() - silenced < 1.5


async def test_an_engine_that_reads_a_long_prompt_is_not_lost(gateway, start_server) -> None:
    await start_server("i-1", service="llm", events=3, response_delay_s=1.0)
    assert (await run(gateway)).numbers == [1, 2, 3]
    assert gateway.liveness.probes_sent > 0


async def test_a_stream_that_is_never_begun_goes_on_elsewhere(gateway, start_server) -> None:
    first, second = await start_engines(start_server, response_delay_s=60.0)
    began = asyncio.get_running_loop().time()
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert first.seen
    assert second.seen
    assert asyncio.get_running_loop().time() - began < ROUTE.latency_target_s


async def test_a_stream_that_is_never_begun_stays_where_no_other_has_room(
    gateway, start_server
) -> None:
    first = await start_server("i-1", service="llm", events=20, response_delay_s=4.5)
    assert (await run(gateway)).numbers == list(range(1, 21))
    assert len(first.seen) == 1


async def test_a_stream_that_may_not_be_resumed_breaks_off(gateway, start_server) -> None:
    first, second = await start_engines(start_server, reset_at_event=8)
    responder = RecordingResponder()
    with pytest.raises(StreamBrokenError):
        await CallHandler(gateway).handle(build_call(FRAGILE), responder)
    assert responder.numbers == list(range(1, 8))
    assert len(first.ran) + len(second.ran) == 1


async def test_a_caller_goes_on_where_it_stopped(gateway, start_server) -> None:
    await start_server("i-1", service="llm", events=20)
    responder = await run(gateway, resume_after="12")
    assert responder.numbers == list(range(13, 21))


async def test_a_stream_is_resumed_as_often_as_its_route_allows(gateway, start_server) -> None:
    for number in range(7):
        await start_server(
            f"i-{number}", service="llm", events=20, reset_at_event=number + 2,
            data_centre=("riga-a", "riga-b")[number % 2],
        )  # fmt: skip
    responder = RecordingResponder()
    with pytest.raises((StreamBrokenError, RefusedError)):
        await CallHandler(gateway).handle(
            build_call(build_stream_route(attempts_limit=1, timeout_s=9.0)), responder
        )
    assert responder.numbers == list(range(1, len(responder.numbers) + 1))


async def test_a_stream_leaves_no_reservation_behind(gateway, start_server) -> None:
    await start_engines(start_server, reset_at_event=8)
    await run(gateway)
    for endpoint in gateway.directory:
        assert endpoint.load.calls == 0
        assert endpoint.load.memory_tokens == 0
        assert endpoint.load.unread_tokens == 0
