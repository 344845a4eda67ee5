"""Tests of the lock that suspect contents run under."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from basilroad.coordination.poison import PoisonMark
from basilroad.entry.generations import quarantine
from basilroad.entry.generations.containment import Containment
from basilroad.entry.generations.quarantine import Quarantine
from basilroad.errors import ErrorKind, RefusedError
from basilroad.peers.wire import peer_pb2 as wire

CONTENT = "3f" * 16
FLIGHT = SimpleNamespace(request=SimpleNamespace(fingerprint=CONTENT))


class Locations:
    """Directory whose agents run a copy until set otherwise."""

    def __init__(self) -> None:
        self.has_copy = True
        self.lookups = 0
        self.attempt = 0

    async def find(self, _: bytes) -> wire.Found | None:
        return wire.Found(done=True, location=wire.Location(attempt=self.attempt))

    async def exchange(self, location: wire.Location, *, expected: int) -> bool:
        assert expected == self.attempt
        self.attempt = location.attempt
        return True

    def write(self, location: wire.Location) -> None:
        self.attempt = location.attempt

    async def find_copy(self, _: object) -> bool:
        self.lookups += 1
        return self.has_copy


@pytest.fixture
def containment() -> Containment:
    return Containment(lambda _: True, lambda _: None)


@pytest.fixture
def locations() -> Locations:
    return Locations()


@pytest.fixture
def lock(
    containment: Containment, locations: Locations, monkeypatch: pytest.MonkeyPatch
) -> Quarantine:
    monkeypatch.setattr(quarantine, "POLL_INTERVAL_S", 0.001)
    return Quarantine(SimpleNamespace(locations=locations, containment=containment))


async def _enter(lock: Quarantine, entered: asyncio.Event) -> None:
    async with lock.hold(FLIGHT):
        entered.set()


async def _wait_lookups(locations: Locations, count: int) -> None:
    while locations.lookups < count:
        await asyncio.sleep(0.001)


async def test_a_clean_content_looks_for_no_copies(lock: Quarantine, locations: Locations) -> None:
    await _enter(lock, asyncio.Event())
    assert (locations.lookups, locations.attempt) == (0, 0)


# fault: a suspect ran while a copy that had been started before the first death was known still ran
@pytest.mark.holds_poison
async def test_a_suspect_waits_until_no_copy_runs(
    lock: Quarantine, locations: Locations, containment: Containment
) -> None:
    containment.record_death("r", PoisonMark(CONTENT, "d1"))
    entered = asyncio.Event()
    task = asyncio.ensure_future(_enter(lock, entered))
    await _wait_lookups(locations, 3)
    assert not entered.is_set()
    assert locations.attempt % 2 == 1
    locations.has_copy = False
    await task
    assert entered.is_set()
    assert locations.attempt % 2 == 0


@pytest.mark.holds_poison
async def test_a_content_that_becomes_poison_while_a_copy_runs_is_refused(
    lock: Quarantine, locations: Locations, containment: Containment
) -> None:
    containment.record_death("r", PoisonMark(CONTENT, "d1"))
    task = asyncio.ensure_future(_enter(lock, asyncio.Event()))
    await _wait_lookups(locations, 1)
    for death in ("d2", "d3"):
        containment.record_death("r", PoisonMark(CONTENT, death, alone=True))
    with pytest.raises(RefusedError) as caught:
        await task
    assert caught.value.refusal.kind is ErrorKind.POISONED
    assert locations.attempt % 2 == 0


async def test_a_content_that_is_cleared_while_a_copy_runs_continues(
    lock: Quarantine, locations: Locations, containment: Containment
) -> None:
    containment.record_death("r", PoisonMark(CONTENT, "d1"))
    entered = asyncio.Event()
    task = asyncio.ensure_future(_enter(lock, entered))
    await _wait_lookups(locations, 1)
    containment.clear(CONTENT)
    await task
    assert entered.is_set()
