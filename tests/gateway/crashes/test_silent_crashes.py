"""Requests on which engines fall silent, without a broken connection."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from basilroad.coordination.crashledger import CRASHES_TO_REFUSE
from basilroad.errors import RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.crashes.runs import BEGINNING_S, Run
from basilroad.gateway.gateway import Gateway
from basilroad.standin.appserver import AppServerStandin, CrashPoint
from builders import RecordingResponder, build_call, build_entry, build_stream_route

DEADLY = b"deadly"


# pattern: each engine falls silent on the request, and is listed with a new start some time later
async def test_a_request_on_which_engines_fall_silent_is_not_sent_on(gateway, start_server) -> None:
    options = {"crash_body": DEADLY, "crash_point": CrashPoint.SILENT, "down_s": 1.5}
    servers = [await start_server(f"i-{n}", service="llm", events=5, **options) for n in range(8)]
    listing = asyncio.ensure_future(relist_restarted(gateway, servers))
    for number in range(5):
        call = build_call(build_stream_route(attempts_limit=3), id=f"c{number}", body=DEADLY)
        with pytest.raises(RefusedError):
            await CallHandler(gateway).handle(call, RecordingResponder())
    assert gateway.containment.find_refusal(build_call(build_stream_route(), body=DEADLY))
    # some are at engines before the third restart shows
    assert sum(server.crashes for server in servers) <= CRASHES_TO_REFUSE + 3
    listing.cancel()


async def relist_restarted(gateway: Gateway, servers: list[AppServerStandin]) -> None:
    """List servers with a new start time once they are up again, as the platform does."""
    was_silent: set[str] = set()
    while True:
        for server in servers:
            if server.silent:
                was_silent.add(server.id)
            elif server.id in was_silent:
                was_silent.discard(server.id)
                entry = gateway.directory.get(server.id).entry
                gateway.directory.put(attrs.evolve(entry, started_ms=entry.started_ms + 1))
        await asyncio.sleep(0.02)


# fault: a host whose links are cut takes the endpoints behind them for crashed
async def test_a_silent_endpoint_that_stays_listed_has_not_crashed(gateway, start_server) -> None:
    servers = [await start_server(f"i-{n}", service="llm", events=5) for n in range(4)]
    for server in servers:
        server.silent = True
    call = build_call(build_stream_route(timeout_s=2.5))
    with pytest.raises(RefusedError):
        await CallHandler(gateway).handle(call, RecordingResponder())
    lost = [endpoint for endpoint in gateway.directory if endpoint.lost_at > 0]
    assert lost
    gateway.containment.check_silent(time.monotonic())
    assert not len(gateway.containment.ledger)
    gateway.directory.remove(lost[0].id)
    gateway.containment.check_silent(time.monotonic())
    assert len(gateway.containment.ledger) == 1


# fault: the listing's removal of an endpoint that had announced its exit is taken for a crash
async def test_a_silent_endpoint_that_leaves_has_not_crashed(gateway) -> None:
    gateway.directory.put(build_entry("i-1", service="llm"))
    [endpoint] = gateway.directory
    run = Run(build_call(build_stream_route()), endpoint)
    endpoint.record_silent(time.monotonic())
    gateway.containment.record_silence(run)
    endpoint.notices.record_leaving(endpoint.notices.leaving_source, time.monotonic())
    gateway.directory.remove("i-1")
    gateway.containment.check_silent(time.monotonic())
    assert not len(gateway.containment.ledger)


# fault: the content of a stream that had passed was blamed for an engine that fell silent later
async def test_a_resumed_stream_is_not_blamed_for_a_silent_engine(gateway, start_server) -> None:
    options = {"events": 30, "event_interval_s": 0.03}
    first = await start_server("i-1", service="llm", **options)
    # they report their start, and fall silent on the request
    options |= {"crash_body": DEADLY, "crash_point": CrashPoint.SILENT, "down_s": 60.0}
    second = await start_server("i-2", service="llm", data_centre="kurzeme-a", **options)
    third = await start_server("i-3", service="llm", data_centre="kurzeme-a", **options)
    call, responder = build_call(build_stream_route(), body=DEADLY), RecordingResponder()
    running = asyncio.ensure_future(CallHandler(gateway).handle(call, responder))
    await asyncio.sleep(BEGINNING_S + 0.2)
    await first.stop()
    lost = await wait_for_lost(gateway)
    for server in (second, third):
        server.crash_body, server.silent = b"", False
    await running
    assert responder.numbers == list(range(1, 31))
    gateway.directory.remove(lost)
    gateway.containment.check_silent(time.monotonic())
    assert not len(gateway.containment.ledger)


async def wait_for_lost(gateway: Gateway) -> str:
    """:return: id of an engine that is found to be silent."""
    while True:
        for endpoint in gateway.directory:
            if endpoint.lost_at > 0:
                return endpoint.id
        await asyncio.sleep(0.01)
