"""Calls that crash endpoints: what is recorded, what is refused, and what is stopped."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from basilroad.coordination.crashledger import CRASHES_TO_REFUSE, CrashRecord, CrashSettings
from basilroad.errors import Effect, ErrorKind, RefusedError
from basilroad.gateway.calls.call import Call
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.crashes.runs import BEGINNING_S, Run
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.gateway.registry.notices import Source
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.http.messages import ConnectError
from basilroad.standin.appserver import AppServerStandin, WireFault
from builders import RecordingResponder, build_call, build_entry, build_route, build_stream_route
from support.timelimit import limit_time

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
DEADLY = "1bad1bad1bad"
NUMBERS = iter(range(1000))


def build_generation(*parts: str, **changes: object) -> Call:
    """:return: a generation that is unlike all others."""
    number = next(NUMBERS)
    values = {"id": f"c{number}", "body": b"%d" % number, "prompt_parts": parts, **changes}
    return build_call(ROUTE, **values)


async def generate(gateway: Gateway, *parts: str) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_generation(*parts), responder)
    return responder


def record_crashes(gateway: Gateway, *parts: str, count: int = CRASHES_TO_REFUSE) -> None:
    """Record crashes as if other gateways had reported them."""
    records = [
        CrashRecord(f"e{n}/{n}", f"={n}", frozenset(parts), began=True, age_s=60.0 * n)
        for n in range(count)
    ]
    gateway.containment.exchange.ledger.merge(records)
    gateway.containment.exchange.on_change(records)


async def stop_started(server: AppServerStandin) -> None:
    """Stop a server as in a crash while it runs a stream."""
    while not server.ran:
        await asyncio.sleep(0.01)
    await server.stop()


async def test_a_refused_part_gets_a_retry_delay_and_is_not_sent(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=5)
    record_crashes(gateway, DEADLY)
    with pytest.raises(RefusedError) as caught:
        await generate(gateway, "shared", DEADLY)
    refusal = caught.value.refusal
    assert refusal.kind is ErrorKind.CRASHES_ENDPOINTS
    assert refusal.answer.effect is Effect.NOT_RUN
    retain_s = CrashSettings().retain_s
    assert retain_s - 200 < refusal.retry_after <= retain_s - 60 * (CRASHES_TO_REFUSE - 1)
    assert not server.seen
    assert (await generate(gateway, "shared")).numbers == [1, 2, 3, 4, 5]


# fault: a connection that breaks while its endpoint is up is taken for a crash
async def test_a_broken_connection_of_an_endpoint_that_is_up_is_no_crash(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm", events=5)
    server.schedule_faults([WireFault.RESET] * 2)
    assert (await generate(gateway, "shared")).numbers == [1, 2, 3, 4, 5]
    assert not len(gateway.containment.ledger)


async def test_an_endpoint_that_ends_before_the_first_event_crashed(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=5, response_delay_s=5.0)
    await start_server("i-2", service="llm", events=5, data_centre="kurzeme-a")
    stopping = asyncio.ensure_future(stop_started(server))
    assert (await generate(gateway, "shared", "own")).numbers == [1, 2, 3, 4, 5]
    await stopping
    [record] = gateway.containment.ledger.list_newest(9, 60.0)
    assert record.crash.startswith("i-1/")
    assert record.parts == {"shared", "own"}
    assert not record.began


# fault: a stream past its beginning is held responsible for the crash of its endpoint
async def test_a_stream_past_its_beginning_is_not_implicated(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=30, event_interval_s=0.03)
    second = await start_server("i-2", service="llm", events=30, data_centre="kurzeme-a")
    running = asyncio.ensure_future(generate(gateway, "shared"))
    await asyncio.sleep(BEGINNING_S + 0.2)
    await server.stop()
    assert (await running).numbers == list(range(1, 31))
    assert second.ran
    assert not len(gateway.containment.ledger)
    assert gateway.containment.ledger.find_passed("shared") is not None


# fault: an endpoint that has left is taken for crashed, with the calls that it no longer runs
async def test_an_endpoint_that_was_leaving_did_not_crash(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm")
    await server.stop()
    [endpoint] = gateway.directory
    run = Run(build_generation("shared"), endpoint)
    endpoint.entry = attrs.evolve(endpoint.entry, state=EndpointState.DRAINING)
    await gateway.containment.record_break(run)
    assert not len(gateway.containment.ledger)
    endpoint.entry = attrs.evolve(endpoint.entry, state=EndpointState.READY)
    await gateway.containment.record_break(run)
    assert len(gateway.containment.ledger) == 1


# fault: an endpoint that crashes while it still accepts connections is taken for one that is up
async def test_an_endpoint_that_closes_each_connection_at_once_crashed(gateway) -> None:
    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    gateway.directory.put(build_entry("i-1", port=port, service="llm"))
    [endpoint] = gateway.directory
    await gateway.containment.record_break(Run(build_generation("shared"), endpoint))
    assert len(gateway.containment.ledger) == 1
    server.close()


# fault: a lost link, on which connecting times out, is taken for a crash
async def test_an_endpoint_that_can_not_be_reached_is_not_known_to_have_crashed(
    gateway, monkeypatch
) -> None:
    gateway.directory.put(build_entry("i-1", service="llm"))
    [endpoint] = gateway.directory

    async def time_out(_: float) -> None:
        raise ConnectError("timed out") from TimeoutError()

    monkeypatch.setattr(endpoint.pool, "open", time_out)
    await gateway.containment.record_break(Run(build_generation("shared"), endpoint))
    assert not len(gateway.containment.ledger)


async def test_a_resumed_stream_is_not_stopped_by_the_refusal_of_its_part(
    gateway, start_server
) -> None:
    first = await start_server("i-1", service="llm", events=30, event_interval_s=0.03)
    second = await start_server(
        "i-2", service="llm", events=30, data_centre="kurzeme-a", response_delay_s=0.3
    )
    running = asyncio.ensure_future(generate(gateway, "late"))
    await asyncio.sleep(BEGINNING_S + 0.2)
    await first.stop()
    while not second.ran:
        await asyncio.sleep(0.01)
    gateway.containment.ledger._passed_at.clear()
    record_crashes(gateway, "late")
    assert gateway.containment.ledger.refused
    assert (await running).numbers == list(range(1, 31))


# fault: an engine that falls silent, whose connections this side closes, is taken for crashed
async def test_a_silent_endpoint_is_no_crash(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=5)
    await start_server("i-2", service="llm", events=5, data_centre="kurzeme-a")
    server.silent = True
    assert (await generate(gateway, "shared")).numbers == [1, 2, 3, 4, 5]
    assert not len(gateway.containment.ledger)


async def test_a_crash_with_the_same_name_some_seconds_later_is_another(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm")
    await server.stop()
    [endpoint] = gateway.directory
    containment = gateway.containment
    for _ in range(CRASHES_TO_REFUSE):
        await containment.record_break(Run(build_generation(DEADLY), endpoint, began=True))
        for record in containment.ledger._records.values():
            record.occurred_at -= 2.0
            record.started_at -= 2.0
    assert len(containment.ledger) == CRASHES_TO_REFUSE
    assert containment.find_refusal(build_generation(DEADLY)) is not None


# fault: a call that may be repeated ends as many servers as there are, in its repetitions
async def test_a_content_that_crashes_servers_is_refused(gateway, start_server) -> None:
    route = build_route(attempts_limit=2, timeout_s=5.0, latency_target_s=4.0)
    crashed = []
    for number in range(5):
        server = await start_server(f"i-{number}", response_delay_s=5.0)
        stopping = asyncio.ensure_future(stop_started(server))
        with pytest.raises(RefusedError) as caught:
            await CallHandler(gateway).handle(build_call(route, id=f"c{number}"), None)
        if stopping.done():
            crashed.append(caught.value.refusal.kind)
        stopping.cancel()
    assert crashed == [ErrorKind.ENDPOINT_FAILED] * CRASHES_TO_REFUSE
    assert caught.value.refusal.kind is ErrorKind.CRASHES_ENDPOINTS
    other = build_call(build_route(), id="other", body=b"other")
    assert gateway.containment.find_refusal(other) is None


# fault: requests that are at engines already when their part is refused crash these too
async def test_a_stream_without_an_event_is_cancelled_when_its_part_is_refused(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm", events=5, response_delay_s=5.0)
    running = asyncio.ensure_future(generate(gateway, "shared", DEADLY))
    while not server.ran:
        await asyncio.sleep(0.01)
    record_crashes(gateway, DEADLY)
    async with limit_time(0.5):
        with pytest.raises(RefusedError) as caught:
            await running
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert len(server.seen) == 1


async def test_a_started_stream_continues_when_its_part_is_refused(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=10, event_interval_s=0.02)
    running = asyncio.ensure_future(generate(gateway, "shared", "late"))
    while not server.ran:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    record_crashes(gateway, "late")
    assert (await running).numbers == list(range(1, 11))


# fault: a queued request is sent though its part was refused while it waited
async def test_a_queued_call_is_refused_with_its_part(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=5)
    [endpoint] = gateway.directory
    endpoint.full_until = time.monotonic() + 60.0
    waiting = asyncio.ensure_future(generate(gateway, "shared", DEADLY))
    await asyncio.sleep(0.1)
    assert gateway.dispatcher.waiting == 1
    record_crashes(gateway, DEADLY)
    async with limit_time(0.5):
        with pytest.raises(RefusedError) as caught:
            await waiting
    assert caught.value.refusal.kind is ErrorKind.CRASHES_ENDPOINTS
    assert not gateway.dispatcher.waiting
    assert not server.seen


async def test_a_whole_stream_clears_its_parts(gateway, start_server) -> None:
    await start_server("i-1", service="llm", events=5)
    record_crashes(gateway, "shared", "own")
    assert (await generate(gateway, "shared")).numbers == [1, 2, 3, 4, 5]
    refused = gateway.containment.ledger.refused
    assert [sorted(r.keys) for r in refused] == [["own"]]


def test_the_content_is_all_that_the_caller_repeats() -> None:
    call = build_call(id="one")
    assert attrs.evolve(call, id="two").content_key == call.content_key
    for change in ({"workspace": "v"}, {"target": "/a/y"}, {"body": b"other"}):
        assert attrs.evolve(call, **change).content_key != call.content_key


# fault: only the state in the listing was asked, not what the endpoint itself has said
async def test_an_endpoint_that_said_that_it_leaves_did_not_crash(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm")
    [endpoint] = gateway.directory
    run = Run(build_generation("shared"), endpoint)
    endpoint.notices.record_leaving(Source.ANSWER, time.monotonic())
    await server.stop()
    await gateway.containment.record_break(run)
    assert not len(gateway.containment.ledger)


# fault: a plain call whose content was refused while it was queued was sent
async def test_a_queued_call_is_not_sent_once_its_content_is_refused(gateway, start_server) -> None:
    call = build_call(build_route(), body=b"deadly")
    pending = asyncio.ensure_future(CallHandler(gateway).handle(call, RecordingResponder()))
    await asyncio.sleep(0.05)
    assert gateway.dispatcher.waiting == 1
    records = [
        CrashRecord(f"e{n}/{n}", call.content_key, frozenset(), began=True, age_s=60.0 * n)
        for n in range(CRASHES_TO_REFUSE)
    ]
    gateway.containment.ledger.merge(records)
    server = await start_server("i-1")
    with pytest.raises(RefusedError) as caught:
        await pending
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN
    assert not server.seen
    assert not any(endpoint.load.calls for endpoint in gateway.directory)


# fault: the content of a stream that had passed was blamed for the crashes that it met later
async def test_a_resumed_stream_is_not_blamed_for_a_later_crash(gateway, start_server) -> None:
    first = await start_server("i-1", service="llm", events=40, event_interval_s=0.03)
    second = await start_server(
        "i-2", service="llm", events=40, data_centre="kurzeme-a", response_delay_s=0.2
    )
    running = asyncio.ensure_future(generate(gateway, "shared"))
    await asyncio.sleep(BEGINNING_S + 0.2)
    await first.stop()
    await stop_started(second)
    with pytest.raises(StreamBrokenError):
        await running
    assert not len(gateway.containment.ledger)


async def test_calls_of_different_methods_have_different_contents() -> None:
    get, delete = build_call(method="GET"), build_call(method="DELETE")
    assert get.content_key != delete.content_key
