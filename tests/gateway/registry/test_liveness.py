"""Probes of silent engines: few connections, few probes while prompts are processed.

Pattern: 68 gateways each ask an engine several times per prompt, on a new connection each time.
"""

from __future__ import annotations

import asyncio

import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.registry.liveness import PREFILL_SILENCE_LIMIT_S
from basilroad.gateway.registry.notices import Purpose
from basilroad.gateway.registry.reports import ReportReader
from basilroad.platform.protocol import PlatformProtocol
from basilroad.standin.appserver import AppServerStandin
from builders import PLACE, RecordingResponder, build_call, build_entry, build_stream_route
from support.timelimit import limit_time

pytestmark = pytest.mark.by_turns

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)


async def run(gateway) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(ROUTE), responder)
    return responder


async def test_probes_use_idle_connections_of_calls(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=3, lists_start=False)
    await asyncio.gather(*(run(gateway) for _ in range(2)))
    endpoint = gateway.directory.get("i-1")
    reports = ReportReader(PlatformProtocol(), PLACE)
    assert server.connections == 2
    for opened in (2, 2, 3):
        assert await reports.read(endpoint, 1.0, Purpose.PROBE)
        assert server.connections == opened


async def test_a_probe_opens_one_connection_at_most(gateway, start_server) -> None:
    server = await start_server(
        "i-1", service="llm", events=3, response_delay_s=2.6, lists_start=False
    )
    assert (await run(gateway)).numbers == [1, 2, 3]
    assert gateway.liveness.probes_sent >= 2
    assert server.connections == 1 + gateway.liveness.probes_sent


# the late second copy of an old report passed for a sign of life of an engine that hangs
async def test_a_copy_of_an_old_report_is_no_sign_of_life(gateway, start_server) -> None:
    server = await start_server(
        "i-1", service="llm", events=3, response_delay_s=60.0, copies_reports=True
    )
    task = asyncio.ensure_future(run(gateway))
    while not server.reported_at:
        await asyncio.sleep(0.01)
    server.is_hung = True
    endpoint = gateway.directory.get("i-1")
    async with limit_time(2 * PREFILL_SILENCE_LIMIT_S):
        while endpoint.lost_at < 0:
            await asyncio.sleep(0.01)
    task.cancel()


async def test_an_engine_that_only_processes_prompts_is_asked_less_often(
    gateway, start_server
) -> None:
    delay_s = 2.0
    await start_server("i-1", service="llm", events=3, response_delay_s=delay_s)
    await run(gateway)
    assert gateway.liveness.probes_sent <= delay_s / PREFILL_SILENCE_LIMIT_S


async def test_an_idle_connection_that_was_closed_does_not_make_an_engine_lost(gateway) -> None:
    server = AppServerStandin("i-1", events=3, response_delay_s=2.6)
    await server.start()
    gateway.directory.put(
        build_entry("i-1", port=server.port, service="llm", slots=48, started_ms=0)
    )
    endpoint = gateway.directory.get("i-1")
    task = asyncio.ensure_future(run(gateway))
    while not gateway.liveness.probes_sent:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    for channel in endpoint.pool._idle._channels:
        # closed by the server without the gateway having noticed
        channel._transport.get_extra_info("socket").shutdown(1)
    assert (await task).numbers == [1, 2, 3]
    assert server.ran == ["c1"]
    await server.stop()


async def test_an_engine_that_dies_while_it_processes_a_prompt_is_lost(
    gateway, start_server
) -> None:
    first = await start_server("i-1", service="llm", events=3, response_delay_s=60.0)
    second = await start_server("i-2", service="llm", events=3, data_centre="kurzeme-a")
    task = asyncio.ensure_future(run(gateway))
    while not first.ran:
        await asyncio.sleep(0.01)
    first.silent = True
    began = asyncio.get_running_loop().time()
    assert (await task).numbers == [1, 2, 3]
    assert second.ran == ["c1"]
    assert asyncio.get_running_loop().time() - began < 2.0
