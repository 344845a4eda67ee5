"""Exchange of the configuration document between gateways."""

from __future__ import annotations

import asyncio
import logging
import socket
import tracemalloc
import zlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from basilroad.gateway.exchange.configexchange import (
    MAX_BODY_BYTES,
    MAX_DOCUMENT_BYTES,
    PATH,
    ConfigExchange,
    FetchedConfig,
)
from basilroad.peers.address import Address
from support.addresses import find_free_port
from support.rawserver import Exchange, answer, end, reset, run_server

BOMB_BYTES = 64 * MAX_DOCUMENT_BYTES
DEFLATE = {"Content-Encoding": "deflate"}


class Peer:
    """Another gateway, which sends what a test sets."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1", find_free_port())
        self.body = b""
        self.headers = DEFLATE
        self.sent_bytes = 0
        self.endless = False
        self._runner = web.ServerRunner(web.Server(self._serve), shutdown_timeout=0.1)

    async def start(self) -> None:
        await self._runner.setup()
        await web.TCPSite(self._runner, self.address.ip, self.address.port).start()

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def fetch(self) -> FetchedConfig | None:
        return await ConfigExchange(None).fetch(self.address)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.endless:
            return web.Response(body=self.body, headers=self.headers)
        response = web.StreamResponse(headers=self.headers)
        await response.prepare(request)
        while True:
            await response.write(bytes(65536))
            self.sent_bytes += 65536


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    peer = Peer()
    await peer.start()
    yield peer
    await peer.stop()


async def test_the_largest_document_is_fetched(peer: Peer) -> None:
    document = bytes(range(256)) * (MAX_DOCUMENT_BYTES // 256)
    peer.body = zlib.compress(document, 0)
    assert len(peer.body) <= MAX_BODY_BYTES
    fetched = await peer.fetch()
    assert fetched is not None
    assert fetched.document == document


# fault: a short body that unpacks to gigabytes took all memory and held up the event loop
async def test_a_document_is_unpacked_no_further_than_the_largest(
    peer: Peer, caplog: pytest.LogCaptureFixture
) -> None:
    peer.body = zlib.compress(bytes(BOMB_BYTES))
    tracemalloc.start()
    with caplog.at_level(logging.INFO):
        fetched = await peer.fetch()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert fetched is None
    assert peak < BOMB_BYTES / 4
    assert "config not fetched" in [record.message for record in caplog.records]


# fault: what followed the end of a compressed document was dropped without notice, and a plain
# document of any size was taken
@pytest.mark.parametrize(
    ("body", "headers"),
    [
        (zlib.compress(b"{}") + b"x", DEFLATE),
        (zlib.compress(b"{}")[:-1], DEFLATE),
        (zlib.compress(b"{}")[:-5], DEFLATE),
        (zlib.compress(b"{}") + zlib.compress(b"{}"), DEFLATE),
        (zlib.compress(bytes(MAX_DOCUMENT_BYTES + 1)), DEFLATE),
        (bytes(MAX_DOCUMENT_BYTES + 1), {}),
        (b"", DEFLATE),
        (b"{}", {"Content-Encoding": "gzip"}),
    ],
    ids=["trailing", "no-sum", "cut", "two", "long", "plain-long", "empty", "other-encoding"],
)
async def test_a_spoiled_document_is_not_fetched(
    peer: Peer, caplog: pytest.LogCaptureFixture, body: bytes, headers: dict[str, str]
) -> None:
    peer.body, peer.headers = body, headers
    with caplog.at_level(logging.INFO):
        assert await peer.fetch() is None
    assert "config not fetched" in [record.message for record in caplog.records]


# fault: a body without end was kept in memory for the whole time of a fetch
@pytest.mark.parametrize("headers", [DEFLATE, {}], ids=["compressed", "plain"])
async def test_no_more_than_the_largest_body_is_received(
    peer: Peer, headers: dict[str, str]
) -> None:
    peer.endless, peer.headers = True, headers
    assert await peer.fetch() is None
    # what the buffers of both sockets hold was sent beyond it
    assert peer.sent_bytes < 16 * MAX_BODY_BYTES


# fault: the kernel reset a fetch that was not read when the gateway stopped, and the other gateway
# read the whole configuration from the store
@pytest.mark.parametrize("turns", range(8))
async def test_a_fetch_that_has_arrived_when_a_gateway_stops_is_answered(turns: int) -> None:
    address = Address("127.0.0.1", find_free_port())
    exchange = ConfigExchange(address)
    exchange.document = b"document"
    await exchange.start()
    with socket.create_connection((address.ip, address.port), timeout=5) as peer:
        peer.sendall(f"GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        for _ in range(turns):
            await asyncio.sleep(0)
        await exchange.stop()
        response = await asyncio.to_thread(peer.recv, 65536)
    assert response.startswith(b"HTTP/1.1 200 ")


# fault: a part of a document was taken for the config of a gateway that sends it as it is
@pytest.mark.holds_settings
async def test_a_document_that_is_cut_by_a_reset_is_not_fetched() -> None:
    async with run_server(Exchange(answer(body=b'{"routes":'), reset)) as address:
        assert await ConfigExchange(None).fetch(address) is None


async def test_a_whole_document_without_a_length_is_fetched() -> None:
    async with run_server(Exchange(answer(body=b"{}"), end)) as address:
        assert await ConfigExchange(None).fetch(address) == FetchedConfig(b"{}")
