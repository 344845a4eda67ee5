"""Servers that say in their responses that they leave, or that they want nothing for a while."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.notices import Notice, Purpose, Source
from basilroad.gateway.route import RetrySafety
from basilroad.standin.appserver import ALL_RESPONSES, ResponseKind, WireFault
from builders import RecordingResponder, build_call, build_entry, build_route, build_stream_route
from support.timelimit import limit_time

ONCE = build_route(
    retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1, latency_target_s=0.3, timeout_s=2.0
)
STREAM = build_stream_route(timeout_s=6.0)


async def run(gateway: Gateway, route=ONCE, **changes: object):
    responder = RecordingResponder()
    reply = await CallHandler(gateway).handle(build_call(route, **changes), responder)
    return responder if reply is None else reply


async def wait_for(condition, limit_s: float = 3.0) -> None:
    async with limit_time(limit_s):
        while not condition():
            await asyncio.sleep(0.005)


# leaving


async def test_an_answer_that_announces_leaving_is_the_last_one_there(
    gateway, start_server
) -> None:
    # fault: calls reach a server that leaves until its entry changes
    first = await start_server("i-1", leaving_in=ALL_RESPONSES)
    second = await start_server("i-2", data_centre="riga-b")
    replies = [await run(gateway, id=f"c{number}") for number in range(5)]
    assert ("Server-Leaving", "1") in replies[0].headers
    assert (first.ran, second.ran) == (["c0"], ["c1", "c2", "c3", "c4"])


async def test_a_rejection_announces_leaving_too(gateway, start_server) -> None:
    # fault: the header is read from complete answers only
    first = await start_server("i-1", leaving_in=frozenset({ResponseKind.REJECTION}))
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.TURN_AWAY])
    await run(gateway, id="c0")
    await asyncio.sleep(0.3)
    await run(gateway, id="c1")
    assert len(first.seen) == 1


async def test_a_failed_answer_announces_leaving_too(gateway, start_server) -> None:
    first = await start_server("i-1", leaving_in=ALL_RESPONSES)
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.FAIL])
    assert (await run(gateway, id="c0")).status == 500
    await run(gateway, id="c1")
    assert len(first.seen) == 1


@pytest.mark.by_turns
async def test_another_server_at_the_address_says_nothing_of_ours(gateway, start_server) -> None:
    # fault: a sound server is lost by the notice of another one at its address
    first = await start_server("i-1", leaving_in=ALL_RESPONSES)
    first.schedule_faults([WireFault.MISDIRECT])
    with pytest.raises(RefusedError):
        await run(gateway)
    assert gateway.directory.get("i-1").notices.leaving_since is None


async def test_the_head_of_a_stream_announces_leaving_before_its_end(gateway, start_server) -> None:
    # fault: a stream of minutes makes its notice known at its end
    options = {"service": "llm", "events": 40, "event_interval_s": 0.02}
    first = await start_server("i-1", leaving_in=ALL_RESPONSES, **options)
    second = await start_server("i-2", data_centre="kurzeme-a", **options)
    running = asyncio.ensure_future(run(gateway, STREAM, id="c0"))
    await wait_for(lambda: gateway.directory.get("i-1").notices.leaving_since)
    assert not running.done()
    later = await run(gateway, STREAM, id="c1")
    assert later.numbers == (await running).numbers == list(range(1, 41))
    assert (first.ran, second.ran) == (["c0"], ["c1"])


async def test_the_answer_to_a_probe_announces_leaving(gateway, start_server) -> None:
    # fault: only answers to calls are read
    first = await start_server(
        "i-1",
        service="llm",
        events=3,
        response_delay_s=1.2,
        leaving_in=frozenset({ResponseKind.REPORT}),
        # its start is not asked for
        lists_start=False,
    )
    second = await start_server("i-2", service="llm", events=3, data_centre="kurzeme-a")
    running = asyncio.ensure_future(run(gateway, STREAM, id="c0"))
    notices = gateway.directory.get("i-1").notices
    await wait_for(lambda: notices.leaving_since)
    assert notices.leaving_source is Source.PROBE
    await run(gateway, STREAM, id="c1")
    assert (await running).numbers == [1, 2, 3]
    assert (first.ran, second.ran) == (["c0"], ["c1"])


async def test_a_report_before_a_placement_announces_leaving(gateway, start_server) -> None:
    first = await start_server(
        "i-1", service="llm", events=3, leaving_in=frozenset({ResponseKind.REPORT})
    )
    second = await start_server("i-2", service="llm", events=3, data_centre="kurzeme-a")
    gateway.dispatcher.asks_engines = True
    await run(gateway, STREAM, id="c0")
    await run(gateway, STREAM, id="c1")
    assert (first.ran, second.ran) == ([], ["c0", "c1"])
    assert first.reports == 1


async def test_a_late_second_copy_announces_leaving(gateway, start_server) -> None:
    # fault: a copy that is skipped is not read at all
    first = await start_server("i-1")
    first.schedule_faults([WireFault.LATE_COPY])
    await run(gateway, id="c0")
    [writer] = first._late_copies
    head, _, rest = first._late_copies[writer].partition(b"\r\n")
    first._late_copies[writer] = head + b"\r\nServer-Leaving: 1\r\n" + rest
    await run(gateway, id="c1")
    assert gateway.directory.get("i-1").notices.leaving_since is not None


async def test_leaving_holds_without_a_store(gateway, start_server) -> None:
    # fault: an entry that says ready makes a leaving server usable again
    first = await start_server("i-1", leaving_in=ALL_RESPONSES)
    second = await start_server("i-2", data_centre="riga-b")
    await run(gateway, id="c0")
    gateway.directory.mark_listing_unreliable()
    entries = [
        build_entry("i-1", port=first.port, slots=47, started_ms=first.born),
        build_entry(
            "i-2", port=second.port, data_centre="riga-b", slots=48, started_ms=second.born
        ),
    ]
    gateway.directory.remove("i-1")
    gateway.directory.replace(entries)
    await run(gateway, id="c1")
    assert (first.ran, second.ran) == (["c0"], ["c1"])


async def test_a_stream_does_not_resume_at_a_leaving_holder_of_its_backup(
    gateway, start_server
) -> None:
    # fault: a resumed stream goes to a server that leaves, since that has the copy
    options = {"service": "llm", "events": 20}
    await start_server("i-1", reset_at_event=10, **options)
    others = {
        name: await start_server(name, data_centre="kurzeme-a", **options)
        for name in ("i-2", "i-3")
    }
    running = asyncio.ensure_future(run(gateway, STREAM))

    def find_holders() -> list[str]:
        return [name for name in others if gateway.directory.get(name).load.calls]

    await wait_for(find_holders)
    [holder] = find_holders()
    gateway.directory.get(holder).notices.record(Notice(leaving=True), Source.ANSWER, 0.0)
    assert (await running).numbers == list(range(1, 21))
    assert others[holder].ran == []


async def test_a_notice_that_comes_while_a_connection_is_opened_counts(
    gateway, start_server, monkeypatch
) -> None:
    # fault: a call is sent to a server that began to leave after the placement
    first = await start_server("i-1")
    second = await start_server("i-2", data_centre="riga-b")
    endpoint = gateway.directory.get("i-1")
    open_channel = endpoint.pool.open

    async def open_late(*arguments: object):
        channel = await open_channel(*arguments)
        endpoint.notices.record(Notice(leaving=True), Source.ANSWER, time.monotonic())
        return channel

    monkeypatch.setattr(endpoint.pool, "open", open_late)
    await run(gateway)
    assert (first.seen, second.ran) == ([], ["c1"])


# wanting nothing for a while


async def test_a_server_that_wants_nothing_gets_nothing(gateway, start_server) -> None:
    # fault: a server that asked for seconds without requests is asked again after 0.2 s
    first = await start_server("i-1", retry_after="1")
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.PAUSE])
    until = time.monotonic() + 0.9
    number = 0
    while time.monotonic() < until:
        await run(gateway, id=f"c{number}")
        number += 1
        await asyncio.sleep(0.02)
    assert [request.id for request in first.seen] == ["c0"]
    await asyncio.sleep(0.3)
    await run(gateway, id="last")
    assert first.ran == ["last"]


async def test_a_rejection_without_a_time_counts_as_before(gateway, start_server) -> None:
    first = await start_server("i-1", retry_after="1")
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.TURN_AWAY])
    await run(gateway, id="c0")
    await asyncio.sleep(0.25)
    await run(gateway, id="c1")
    assert first.ran == ["c1"]


async def test_running_requests_are_not_cut_by_a_pause(gateway, start_server) -> None:
    first = await start_server("i-1", response_delay_s=0.2, retry_after="5")
    await start_server("i-2", data_centre="riga-b")
    running = asyncio.ensure_future(run(gateway, id="c0"))
    await wait_for(lambda: first.ran)
    first.schedule_faults([WireFault.PAUSE])
    await run(gateway, id="c1")
    assert (await running).body == b"answer of i-1 to c0"


async def test_if_all_want_nothing_a_call_is_refused_at_once_with_the_shortest_time(
    gateway, start_server, caplog
) -> None:
    # fault: a call that no server takes in time waits for half of its target and gets a fixed delay
    for name, seconds in (("i-1", "30"), ("i-2", "20")):
        server = await start_server(name, retry_after=seconds)
        server.schedule_faults([WireFault.PAUSE])
    started = time.monotonic()
    with caplog.at_level(logging.INFO), pytest.raises(RefusedError) as caught:
        await run(gateway, id="c0")
    assert time.monotonic() - started < 0.1
    refusal = caught.value.refusal
    assert (refusal.answer.http_status, refusal.answer.effect) == (503, Effect.NOT_RUN)
    assert 19.0 < refusal.retry_after <= 20.4
    [line] = [r for r in caplog.records if r.message == "no endpoint takes calls"]
    assert [fields["endpoint"] for fields in line.passed_over] == ["i-1", "i-2"]


async def test_a_call_of_a_single_paused_server_is_refused_at_once(gateway, start_server) -> None:
    server = await start_server("i-1", retry_after="30")
    server.schedule_faults([WireFault.PAUSE])
    started = time.monotonic()
    with pytest.raises(RefusedError):
        await run(gateway, id="c0")
    with pytest.raises(RefusedError):
        await run(gateway, STREAM, id="c1", service="app")
    assert time.monotonic() - started < 0.15
    assert len(server.seen) == 1


async def test_a_call_waits_for_a_pause_that_ends_in_time(gateway, start_server) -> None:
    server = await start_server("i-1", retry_after="0.1")
    server.schedule_faults([WireFault.PAUSE])
    route = build_route(retry_safety=RetrySafety.FORBIDDEN, latency_target_s=1.0)
    reply = await run(gateway, route, id="c0")
    assert reply.body == b"answer of i-1 to c0"


async def test_queued_calls_are_refused_when_all_servers_begin_to_want_nothing(
    gateway, start_server
) -> None:
    # fault: calls that wait for room wait on to their limit though no server takes any in time
    await start_server("i-1", response_delay_s=3.0)
    endpoint = gateway.directory.get("i-1")
    endpoint.load.calls = 1000
    route = build_route(latency_target_s=4.0, timeout_s=6.0)
    waiting = [asyncio.ensure_future(run(gateway, route, id=f"c{n}")) for n in range(3)]
    await wait_for(lambda: gateway.dispatcher.waiting == 3)
    started = time.monotonic()
    endpoint.notices.record(Notice(pause_s=30.0), Source.ANSWER, started)
    results = await asyncio.gather(*waiting, return_exceptions=True)
    assert time.monotonic() - started < 0.2
    assert all(isinstance(result, RefusedError) for result in results)
    endpoint.load.calls = 0


async def test_after_a_pause_urgent_calls_go_first(gateway, start_server) -> None:
    await start_server("i-1", response_delay_s=0.02)
    endpoint = gateway.directory.get("i-1")
    endpoint.notices.record(Notice(pause_s=0.2), Source.ANSWER, time.monotonic())
    route = build_route(latency_target_s=4.0, timeout_s=6.0)
    order: list[int] = []

    async def call(rank: int) -> None:
        await run(gateway, route, id=f"c{rank}", rank=rank)
        order.append(rank)

    await asyncio.gather(*(call(rank) for rank in (5, 3, 1, 0)))
    assert order == [0, 1, 3, 5]


async def test_a_silent_engine_that_wants_nothing_is_probed_once(gateway, start_server) -> None:
    # fault: probes count as requests too, and repeat every half second
    server = await start_server(
        "i-1", service="llm", events=3, response_delay_s=2.0, lists_start=False
    )
    running = asyncio.ensure_future(run(gateway, STREAM))
    await wait_for(lambda: server.ran)
    endpoint = gateway.directory.get("i-1")
    endpoint.notices.record(Notice(pause_s=10.0), Source.ANSWER, time.monotonic())
    assert (await running).numbers == [1, 2, 3]
    assert server.reports == 1


async def test_no_report_is_read_from_an_engine_that_wants_nothing(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=3)
    endpoint = gateway.directory.get("i-1")
    endpoint.notices.record(Notice(pause_s=10.0), Source.ANSWER, time.monotonic())
    reader = gateway.liveness._reports
    assert not await reader.read(endpoint, 0.2)
    assert server.reports == 0
    assert await reader.read(endpoint, 0.2, Purpose.PROBE)


async def test_notices_are_counted(gateway, start_server) -> None:
    first = await start_server("i-1", leaving_in=ALL_RESPONSES, retry_after="5")
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([WireFault.PAUSE])
    await run(gateway)
    text = gateway.render_metrics().decode()
    assert 'basilroad_endpoint_notices_total{kind="leaving",source="answer"} 1.0' in text
    assert 'basilroad_endpoint_notices_total{kind="pause",source="answer"} 1.0' in text


async def test_an_attempt_names_the_servers_that_were_passed_over(
    gateway, start_server, caplog
) -> None:
    # fault: the log does not say why a server that is listed as ready got no call
    await start_server("i-1", leaving_in=ALL_RESPONSES)
    await start_server("i-2", data_centre="riga-b")
    with caplog.at_level(logging.INFO):
        await run(gateway, id="c0")
        await run(gateway, id="c1")
    last = [record for record in caplog.records if record.message == "attempt"][-1]
    [passed_over] = last.passed_over
    assert last.endpoint == "i-2"
    assert passed_over.pop("age_ms") < 1000
    assert passed_over == {"endpoint": "i-1", "reason": "leaving", "source": "answer"}
