"""Check what an agent makes of orders and of what its engine reports."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
from fake_table import FakeTable

from basilroad.agent import backoff as backoff_module, modelloader as loads_module
from basilroad.agent.backoff import RETRY_MAX_S, RETRY_S, Backoff
from basilroad.agent.fencing import PLANNER_LEASE, EngineFence, LeaseFence
from basilroad.agent.modelloader import ModelLoader
from basilroad.coordination import LeaseSettings
from basilroad.coordination.lease import Lease
from basilroad.endpoints.engine import EngineConnectionError, EngineRefusedError
from basilroad.endpoints.messages import EngineCommand, EngineHealth
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import EndpointSettings
from basilroad.world.loaded import Loaded

OLD = Loaded("spec", "", "1")
READY = EngineHealth("e", "ready", "spec", "", "1")
SETTINGS = EndpointSettings(name="e", kind="engine", service="spec", url="http://127.0.0.1:9000")


@attrs.define
class FakeEngine:
    """Answers as it is told and keeps what it was ordered."""

    health: EngineHealth = attrs.field(factory=lambda: READY)
    orders: list[EngineCommand] = attrs.field(factory=list)
    errors: list[Exception] = attrs.field(factory=list)
    ordered: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def read_health(self) -> EngineHealth:
        return self.health

    async def order(self, order: EngineCommand) -> EngineHealth:
        self.orders.append(order)
        self.ordered.set()
        if self.errors:
            raise self.errors.pop(0)
        loading = EngineHealth("e", "loading", order.model, order.adapter, order.version)
        self.health = attrs.evolve(loading, state="ready")
        return loading


@attrs.define
class FakeSource:
    """Tells a fencing number, or none."""

    number: int | None = 5

    async def read(self) -> int | None:
        return self.number


@attrs.define
class Host:
    """An engine with the agent's guard before it."""

    engine: FakeEngine = attrs.field(factory=FakeEngine)
    source: FakeSource = attrs.field(factory=FakeSource)
    settings: EndpointSettings = attrs.field(factory=lambda: SETTINGS)
    running: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def make_loads(self) -> ModelLoader:
        return ModelLoader(
            self.settings,
            self.engine,  # type: ignore[arg-type]
            self.source,
            lambda: self.running,
            self.changed.set,
        )

    async def wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


@pytest.fixture
async def host(monkeypatch: pytest.MonkeyPatch) -> Host:
    monkeypatch.setattr(backoff_module, "RETRY_S", 0.01)
    monkeypatch.setattr(loads_module, "LOADING_S", 0.01)
    return Host()


@pytest.fixture
async def loads(host: Host) -> AsyncIterator[ModelLoader]:
    loads = host.make_loads()
    async with loads:
        await host.wait(lambda: loads.fence.known)
        yield loads


def load(version: str, fence: int = 5) -> wire.PlaceModel:
    return wire.PlaceModel(action="load", model="spec", version=version, fence=fence)


async def test_an_order_waits_until_what_runs_has_ended(host: Host, loads: ModelLoader) -> None:
    host.running = 1
    assert not loads.place(load("2")).kind
    assert not loads.is_ready
    state = wire.EndpointState()
    loads.describe(state)
    assert (state.state, state.version, state.pending.version) == ("leaving", "1", "2")
    loads.wake()
    await loads._step()
    assert not host.engine.orders
    host.running = 0
    loads.wake()
    await host.wait(lambda: loads.is_ready and loads.in_force == Loaded("spec", "", "2"))
    assert [(o.version, o.fence) for o in host.engine.orders] == [("2", 5)]


async def test_an_order_taken_back_before_it_was_carried_out(
    host: Host, loads: ModelLoader
) -> None:
    host.running = 1
    loads.place(load("2"))
    assert not loads.place(load("1", fence=6)).kind
    assert loads.is_ready
    host.running = 0
    await loads._step()
    assert not host.engine.orders


