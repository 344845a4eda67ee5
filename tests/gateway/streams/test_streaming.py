"""Resumption of streams after faults at the protocol level."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.errors import ErrorKind, RefusedError
from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import Reservation
from basilroad.gateway.route import RetrySafety
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_entry, build_stream_route

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
NON_RESUMABLE = build_stream_route(prefix="/s/", timeout_s=9.0, retry_safety=RetrySafety.FORBIDDEN)
"""Streams that may not be resumed."""


async def run(gateway: Gateway, route=ROUTE, **changes: object) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(route, **changes), responder)
    return responder


async def start_engines(start_server, **options: object):
    first = await start_server("i-1", service="llm", events=20, **options)
    second = await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    return first, second


async def test_a_stream_is_complete(gateway, start_server) -> None:
    await start_server("i-1", service="llm", events=20)
    responder = await run(gateway)
    assert responder.status == 200
    assert responder.numbers == list(range(1, 21))


async def test_a_stream_resumes_from_its_kv_cache_backup(gateway, start_server) -> None:
    first, second = await start_engines(start_server, reset_at_event=8)
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert ("X-Response-Seal", "seal-of-i-1") in responder.headers
    assert first.seen[0].headers["x-kv-backup"] == f"127.0.0.1:{second.port}"
    resumed = second.seen[0].headers
    assert resumed["last-event-id"] == "7"
    assert resumed["kv-from"] == f"127.0.0.1:{second.port}/c1"


async def test_without_its_backup_a_stream_is_prefilled_again(gateway, start_server) -> None:
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


@pytest.mark.by_turns
async def test_a_stream_that_never_starts_is_moved(gateway, start_server) -> None:
    first, second = await start_engines(start_server, response_delay_s=60.0)
    began = asyncio.get_running_loop().time()
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert first.seen
    assert second.seen
    assert asyncio.get_running_loop().time() - began < ROUTE.latency_target_s


async def test_a_late_stream_stays_if_no_other_endpoint_has_capacity(gateway, start_server) -> None:
    first = await start_server("i-1", service="llm", events=20, response_delay_s=4.5)
    assert (await run(gateway)).numbers == list(range(1, 21))
    assert len(first.seen) == 1


async def test_a_stream_that_may_not_be_resumed_is_cut_off(gateway, start_server) -> None:
    first, second = await start_engines(start_server, reset_at_event=8)
    responder = RecordingResponder()
    with pytest.raises(StreamBrokenError):
        await CallHandler(gateway).handle(build_call(NON_RESUMABLE), responder)
    assert responder.numbers == list(range(1, 8))
    assert len(first.ran) + len(second.ran) == 1


async def test_a_caller_resumes_after_its_last_event(gateway, start_server) -> None:
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
        assert endpoint.load.pending_prefill_tokens == 0


async def test_a_stream_queued_when_its_host_shuts_down_is_not_sent_too_late(
    gateway, start_server
) -> None:
    # fault: the check was made on arrival only, and a queued stream was sent and then cut off
    pending = asyncio.ensure_future(run(gateway))
    await asyncio.sleep(0.05)
    assert gateway.dispatcher.waiting == 1
    gateway.shutdown.signal.received_at = time.monotonic() - gateway.settings.grace_s + 2.0
    engine = await start_server("i-1", service="llm", events=20)
    with pytest.raises(RefusedError) as caught:
        await pending
    assert caught.value.refusal.kind is ErrorKind.DRAINING
    assert not engine.seen
    assert not any(endpoint.load.calls for endpoint in gateway.directory)


async def test_a_stream_without_length_that_ends_before_its_first_event_is_not_complete(
    gateway, start_server
) -> None:
    # fault: an engine that crashed before the first event gave an empty, complete stream
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: c1\r\nX-Response-Seal: seal\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    gateway.directory.put(build_entry("i-0", port=port, service="llm", slots=48))
    await start_server("i-1", service="llm", events=20, data_centre="kurzeme-a")
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    server.close()


# fault: a stream left an engine that was reading its prompt for one that had five others to read
@pytest.mark.by_turns
async def test_a_late_stream_stays_if_another_engine_would_begin_later(
    gateway, start_server
) -> None:
    first, second = await start_engines(start_server, response_delay_s=4.0)
    for _ in range(5):
        Reservation(gateway.directory.get("i-2"), PromptSize(8000, 1000))
    responder = await run(gateway)
    assert responder.numbers == list(range(1, 21))
    assert len(first.seen) == 1
    assert not second.seen


# fault: a stream that was slow everywhere was moved from engine to engine and never began
@pytest.mark.by_turns
async def test_a_stream_that_begins_late_everywhere_is_complete(gateway, start_server) -> None:
    servers = [
        await start_server(
            f"i-{number}", service="llm", events=20, data_centre=data_centre, response_delay_s=5.0
        )
        for number, data_centre in enumerate(["riga-a", "kurzeme-a", "riga-a"])
    ]
    route = build_stream_route(prefix="/s/", timeout_s=12.0)
    responder = await run(gateway, route)
    assert responder.numbers == list(range(1, 21))
    assert sum(len(server.seen) for server in servers) == 2
