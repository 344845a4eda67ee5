"""Prompts of streams that are run again, at stand-in engines."""

from __future__ import annotations

import asyncio
import logging
import time

import attrs
import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import HEARD_S, Endpoint, EndpointState
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Notice, Source
from basilroad.standin.appserver import AppServerStandin, WireFault
from builders import ENGINE, RecordingResponder, build_call, build_stream_route
from support.timelimit import limit_time

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
EVENTS = 6


@pytest.fixture
async def engines(gateway: Gateway, start_server) -> list[AppServerStandin]:
    """:return: two engines of one version, which can fetch prompts; the first one is preferred."""
    engine = attrs.evolve(ENGINE, kv_token_bytes=192_512.0, link_bits_per_s=1.5e12)
    services = gateway.table.services
    services["llm"] = attrs.evolve(services["llm"], engine=engine)
    return [
        await start_server("i-1", service="llm", events=EVENTS),
        await start_server("i-2", service="llm", events=EVENTS, data_centre="kurzeme-a"),
    ]


async def run(gateway: Gateway, **changes: object) -> RecordingResponder:
    responder = RecordingResponder()
    values = {"prompt_key": "p", **changes}
    await CallHandler(gateway).handle(build_call(ROUTE, **values), responder)
    return responder


def list_sources(engine: AppServerStandin) -> list[str | None]:
    return [request.headers.get("kv-fetch") for request in engine.seen]


async def test_the_first_run_of_a_prompt_fetches_nothing(gateway, engines) -> None:
    await run(gateway)
    assert list_sources(engines[0]) == [None]


# fault: the prompt of a stream was read anew where its caller took it up
async def test_a_take_up_at_another_engine_fetches_the_prompt(gateway, engines, caplog) -> None:
    caplog.set_level(logging.INFO)
    await run(gateway)
    gateway.directory.get("i-1").full_until = float("inf")
    responder = await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert responder.numbers == list(range(4, EVENTS + 1))
    assert list_sources(engines[1]) == [f"127.0.0.1:{engines[0].port}"]
    planned = [record for record in caplog.records if record.message == "prompt planned"]
    assert [(r.request, r.access, r.source) for r in planned] == [("c2", "fetched", "i-1")]


async def test_a_take_up_at_the_same_engine_fetches_nothing(gateway, engines) -> None:
    await run(gateway)
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert list_sources(engines[0]) == [None, None]


async def test_a_rejected_take_up_fetches_from_the_same_engine_elsewhere(gateway, engines) -> None:
    # fault: the engine that had rejected the stream was taken for the one that has its prompt
    await run(gateway)
    engines[0].schedule_faults([WireFault.TURN_AWAY])
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert list_sources(engines[1]) == [f"127.0.0.1:{engines[0].port}"]


# fault: another workspace got the prompt of the one that had sent it
async def test_another_workspace_fetches_nothing(gateway, engines) -> None:
    await run(gateway)
    gateway.directory.get("i-1").full_until = float("inf")
    await run(gateway, id="c2", workspace="x")
    assert list_sources(engines[1]) == [None]


# fault: a take-up waited seconds for a fetch from an engine that sent nothing any more
@pytest.mark.parametrize("end", ["silent", "gone", "restarted"])
async def test_a_prompt_is_not_fetched_from_an_engine_that_does_not_answer(
    gateway, engines, end: str, caplog
) -> None:
    caplog.set_level(logging.INFO)
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.last_received_at -= HEARD_S
    if end == "silent":
        engines[0].silent = True
    else:
        await engines[0].stop()
    if end == "restarted":
        await engines[0].start(engines[0].port)
    responder = await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert responder.numbers == list(range(4, EVENTS + 1))
    assert list_sources(engines[1]) == [None]
    planned = [record for record in caplog.records if record.message == "prompt planned"]
    assert [(r.access, r.reason) for r in planned] == [("computed", "its engine does not answer")]


async def test_an_engine_that_sends_events_is_not_asked(gateway, engines) -> None:
    await run(gateway)
    gateway.directory.get("i-1").full_until = float("inf")
    asked = engines[0].reports
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert engines[0].reports == asked


async def test_an_engine_that_ended_a_connection_is_asked(gateway, engines) -> None:
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.record_cut(time.monotonic())
    asked = engines[0].reports
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert engines[0].reports == asked + 1
    assert list_sources(engines[1]) == [f"127.0.0.1:{engines[0].port}"]


