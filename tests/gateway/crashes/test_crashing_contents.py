"""Requests without a prompt part in common that crash servers wherever they run."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.coordination.crashledger import CRASHES_TO_REFUSE
from basilroad.errors import ErrorKind, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.route import RetrySafety, Route
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.standin.appserver import AppServerStandin, CrashPoint
from builders import RecordingResponder, build_call, build_route, build_stream_route

DEADLY = b"deadly"
SERVERS = 8
ATTEMPTS = 7
"""Attempts of callers with the same request."""


async def start_servers(start_server, service: str, **options: object) -> list[AppServerStandin]:
    return [
        await start_server(f"i-{n}", service=service, crash_body=DEADLY, **options)
        for n in range(SERVERS)
    ]


async def send_repeatedly(gateway: Gateway, route: Route) -> list[ErrorKind | None]:
    """Send the same request as several callers' attempts.

    :return: kind of each refusal; ``None`` for a stream that broke
    """
    kinds: list[ErrorKind | None] = []
    for number in range(ATTEMPTS):
        call = build_call(route, id=f"c{number}", body=DEADLY)
        try:
            await CallHandler(gateway).handle(call, RecordingResponder())
        except RefusedError as error:
            kinds.append(error.refusal.kind)
        except StreamBrokenError:
            kinds.append(None)
        await asyncio.sleep(0.05)
    return kinds


def count_crashes(servers: list[AppServerStandin]) -> int:
    return sum(server.crashes for server in servers)


# pattern: an order comes again, by its caller or another host, after it has ended three servers
@pytest.mark.parametrize("retry_safety", list(RetrySafety))
async def test_a_plain_call_that_crashes_servers_is_not_sent_on(
    gateway, start_server, retry_safety: RetrySafety
) -> None:
    servers = await start_servers(start_server, "app", crash_point=CrashPoint.NO_HEAD)
    limit = 2 if retry_safety is RetrySafety.ALLOWED else 1
    route = build_route(retry_safety=retry_safety, attempts_limit=limit)
    kinds = await send_repeatedly(gateway, route)
    assert count_crashes(servers) == CRASHES_TO_REFUSE
    assert kinds[-1] is ErrorKind.CRASHES_ENDPOINTS


# pattern: a generation ends each engine on which it gets to the same event
async def test_a_stream_that_crashes_engines_after_its_beginning_is_not_sent_on(
    gateway, start_server
) -> None:
    options = {"events": 60, "event_interval_s": 0.02}
    point = {"crash_point": CrashPoint.EVENT, "crash_at_event": 25}
    servers = await start_servers(start_server, "llm", **options, **point)
    kinds = await send_repeatedly(gateway, build_stream_route())
    assert count_crashes(servers) <= CRASHES_TO_REFUSE + 1
    assert kinds[0] is None
    assert kinds[-1] is ErrorKind.CRASHES_ENDPOINTS


# fault: engines that crash at different events of a stream are taken for crashed by it
async def test_a_stream_that_meets_crashes_at_different_events_is_served(
    gateway, start_server
) -> None:
    servers = [
        await start_server(f"i-{n}", service="llm", events=60, event_interval_s=0.03)
        for n in range(SERVERS)
    ]
    responder = RecordingResponder()
    call = build_call(build_stream_route())
    running = asyncio.ensure_future(CallHandler(gateway).handle(call, responder))
    for events in (6, 14, 26):
        known = len(responder.numbers)
        while len(responder.numbers) < known + events:
            await asyncio.sleep(0.01)
        [endpoint] = [e for e in gateway.directory if e.load.started]
        [server] = [s for s in servers if s.id == endpoint.id]
        await server.stop()
    await running
    assert responder.numbers == list(range(1, 61))
    assert not gateway.containment.ledger.refused
