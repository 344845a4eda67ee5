"""Check how an agent handles placement commands and the health of its engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
from fake_table import FakeTable

from basilroad.agent import backoff as backoff_module, modelloader as modelloader_module
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
from support.timelimit import await_within, limit_time

OLD = Loaded("spec", "", "1")
READY = EngineHealth("e", "ready", "spec", "", "1")
SETTINGS = EndpointSettings(name="e", kind="engine", service="spec", url="http://127.0.0.1:9000")


@attrs.define
class FakeEngine:
    """Returns the configured health and records the commands it receives."""

    health: EngineHealth = attrs.field(factory=lambda: READY)
    commands: list[EngineCommand] = attrs.field(factory=list)
    errors: list[Exception] = attrs.field(factory=list)
    command_received: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def read_health(self) -> EngineHealth:
        return self.health

    async def order(self, command: EngineCommand) -> EngineHealth:
        self.commands.append(command)
        self.command_received.set()
        if self.errors:
            raise self.errors.pop(0)
        loading = EngineHealth("e", "loading", command.model, command.adapter, command.version)
        self.health = attrs.evolve(loading, state="ready")
        return loading


@attrs.define
class FakeSource:
    """Returns a configured fencing number, or ``None``."""

    number: int | None = 5

    async def read(self) -> int | None:
        return self.number


@attrs.define
class Host:
    """An engine and the state that its :class:`ModelLoader` needs."""

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
        async with limit_time(10):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


@pytest.fixture
async def host(monkeypatch: pytest.MonkeyPatch) -> Host:
    monkeypatch.setattr(backoff_module, "RETRY_S", 0.01)
    monkeypatch.setattr(modelloader_module, "LOADING_POLL_INTERVAL_S", 0.01)
    return Host()


@pytest.fixture
async def loads(host: Host) -> AsyncIterator[ModelLoader]:
    loads = host.make_loads()
    async with loads:
        await host.wait(lambda: loads.fence.known)
        yield loads


def load(version: str, fence: int = 5) -> wire.PlaceModel:
    return wire.PlaceModel(action="load", model="spec", version=version, fence=fence)


async def test_a_command_waits_until_running_work_has_ended(host: Host, loads: ModelLoader) -> None:
    host.running = 1
    assert not loads.place(load("2")).kind
    assert not loads.is_ready
    state = wire.EndpointState()
    loads.describe(state)
    assert (state.state, state.version, state.pending.version) == ("leaving", "1", "2")
    loads.wake()
    await loads._step()
    assert not host.engine.commands
    host.running = 0
    loads.wake()
    await host.wait(lambda: loads.is_ready and loads.in_force == Loaded("spec", "", "2"))
    assert [(o.version, o.fence) for o in host.engine.commands] == [("2", 5)]


async def test_a_command_superseded_before_it_is_sent_is_not_sent(
    host: Host, loads: ModelLoader
) -> None:
    host.running = 1
    loads.place(load("2"))
    assert not loads.place(load("1", fence=6)).kind
    assert loads.is_ready
    host.running = 0
    await loads._step()
    assert not host.engine.commands


async def test_commands_of_former_planners_are_refused(host: Host, loads: ModelLoader) -> None:
    host.running = 1
    assert loads.place(load("2", fence=4)).kind == "stale_order"
    assert not loads.place(wire.PlaceModel(action="fence", fence=9)).kind
    placed = loads.place(load("2", fence=8))
    assert (placed.kind, placed.fence) == ("stale_order", 9)
    assert loads.is_ready
    assert loads.place(wire.PlaceModel(action="explode", fence=9)).kind == "bad_request"


async def test_a_command_is_retried_after_a_429_or_a_lost_connection(
    host: Host, loads: ModelLoader
) -> None:
    host.engine.errors = [EngineRefusedError(429, "busy"), EngineConnectionError("reset")]
    loads.place(load("2"))
    await host.wait(lambda: loads.in_force == Loaded("spec", "", "2"))
    assert len(host.engine.commands) == 3


def test_backoff_doubles_up_to_a_limit_with_distinct_jitter() -> None:
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


async def test_a_command_refused_as_stale_by_the_engine_is_dropped(
    host: Host, loads: ModelLoader
) -> None:
    host.engine.errors = [EngineRefusedError(409, "fence 5 is older than 7")]
    loads.place(load("2"))
    await await_within(host.engine.command_received.wait(), 10)
    await host.wait(lambda: loads.is_ready)
    assert loads.in_force == OLD
    assert len(host.engine.commands) == 1


async def test_the_model_reported_by_the_engine_is_in_force(host: Host, loads: ModelLoader) -> None:
    host.engine.health = EngineHealth("e", "empty")
    assert await loads.refresh()
    assert (loads.in_force, loads.is_ready) == (None, False)
    host.engine.health = EngineHealth("e", "ready", "bung", "oak", "3", role="prefill")
    await loads.refresh()
    assert loads.in_force == Loaded("bung", "oak", "3")
    assert (loads.is_ready, loads.role) == (True, "prefill")


async def test_a_late_health_response_does_not_replace_a_newer_one(
    host: Host, loads: ModelLoader
) -> None:
    newer = EngineHealth("e", "loading", "spec", "", "2")
    loads._apply(newer, 1000)
    loads._apply(host.engine.health, 999)
    assert not loads.is_ready


async def test_no_command_is_executed_while_no_fence_is_known() -> None:
    fence = EngineFence(Host().settings, FakeSource(None))
    assert not await fence.fetch_fence()
    assert not fence.admit(99)
    assert fence.highest == 0
    fence.record_reported_fence(7)
    assert not fence.known, "an engine that does not check may have lost its number"
    checked = EngineFence(attrs.evolve(Host().settings, checks_fence=True), FakeSource(None))
    checked.record_reported_fence(0)
    assert not checked.known
    checked.record_reported_fence(7)
    assert [checked.admit(n) for n in (6, 7)] == [False, True]


async def test_the_fence_after_a_start_is_read_from_the_lease() -> None:
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
