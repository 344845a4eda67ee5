"""Streams of entries that an agent serves."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from unittest.mock import Mock

import pytest
from grpclib.client import Channel

from basilroad.agent.link import EntryLink
from basilroad.agent.service import AgentService
from basilroad.metrics import Metrics
from basilroad.peers.address import parse_address
from basilroad.peers.traffic import LinkMeter
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub
from basilroad.settings.daemon import AgentSettings, DaemonSettings, EndpointSettings
from support.addresses import find_free_port

ENTRIES = 5
WAIT_S = 5.0


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


async def connect(agent: AgentService, greeted: asyncio.Event) -> None:
    """Hold a stream to an agent until the task is cancelled."""
    address = parse_address(agent.options.listen)
    channel = Channel(address.ip, address.port)
    try:
        async with PeerStub(channel).Converse.open() as stream:
            hello = wire.EntryMessage(hello=wire.EntryHello(host="x", region="r"))
            await stream.send_message(wire.EntryFrame(messages=[hello]))
            async for _ in stream:
                greeted.set()
    finally:
        channel.close()


# fault: an entry that stops resets its stream and closes the connection, which cancels the handler
# twice; the second time ended its cleanup, and the agent kept the stream of the entry for good
async def test_an_agent_forgets_the_streams_of_entries_that_left(agent: AgentService) -> None:
    for _ in range(ENTRIES):
        greeted = asyncio.Event()
        entry = asyncio.create_task(connect(agent, greeted))
        async with asyncio.timeout(WAIT_S):
            await greeted.wait()
        (link,) = agent.links
        entry.cancel()
        await asyncio.gather(entry, return_exceptions=True)
        async with asyncio.timeout(WAIT_S):
            await link.wait_ended()
        assert not agent.links


# fault: a stop waited its whole limit for the last messages to an entry whose stream had ended
async def test_last_messages_are_not_awaited_after_the_end_of_the_stream(
    caplog: pytest.LogCaptureFixture,
) -> None:
    link = EntryLink(Mock(), 0.0, LinkMeter("r", Metrics("", "")))
    link.send(wire.AgentMessage(settings=wire.SettingsChanges()))
    finishing = asyncio.create_task(link.finish())
    await asyncio.sleep(0)
    link.mark_ended()
    await finishing
    assert not [record for record in caplog.records if record.levelno >= logging.WARNING]


class SlowStream:
    """Stream to an entry that accepts a frame only once it is allowed to."""

    def __init__(self) -> None:
        self.may_send = asyncio.Semaphore(0)
        self.begun = asyncio.Event()
        self.frames: list[wire.AgentFrame] = []

    async def send_message(self, frame: wire.AgentFrame) -> None:
        self.begun.set()
        await self.may_send.acquire()
        self.frames.append(frame)


# fault: a stop closed the stream of a slow entry before the end of its last generation was sent
async def test_the_end_of_a_run_beside_a_frame_is_sent_before_the_stream_is_closed() -> None:
    stream = SlowStream()
    link = EntryLink(stream, 0.0, LinkMeter("r", Metrics("", "")))
    sender = asyncio.create_task(link.run_sender())
    link.send(wire.AgentMessage(settings=wire.SettingsChanges()))
    await stream.begun.wait()
    link.send_end(wire.Finished(generation="g"))
    finishing = asyncio.create_task(link.finish())
    closer = asyncio.create_task(link.wait_closed())
    stream.may_send.release()
    while len(stream.frames) < 1:
        await asyncio.sleep(0)
    for _ in range(10):
        await asyncio.sleep(0)
    was_closed = closer.done()
    stream.may_send.release()
    await closer
    sender.cancel()
    link.mark_ended()
    await finishing
    assert not was_closed
    assert [message.WhichOneof("body") for message in stream.frames[-1].messages] == ["finished"]
