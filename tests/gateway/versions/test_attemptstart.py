"""Starts that are asked for while a stream runs."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest

from basilroad.errors import RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.registry.endpoint import UNCONFIRMED_BACKOFF_S
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Source
from basilroad.gateway.route import RetrySafety
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.gateway.versions.attemptstart import MAX_TRIES, RETRY_PAUSE_S
from basilroad.gateway.versions.startcheck import START_TIMEOUT_S
from basilroad.standin.streamevents import decode_events
from builders import RecordingResponder, build_call, build_entry, build_stream_route
from support.reportingserver import ReportingServer
from support.timelimit import await_within, limit_time

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
ALL_EVENTS = list(range(1, 21))

pytestmark = pytest.mark.by_turns


@pytest.fixture
async def engine(gateway) -> AsyncIterator[ReportingServer]:
    """:return: an engine of the version v1, which is listed alone."""
    server = ReportingServer("i-1", events=20)
    await server.start()
    gateway.directory.put(build_entry(server.id, port=server.port, service="llm", slots=48))
    yield server
    await server.stop()


async def run(gateway, responder: RecordingResponder, route=ROUTE, **changes: object) -> None:
    await CallHandler(gateway).handle(build_call(route, **changes), responder)


async def wait_for(condition) -> None:
    async with limit_time(5):
        while not condition():
            await asyncio.sleep(0.005)


# fault: a stream was passed on by a restart that was not listed, and counted as of another version
async def test_a_stream_that_reached_an_unlisted_restart_begins_elsewhere(
    gateway, engine, start_server
) -> None:
    await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    engine.start_ms, engine.response_delay_s = 2, 1.0
    responder = RecordingResponder()
    began = time.monotonic()
    await run(gateway, responder)
    assert responder.numbers == ALL_EVENTS
    assert ("X-Response-Seal", "seal-of-i-2") in responder.headers
    assert len(engine.seen) == 1
    assert time.monotonic() - began < engine.response_delay_s


# fault: a stream whose endpoint was known to have started again was taken up at the version listed
async def test_a_stream_at_another_start_is_not_taken_up_after_its_caller_has_left(
    gateway, engine, start_server
) -> None:
    second = await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    gateway.directory.get("i-2").full_until = float("inf")
    engine.start_ms, engine.version = 2, "v2"
    engine.silences_reports, engine.event_interval_s = True, 0.1
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder))
    await wait_for(lambda: responder.numbers)
    engine.silences_reports = False
    await asyncio.sleep(START_TIMEOUT_S)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    gateway.directory.get("i-2").full_until = 0.0
    last = str(responder.numbers[-1])
    with pytest.raises(RefusedError, match="is not known"):
        await run(gateway, RecordingResponder(), id="c2", resumes="c1", resume_after=last)
    assert not second.seen


# fault: that an endpoint had started again was forgotten before the listing could show it
@pytest.mark.parametrize("later", ["limit", "refuses", "silent"])
async def test_a_start_known_to_be_another_is_remembered_until_it_is_listed(
    gateway, engine, start_server, later: str
) -> None:
    await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    engine.start_ms, engine.version, engine.response_delay_s = 2, "v2", 0.1
    await run(gateway, RecordingResponder())
    assert len(engine.seen) == 1
    await asyncio.sleep(2 * UNCONFIRMED_BACKOFF_S)
    now, endpoint = time.monotonic(), gateway.directory.get("i-1")
    if later == "limit":
        endpoint.notices.record_limit(NamedLimit(1000.0, now), Source.ANSWER, now)
        endpoint.notices.limit.add_permit(now)
    engine.refuses_reports, engine.silences_reports = later == "refuses", later == "silent"
    engine.reset_at_event = 8
    gateway.directory.get("i-2").full_until = float("inf")
    responder = RecordingResponder()
    task = asyncio.ensure_future(run(gateway, responder, id="c2"))
    await asyncio.sleep(2 * START_TIMEOUT_S)
    gateway.directory.get("i-2").full_until = 0.0
    with contextlib.suppress(StreamBrokenError, RefusedError):
        await await_within(task, 5)
    assert len({event.version for event in decode_events(responder.data)}) <= 1


# fault: a crowded engine that reset one report got no new stream while it refused reports
async def test_a_report_that_was_cut_off_keeps_no_new_stream_from_a_sound_engine(
    gateway, engine
) -> None:
    engine.cuts_reports = MAX_TRIES
    responder = RecordingResponder()
    await run(gateway, responder)
    assert responder.numbers == ALL_EVENTS
    engine.refuses_reports = True
    gateway.directory.get("i-1").pool.close()
    responder = RecordingResponder()
    await run(gateway, responder, id="c2")
    assert responder.numbers == ALL_EVENTS


# fault: an engine that reports no start was asked for it beside each stream
async def test_an_engine_that_reports_no_start_is_asked_once_on_a_connection(
    gateway, engine
) -> None:
    engine.start_ms = None
    for number in range(4):
        responder = RecordingResponder()
        await run(gateway, responder, id=f"c{number}")
        assert responder.numbers == ALL_EVENTS
    assert engine.reports == 1


# fault: a report that came after the first event would have been ignored
async def test_a_stream_whose_endpoint_names_another_start_late_does_not_resume(
    gateway, engine, start_server
) -> None:
    second = await start_server("i-2", service="llm", events=20, data_centre="kurzeme-a")
    engine.start_ms, engine.silences_reports, engine.event_interval_s = 2, True, 0.15
    engine.reset_at_event = 10
    later_s = START_TIMEOUT_S + RETRY_PAUSE_S / 2
    asyncio.get_running_loop().call_later(later_s, setattr, engine, "silences_reports", False)
    responder = RecordingResponder()
    with pytest.raises(StreamBrokenError, match="is not known"):
        await run(gateway, responder)
    assert responder.numbers == list(range(1, 10))
    assert not second.seen


async def test_a_first_event_waits_for_a_report_only_briefly(gateway, engine) -> None:
    engine.silences_reports = True
    responder = RecordingResponder()
    await await_within(run(gateway, responder), 3)
    assert responder.numbers == ALL_EVENTS


async def test_a_report_that_gets_no_answer_is_asked_for_again(gateway, engine) -> None:
    engine.cuts_reports, engine.event_interval_s = 1, 0.1
    task = asyncio.ensure_future(run(gateway, RecordingResponder()))
    await wait_for(lambda: engine.reports == 1)
    await wait_for(lambda: gateway.directory.get("i-1").reports_start)
    await task


async def test_a_permit_is_not_used_for_a_report_beside_a_stream(gateway, engine) -> None:
    endpoint, now = gateway.directory.get("i-1"), time.monotonic()
    endpoint.notices.record_limit(NamedLimit(2.0, now), Source.ANSWER, now)
    endpoint.notices.limit.add_permit(now)
    responder = RecordingResponder()
    await run(gateway, responder)
    assert responder.numbers == ALL_EVENTS
    assert engine.reports == 0


async def test_no_report_is_read_beside_a_stream_that_may_not_resume(gateway, engine) -> None:
    route = build_stream_route(prefix="/s/", retry_safety=RetrySafety.FORBIDDEN)
    responder = RecordingResponder()
    await run(gateway, responder, route)
    assert responder.numbers == ALL_EVENTS
    assert engine.reports == 0
