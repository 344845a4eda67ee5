"""Tests of the records of where generations run, at agents in memory."""

from __future__ import annotations

import asyncio
import itertools
import time
from types import SimpleNamespace

import pytest

from basilroad.agent.directory import RETAIN_S, GenerationDirectory
from basilroad.entry.generations.generation import build_generation_id
from basilroad.entry.generations.locationdirectory import (
    CLAIM_LIMIT_S,
    ENDED_TTL_S,
    REFRESH_INTERVAL_S,
    LocationDirectory,
)
from basilroad.entry.links.link import LinkLostError
from basilroad.peers.address import Address
from basilroad.peers.wire import peer_pb2 as wire

KEY = bytes(range(16))


class DirectoryLink:
    """Link to an agent, of which only the directory is there."""

    incarnation = "1"
    is_up = True
    up_s = 0.0

    def __init__(self, number: int) -> None:
        self.lost_replies = 0
        self.lost_requests = 0
        self.address = Address("127.0.0.1", 9000 + number)
        self.directory = GenerationDirectory()
        self._calls = itertools.count(1)

    def next_call_number(self) -> int:
        return next(self._calls)

    async def ask(self, call: int, message: wire.EntryMessage, timeout_s: float) -> wire.Found:
        del call, timeout_s
        if self.lost_requests:
            self.lost_requests -= 1
            raise LinkLostError("no reply in time")
        if message.HasField("find"):
            return self.directory.find(message.find)
        found = self.directory.register(message.register)
        if self.lost_replies:
            self.lost_replies -= 1
            raise LinkLostError("no reply in time")
        return found

    def send(self, message: wire.EntryMessage, *, urgent: bool = True) -> None:
        del urgent
        self.directory.register(message.register)


@pytest.fixture
def links() -> dict[Address, DirectoryLink]:
    """:return: links to three agents."""
    links = [DirectoryLink(number) for number in range(3)]
    return {link.address: link for link in links}


def build_directory(links: dict[Address, DirectoryLink], name: str) -> LocationDirectory:
    """:return: the directory as an entry sees it."""
    return LocationDirectory(SimpleNamespace(links=links, flights={}, incarnation=name))


def build_flight(key: bytes = KEY) -> SimpleNamespace:
    """:return: a generation with a key of its caller."""
    return SimpleNamespace(
        key=key,
        generation=build_generation_id(key),
        request=SimpleNamespace(body_hash=b"body"),
        identity=SimpleNamespace(key_generated=False),
        interrupted_s=None,
        endpoint="",
    )


# fault: a request that waited at one entry for an endpoint began at another one too
async def test_a_key_is_claimed_once_before_its_request_runs(links) -> None:
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    assert await first.claim(flight) is None
    found = await second.claim(build_flight())
    assert found is not None
    assert (found.generation, found.owner) == (flight.generation, "first")


# fault: a key was taken as free as its agents were silent for a second, and its request ran twice
async def test_silent_agents_do_not_free_a_key(links) -> None:
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    assert await first.claim(flight) is None
    for link in links.values():
        link.lost_requests = 2
    found = await second.claim(build_flight())
    assert found is not None
    assert (found.generation, found.owner) == (flight.generation, "first")


async def test_a_claim_whose_replies_were_lost_is_its_own(links) -> None:
    directory = build_directory(links, "first")
    for link in links.values():
        link.lost_replies = 1
    assert await directory.claim(build_flight()) is None


async def test_one_silent_agent_does_not_delay_a_claim(links) -> None:
    first, second = build_directory(links, "first"), build_directory(links, "second")
    assert await first.claim(build_flight()) is None
    silent = first._choose_links(KEY)[0]
    silent.lost_requests = 1
    assert await second.claim(build_flight()) is not None
    assert not silent.lost_requests


async def test_a_key_is_claimed_though_no_agent_ever_replies(links, monkeypatch) -> None:
    now = 100.0

    async def sleep(delay_s: float) -> None:
        nonlocal now
        now += delay_s

    monkeypatch.setattr(time, "monotonic", lambda: now)
    monkeypatch.setattr(asyncio, "sleep", sleep)
    for link in links.values():
        link.lost_requests = 10**6
    assert await build_directory(links, "first").claim(build_flight()) is None
    assert now == pytest.approx(100.0 + CLAIM_LIMIT_S, abs=0.2)


# fault: as above; what frees a key has to be as quick as before
async def test_a_key_is_free_after_a_request_that_never_ran(links) -> None:
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    assert await first.claim(flight) is None
    first.retire(flight)
    assert await second.claim(build_flight()) is None


async def test_a_key_stays_claimed_after_a_request_that_ran(links) -> None:
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    assert await first.claim(flight) is None
    start = wire.StartGeneration(attempt=1)
    view = SimpleNamespace(link=SimpleNamespace(address="127.0.0.1:9000"))
    assert await first.move(flight, start, view) is None
    first.retire(flight)
    found = await second.claim(build_flight())
    assert found is not None
    assert (found.generation, found.agent) == (flight.generation, "127.0.0.1:9000")


# fault: asking for a key kept the record of a lost entry young, so that its caller waited forever
async def test_asking_for_a_key_leaves_the_age_of_its_record(links, monkeypatch) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    first, second = build_directory(links, "first"), build_directory(links, "second")
    assert await first.claim(build_flight()) is None
    for _ in range(30):
        now += 0.2
        assert await second.claim(build_flight()) is not None
    found = await second.find(KEY)
    assert found is not None
    assert found.age >= 3.0


async def test_the_record_of_a_waiting_request_stays_young(links, monkeypatch) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    first.entry.flights[KEY] = flight
    assert await first.claim(flight) is None
    for _ in range(5):
        now += REFRESH_INTERVAL_S
        first.refresh()
        found = await second.find(KEY)
        assert found is not None
        assert found.age == 0
    flight.endpoint = "engine"
    now += REFRESH_INTERVAL_S
    first.refresh()
    found = await second.find(KEY)
    assert found is not None
    assert found.age == REFRESH_INTERVAL_S


# fault: the record of a generation that ran for over ten minutes was lost, so that its key began
# anew and its caller could not attach to it
async def test_the_record_of_a_generation_is_kept_until_it_ends(links, monkeypatch) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    first, second = build_directory(links, "first"), build_directory(links, "second")
    flight = build_flight()
    first.entry.flights[KEY] = flight
    assert await first.claim(flight) is None
    start = wire.StartGeneration(attempt=1)
    view = SimpleNamespace(link=SimpleNamespace(address="127.0.0.1:9000"))
    assert await first.move(flight, start, view) is None
    flight.endpoint = "engine"
    for _ in range(int(2 * RETAIN_S / REFRESH_INTERVAL_S)):
        now += REFRESH_INTERVAL_S
        first.refresh()
        for link in links.values():
            link.directory.expire()
    first.retire(flight)
    now += ENDED_TTL_S
    for link in links.values():
        link.directory.expire()
    found = await second.find(KEY)
    assert found is not None
    assert found.location.generation == flight.generation
