"""Connections that callers keep through a planned stop."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator

import pytest

from support.gatewayrig import GatewayRig, block_event_loop, build_order, shorten_grace
from support.tries import TryEnd, hold_stop, read_end

CALLERS = 700
"""Callers of one stop; each sends one request on a connection that it has kept."""

TRANSIT_S = 0.02
"""Time that bytes take between caller and gateway, each way."""

GRACE_LIMIT_S = 3.5
"""Time limit of the calls in flight of such a stop; new connections end after 2.3 s."""


class DistantCaller:
    """A caller whose bytes take a while to the gateway, as do those of the gateway to it.

    :param rig: the gateway
    :param request_id: id of its request
    """

    def __init__(self, rig: GatewayRig, request_id: str) -> None:
        self._front = rig.service.settings.front
        self._request_id = request_id
        self._sock: socket.socket | None = None

    async def connect(self) -> None:
        """Open the connection.

        :raises ConnectionError: the gateway doesn't listen
        """
        self._sock = socket.socket()
        self._sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._sock, (self._front.ip, self._front.port))

    async def send(self, sent_at: float) -> TryEnd:
        """Send the request and wait for what comes back.

        :param sent_at: monotonic seconds at which the caller sends it
        :return: how it ended
        """
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(sent_at - TRANSIT_S - time.monotonic())
            if self._is_closed():
                return TryEnd.CLOSED_BEFORE
            await asyncio.sleep(2 * TRANSIT_S)
            await loop.sock_sendall(self._sock, build_order(self._request_id))
            return read_end(await loop.sock_recv(self._sock, 65536))
        except ConnectionError:
            return TryEnd.NO_ANSWER
        finally:
            self._sock.close()

    def _is_closed(self) -> bool:
        # what the gateway sent until now has arrived when the caller sends
        assert self._sock is not None
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK) or True)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key", timeout_ms=20000)
    yield rig
    await rig.stop()


# fault: requests in flight to a stopping gateway got neither an answer nor a refusal, as it
# closed the idle connections that they were sent on
@pytest.mark.by_turns
@pytest.mark.parametrize("is_busy", [False, True], ids=["calm", "busy"])
@pytest.mark.parametrize("seed", [1, 2])
async def test_each_request_on_a_kept_connection_is_answered_through_a_whole_stop(
    rig: GatewayRig, seed: int, is_busy: bool
) -> None:
    randomness = random.Random(seed)
    limit_s = shorten_grace(rig, GRACE_LIMIT_S)
    callers = [DistantCaller(rig, f"kept-{number}") for number in range(CALLERS)]
    for caller in callers:
        await caller.connect()
    server = rig.service.front._connections
    assert server is not None
    companion = await hold_stop(rig)
    began_at = time.monotonic()
    stopping = asyncio.ensure_future(rig.service.stop())
    tries = [
        asyncio.ensure_future(caller.send(began_at + randomness.uniform(0.0, limit_s + 0.3)))
        for caller in callers
    ]
    while is_busy and not stopping.done():
        block_event_loop(randomness.uniform(0.0, 0.1))
        await asyncio.sleep(randomness.uniform(0.0, 0.1))
    ends = Counter(await asyncio.gather(*tries))
    await stopping
    await asyncio.gather(companion, return_exceptions=True)
    assert ends[TryEnd.NO_ANSWER] == 0, ends
    assert server.crossed > 0, "no request was on its way"


async def test_a_request_that_crosses_the_last_response_is_not_run(rig: GatewayRig) -> None:
    # guards against work for a caller that got the refusal "not run"
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    server = rig.service.front._connections
    assert server is not None
    while not server.connections:
        await asyncio.sleep(0.001)
    await server.close_connections(0.0)
    writer.write(build_order("crosses"))
    assert read_end(await reader.read()) is TryEnd.REFUSED
    await asyncio.sleep(0.1)
    assert server.crossed == 1
    writer.close()
    while server.connections:
        await asyncio.sleep(0.001)
    assert "crosses" not in rig.app.ran


# fault: a caller that closed its idle connection in the moment at which the stop closed it, and so
# reset it at the last response, ended the stop with an error, and all other calls with it
@pytest.mark.parametrize("turns", range(8))
async def test_a_caller_that_leaves_while_its_connection_is_closed_does_not_end_the_stop(
    rig: GatewayRig, turns: int
) -> None:
    front = rig.service.settings.front
    server = rig.service.front._connections
    assert server is not None
    caller = socket.create_connection((front.ip, front.port))
    while not server.connections:
        await asyncio.sleep(0.001)
    closing = asyncio.ensure_future(server.close_connections(time.monotonic() + 1.0))
    for _ in range(turns):
        await asyncio.sleep(0)
    caller.close()
    await closing
    assert not server.connections


async def test_a_refused_request_whose_body_still_arrives_gets_one_answer(rig: GatewayRig) -> None:
    # fault: a connection whose request was refused before the stop, and whose body still arrived,
    # counted as idle: it got a second answer, and was reset if the body took longer
    front = rig.service.settings.front
    server = rig.service.front._connections
    assert server is not None
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    order = build_order("refused").replace(b"X-Key: key", b"X-Key: other")
    writer.write(order[:-2])
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 401 ")
    rig.service.gateway.shutdown.signal.record()
    closing = asyncio.ensure_future(server.close_connections(time.monotonic() + 5.0))
    await asyncio.sleep(0.5)
    body = await reader.read(65536)
    assert b"HTTP/1.1" not in body
    writer.write(order[-2:])
    assert read_end(await reader.read()) is TryEnd.REFUSED, "idle from now on"
    writer.close()
    await closing