async def test_orders_of_former_planners_are_refused(host: Host, loads: ModelLoader) -> None:
    host.running = 1
    assert loads.place(load("2", fence=4)).kind == "stale_order"
    assert not loads.place(wire.PlaceModel(action="fence", fence=9)).kind
    placed = loads.place(load("2", fence=8))
    assert (placed.kind, placed.fence) == ("stale_order", 9)
    assert loads.is_ready
    assert loads.place(wire.PlaceModel(action="explode", fence=9)).kind == "bad_request"


async def test_an_engine_over_its_limit_is_asked_again_later(
    host: Host, loads: ModelLoader
) -> None:
    host.engine.errors = [EngineRefusedError(429, "busy"), EngineConnectionError("reset")]
    loads.place(load("2"))
    await host.wait(lambda: loads.in_force == Loaded("spec", "", "2"))
    assert len(host.engine.orders) == 3


def test_waits_double_up_to_a_limit_and_never_agree() -> None:
    backoffs = [Backoff(f"engine-{number}") for number in range(20)]
    longest_s = RETRY_S
    for _ in range(8):
        for backoff in backoffs:
            backoff.fail()
        waits = [backoff.draw() for backoff in backoffs]
        assert len(set(waits)) == len(waits)
        assert 0.5 * longest_s <= min(waits) <= max(waits) <= longest_s
        longest_s = min(RETRY_MAX_S, 2 * longest_s)
    backoffs[0].reset()
    assert backoffs[0].draw() <= RETRY_S


async def test_an_order_that_the_engine_calls_old_is_dropped(
    host: Host, loads: ModelLoader
) -> None:
    host.engine.errors = [EngineRefusedError(409, "fence 5 is older than 7")]
    loads.place(load("2"))
    await asyncio.wait_for(host.engine.ordered.wait(), 10)
    await host.wait(lambda: loads.is_ready)
    assert loads.in_force == OLD
    assert len(host.engine.orders) == 1


async def test_what_the_engine_reports_is_in_force(host: Host, loads: ModelLoader) -> None:
    host.engine.health = EngineHealth("e", "empty")
    assert await loads.refresh()
    assert (loads.in_force, loads.is_ready) == (None, False)
    host.engine.health = EngineHealth("e", "ready", "bung", "oak", "3", role="prefill")
    await loads.refresh()
    assert loads.in_force == Loaded("bung", "oak", "3")
    assert (loads.is_ready, loads.role) == (True, "prefill")


async def test_a_late_answer_does_not_undo_a_newer_one(host: Host, loads: ModelLoader) -> None:
    newer = EngineHealth("e", "loading", "spec", "", "2")
    loads._apply(newer, 1000)
    loads._apply(host.engine.health, 999)
    assert not loads.is_ready


async def test_no_order_is_obeyed_while_no_number_is_known() -> None:
    fence = EngineFence(Host().settings, FakeSource(None))
    assert not await fence.learn()
    assert not fence.admit(99)
    assert fence.highest == 0
    fence.hear(7)
    assert not fence.known, "an engine that does not check may have lost its number"
    checked = EngineFence(attrs.evolve(Host().settings, checks_fence=True), FakeSource(None))
    checked.hear(0)
    assert not checked.known
    checked.hear(7)
    assert [checked.admit(n) for n in (6, 7)] == [False, True]


async def test_the_number_after_a_start_is_that_of_the_lease() -> None:
    table = FakeTable()
    table.put("settings/ranks/urgent", "{}", "ann")
    source = LeaseFence(table)
    before = await source.read()
    assert before is not None
    lease = Lease(table, PLANNER_LEASE, "entry-1/a", LeaseSettings())
    assert await lease.acquire()
    assert await source.read() == lease.fence()
    assert before < (lease.fence() or 0)
    table.unavailable = True
    assert await source.read() is None
    assert await LeaseFence(None).read() is None
