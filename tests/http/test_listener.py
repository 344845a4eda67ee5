"""Listening socket for callers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from basilroad.http import listener as listener_module
from basilroad.http.listener import CallerListener
from basilroad.peers.address import Address
from support.addresses import find_free_port
from support.gatewayrig import GatewayRig, block_event_loop, build_order, shorten_grace
from support.tries import TryEnd, exchange_once, hold_stop, is_listening, read_end

WAITING = 200
"""Connections that wait when listening ends."""

MAX_TURNS = 20
"""Turns of the event loop that the end of listening may take; each may be long on a busy host."""

GRACE_LIMIT_S = 3.5
"""Time limit of the calls in flight of a stop; new connections end after 2.3 s."""

UNKNOWN_OPTION = 0x7FFF
"""Socket option that no kernel has."""

DEFER_ACCEPT_S = 5
"""Time for which the kernel leaves a handshake unfinished until its caller sends something."""


def open_unfinished(rig: GatewayRig) -> socket.socket:
    """Open a connection whose handshake is not finished at the gateway.

    :param rig: the gateway
    :return: the connection, which is open for its caller
    """
    front = rig.service.settings.front
    listener = rig.service.front._listener
    assert listener is not None
    listener._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_ACCEPT_S)
    return socket.create_connection((front.ip, front.port), timeout=5)


async def open_listener(ip: str) -> tuple[CallerListener, int]:
    """Listen at a free port.

    :param ip: address
    :return: the listener of a server that answers each request with status 200, and its port
    """

    async def serve(_: web.BaseRequest) -> web.Response:
        return web.Response()

    runner = web.ServerRunner(web.Server(serve))
    await runner.setup()
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with socket.create_server((ip, 0), family=family) as probe:
        port = probe.getsockname()[1]
    return await CallerListener.open(runner, Address(ip, port)), port


async def count_turns(task: asyncio.Future[None]) -> int:
    """:return: turns of the event loop until a task has ended."""
    turns = 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    await task
    return turns


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key", timeout_ms=20000)
    yield rig
    await rig.stop()


async def test_a_connection_that_waits_to_be_accepted_at_the_end_of_listening_is_served(
    rig: GatewayRig,
) -> None:
    # fault: the kernel reset the connections that a busy gateway had not accepted when it closed
    # its listening socket
    loop = asyncio.get_running_loop()
    companion = await hold_stop(rig)
    shorten_grace(rig, GRACE_LIMIT_S)
    stopping = asyncio.ensure_future(rig.service.stop())
    while (schedule := rig.service.gateway.shutdown_schedule) is None:
        await asyncio.sleep(0)
    # the second one begins in the turn of the event loop that ends listening, before its end
    loop.call_at(schedule.accepts_until - 0.2, block_event_loop, 0.3)
    loop.call_at(schedule.accepts_until - 0.1, block_event_loop, 0.3)
    tries = [
        asyncio.to_thread(exchange_once, rig, f"waits-{number}", schedule.accepts_until + delay_s)
        for number, delay_s in enumerate((0.15, 0.2, 0.25, 0.3))
    ]
    ends = await asyncio.gather(*tries)
    await stopping
    await asyncio.gather(companion, return_exceptions=True)
    assert TryEnd.NO_ANSWER not in ends, ends
    assert TryEnd.REFUSED in ends, ends


# fault: a connection that the event loop had accepted in the turn of the close, and that had no
# transport yet, was dropped without a line
@pytest.mark.parametrize("turns", range(6))
async def test_a_connection_that_is_accepted_beside_the_end_of_listening_is_served(
    rig: GatewayRig, turns: int
) -> None:
    front = rig.service.settings.front
    listener = rig.service.front._listener
    assert listener is not None
    with socket.create_connection((front.ip, front.port), timeout=5) as caller:
        caller.sendall(build_order("beside"))
        for _ in range(turns):
            await asyncio.sleep(0)
        await listener.close()
        received = await asyncio.to_thread(caller.recv, 65536)
    rig.service.front._listener = None
    assert read_end(received) is TryEnd.ANSWERED


async def test_many_waiting_connections_do_not_delay_a_stop(
    rig: GatewayRig,
) -> None:
    # fault: each waiting connection took turns of its own of the event loop, so that the last ones
    # were served, and admission ended, seconds later
    front = rig.service.settings.front
    listener = rig.service.front._listener
    assert listener is not None
    callers = [socket.create_connection((front.ip, front.port)) for _ in range(WAITING)]
    closing = asyncio.ensure_future(listener.close())
    turns = 0
    while not closing.done():
        await asyncio.sleep(0)
        turns += 1
    rig.service.front._listener = None
    for caller in callers:
        caller.close()
    assert turns < MAX_TURNS


async def test_a_waiting_connection_that_fails_does_not_end_the_others(
    rig: GatewayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: it ended the stop with an error, and the connections behind it were lost
    front = rig.service.settings.front
    listener = rig.service.front._listener
    assert listener is not None
    loop = asyncio.get_running_loop()
    connect, number = loop.connect_accepted_socket, itertools.count()

    async def fail_first(server: Any, sock: socket.socket) -> Any:
        if next(number) == 0:
            raise OSError("no transport")
        return await connect(server, sock)

    monkeypatch.setattr(loop, "connect_accepted_socket", fail_first)
    callers = [socket.create_connection((front.ip, front.port), timeout=5) for _ in range(3)]
    for index, caller in enumerate(callers):
        caller.sendall(build_order(f"waits-{index}"))
    await listener.close()
    rig.service.front._listener = None
    for caller in callers[1:]:
        assert read_end(await asyncio.to_thread(caller.recv, 65536)) is TryEnd.ANSWERED
    for caller in callers:
        caller.close()


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
async def test_a_listener_has_an_address_of_either_version_of_ip(ip: str) -> None:
    # fault: a gateway whose address is an IPv6 number did not start
    async def serve(_: web.BaseRequest) -> web.Response:
        return web.Response()

    runner = web.ServerRunner(web.Server(serve))
    await runner.setup()
    port = find_free_port()
    listener = await CallerListener.open(runner, Address(ip, port))
    with socket.create_connection((ip, port), timeout=5):
        await listener.close()
    await runner.cleanup()


# fault: the kernel reset the connections whose handshakes were not finished when a stopping gateway
# closed its listening socket, though their callers had sent a request
async def test_a_handshake_that_has_begun_at_the_end_of_listening_is_finished(
    rig: GatewayRig,
) -> None:
    front = rig.service.settings.front
    listener = rig.service.front._listener
    assert listener is not None
    with open_unfinished(rig) as caller:
        closing = asyncio.ensure_future(listener.close(time.monotonic() + 5.0))
        while is_listening(front.ip, front.port):
            await asyncio.sleep(0)
        caller.sendall(build_order("handshake"))
        await closing
        received = await asyncio.to_thread(caller.recv, 65536)
    rig.service.front._listener = None
    assert read_end(received) is TryEnd.ANSWERED


# guards against callers that wait for a gateway which doesn't accept them any more
@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
async def test_a_handshake_that_begins_after_the_end_of_listening_is_refused_at_once(
    ip: str,
) -> None:
    listener, port = await open_listener(ip)
    closing = asyncio.ensure_future(listener.close(time.monotonic() + 5.0))
    await asyncio.sleep(0)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((ip, port), timeout=5)
    assert not closing.done()
    await closing
    await listener._runner.cleanup()


async def test_handshakes_are_not_awaited_past_the_limit() -> None:
    # guards against a stop that lasts longer than its grace period
    listener, _ = await open_listener("127.0.0.1")
    closing = asyncio.ensure_future(listener.close(time.monotonic()))
    assert await count_turns(closing) < MAX_TURNS
    await listener._runner.cleanup()


# guards against a stop that ends with an error there, that loses what waits, or that accepts
# new connections for longer
@pytest.mark.parametrize(
    "option", [UNKNOWN_OPTION, socket.SO_KEEPALIVE], ids=["refused", "without-effect"]
)
async def test_handshakes_are_not_awaited_on_a_kernel_that_can_not_refuse_new_ones(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, option: int
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(listener_module, "SO_BINDTOIFINDEX", option)
    listener, port = await open_listener("127.0.0.1")
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        caller.sendall(build_order("waits"))
        closing = asyncio.ensure_future(listener.close(time.monotonic() + 5.0))
        assert await count_turns(closing) < MAX_TURNS
        assert "handshakes not awaited" in caplog.messages
        received = await asyncio.to_thread(caller.recv, 65536)
    assert read_end(received) is TryEnd.ANSWERED
    await listener._runner.cleanup()


# fault: a record did not tell when a host closed its listening socket, so that a try without an
# answer could not be told from one that was lost later
@pytest.mark.parametrize(
    ("option", "awaits"),
    [(listener_module.SO_BINDTOIFINDEX, True), (socket.SO_KEEPALIVE, False)],
    ids=["awaited", "not-awaited"],
)
async def test_the_end_of_listening_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, option: int, awaits: bool
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(listener_module, "SO_BINDTOIFINDEX", option)
    listener, port = await open_listener("127.0.0.1")
    with socket.create_connection(("127.0.0.1", port), timeout=5):
        await listener.close(time.monotonic() + 5.0)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port), timeout=5)
    [line] = [vars(line) for line in caplog.records if line.message == "listening ended"]
    assert (line["port"], line["handshakes_awaited"]) == (port, awaits)
    await listener._runner.cleanup()


async def test_the_end_of_listening_counts_the_connections_that_waited(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # fault: a record did not tell whether a connection waited to be accepted at that moment
    caplog.set_level(logging.INFO)
    listener, port = await open_listener("127.0.0.1")
    with contextlib.ExitStack() as callers:
        for _ in range(3):
            callers.enter_context(socket.create_connection(("127.0.0.1", port), timeout=5))
        # no turn of the event loop in between accepts them
        await listener.close()
    [line] = [vars(line) for line in caplog.records if line.message == "listening ended"]
    assert line["waiting"] == 3
    await listener._runner.cleanup()


async def test_a_stop_refuses_the_late_request_of_a_handshake_that_has_begun(
    rig: GatewayRig,
) -> None:
    # fault: the kernel reset the connection at the end of listening, and its caller did not know
    # whether its request ran, which could only be read after the end of admission
    loop, front = asyncio.get_running_loop(), rig.service.settings.front
    companion = await hold_stop(rig)
    shorten_grace(rig, GRACE_LIMIT_S)
    stopping = asyncio.ensure_future(rig.service.stop())
    while (schedule := rig.service.gateway.shutdown_schedule) is None:
        await asyncio.sleep(0)
    await asyncio.sleep(schedule.accepts_until - time.monotonic() - 0.2)
    with open_unfinished(rig) as caller:
        while is_listening(front.ip, front.port):
            await asyncio.sleep(0.001)
        caller.sendall(build_order("handshake"))
        late_s = max(0.0, schedule.admits_until - time.monotonic()) + 0.1
        loop.call_soon(block_event_loop, late_s)
        received = await asyncio.to_thread(caller.recv, 65536)
    await stopping
    await asyncio.gather(companion, return_exceptions=True)
    assert read_end(received) is TryEnd.REFUSED
