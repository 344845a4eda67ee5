"""Check the reported effect of a keyed call while the store is away."""

from __future__ import annotations

import time
from collections.abc import Sequence
from types import SimpleNamespace

import pytest
from fake_table import FakeTable

from basilroad.coordination.hostrecords import HostRecords
from basilroad.entry.calls.servicecall import ServiceCall
from basilroad.entry.identity import Identity
from basilroad.entry.keyedcalls.callhosts import GONE_AGENT_WINDOW_S, CallHosts
from basilroad.entry.keyedcalls.earliersend import EarlierSendCheck
from basilroad.entry.keyedcalls.keyedcall import KeyedCall
from basilroad.entry.links.link import AgentLink, LinkLostError
from basilroad.errors import Effect, ErrorKind, RefusedError, refuse
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import EntrySettings
from basilroad.world.contract import Contract

SERVICE = "order-app"

OWNER = SimpleNamespace(
    build_hello=lambda: wire.EntryHello(region="baltic"),
    on_up=lambda _: None,
    on_lost=lambda *_: None,
    on_message=lambda *_: None,
)


class Agent:
    """Connection to an agent that knows of no call.

    :param host: name of its host
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.lost_questions = 0
        settings = EntrySettings(listen="127.0.0.1:1")
        self.link = AgentLink(parse_address("127.0.0.1:2"), settings, OWNER)
        self.link.ask = self._answer  # type: ignore[method-assign]

    def connect(self, incarnation: str, *services: str) -> AgentLink:
        states = [
            wire.EndpointState(endpoint=name, kind="service", service=name) for name in services
        ]
        hello = wire.AgentHello(
            host=self.host, region="baltic", incarnation=incarnation, endpoints=states
        )
        self.link._handle_message(wire.AgentMessage(hello=hello))
        return self.link

    def disconnect(self) -> AgentLink:
        self.link._disconnect("stream ended")
        return self.link

    async def _answer(self, *_: object) -> wire.CallSettled:
        if self.lost_questions:
            self.lost_questions -= 1
            raise LinkLostError("no reply in time")
        return wire.CallSettled(state="never")


class Clock:
    """Monotonic clock that can be moved forward."""

    def __init__(self) -> None:
        self.ahead_s = 0.0
        self._read = time.monotonic

    def __call__(self) -> float:
        return self._read() + self.ahead_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr("basilroad.entry.links.link.time.monotonic", clock)
    return clock


def build_call() -> KeyedCall:
    contract = Contract(name=SERVICE)
    call = ServiceCall(SERVICE, "POST", "/", (), b"", contract, time.monotonic())
    return KeyedCall(call, Identity("w", "anna", 1, "7", False))


async def build_hosts(links: Sequence[AgentLink], *recorded: str) -> CallHosts:
    table = FakeTable()
    for host in recorded:
        await HostRecords(table).add(host, "i0")
    hosts = CallHosts(HostRecords(table), lambda: links)
    await hosts.read()
    return hosts


async def read_effect(links: Sequence[AgentLink], hosts: CallHosts) -> Effect:
    """:return: reported effect of a call that could not be claimed."""
    reader = SimpleNamespace(claims=object(), links=lambda: links, hosts=hosts)
    unclaimed = refuse(ErrorKind.STORE_UNAVAILABLE, "the call could not be claimed")
    with pytest.raises(RefusedError) as caught:
        await EarlierSendCheck(reader).check(build_call(), unclaimed)
    return caught.value.refusal.answer.effect


@pytest.mark.holds_not_run
async def test_a_call_that_no_agent_ran_is_reported_as_not_run() -> None:
    links = [Agent("h").connect("i0", SERVICE)]
    assert await read_effect(links, await build_hosts(links, "h")) is Effect.NOT_RUN


# fault: one late reply of an agent on a busy host made the outcome of a fresh order uncertain
@pytest.mark.holds_not_run
async def test_an_agent_that_does_not_reply_is_asked_again() -> None:
    agent = Agent("h")
    links = [agent.connect("i0", SERVICE)]
    hosts = await build_hosts(links, "h")
    agent.lost_questions = 1
    assert await read_effect(links, hosts) is Effect.NOT_RUN
    agent.lost_questions = 100
    assert await read_effect(links, hosts) is Effect.MAY_HAVE_RUN


# fault: an entry that knew no agent asked none, and reported "not run" for an order that had run
@pytest.mark.holds_not_run
async def test_an_entry_without_agents_does_not_report_a_call_as_not_run() -> None:
    assert await read_effect([], await build_hosts([])) is Effect.MAY_HAVE_RUN


# fault: an agent that was gone before the entry started was not counted on
@pytest.mark.holds_not_run
async def test_a_host_that_ran_calls_and_is_not_linked_may_have_run_them(clock: Clock) -> None:
    links = [Agent("h").connect("i0", SERVICE)]
    hosts = await build_hosts(links, "gone", "h")
    assert await read_effect(links, hosts) is Effect.MAY_HAVE_RUN
    clock.ahead_s += GONE_AGENT_WINDOW_S + 1
    assert await read_effect(links, hosts) is Effect.NOT_RUN


@pytest.mark.holds_not_run
async def test_an_entry_that_never_read_the_hosts_does_not_report_a_call_as_not_run() -> None:
    links = [Agent("h").connect("i0", SERVICE)]
    table = FakeTable()
    table.unavailable = True
    hosts = CallHosts(HostRecords(table), lambda: links)
    await hosts.read()
    assert await read_effect(links, hosts) is Effect.MAY_HAVE_RUN


# fault: an agent that restarted without the service was not asked about what ran before
@pytest.mark.holds_not_run
async def test_an_agent_replaced_by_one_without_the_service_may_have_run_a_call() -> None:
    agent = Agent("h")
    agent.connect("i0", SERVICE)
    agent.disconnect()
    links = [agent.connect("i1")]
    assert await read_effect(links, await build_hosts(links)) is Effect.MAY_HAVE_RUN


# fault: an agent that had been out of reach for 600 s counted as one that ran nothing
@pytest.mark.holds_not_run
async def test_an_agent_out_of_reach_may_have_run_a_call_while_it_is_listed(clock: Clock) -> None:
    agent = Agent("h")
    agent.connect("i0", SERVICE)
    links = [agent.disconnect()]
    hosts = await build_hosts(links, "h")
    clock.ahead_s += GONE_AGENT_WINDOW_S + 1
    agent.link.mark_listed(True)
    assert await read_effect(links, hosts) is Effect.MAY_HAVE_RUN
    agent.link.mark_listed(False)
    assert await read_effect(links, hosts) is Effect.MAY_HAVE_RUN
    clock.ahead_s += GONE_AGENT_WINDOW_S + 1
    assert await read_effect(links, hosts) is Effect.NOT_RUN
