"""Placement by the engines' own reports.

Pattern: 68 gateways whose reports of each other are 6 s old send prompts to engines that already
process others, while empty engines are near.
"""

from __future__ import annotations

import asyncio
import random
import time

import attrs
import pytest

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.dispatch.dispatcher import REPORT_CANDIDATES, Dispatcher
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint, EngineReport, Reservation
from basilroad.gateway.registry.load import REPORT_VALIDITY_S
from basilroad.platform.protocol import PlatformProtocol
from builders import ENGINE, PLACE, RecordingResponder, build_call, build_entry, build_stream_route

SIZE = PromptSize(8000, 1000)
ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)


@attrs.define
class KnownReports:
    """Reads reports from a table.

    :param true_calls: prompts that each engine processes, by its id
    :param silent: ids of engines that don't answer
    :param asked: number of requests
    """

    true_calls: dict[str, int] = attrs.field(factory=dict)
    silent: set[str] = attrs.field(factory=set)
    asked: int = 0

    async def refresh(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        answered = []
        for endpoint in endpoints:
            self.asked += 1
            if endpoint.id in self.silent:
                continue
            calls = self.true_calls.get(endpoint.id, 0)
            report = EngineReport(calls, calls * SIZE.total, calls * SIZE.prompt_tokens)
            endpoint.record_report(report, time.monotonic())
            answered.append(endpoint)
        return answered


def build_dispatcher(reports: KnownReports, engines: int, seed: int = 1) -> Dispatcher:
    directory = Directory()
    for number in range(engines):
        directory.put(build_entry(f"e{number:03}", service="llm", slots=16))
    chooser = Chooser(PLACE, random.Random(seed))
    dispatcher = Dispatcher(directory, chooser, lambda _: ENGINE, reports)  # type: ignore[arg-type]
    dispatcher.asks_engines = True
    return dispatcher


async def place(dispatcher: Dispatcher, number: int) -> Reservation:
    call = build_call(ROUTE, id=f"c{number}")
    reservation = await dispatcher.place(call, call.on_time_until)
    assert reservation is not None
    return reservation


async def place_by_many_gateways(asks: bool) -> int:
    """:return: most prompts at one engine after 60 of 68 gateways placed one on 74 engines."""
    reports = KnownReports()
    for seed in range(60):
        dispatcher = build_dispatcher(reports, 74, seed)
        dispatcher.asks_engines = asks
        reservation = await place(dispatcher, seed)
        name = reservation.endpoint.id
        reports.true_calls[name] = reports.true_calls.get(name, 0) + 1
    return max(reports.true_calls.values())


async def test_gateways_that_ask_engines_spread_their_prompts() -> None:
    assert await place_by_many_gateways(asks=True) == 1
    assert await place_by_many_gateways(asks=False) > 1


async def test_new_empty_engines_take_work_at_once() -> None:
    reports = KnownReports({f"e{number:03}": 3 for number in range(20)})
    dispatcher = build_dispatcher(reports, 24)
    chosen = {(await place(dispatcher, number)).endpoint.id for number in range(12)}
    assert chosen.intersection({"e020", "e021", "e022", "e023"})


async def test_silent_candidates_are_not_chosen() -> None:
    reports = KnownReports(silent={f"e{number:03}" for number in range(0, 12, 2)})
    for seed in range(20):
        dispatcher = build_dispatcher(reports, 12, seed)
        assert (await place(dispatcher, seed)).endpoint.id not in reports.silent


async def test_without_any_report_the_call_is_placed_all_the_same() -> None:
    reports = KnownReports(silent={f"e{number:03}" for number in range(6)})
    await place(build_dispatcher(reports, 6), 1)


async def test_an_empty_candidate_ends_the_questions() -> None:
    reports = KnownReports()
    await place(build_dispatcher(reports, 74), 1)
    assert reports.asked == REPORT_CANDIDATES


def test_own_calls_since_a_report_are_added_to_it() -> None:
    endpoint = Endpoint(build_entry("e1", service="llm"))
    endpoint.record_report(EngineReport(2, 9000, 4000), now=10.0)
    Reservation(endpoint, SIZE)
    load = endpoint.estimate_load(10.1)
    assert (load.calls, load.memory_tokens, load.pending_prefill_tokens) == (3, 18000, 12000)


def test_an_old_report_counts_for_nothing() -> None:
    endpoint = Endpoint(build_entry("e1", service="llm"))
    endpoint.record_report(EngineReport(9, 80000, 40000), now=10.0)
    assert endpoint.estimate_load(10.0 + REPORT_VALIDITY_S).calls == 0


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (
            b'{"queued":1,"active":3,"kvUsed":30000,"held":4000,"next":7000,'
            b'"runs":[["a",9000,12,1],["b",8000,3,0]]}',
            EngineReport(4, 30000, 9000 + 7000),
        ),
        (b'{"queued":0,"active":0,"kvUsed":0}', EngineReport(0, 0, 0)),
        (b'{"queued":-1,"active":0,"kvUsed":0}', None),
        (b"<html>", None),
        (b"", None),
    ],
)
def test_a_report_is_decoded_or_ignored(body: bytes, expected: EngineReport | None) -> None:
    assert PlatformProtocol().decode_report(body) == expected


# fault: hosts whose reports alone met the end of an engine sent new streams to it unchecked
async def test_a_report_that_gets_no_connection_counts_as_a_sign_of_a_restart(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm")
    await server.stop()
    endpoint, asked_at = gateway.directory.get("i-1"), time.monotonic()
    assert not await gateway.liveness._reports.refresh([endpoint])
    assert endpoint.cut_at >= asked_at


async def test_an_engine_that_hangs_delays_a_placement_only_briefly(gateway, start_server) -> None:
    hanging = await start_server("i-1", service="llm", events=3)
    hanging.silent = True
    await start_server("i-2", service="llm", events=3, data_centre="riga-b")
    gateway.dispatcher.asks_engines = True
    began = asyncio.get_running_loop().time()
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(ROUTE), responder)
    assert responder.numbers == [1, 2, 3]
    assert hanging.ran == []
    assert asyncio.get_running_loop().time() - began < 0.5
