"""Requests of callers, from the socket to the server and back."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator

import aiohttp
import attrs
import pytest

from basilroad.clocks import read_boot_clock
from basilroad.http.idleconnections import DRAIN_POLL_INTERVAL_S
from basilroad.standin.appserver import AppServerStandin, WireFault
from support.background import Background
from support.gatewayrig import (
    HEADERS,
    GatewayRig,
    block_event_loop,
    build_config,
    build_order,
    open_kept_connection,
    send_on_kept,
    shorten_grace,
    stop_after,
)
from support.timelimit import limit_time

BLOCKED_S = 2.5
"""Time without the event loop, longer than the time limit of a call."""


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    yield rig
    await rig.stop()


async def test_calls_before_the_first_config_may_be_retried(rig: GatewayRig) -> None:
    assert not await rig.is_ready()
    response = await rig.send_request("/o/1")
    assert response.status == 503
    assert "Retry-After" in response.headers


async def test_a_call_waits_briefly_for_the_first_config(rig: GatewayRig) -> None:
    # all hosts restart, and calls arrive before the config has been read
    pending = asyncio.ensure_future(rig.send_request("/o/1"))
    await asyncio.sleep(0.1)
    await rig.configure(1, "key")
    assert (await pending).status == 200


async def test_an_order_is_forwarded_unchanged_but_for_its_key(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    response = await rig.send_request("/o/a%20b?q=%2F", b"body", X_Other="kept", X_Tenant="forged")
    assert response.status == 200
    assert response.headers["X-Response-Seal"] == "seal-of-i-app"
    seen = rig.app.seen[0]
    assert (seen.target, seen.body) == ("/o/a%20b?q=%2F", b"body")
    assert seen.headers["x-other"] == "kept"
    assert seen.headers["x-tenant"] == "tenant"
    assert "x-key" not in seen.headers
    assert await rig.is_ready()


async def test_calls_are_refused_at_once_in_a_long_outage(rig: GatewayRig) -> None:
    rig.service.gateway._started_at -= 10
    started_at = asyncio.get_running_loop().time()
    response = await rig.send_request("/o/1")
    assert response.status == 503
    assert asyncio.get_running_loop().time() - started_at < 0.2


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/none/", "key", 404), ("/o/1", "unknown", 401), ("/o/1", "", 401)]
)
async def test_unknown_routes_and_keys_are_refused(
    rig: GatewayRig, path: str, key: str, status: int
) -> None:
    await rig.configure(1, "key")
    assert (await rig.send_request(path, X_Key=key)).status == status
    assert not rig.app.seen


async def test_a_stream_reaches_its_client(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    response = await rig.send_request("/s/1", X_Token_Usage="100,50", X_Hold="forged")
    assert response.status == 200
    assert (await response.read()).count(b"id: ") == 10
    assert "x-hold" not in rig.llm.seen[0].headers


async def test_metrics_count_calls_and_refusals(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    await rig.send_request("/o/1")
    await rig.send_request("/s/1", X_Attempt_Id="c2")
    await rig.send_request("/none/")
    url = f"http://{rig.service.settings.metrics}/metrics"
    async with rig.session.get(url) as response:
        text = await response.text()
    assert 'basilroad_calls_total{form="once",outcome="status_2xx"} 1.0' in text
    assert 'basilroad_calls_total{form="stream",outcome="whole_stream"} 1.0' in text
    assert 'basilroad_refusals_total{kind="unknown_service"} 1.0' in text
    assert "basilroad_config_version 1.0" in text
    assert 'basilroad_first_event_seconds_count{rank="1"} 1.0' in text


async def test_a_stream_that_can_not_be_resumed_is_truncated(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    rig.llm.reset_at_event = 4
    with pytest.raises(aiohttp.ClientPayloadError):
        await rig.send_request("/s/1", X_Deadline_Ms="600")


async def test_a_caller_gets_the_time_from_which_the_only_server_takes_calls(
    rig: GatewayRig,
) -> None:
    # fault: callers retry after a fixed second to a server that still wants nothing
    await rig.configure(1, "key")
    rig.app.retry_after = "7.5"
    rig.app.schedule_faults([WireFault.PAUSE])
    response = await rig.send_request("/o/1")
    assert response.status == 503
    assert 7.0 < float(response.headers["Retry-After"]) <= 7.9
    assert b"no endpoint takes calls now: 1 paused, 0 leaving" in await response.read()


# fault: a call whose response was lost was reported as one that had not run
@pytest.mark.by_turns
async def test_a_lost_response_is_not_reported_as_not_executed(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    rig.app.schedule_faults([WireFault.RESET])
    response = await rig.send_request("/o/1")
    assert response.status == 502
    assert "X-Response-Seal" not in response.headers
    assert len(rig.app.seen) == 1


# fault: a host without processor time reported a call as not run that its server had received
@pytest.mark.parametrize("fault", [WireFault.RESET, WireFault.LOSE_ANSWER])
@pytest.mark.parametrize("moment", ["arrived", "connected", "received"])
async def test_a_blocked_host_reports_as_not_executed_only_what_its_server_did_not_receive(
    rig: GatewayRig, moment: str, fault: WireFault
) -> None:
    await rig.configure(1, "key")
    rig.app.schedule_faults([fault])
    budget, connections = rig.service.gateway.budget_of("app"), rig.app.connections
    retries = budget.available()
    pending = asyncio.ensure_future(rig.send_request("/o/1"))
    reached = {
        "arrived": lambda: budget.available() > retries,
        "connected": lambda: rig.app.connections > connections,
        "received": lambda: len(rig.app.seen) > 0,
    }
    while not reached[moment]():
        await asyncio.sleep(0)
    block_event_loop(BLOCKED_S)
    status = (await pending).status
    # its server may also receive it after the response
    await asyncio.sleep(0.2)
    assert status == 503 or rig.app.seen
    assert status in (502, 504) or not rig.app.seen


async def test_a_body_beyond_the_limit_is_refused(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    assert (await rig.send_request("/o/1", b"x" * 10001)).status == 413


@pytest.mark.parametrize("is_first", [True, False])
async def test_no_key_is_valid_once_the_last_tenant_is_gone(
    rig: GatewayRig, is_first: bool
) -> None:
    """Review case 7: orders ran with keys that were taken away, and with none that ever held."""
    if not is_first:
        await rig.configure(2, "key")
        assert (await rig.send_request("/o/1")).status == 200
    ran = len(rig.app.ran)
    rig.store.put("op", "config", {**build_config(3), "tenants": []})
    async with limit_time(5.0):
        while rig.version != 3:
            await asyncio.sleep(0.01)
    for key in ("key", "stranger", ""):
        assert (await rig.send_request("/o/1", X_Key=key)).status == 401
    assert len(rig.app.ran) == ran


async def test_calls_are_refused_while_keys_are_unconfirmed(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    assert (await rig.send_request("/o/1")).status == 200
    rig.store.silent = True
    limit_s = rig.service.gateway.settings.key_age_limit_s
    assert limit_s is not None
    assert limit_s < 2.0
    await asyncio.sleep(limit_s + 0.1 + 1.5)
    response = await rig.send_request("/o/1")
    assert response.status == 503
    assert len(rig.app.ran) == 1
    rig.store.silent = False


async def test_a_client_disconnect_cancels_the_server_request(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    rig.app.response_delay_s = 30.0
    task = asyncio.ensure_future(rig.send_request("/o/1"))
    while not rig.app.ran:
        await asyncio.sleep(0.01)
    endpoint = rig.service.gateway.directory.get("i-app")
    assert endpoint is not None
    assert endpoint.load.calls == 1
    task.cancel()
    await rig.session.close()
    async with limit_time(0.4):
        while endpoint.load.calls:
            await asyncio.sleep(0.01)


async def test_a_planned_stop_cuts_no_stream(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    rig.llm.event_interval_s = 0.1
    task = asyncio.ensure_future(rig.send_request("/s/1"))
    while not rig.llm.ran:
        await asyncio.sleep(0.01)
    rig.service.gateway.stream_durations.mean_s = 6.0
    stopping = asyncio.ensure_future(rig.service.stop())
    await asyncio.sleep(0.1)
    assert not await rig.is_ready()
    refused = await rig.send_request("/s/2", X_Attempt_Id="c2")
    assert (refused.status, refused.headers["Connection"]) == (503, "close")
    assert float(refused.headers["Retry-After"]) < 0.1, "the next try reaches another host"
    served = await rig.send_request("/o/1", X_Attempt_Id="c3")
    assert served.status == 200
    response = await task
    assert (await response.read()).count(b"id: ") == 10
    await stopping


async def exchange_raw(rig: GatewayRig, pause_s: float, request_id: str) -> bytes:
    """Send an order in two parts on a new connection.

    :param pause_s: seconds between the connection and the end of the request
    :return: the whole response
    """
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    headers = {**HEADERS, "X-Attempt-Id": request_id, "Content-Length": "4"}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST /o/1 HTTP/1.1\r\n{head}".encode())
    await asyncio.sleep(pause_s)
    writer.write(b"\r\nbody")
    response = await reader.read()
    writer.close()
    return response


# fault: requests on accepted connections were cut off when a planned stop closed them
@pytest.mark.by_turns
async def test_a_planned_stop_answers_each_request_that_was_accepted(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    rig.app.response_delay_s = 0.15
    stopping = asyncio.ensure_future(rig.service.stop())
    calls, number = [], 0
    while not stopping.done():
        number += 1
        pause_s = 0.1 if number % 2 else 0.0
        calls.append(asyncio.ensure_future(exchange_raw(rig, pause_s, f"stop-{number}")))
        await asyncio.sleep(0.02)
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    answered = [isinstance(o, bytes) and o.startswith(b"HTTP/1.1 200") for o in outcomes]
    accepted = answered.index(False) if False in answered else len(answered)
    assert not any(answered[accepted:]), "requests after the last accepted one are refused at once"
    for outcome in outcomes[accepted:]:
        assert isinstance(outcome, ConnectionRefusedError), outcome
    assert len(rig.app.ran) == accepted
    assert accepted > 50


async def test_a_call_taken_late_in_a_planned_stop_is_not_given_up_without_an_answer(
    rig: GatewayRig,
) -> None:
    # fault: calls were read from kept connections until the process ended, and cancelled there
    await rig.configure(1, "key")
    kept = [await open_kept_connection(rig, number) for number in range(40)]
    limit_s = shorten_grace(rig, 3.0)
    rig.app.response_delay_s = 0.3
    ran_before = len(rig.app.ran)
    stopping = asyncio.ensure_future(rig.service.stop())
    early_until = time.monotonic() + limit_s - 0.9
    calls, early = [], set()
    for number, (reader, writer) in enumerate(kept):
        if time.monotonic() < early_until:
            early.add(number)
        calls.append(asyncio.ensure_future(send_on_kept(reader, writer, f"late-{number}")))
        await asyncio.sleep(limit_s / len(kept))
    responses = await asyncio.gather(*calls)
    await stopping
    ran = {request.id for request in rig.app.runs[ran_before:]}
    assert len(early) >= 10
    for number, response in enumerate(responses):
        if number in early:
            assert response.startswith(b"HTTP/1.1 200 "), f"call {number} got {response!r}"
        elif f"late-{number}" in ran:
            assert response.startswith(b"HTTP/1.1 "), f"call {number} got no answer: {response!r}"
            assert b" 503 " not in response.split(b"\r\n")[0], "it may have run"


@pytest.mark.parametrize("busy_from_s", [0.0, 2.2])
async def test_a_busy_host_admits_no_call_after_the_end_of_admission(
    rig: GatewayRig, busy_from_s: float
) -> None:
    # fault: admission ended by timers that began with the signal's handler and ran late, so a
    # stream that came after the end of admission was sent on and then cut off
    await rig.configure(1, "key")
    gateway = rig.service.gateway
    gateway.settings = attrs.evolve(gateway.settings, grace_s=8.0)
    reader, writer = await open_kept_connection(rig, 1)
    ran_before = len(rig.app.ran)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    gateway.shutdown.signal.watch()
    os.kill(os.getpid(), signal.SIGTERM)
    sent_at = time.monotonic()
    stop = asyncio.ensure_future(stop_after(rig, stopping))
    if busy_from_s:
        await asyncio.sleep(busy_from_s)
    block_event_loop(0.6)
    await asyncio.sleep(max(0.0, sent_at + 2.55 - time.monotonic()))
    response = await send_on_kept(reader, writer, "late")
    await stop
    loop.remove_signal_handler(signal.SIGTERM)
    assert len(rig.app.ran) == ran_before
    assert response.startswith((b"HTTP/1.1 408 ", b"HTTP/1.1 503 ")), "it has not run"


async def test_a_planned_stop_answers_each_call_that_its_limit_cuts_off(rig: GatewayRig) -> None:
    # fault: calls in flight at the limit of a planned stop ended with a closed connection
    await rig.configure(1, "key")
    shorten_grace(rig)
    rig.app.response_delay_s = 30.0
    sent = asyncio.ensure_future(exchange_raw(rig, 0.0, "sent"))
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    writer.write(build_order("half-read")[:-2])
    while not rig.app.ran:
        await asyncio.sleep(0.01)
    stopping = asyncio.ensure_future(rig.service.stop())
    assert (await sent).startswith(b"HTTP/1.1 502 "), "it may have run"
    assert (await reader.read()).startswith(b"HTTP/1.1 503 "), "it has not run"
    writer.close()
    await stopping
    assert rig.app.ran == ["sent"]


async def test_the_limit_of_calls_in_a_planned_stop_counts_from_its_signal(rig: GatewayRig) -> None:
    # fault: a late handler moved the end of the calls in flight towards SIGKILL
    await rig.configure(1, "key")
    limit_s = shorten_grace(rig)
    rig.app.response_delay_s = 30.0
    order = asyncio.ensure_future(exchange_raw(rig, 0.0, "in-flight"))
    while not rig.app.ran:
        await asyncio.sleep(0.01)
    handled_at = time.monotonic()
    rig.service.gateway.shutdown.signal.received_at = handled_at - 1.0
    stopping = asyncio.ensure_future(rig.service.stop())
    assert (await order).startswith(b"HTTP/1.1 502 "), "it may have run"
    assert time.monotonic() - handled_at < limit_s - 0.5
    await stopping


@pytest.mark.holds_stop
async def test_a_call_in_flight_is_answered_in_time_though_the_machine_was_suspended(
    rig: GatewayRig,
) -> None:
    # fault: the timers of a stop don't go on in a suspension, and SIGKILL came before their answers
    await rig.configure(1, "key")
    limit_s = shorten_grace(rig)
    rig.app.response_delay_s = 30.0
    order = asyncio.ensure_future(exchange_raw(rig, 0.0, "in-flight"))
    while not rig.app.ran:
        await asyncio.sleep(0.01)
    began = time.monotonic()
    stopping = asyncio.ensure_future(rig.service.stop())
    await asyncio.sleep(0.1)
    rig.service.gateway.shutdown.signal.boot_clock = lambda: read_boot_clock() + limit_s - 0.2
    assert (await order).startswith(b"HTTP/1.1 502 "), "it may have run"
    assert time.monotonic() - began < 1.2
    await stopping


@pytest.fixture
async def own_clock_app(rig: GatewayRig) -> AsyncIterator[AppServerStandin]:
    """A server that continues while the event loop of the gateway is blocked."""
    background, server = Background(), AppServerStandin("i-own-clock")
    await asyncio.to_thread(background.run, server.start())
    entry = {"service": "app", "zone": "a", "slots": 4, "state": "ready", "version": "v1"}
    rig.store.put(
        "servers", server.id, {**entry, "address": f"127.0.0.1:{server.port}", "born": server.born}
    )
    rig.store.put("servers", rig.app.id, None)
    yield server
    await asyncio.to_thread(background.run, server.stop())
    await asyncio.to_thread(background.close)


async def test_an_answer_that_arrived_before_the_limit_of_a_planned_stop_is_passed_on(
    rig: GatewayRig, own_clock_app: AppServerStandin
) -> None:
    # fault: a timer for the limit gave an answer up that a late loop read in the same turn
    await rig.configure(1, "key")
    async with limit_time(3):
        while [
            endpoint.id
            for endpoint in rig.service.gateway.directory
            if endpoint.entry.service == "app"
        ] != [own_clock_app.id]:
            await asyncio.sleep(0.01)
    limit_s = shorten_grace(rig)
    own_clock_app.response_delay_s = limit_s - 0.5
    order = asyncio.ensure_future(exchange_raw(rig, 0.0, "answered"))
    while not own_clock_app.ran:
        await asyncio.sleep(0.001)
    stopping = asyncio.ensure_future(rig.service.stop())
    await asyncio.sleep(limit_s - 0.7)
    block_event_loop(0.8)
    assert (await order).startswith(b"HTTP/1.1 200 ")
    await stopping


async def test_a_request_that_was_just_read_is_answered_before_its_connection_closes(
    rig: GatewayRig,
) -> None:
    # fault: a connection counted as idle until the handler of its request had started
    await rig.configure(1, "key")
    reader, writer = await open_kept_connection(rig, 1)
    server = rig.service.front._connections
    assert server is not None
    (connection,) = server.connections
    gateway = rig.service.gateway
    gateway.shutdown.signal.received_at = time.monotonic() - gateway.settings.grace_s
    connection.data_received(build_order("just-read"))
    await server.close_connections(time.monotonic() + 1)
    assert (await reader.read()).startswith(b"HTTP/1.1 503 "), "it has not run"
    writer.close()


async def test_a_request_that_arrived_while_the_loop_was_late_is_answered(
    rig: GatewayRig,
) -> None:
    # fault: reading was paused before the event loop had looked for what arrived in the meantime,
    # so that a late host reset the connection of a whole request without an answer
    await rig.configure(1, "key")
    reader, writer = await open_kept_connection(rig, 1)
    server = rig.service.front._connections
    assert server is not None
    gateway = rig.service.gateway
    gateway.shutdown.signal.received_at = time.monotonic() - gateway.settings.grace_s
    writer.write(build_order("late"))
    block_event_loop(0.05)
    await server.close_connections(time.monotonic() + 1)
    assert (await reader.read()).startswith(b"HTTP/1.1 503 "), "it has not run"
    writer.close()


async def test_a_body_that_is_complete_too_late_in_a_planned_stop_is_not_sent_on(
    rig: GatewayRig,
) -> None:
    # fault: the time left was compared when the head arrived, and the call was sent and aborted
    await rig.configure(1, "key")
    limit_s = shorten_grace(rig)
    rig.app.response_delay_s = 0.3
    stopping = asyncio.ensure_future(rig.service.stop())
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    writer.write(build_order("late-body")[:-2])
    await asyncio.sleep(limit_s - 0.15)
    writer.write(b"dy")
    assert (await reader.read()).startswith(b"HTTP/1.1 503 ")
    assert not rig.app.ran
    writer.close()
    await stopping


# fault: a connection was closed while its caller still sent the body, which lost the answer
@pytest.mark.by_turns
async def test_a_planned_stop_leaves_time_to_receive_an_early_answer(rig: GatewayRig) -> None:
    await rig.configure(1, "key")
    shorten_grace(rig)
    rig.app.response_delay_s = 30.0
    busy = asyncio.ensure_future(exchange_raw(rig, 0.0, "busy"))
    while not rig.app.ran:
        await asyncio.sleep(0.01)
    stopping = asyncio.ensure_future(rig.service.stop())
    while (schedule := rig.service.gateway.shutdown_schedule) is None:
        await asyncio.sleep(0.01)
    # connections are closed from then on, when these still send
    closes_at = schedule.admits_until
    await asyncio.sleep(closes_at - 0.6 - time.monotonic())
    uploads = [asyncio.ensure_future(upload_slowly(rig, f"large-{n}", closes_at)) for n in range(5)]
    for response in await asyncio.gather(*uploads):
        assert response.startswith(b"HTTP/1.1 413 ")
    await asyncio.gather(busy, stopping)


async def test_a_stream_that_a_planned_stop_cuts_off_does_not_look_complete(
    rig: GatewayRig,
) -> None:
    await rig.configure(1, "key")
    shorten_grace(rig)
    rig.llm.event_interval_s = 1.0
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    writer.write(build_order("cut").replace(b"/o/1", b"/s/1"))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    stopping = asyncio.ensure_future(rig.service.stop())
    received = await reader.read()
    assert b"id: 1" in received
    assert not received.endswith(b"0\r\n\r\n")
    writer.close()
    await stopping


async def upload_slowly(rig: GatewayRig, request_id: str, closes_at: float) -> bytes:
    """Send an order that exceeds the size limit, and continue sending after the response.

    :param rig: the gateway
    :param request_id: id of the order
    :param closes_at: monotonic seconds from which the gateway closes connections
    :return: the response
    """
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    part, parts = b"x" * 2000, 15
    head = build_order(request_id).replace(b"Content-Length: 4", b"Content-Length: 30000")[:-4]
    writer.write(head)
    for number in range(parts):
        writer.write(part)
        await writer.drain()
        if number < 10:
            await asyncio.sleep(0.05)
        elif number == 10:
            await asyncio.sleep(closes_at + 2 * DRAIN_POLL_INTERVAL_S - time.monotonic())
    response = await reader.read()
    writer.close()
    return response