# fault: the prompt of a stream was read anew, as its engine was silent to one gateway only
@pytest.mark.parametrize("alive", [True, False])
async def test_other_gateways_are_asked_for_an_engine_that_fell_silent(
    gateway, engines, alive: bool
) -> None:
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.lost_at = time.monotonic()
    asked: list[str] = []

    async def ask(endpoint: Endpoint) -> bool:
        asked.append(endpoint.id)
        return alive

    gateway.source_check.ask_others = ask
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert asked == ["i-1"]
    source = f"127.0.0.1:{engines[0].port}" if alive else None
    assert list_sources(engines[1]) == [source]


async def test_an_engine_with_a_limit_is_not_asked(gateway, engines) -> None:
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.last_received_at -= HEARD_S
    first.notices.record_limit(NamedLimit(5.0, time.monotonic()), Source.ANSWER, time.monotonic())
    asked = engines[0].reports
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert engines[0].reports == asked
    assert list_sources(engines[1]) == [None]


# fault: capacity stayed reserved for a caller that had left while the source was asked
async def test_a_caller_that_leaves_while_the_source_is_asked_holds_nothing(
    gateway, engines
) -> None:
    await run(gateway)
    first, second = gateway.directory.get("i-1"), gateway.directory.get("i-2")
    first.full_until = float("inf")
    first.last_received_at -= HEARD_S
    engines[0].silent = True
    task = asyncio.ensure_future(run(gateway, id="c2", resume_after="3", resumes="c1"))
    async with limit_time(2):
        while not second.load.calls:
            await asyncio.sleep(0.001)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert second.load.calls == 0
    assert not engines[1].seen


# fault: a stream was sent to fetch its prompt from an address that its engine had left, or from an
# engine of another version
@pytest.mark.parametrize("change", ["removed", "restarted", "other version"])
async def test_a_prompt_is_not_fetched_from_an_engine_that_changed_while_it_was_asked(
    gateway, engines, change: str
) -> None:
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.lost_at = time.monotonic()

    async def ask(endpoint: Endpoint) -> bool:
        entry = endpoint.entry
        if change == "removed":
            gateway.directory.remove(endpoint.id)
        elif change == "restarted":
            gateway.directory.put(attrs.evolve(entry, started_ms=entry.started_ms + 1))
        else:
            gateway.directory.put(attrs.evolve(entry, version="v2"))
        return True

    gateway.source_check.ask_others = ask
    second = gateway.directory.get("i-2")
    await run(gateway, id="c2")
    assert list_sources(engines[1]) == [None]
    assert second.load.calls == 0


# fault: the checks of several gateways used up the requests that an engine with a limit wanted
async def test_an_engine_with_a_limit_is_not_probed_for_other_gateways(gateway, engines) -> None:
    first = gateway.directory.get("i-1")
    first.notices.record_limit(NamedLimit(5.0, time.monotonic()), Source.ANSWER, time.monotonic())
    assert not await gateway.source_check.probe(first)
    assert engines[0].reports == 0


# fault: nothing said whether a fetched prompt was read anew after all
@pytest.mark.usefixtures("engines")
async def test_what_happened_to_a_fetched_prompt_is_shown(gateway, caplog) -> None:
    caplog.set_level(logging.INFO)
    await run(gateway)
    gateway.directory.get("i-1").full_until = float("inf")
    await run(gateway, id="c2", resume_after="3", resumes="c1")
    first, second = [r for r in caplog.records if r.message == "prompt read"]
    assert (first.request, first.access, first.source) == ("c1", "computed", None)
    assert (second.request, second.access, second.source) == ("c2", "fetched", "i-1")
    assert first.planned_ms > second.planned_ms > 0
    assert second.calls_there == 1
    assert second.memory_share == round(9000 / ENGINE.memory_tokens, 2)
    rendered = gateway.metrics.render({}).decode()
    assert 'basilroad_prompt_seconds_count{access="fetched"} 1.0' in rendered


# fault: an attempt that never read its prompt left no line about the plan
async def test_a_prompt_that_is_not_read_is_shown(gateway, engines, caplog) -> None:
    caplog.set_level(logging.INFO)
    engines[0].schedule_faults([WireFault.RESET])
    await run(gateway)
    unread = next(r for r in caplog.records if r.message == "prompt read" and not r.has_begun)
    assert (unread.request, unread.endpoint, unread.access) == ("c1", "i-1", "computed")


