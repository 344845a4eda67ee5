"""Requests with a prompt part that crashes servers, from the socket to the servers and back."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.streams.durations import StreamDurations
from basilroad.peers.address import Address
from basilroad.platform.run import PlatformService
from basilroad.platform.settings import Bounds, ProcessSettings, StoreAccess
from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import name_ip
from support.timelimit import limit_time

pytestmark = pytest.mark.by_turns

HEADERS = {"Host": "h.example", "X-Key": "key", "X-Deadline-Ms": "4000"}
ROUTE = {
    "name": "s",
    "host": "h.example",
    "prefix": "/s/",
    "timeoutMs": 4000,
    "sloMs": 2000,
    "priority": 1,
    "kind": "streaming",
    "service": "llm",
    "maxAttempts": 6,
    "resumable": True,
}
CONFIG = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "llm", "engine": {"slots": 48, "kvCapacity": 88000, "backups": True}}],
    "limits": {"maxBodyBytes": 10000},
    "tenants": [{"name": "tenant", "apiKeys": ["key"]}],
}
DEADLY = "1bad1bad1bad"
SHARED = "303f382f7be8"
SERVERS = 8
CRASHES_ALLOWED = 5
"""Crashes of one part after which the platform expects it to be contained."""


class Fleet:
    """Two gateways that exchange gossip before servers that crash on one prompt part."""

    def __init__(self) -> None:
        self.store = RowStoreStandin()
        self.servers = [
            AppServerStandin(
                f"i-{n}", events=40, event_interval_s=0.02, ip=name_ip(n), crash_on=DEADLY
            )
            for n in range(SERVERS)
        ]
        self.gateways: list[PlatformService] = []
        self._addresses = itertools.count(100)
        self._numbers = itertools.count(1)

    async def start(self, peers: int = 2) -> None:
        await self.store.start()
        self.store.put("op", "config", CONFIG)
        for server in self.servers:
            await server.start()
            entry = {"service": "llm", "zone": "a", "slots": 4, "state": "ready", "version": "v1"}
            entry |= {"address": f"{server.ip}:{server.port}", "born": server.born}
            self.store.put("servers", server.id, entry)
        for number in range(peers):
            await self.add_gateway(f"h{number}")
        self.session = aiohttp.ClientSession()

    async def add_gateway(self, host: str) -> None:
        service = PlatformService(self._build_settings(host), Path("absent"))
        service.gateway.stream_durations = StreamDurations(mean_s=0.5, events=10, event_s=0.01)
        await service.start()
        self.gateways.append(service)
        async with limit_time(5):
            while len(list(service.gateway.directory)) < SERVERS or not self._know_each_other():
                self._introduce()
                await asyncio.sleep(0.02)

    def _know_each_other(self) -> bool:
        known = [service.gossip.list_live_peers() for service in self.gateways if service.gossip]
        return all(len(peers) == len(self.gateways) - 1 for peers in known)

    def _introduce(self) -> None:
        addresses = [s.settings.peers for s in self.gateways if s.settings.peers is not None]
        for service in self.gateways:
            assert service.gossip is not None
            service.gossip.add_peers(addresses)

    def _build_settings(self, host: str) -> ProcessSettings:
        ip = name_ip(next(self._addresses))
        return ProcessSettings(
            host=host,
            role="gateway",
            place=Locality("a", "r", {"a": "r"}),
            front=Address(ip, 8001),
            ready=Address(ip, 8002),
            metrics=Address(ip, 8003),
            peers=Address(ip, 8004),
            bounds=Bounds(2.5, 3.0, 2.5, 2.0, 0.8, 10, 150, 4.0),
            store=StoreAccess(Address("127.0.0.1", self.store.port)),
        )

    async def generate(self, parts: list[str], gateway: int, **headers: str) -> tuple[int, int]:
        """Send a generation that is unlike all others.

        :param parts: parts of its prompt but the last
        :param gateway: number of the gateway
        :return: status and number of events
        """
        number = next(self._numbers)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        text = ",".join(f"{part}:100" for part in [*parts, f"last{number:08x}"])
        front = self.gateways[gateway].settings.front
        async with self.session.post(
            f"http://{front}/s/1",
            data=f"body {number}".encode(),
            headers={
                **HEADERS,
                "X-Attempt-Id": f"c{number}",
                "X-Token-Usage": "300,50",
                "X-Prompt-Prefix": text,
                **named,
            },
        ) as response:
            return response.status, (await response.read()).count(b"id: ")

    @property
    def crashes(self) -> int:
        return sum(server.crashes for server in self.servers)

    @property
    def deadly_requests(self) -> int:
        """:return: requests with the deadly part that reached servers."""
        seen = [request for server in self.servers for request in server.seen]
        return sum(DEADLY in request.headers["x-prompt-prefix"] for request in seen)

    async def end_gateways(self) -> None:
        """End all gateways, which forget what they know."""
        gateways, self.gateways = self.gateways, []
        await asyncio.gather(*(service.stop() for service in gateways))

    async def stop(self) -> None:
        await self.session.close()
        await asyncio.gather(*(service.stop() for service in self.gateways))
        for server in self.servers:
            await server.stop()
        await self.store.stop()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    await fleet.start()
    yield fleet
    await fleet.stop()


# pattern: each request with the part ends as many servers as its route allows attempts
async def test_a_part_that_crashes_servers_does_not_end_one_after_the_other(fleet: Fleet) -> None:
    await fleet.generate([SHARED], 0)
    statuses = []
    for number in range(6):
        status, _ = await fleet.generate([SHARED, DEADLY], number % 2)
        statuses.append(status)
    assert fleet.crashes <= CRASHES_ALLOWED
    assert fleet.deadly_requests <= CRASHES_ALLOWED
    assert statuses[0] == 502, "it may have run"
    assert statuses[-1] == 503, "it is refused before it is sent"
    for number in range(4):
        assert await fleet.generate([SHARED], number % 2) == (200, 40)


# pattern: requests with the part come at all gateways at once, beside sound ones of their caller
async def test_sound_requests_are_served_while_a_deadly_part_keeps_coming(fleet: Fleet) -> None:
    deadly, sound = [], []
    await fleet.generate([SHARED], 0)
    for number in range(24):
        gateway = number % 2
        deadly.append(asyncio.ensure_future(fleet.generate([SHARED, DEADLY], gateway)))
        sound.append(asyncio.ensure_future(fleet.generate([SHARED, f"own{number}"], gateway)))
        await asyncio.sleep(0.25)
    assert await asyncio.gather(*sound) == [(200, 40)] * len(sound)
    statuses = [status for status, _ in await asyncio.gather(*deadly)]
    assert set(statuses) == {502, 503}
    assert fleet.crashes <= CRASHES_ALLOWED


# pattern: a gateway that has restarted sends what all others refuse
async def test_a_gateway_that_starts_later_receives_what_is_refused(fleet: Fleet) -> None:
    await fleet.generate([SHARED], 0)
    for number in range(3):
        await fleet.generate([SHARED, DEADLY], number % 2)
    crashes = fleet.crashes
    await asyncio.sleep(2.5)
    await fleet.add_gateway("h2")
    await asyncio.sleep(4.0)
    status, _ = await fleet.generate([SHARED, DEADLY], 2)
    assert status == 503
    assert fleet.crashes == crashes
    metrics = fleet.gateways[2].gateway.render_metrics().decode()
    assert 'basilroad_refusals_total{kind="crashes_endpoints"} 1.0' in metrics
    assert 'basilroad_crashes_total{source="heard"}' in metrics
    assert "basilroad_refused_parts_total 1.0" in metrics
    assert await fleet.generate([SHARED], 2) == (200, 40)


# fault: once all gateways were killed, a part that had crashed servers ended as many again
async def test_a_part_is_refused_after_the_end_of_all_gateways(fleet: Fleet) -> None:
    await fleet.generate([SHARED], 0)
    for number in range(3):
        await fleet.generate([SHARED, DEADLY], number % 2)
    crashes = fleet.crashes
    await asyncio.sleep(2.5)
    await fleet.end_gateways()
    await fleet.add_gateway("h2")
    await asyncio.sleep(4.0)
    status, _ = await fleet.generate([SHARED, DEADLY], 0)
    assert status == 503
    assert fleet.crashes == crashes
    assert await fleet.generate([SHARED], 0) == (200, 40)
