"""Streams that are slow but sound run to their end; stalled ones are resumed in bounded time."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.route import RetrySafety
from basilroad.gateway.streams import stalltimer
from builders import RecordingResponder, build_call, build_stream_route

STALL_S = 0.2
"""Stall time-out during these tests."""

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
NON_RESUMABLE = build_stream_route(
    prefix="/s/", timeout_s=9.0, retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1
)


@pytest.fixture(autouse=True)
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stalltimer, "STALL_TIMEOUT_S", STALL_S)


async def run(gateway, route=ROUTE) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(route), responder)
    return responder


async def test_a_stream_slower_than_the_stall_timeout_everywhere_is_complete(
    gateway, start_server
) -> None:
    for number, data_centre in enumerate(("riga-a", "riga-b", "kurzeme-a")):
        await start_server(
            f"i-{number}",
            service="llm",
            events=8,
            event_interval_s=1.5 * STALL_S,
            data_centre=data_centre,
        )
    assert (await run(gateway)).numbers == list(range(1, 9))


async def test_a_slow_stream_stays_if_no_other_endpoint_can_take_it(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=5, event_interval_s=3 * STALL_S)
    assert (await run(gateway)).numbers == list(range(1, 6))
    assert server.ran == ["c1"]


@pytest.mark.parametrize("trickle", [b"d", b": still here\n\n", b":\n"])
async def test_a_stalled_stream_with_bytes_now_and_then_is_resumed(
    gateway, start_server, trickle
) -> None:
    first = await start_server("i-1", service="llm", events=10, trickle_at_event=4, trickle=trickle)
    second = await start_server("i-2", service="llm", events=10, data_centre="kurzeme-a")
    began = time.monotonic()
    assert (await run(gateway)).numbers == list(range(1, 11))
    assert time.monotonic() - began < 5 * STALL_S + 1.0
    assert first.ran == second.ran == ["c1"]


async def test_a_stream_of_comments_that_never_begins_is_moved(gateway, start_server) -> None:
    """Comments before the first event ended the wait for it, and the stream at its time limit."""
    first = await start_server(
        "i-1", service="llm", events=10, trickle_at_event=1, trickle=b": still here\n\n"
    )
    second = await start_server("i-2", service="llm", events=10, data_centre="kurzeme-a")
    began = time.monotonic()
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 11))
    assert time.monotonic() - began < 0.5 * ROUTE.timeout_s
    assert first.ran == second.ran == ["c1"]


async def test_comments_before_the_first_event_are_sent_with_it(gateway, start_server) -> None:
    server = await start_server(
        "i-1", service="llm", events=5, trickle_at_event=1, trickle=b": still here\n\n"
    )
    task = asyncio.ensure_future(run(gateway))
    await asyncio.sleep(0.2)
    server.trickle_at_event = 0
    responder = await task
    assert responder.numbers == list(range(1, 6))
    assert responder.data.startswith(b": still here\n\n")


async def test_a_stream_that_may_not_be_resumed_outlives_the_silence_of_its_engine(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm", events=10, event_interval_s=0.02)
    task = asyncio.ensure_future(run(gateway, NON_RESUMABLE))
    while not server.ran:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    server.silent = True
    await asyncio.sleep(1.5)
    server.silent = False
    assert (await task).numbers == list(range(1, 11))
    assert server.ran == ["c1"]