# fault: an engine was given up while it computed a prompt that it could not fetch
@pytest.mark.by_turns
async def test_an_engine_that_computes_a_prompt_after_all_is_not_given_up(
    gateway, engines, start_server
) -> None:
    await run(gateway)
    gateway.directory.get("i-1").full_until = float("inf")
    engines[1].response_delay_s = 2.0
    third = await start_server("i-3", service="llm", events=EVENTS, data_centre="kurzeme-a")
    third.response_delay_s = 2.0
    responder = await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert responder.numbers == list(range(4, EVENTS + 1))
    assert len(engines[1].seen) + len(third.seen) == 1


# fault: a prompt was to be fetched from the engine that its stream left before it had read it
async def test_no_prompt_is_fetched_from_an_engine_that_never_began_it(gateway, engines) -> None:
    engines[0].schedule_faults([WireFault.RESET])
    responder = await run(gateway)
    assert responder.numbers == list(range(1, EVENTS + 1))
    assert list_sources(engines[1]) == [None]


async def test_a_prompt_is_fetched_from_an_engine_that_had_begun_it(gateway, engines) -> None:
    engines[0].reset_at_event = 4
    gateway.table.services["llm"] = attrs.evolve(
        gateway.table.services["llm"],
        engine=attrs.evolve(gateway.table.services["llm"].engine, supports_kv_backup=False),
    )
    responder = await run(gateway)
    assert responder.numbers == list(range(1, EVENTS + 1))
    assert list_sources(engines[1]) == [f"127.0.0.1:{engines[0].port}"]


# fault: of an engine that wanted few requests, one was used up by a caller that had left before
# anything was sent
@pytest.mark.usefixtures("engines")
async def test_a_caller_that_leaves_while_the_source_is_asked_leaves_its_permit(gateway) -> None:
    await run(gateway)
    first, second = gateway.directory.get("i-1"), gateway.directory.get("i-2")
    first.full_until = float("inf")
    first.lost_at = time.monotonic()
    is_asked = asyncio.Event()

    async def ask(_: Endpoint) -> bool:
        is_asked.set()
        return await asyncio.get_running_loop().create_future()

    gateway.source_check.ask_others = ask
    limit, now = second.notices.limit, time.monotonic()
    second.notices.record_limit(NamedLimit(0.01, now), Source.ANSWER, now)
    limit.add_permit(now + 10.0)
    task = asyncio.ensure_future(run(gateway, id="c2", resume_after="3", resumes="c1"))
    async with limit_time(2):
        await is_asked.wait()
    assert not limit.has_permit(now)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert limit.take_permit(now)
    assert not limit.has_permit(now)


# fault: a stream was sent to an engine that had been lost or had begun to drain while its source
# was asked
@pytest.mark.parametrize("change", ["removed", "drains", "leaves", "lost", "full"])
async def test_a_stream_is_not_sent_to_an_engine_that_was_lost_while_the_source_was_asked(
    gateway, engines, start_server, change: str
) -> None:
    engines.append(await start_server("i-3", service="llm", events=EVENTS, data_centre="riga-b"))
    await run(gateway)
    first = gateway.directory.get("i-1")
    first.full_until = float("inf")
    first.lost_at = time.monotonic()
    chosen: list[Endpoint] = []

    async def ask(_: Endpoint) -> bool:
        if chosen:
            return True
        [endpoint] = [e for e in gateway.directory if e.load.calls]
        chosen.append(endpoint)
        now = time.monotonic()
        if change == "removed":
            gateway.directory.remove(endpoint.id)
        elif change == "drains":
            entry = attrs.evolve(endpoint.entry, state=EndpointState.DRAINING)
            gateway.directory.put(entry)
        elif change == "leaves":
            endpoint.notices.record(Notice(leaving=True), Source.ANSWER, now)
        elif change == "lost":
            endpoint.record_silent(now)
        else:
            endpoint.full_until = float("inf")
        return True

    gateway.source_check.ask_others = ask
    responder = await run(gateway, id="c2", resume_after="3", resumes="c1")
    assert responder.numbers == list(range(4, EVENTS + 1))
    by_id = {f"i-{number}": engine for number, engine in enumerate(engines, 1)}
    assert not by_id.pop(chosen[0].id).seen
    assert chosen[0].load.calls == 0
    assert sum(len(engine.seen) for engine in by_id.values()) == 2
