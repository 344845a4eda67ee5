"""Check which engines an entry works with, and what it tells their agents."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.entry.demandreporter import DemandTeller
from basilroad.entry.engineindex import EngineIndex
from basilroad.entry.link import EndpointView
from basilroad.entry.modelqueue import ModelQueue, QueuedRequest
from basilroad.peers.wire import peer_pb2 as wire

MODEL = "spec-llm"


class FakeLink:
    """Keeps what an entry sends to one agent."""

    def __init__(self, region: str = "riga") -> None:
        self.leaving = False
        self.hello = wire.AgentHello(region=region)
        self.demands: list[wire.Demand] = []
        self.sent = asyncio.Event()

    def send(self, message: wire.EntryMessage) -> None:
        self.demands.append(message.demand)
        self.sent.set()


def _view(number: int, region: str = "riga", **fields: Any) -> EndpointView:
    state = {"kind": "engine", "service": MODEL, "version": "1", "alive": True, **fields}
    named = wire.EndpointState(endpoint=f"engine-{number}", **state)
    return EndpointView(FakeLink(region), named)  # type: ignore[arg-type]


def _change(view: EndpointView, **fields: Any) -> None:
    state = wire.EndpointState()
    state.CopyFrom(view.state)
    for name, value in fields.items():
        setattr(state, name, value)
    view.state = state


def test_limited_entry_takes_the_own_region_first_and_replaces_only_the_dead() -> None:
    index = EngineIndex("entry-1", "riga", 4)
    views = [_view(n, "riga" if n < 10 else "kurzeme") for n in range(20)]
    for view in views:
        index.put(view)
    chosen = index.find(MODEL)
    assert len(chosen) == 4
    assert all(view in views[:10] for view in chosen)
    _change(chosen[0], alive=False)
    index.put(chosen[0])
    healed = index.find(MODEL)
    assert len(set(healed) - set(chosen)) == 1
    assert chosen[0] not in healed
    _change(chosen[0], alive=True)
    index.put(chosen[0])
    assert set(index.find(MODEL)) == set(chosen)


def test_engine_that_comes_late_is_found() -> None:
    index = EngineIndex("entry-1", "riga", 0)
    assert index.find(MODEL) == ()
    views = (_view(1), _view(2))
    for count, view in enumerate(views, 1):
        index.put(view)
        assert index.find(MODEL) == views[:count]


def test_entries_spread_over_the_engines() -> None:
    views = [_view(n) for n in range(20)]
    used = set()
    for entry in range(20):
        index = EngineIndex(f"entry-{entry}", "riga", 4)
        for view in views:
            index.put(view)
        used |= {view.name for view in index.find(MODEL)}
    assert len(used) >= 16


def test_each_version_has_its_own_part() -> None:
    index = EngineIndex("entry-1", "riga", 2)
    for number in range(10):
        index.put(_view(number, version="1" if number < 9 else "2"))
    assert sorted(view.state.version for view in index.find(MODEL)) == ["1", "1", "2"]


def test_engine_that_changes_its_model_or_goes_is_not_found() -> None:
    index = EngineIndex("entry-1", "riga", 0)
    first, second = _view(1), _view(2)
    for view in (first, second, _view(3, kind="service")):
        index.put(view)
    _change(first, service="bal-model")
    index.put(first)
    assert index.find(MODEL) == (second,)
    index.keep([first])
    assert index.find(MODEL) == ()
    assert index.find("bal-model") == (first,)


def _push(model_queue: ModelQueue, caller: str) -> QueuedRequest:
    flow = Flow(1, "w", caller)
    flight: Any = SimpleNamespace(remaining=10)
    ticket = QueuedRequest(flight, flow, asyncio.get_running_loop().create_future())
    model_queue.push(ticket)
    return ticket


@pytest.fixture
async def told() -> tuple[ModelQueue, DemandTeller, FakeLink, FakeLink]:
    model_queue, index = ModelQueue(FairSettings()), EngineIndex("entry-1", "riga", 0)
    here, other = _view(1), _view(2, service="bal-model")
    index.put(here)
    index.put(other)
    teller = DemandTeller({MODEL: model_queue}, index, lambda *_: True, lambda _: False, tuple)
    return model_queue, teller, here.link, other.link  # type: ignore[return-value]


async def _read(teller: DemandTeller, link: FakeLink) -> wire.Demand:
    link.sent.clear()
    teller.tell()
    async with asyncio.timeout(5):
        await link.sent.wait()
    return link.demands[-1]


async def test_agents_of_the_model_are_told_only_what_changed(told) -> None:
    model_queue, teller, link, other = told
    for number in range(200):
        _push(model_queue, f"caller-{number}")
    first = await _read(teller, link)
    assert first.whole
    assert len(first.backlogs) == 200
    ticket = _push(model_queue, "caller-200")
    second = await _read(teller, link)
    assert not second.whole
    assert [(b.caller, b.waiting) for b in second.backlogs] == [("caller-200", 1)]
    model_queue.remove(ticket)
    third = await _read(teller, link)
    assert [(b.caller, b.waiting) for b in third.backlogs] == [("caller-200", 0)]
    teller.forget(link)
    assert (await _read(teller, link)).whole
    assert other.demands == []


async def test_refused_credit_is_told_again(told) -> None:
    model_queue, teller, link, _ = told
    ticket = _push(model_queue, "caller")
    await _read(teller, link)
    model_queue.queue.mark_changed(ticket.flow)
    again = await _read(teller, link)
    assert [(b.caller, b.waiting) for b in again.backlogs] == [("caller", 1)]
