"""Check which agents count as the first of their host, and that claimed calls wait for that."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from fake_table import FakeTable

from basilroad.agent.keymemory import RETAIN_S
from basilroad.agent.plaindriver import PlainDriver
from basilroad.agent.registration import AgentRegistration
from basilroad.coordination.hostrecords import HostRecords
from basilroad.errors import ErrorKind
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import EndpointSettings


class Clock:
    """Clock that is moved by hand."""

    def __init__(self) -> None:
        self.now_s = 50.0

    def __call__(self) -> float:
        return self.now_s


def build(table: FakeTable, incarnation: str, clock: Clock) -> AgentRegistration:
    return AgentRegistration(HostRecords(table), "h", incarnation, clock)


# fault: a new agent reported "never" for what the one before it had run
@pytest.mark.holds_not_run
async def test_an_agent_after_another_knows_all_calls_only_once_those_are_old() -> None:
    table, clock = FakeTable(), Clock()
    first = build(table, "i1", clock)
    assert not first.knows_all_calls
    assert await first.register()
    assert first.knows_all_calls
    second = build(table, "i2", clock)
    assert await second.register()
    assert not second.knows_all_calls
    clock.now_s += RETAIN_S
    assert second.knows_all_calls


async def test_a_lost_answer_does_not_hide_that_an_agent_is_the_first() -> None:
    table = FakeTable()
    table.lost_answers = 1
    registration = build(table, "i1", Clock())
    assert not await registration.register()
    assert await registration.register()
    assert registration.knows_all_calls


# fault: an agent that had left no record was unknown to the one after it
@pytest.mark.holds_not_run
async def test_a_claimed_call_does_not_run_before_the_host_is_recorded() -> None:
    table = FakeTable()
    table.unavailable = True
    registration = build(table, "i1", Clock())
    assert not await registration.register()
    settings = EndpointSettings(name="s", kind="service", service="s", url="http://127.0.0.1:1")
    driver = PlainDriver(settings, "i1", registration, lambda: None)
    sent: list[wire.AgentMessage] = []
    call = wire.RunCall(call=7, claim="3:n", incarnation="i1", patience=0.02, key="k")
    await driver.run_call(SimpleNamespace(send=sent.append), call)
    (answer,) = (message.answer for message in sent)
    assert (answer.kind, answer.detail) == (
        ErrorKind.NO_ENDPOINT.value,
        "the agent could not record its host",
    )
    table.unavailable = False
    assert await registration.register()
    assert await registration.await_registered(0.0)
