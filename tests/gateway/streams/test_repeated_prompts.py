"""Prompts of streams that are run again, at stand-in engines."""

from __future__ import annotations

import logging

import attrs
import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.standin.appserver import AppServerStandin, WireFault
from builders import ENGINE, RecordingResponder, build_call, build_stream_route

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


async def test_a_prompt_is_not_fetched_from_an_engine_that_broke_off(gateway, engines) -> None:
    engines[0].reset_at_event = 3
    responder = await run(gateway)
    assert responder.numbers == list(range(1, EVENTS + 1))
    assert list_sources(engines[1]) == [None]
