"""Tests of engine selection and of the backlog reports to agents."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.entry.dispatch.demandreporter import DemandReporter
from basilroad.entry.dispatch.engineindex import EngineIndex
from basilroad.entry.dispatch.modelqueue import ModelQueue, QueuedRequest
from basilroad.entry.links.link import EndpointView
from basilroad.peers.wire import peer_pb2 as wire
from support.timelimit import limit_time

MODEL = "spec-llm"


class FakeLink:
    """Records what an entry sends to one agent."""

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


def test_limited_entry_prefers_the_local_region_and_replaces_only_dead_engines() -> None:
    index = EngineIndex("entry-1", "riga", 4)
    views = [_view(n, "riga" if n < 10 else "kurzeme") for n in range(20)]
    for view in views:
        index.put(view)
    chosen = index.find(MODEL)
    assert len(chosen) == 4
    assert all(view in views[:10] for view in chosen)
    _change(chosen[0], alive=False)
    index.put(chosen[0])
    after_death = index.find(MODEL)
    assert len(set(after_death) - set(chosen)) == 1
    assert chosen[0] not in after_death
    _change(chosen[0], alive=True)
    index.put(chosen[0])
    assert set(index.find(MODEL)) == set(chosen)


def test_engine_added_later_is_found() -> None:
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


def test_limit_applies_to_each_version_separately() -> None:
    index = EngineIndex("entry-1", "riga", 2)
    for number in range(10):
        index.put(_view(number, version="1" if number < 9 else "2"))
    assert sorted(view.state.version for view in index.find(MODEL)) == ["1", "1", "2"]


def test_engine_that_changes_its_model_or_is_removed_is_not_found() -> None:
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
    queued = QueuedRequest(flight, flow, asyncio.get_running_loop().create_future())
    model_queue.push(queued)
    return queued


@pytest.fixture
async def reporting() -> tuple[ModelQueue, DemandReporter, FakeLink, FakeLink]:
    model_queue, index = ModelQueue(FairSettings()), EngineIndex("entry-1", "riga", 0)
    here, other = _view(1), _view(2, service="bal-model")
    index.put(here)
    index.put(other)
    reporter = DemandReporter({MODEL: model_queue}, index, lambda *_: True, lambda _: False, tuple)
    return model_queue, reporter, here.link, other.link  # type: ignore[return-value]


async def _read(reporter: DemandReporter, link: FakeLink) -> wire.Demand:
    link.sent.clear()
    reporter.schedule_send()
    async with limit_time(5):
        await link.sent.wait()
    return link.demands[-1]


async def test_agents_of_the_model_receive_only_changes(reporting) -> None:
    model_queue, reporter, link, other = reporting
    for number in range(200):
        _push(model_queue, f"caller-{number}")
    first = await _read(reporter, link)
    assert first.whole
    assert len(first.backlogs) == 200
    queued = _push(model_queue, "caller-200")
    second = await _read(reporter, link)
    assert not second.whole
    assert [(b.caller, b.waiting) for b in second.backlogs] == [("caller-200", 1)]
    model_queue.remove(queued)
    third = await _read(reporter, link)
    assert [(b.caller, b.waiting) for b in third.backlogs] == [("caller-200", 0)]
    reporter.forget(link)
    assert (await _read(reporter, link)).whole
    assert other.demands == []


async def test_backlog_is_reported_again_after_a_refused_credit(reporting) -> None:
    model_queue, reporter, link, _ = reporting
    queued = _push(model_queue, "caller")
    await _read(reporter, link)
    model_queue.queue.mark_changed(queued.flow)
    again = await _read(reporter, link)
    assert [(b.caller, b.waiting) for b in again.backlogs] == [("caller", 1)]
