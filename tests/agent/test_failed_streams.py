"""Streams of entries that an unexpected error ends."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator

import pytest
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError

from basilroad.agent.service import AgentService
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub
from basilroad.settings.daemon import AgentSettings, DaemonSettings, EndpointSettings
from support.addresses import find_free_port


@pytest.fixture
async def agent() -> AsyncIterator[AgentService]:
    endpoint = EndpointSettings(name="s", kind="service", service="s", url="http://127.0.0.1:1")
    settings = DaemonSettings(
        host="h",
        address="127.0.0.1",
        region="r",
        data_centre="d",
        agent=AgentSettings(listen=f"127.0.0.1:{find_free_port()}", endpoints=(endpoint,)),
    )
    agent = AgentService(settings)
    await agent.start()
    yield agent
    await agent.stop()


# fault: an agent ended the stream of an entry whose message it could not handle without a line
async def test_an_error_that_ends_a_stream_is_logged(
    agent: AgentService, caplog: pytest.LogCaptureFixture
) -> None:
    address = parse_address(agent.options.listen)
    channel = Channel(address.ip, address.port)
    try:
        async with PeerStub(channel).Converse.open() as stream:
            await stream.send_message(wire.EntryFrame(compressed=b"no compressed frame"))
            async for _ in stream:
                continue
    except ProtocolError:
        # the agent ends the stream first
        pass
    finally:
        channel.close()
    lines = [line for line in caplog.records if line.name.startswith("basilroad")]
    assert [line for line in lines if line.levelno >= logging.WARNING]
