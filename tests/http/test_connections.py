"""Connections of callers to any server."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp import web

from basilroad.http.connections import CallerServer, CallerServerSettings
from basilroad.http.ends import EndCause

LIMIT_S = 10.0


@attrs.define
class ServerRig:
    """A server whose handler answers when it is told to.

    :ivar ends: causes of the ends that were counted
    """

    ends: list[EndCause] = attrs.field(factory=list)
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    bodies: list[bytes] = attrs.field(factory=list)
    server: CallerServer = attrs.field(init=False)
    _runner: web.ServerRunner = attrs.field(init=False)
    _port: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        settings = CallerServerSettings("X-Name", self.ends.append)
        self.server = CallerServer(
            self._handle, settings, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(self.server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the server and its connections."""
        await self._runner.cleanup()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """:return: a connection to the server."""
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = time.monotonic()
        with self.server.track(request, arrived_at):
            try:
                self.bodies.append(await request.read())
                status = 200
            except web.RequestPayloadError:
                status = 400
            await self.released.wait()
            response = web.Response(status=status)
            await self.server.send(request, response, arrived_at)
            return response


@pytest.fixture
async def rig() -> AsyncIterator[ServerRig]:
    rig = ServerRig()
    await rig.start()
    yield rig
    await rig.stop()


def build_request(name: str, body: bytes = b"body") -> bytes:
    """:return: a request with an id."""
    head = f"POST / HTTP/1.1\r\nHost: x\r\nX-Name: {name}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def wait_for_ends(rig: ServerRig, number: int) -> None:
    async with asyncio.timeout(LIMIT_S):
        while len(rig.ends) < number:
            await asyncio.sleep(0.001)


# fault: entries and gateways name requests by different headers, and only one of them was logged
async def test_ends_are_named_by_the_header_of_the_server(
    rig: ServerRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    _, writer = await rig.connect()
    writer.write(build_request("first") + build_request("second"))
    async with asyncio.timeout(LIMIT_S):
        while not rig.bodies:
            await asyncio.sleep(0.001)
    writer.transport.abort()
    await wait_for_ends(rig, 2)
    ends = {
        (vars(line)["request"], vars(line)["cause"])
        for line in caplog.records
        if line.message == "connection ended"
    }
    assert ends == {("first", "caller_left"), ("second", "unread_request")}
    assert set(rig.ends) == {EndCause.CALLER_LEFT, EndCause.UNREAD_REQUEST}
    assert rig.bodies == [b"body"], "the second one is not run"


# fault: the HTTP library leaves a handler waiting for the rest of a body that is malformed midway
async def test_a_body_that_is_malformed_midway_ends(rig: ServerRig) -> None:
    rig.released.set()
    reader, writer = await rig.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
    async with asyncio.timeout(LIMIT_S):
        while not rig.server.in_flight:
            await asyncio.sleep(0.001)
        writer.write(b"no chunk\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 400 "), head
    assert rig.bodies == []


async def test_a_connection_is_closed_only_after_its_answer(rig: ServerRig) -> None:
    # guards against a close beside a request in flight, which the kernel resets
    reader, writer = await rig.connect()
    writer.write(build_request("answered"))
    async with asyncio.timeout(LIMIT_S):
        while not rig.server.in_flight:
            await asyncio.sleep(0.001)
        closing = asyncio.ensure_future(rig.server.close_connections(time.monotonic() + LIMIT_S))
        await asyncio.sleep(0.1)
        assert not closing.done()
        rig.released.set()
        received = await reader.read()
        writer.close()
        await closing
    assert received.startswith(b"HTTP/1.1 200 "), received
    assert rig.ends == []
