"""Calls of entries to a plain service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from unittest.mock import Mock

import pytest

from basilroad.agent.plaindriver import PlainDriver
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import EndpointSettings

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Place: Caf\xe9\r\n\r\nok"


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(RESPONSE)
    await writer.drain()
    writer.close()


@pytest.fixture
async def driver() -> AsyncIterator[PlainDriver]:
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    url = f"http://{host}:{port}"
    settings = EndpointSettings(name="s", kind="service", service="s", url=url)
    driver = PlainDriver(settings, "i", Mock(), Mock())
    async with server:
        await driver.start()
        yield driver
        await driver.stop()


# fault: a response header in Latin-1 could not be sent to the entry; the call got no answer, and
# the unhandled error stopped the agent
async def test_a_response_header_in_latin_1_is_sent_to_the_entry(driver: PlainDriver) -> None:
    link = Mock()
    request = wire.RunCall(call=1, endpoint="s", method="GET", path="/", timeout=5.0, patience=5.0)
    await asyncio.wait([driver.add_future(driver.run_call(link, request))])
    assert not driver.crashed
    (sent,) = (call.args[0].answer for call in link.send.call_args_list)
    assert (sent.kind, sent.status, sent.body) == ("", 200, b"ok")
    assert [(h.name, h.value) for h in sent.headers] == [("X-Place", "Café")]
