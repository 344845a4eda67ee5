"""Work that crosses the stop of an agent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from grpclib.client import Channel

from basilroad.agent.service import AgentService
from basilroad.clocks import read_boot_clock
from basilroad.errors import ErrorKind
from basilroad.peers.address import parse_address
from basilroad.peers.failreason import FailReason
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub
from basilroad.settings.daemon import AgentSettings, DaemonSettings, EndpointSettings
from support.addresses import find_free_port
from support.timelimit import limit_time

DELAY_S = 0.08
"""Time for a message from one data centre to another."""

CALL = wire.EntryMessage(call=wire.RunCall(call=7, endpoint="s", method="POST", path="/"))
START = wire.EntryMessage(
    start=wire.StartGeneration(generation="g", attempt=1, endpoint="e", key=b"k")
)


@pytest.fixture
async def agent() -> AsyncIterator[AgentService]:
    endpoints = (
        EndpointSettings(name="s", kind="service", service="s", url="http://127.0.0.1:1"),
        EndpointSettings(name="e", kind="engine", service="m", url="http://127.0.0.1:2"),
    )
    settings = DaemonSettings(
        host="h",
        address="127.0.0.1",
        region="r",
        data_centre="d",
        agent=AgentSettings(listen=f"127.0.0.1:{find_free_port()}", endpoints=endpoints),
    )
    agent = AgentService(settings)
    await agent.start()
    yield agent
    await agent.stop()


class Entry:
    """An entry that sends one message while an agent stops.

    :param agent: the agent
    """

    def __init__(self, agent: AgentService) -> None:
        self.agent = agent
        self.received: list[wire.AgentMessage] = []
        self.greeted = asyncio.Event()

    async def run(self, message: wire.EntryMessage) -> None:
        address = parse_address(self.agent.options.listen)
        channel = Channel(address.ip, address.port)
        async with PeerStub(channel).Converse.open() as stream:
            hello = wire.EntryMessage(hello=wire.EntryHello(host="x", region="r"))
            await stream.send_message(wire.EntryFrame(messages=[hello]))
            sender = asyncio.create_task(self._send_at_stop(stream, message))
            async for frame in stream:
                self.received.extend(frame.messages)
                if any(m.WhichOneof("body") == "hello" for m in frame.messages):
                    self.greeted.set()
            await sender
        channel.close()

    async def _send_at_stop(self, stream: object, message: wire.EntryMessage) -> None:
        await self.greeted.wait()
        while not self.agent.should_stop:
            await asyncio.sleep(0.005)
        # the notice of the drain and this message are in flight at once
        await asyncio.sleep(DELAY_S)
        await stream.send_message(wire.EntryFrame(messages=[message]))  # type: ignore[attr-defined]

    def find(self, kind: str) -> list[object]:
        return [getattr(m, kind) for m in self.received if m.WhichOneof("body") == kind]


async def stop_with(agent: AgentService, message: wire.EntryMessage) -> Entry:
    """:return: an entry that has sent a message to an agent which was stopping."""
    entry = Entry(agent)
    task = asyncio.create_task(entry.run(message))
    await entry.greeted.wait()
    async with limit_time(5):
        await agent.stop()
        await asyncio.gather(task, return_exceptions=True)
    return entry


# fault: an idle agent closed its streams before it had announced its drain, and a call in flight
# counted as one that may have run
async def test_a_call_that_crosses_the_stop_of_its_agent_is_refused(agent: AgentService) -> None:
    entry = await stop_with(agent, CALL)
    assert [(a.call, a.kind) for a in entry.find("answer")] == [(7, ErrorKind.DRAINING.value)]


# fault: an idle agent closed its streams, and a generation in flight was neither run nor refused
async def test_a_generation_that_crosses_the_stop_of_its_agent_is_refused(
    agent: AgentService,
) -> None:
    entry = await stop_with(agent, START)
    assert [f.reason for f in entry.find("failed")] == [FailReason.DRAINING.value]


# fault: an idle agent closed its streams before the task that announces its drain had run
async def test_an_idle_agent_announces_its_drain_before_it_closes(agent: AgentService) -> None:
    entry = await stop_with(agent, wire.EntryMessage(demand=wire.Demand()))
    assert [state.draining for state in entry.find("endpoint")] == [True, True]


# fault: an agent that was suspended in its stop went on beyond the limit of its drain
@pytest.mark.holds_stop
async def test_a_drain_ends_in_time_though_the_machine_was_suspended(
    agent: AgentService, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(agent, "_count_work", lambda: 1)
    stopping = asyncio.create_task(agent.stop())
    while agent._stop_signal.received_at is None:
        await asyncio.sleep(0.005)
    limit_s = agent.options.drain_limit_s
    monkeypatch.setattr(agent._stop_signal, "boot_clock", lambda: read_boot_clock() + limit_s)
    async with limit_time(2.0):
        await stopping
