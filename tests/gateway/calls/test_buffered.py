"""Buffered calls and faults at the protocol level."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.errors import Effect, ErrorKind, RefusedError
from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.route import RetrySafety
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_route
from support.gatewayrig import block_event_loop
from support.timelimit import await_within

ONCE = build_route(
    retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1, latency_target_s=0.3, timeout_s=0.8
)
"""Calls that may run only once."""

BROKEN = [
    WireFault.RESET,
    WireFault.CUT,
    WireFault.GARBAGE,
    WireFault.OTHER_ID,
    WireFault.NO_SEAL,
    WireFault.UNFRAMED_RESET,
    WireFault.LOSE_ANSWER,
]


async def run(gateway: Gateway, route=None, **changes: object) -> Reply:
    reply = await CallHandler(gateway).handle(build_call(route, **changes), RecordingResponder())
    assert reply is not None
    return reply


async def test_the_response_is_forwarded_unchanged(gateway, start_server) -> None:
    server = await start_server("i-1")
    reply = await run(gateway)
    assert reply.status == 200
    assert reply.body == b"answer of i-1 to c1"
    assert ("X-Response-Seal", "seal-of-i-1") in reply.headers
    seen = server.seen[0]
    assert (seen.method, seen.target, seen.body) == ("POST", "/a/x?y=1", b"body")
    assert seen.headers["x-expect-instance"] == "i-1"
    assert seen.headers["x-tenant"] == "w"
    assert 0 < int(seen.headers["x-deadline-ms"]) <= 2000


@pytest.mark.parametrize("fault", [WireFault.TURN_AWAY, WireFault.MISDIRECT])
async def test_a_rejected_call_runs_elsewhere(gateway, start_server, fault) -> None:
    first = await start_server("i-1")
    second = await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([fault])
    reply = await run(gateway, ONCE)
    assert reply.body == b"answer of i-2 to c1"
    assert (first.ran, second.ran) == ([], ["c1"])


@pytest.mark.parametrize("fault", BROKEN)
async def test_a_call_that_may_have_run_is_never_sent_again(gateway, start_server, fault) -> None:
    servers = [await start_server(f"i-{i}") for i in range(3)]
    for server in servers:
        server.schedule_faults([fault])
    with pytest.raises(RefusedError) as caught:
        await run(gateway, ONCE)
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert sum(len(server.seen) for server in servers) == 1


@pytest.mark.by_turns
@pytest.mark.parametrize("fault", [*BROKEN, WireFault.FAIL])
async def test_a_repeatable_call_runs_at_another_server(gateway, start_server, fault) -> None:
    first = await start_server("i-1")
    await start_server("i-2", data_centre="riga-b")
    first.schedule_faults([fault])
    reply = await run(gateway)
    assert (reply.status, reply.body) == (200, b"answer of i-2 to c1")


async def test_a_repeatable_call_keeps_to_its_attempts(gateway, start_server) -> None:
    servers = [await start_server(f"i-{i}") for i in range(4)]
    for server in servers:
        server.schedule_faults([WireFault.RESET])
    with pytest.raises(RefusedError):
        await run(gateway)
    assert sum(len(server.ran) for server in servers) == 2


async def test_an_error_response_is_forwarded(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.FAIL])
    reply = await run(gateway, ONCE)
    assert reply.status == 500
    assert ("X-Response-Seal", "seal-of-i-1") in reply.headers


async def test_a_response_without_length_is_complete_at_its_end(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.UNFRAMED])
    assert (await run(gateway, ONCE)).body == b"answer of i-1 to c1"


async def test_an_extra_response_is_discarded(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.EXTRA_ANSWER])
    assert (await run(gateway, ONCE, id="c1")).body == b"answer of i-1 to c1"
    await asyncio.sleep(0.01)
    assert (await run(gateway, ONCE, id="c2")).body == b"answer of i-1 to c2"
    assert server.connections == 2


async def test_a_healthy_connection_is_reused(gateway, start_server) -> None:
    server = await start_server("i-1")
    for number in range(3):
        await run(gateway, id=f"c{number}")
    assert server.connections == 1


async def test_without_endpoints_a_call_is_refused_as_not_run(gateway) -> None:
    with pytest.raises(RefusedError) as caught:
        await run(gateway, ONCE)
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN


async def test_a_refused_connection_is_not_run_and_another_server_serves(
    gateway, start_server
) -> None:
    first = await start_server("i-1")
    await first.stop()
    await start_server("i-2", data_centre="riga-b")
    assert (await run(gateway, ONCE)).body == b"answer of i-2 to c1"


async def test_a_call_ends_at_its_deadline(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.LOSE_ANSWER])
    call = build_call(ONCE)
    with pytest.raises(RefusedError) as caught:
        await await_within(CallHandler(gateway).handle(call, RecordingResponder()), 1.2)
    assert caught.value.refusal.answer.http_status == 504


async def test_a_disconnected_caller_cancels_its_call(gateway, start_server) -> None:
    server = await start_server("i-1", response_delay_s=5.0)
    task = asyncio.ensure_future(
        CallHandler(gateway).handle(build_call(ONCE), RecordingResponder())
    )
    while not server.ran:
        await asyncio.sleep(0.005)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    endpoint = gateway.directory.get("i-1")
    assert endpoint.load.calls == 0
    assert endpoint.silence_s(1e9) == 0.0


async def test_a_call_queued_when_its_host_shuts_down_is_not_sent_too_late(
    gateway, start_server
) -> None:
    # fault: the time left was compared on arrival only, and a queued call was sent and then cut off
    pending = asyncio.ensure_future(run(gateway, ONCE))
    while not gateway.dispatcher.waiting and not pending.done():
        await asyncio.sleep(0)
    assert gateway.dispatcher.waiting == 1
    gateway.shutdown.signal.received_at = time.monotonic() - gateway.settings.grace_s + 1.2
    server = await start_server("i-1")
    with pytest.raises(RefusedError) as caught:
        await pending
    assert caught.value.refusal.kind is ErrorKind.DRAINING
    assert not server.seen
    assert not any(endpoint.load.calls for endpoint in gateway.directory)


@pytest.mark.by_turns
async def test_a_call_whose_time_ended_in_the_queue_is_not_sent_by_a_busy_host(
    gateway, start_server
) -> None:
    # fault: only a timer kept the deadline of a queued call, and a busy host runs it too late
    server = await start_server("i-1")
    await run(gateway, ONCE)
    endpoint = gateway.directory.get("i-1")
    endpoint.full_until = time.monotonic() + 100
    call = build_call(ONCE, id="late", expires_at=time.monotonic() + 0.1)
    pending = asyncio.ensure_future(CallHandler(gateway).handle(call, RecordingResponder()))
    while not gateway.dispatcher.waiting and not pending.done():
        await asyncio.sleep(0)
    assert gateway.dispatcher.waiting == 1
    block_event_loop(0.2)
    endpoint.full_until = time.monotonic()
    gateway.dispatcher.dispatch_waiting()
    with pytest.raises(RefusedError) as caught:
        await pending
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN
    assert server.ran == ["c1"]
    assert not endpoint.load.calls
