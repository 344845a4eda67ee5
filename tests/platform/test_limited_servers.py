"""Servers that name a limit for all gateways together, from the socket to the servers and back."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from basilroad.gateway.dispatch.selection import Locality
from basilroad.peers.address import Address
from basilroad.platform.run import PlatformService
from basilroad.platform.settings import Bounds, ProcessSettings, StoreAccess
from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import name_ip
from support.timelimit import limit_time

pytestmark = pytest.mark.by_turns

GATEWAYS, SERVERS = 3, 3
WINDOW_S = 4.0
TOLD_S = 0.5
"""Time after the first response with a limit from which it counts."""

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "l",
            "host": "h.example",
            "prefix": "/l/",
            "timeoutMs": 4000,
            "sloMs": 600,
            "priority": 1,
            "kind": "idempotent",
            "service": "app",
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "app"}],
    "limits": {"maxBodyBytes": 10000},
    "tenants": [{"name": "tenant", "apiKeys": ["key"]}],
}


class Fleet:
    """Gateways that exchange gossip before servers of a plain service."""

    def __init__(self) -> None:
        self.store = RowStoreStandin()
        self.servers = [
            AppServerStandin(f"i-{n}", ip=name_ip(n), response_delay_s=0.01) for n in range(SERVERS)
        ]
        self.gateways: list[PlatformService] = []
        self.statuses: list[int] = []
        self.refused_after_s: list[float] = []
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        await self.store.start()
        self.store.put("op", "config", CONFIG)
        for server in self.servers:
            await server.start()
            entry = {
                "service": "app",
                "zone": "a",
                "slots": 6,
                "state": "ready",
                "version": "v1",
                "born": 7,
            }
            self.store.put("servers", server.id, {**entry, "address": f"{server.ip}:{server.port}"})
        for number in range(GATEWAYS):
            service = PlatformService(self._build_settings(number), Path("absent"))
            self.gateways.append(service)
            await service.start()
        self.session = aiohttp.ClientSession()
        async with limit_time(10):
            while not all(s.gateway.permits.is_established for s in self.gateways):
                self._introduce()
                await asyncio.sleep(0.05)

    def _introduce(self) -> None:
        addresses = [s.settings.peers for s in self.gateways if s.settings.peers is not None]
        for service in self.gateways:
            assert service.gossip is not None
            service.gossip.add_peers(addresses)

    def _build_settings(self, number: int) -> ProcessSettings:
        ip = name_ip(100 + number)
        return ProcessSettings(
            host=f"h{number}",
            role="gateway",
            place=Locality("a", "r", {"a": "r"}),
            front=Address(ip, 8001),
            ready=Address(ip, 8002),
            metrics=Address(ip, 8003),
            peers=Address(ip, 8004),
            bounds=Bounds(2.5, 3.0, 2.5, 2.0, 0.8, 10, 150, 4.0),
            store=StoreAccess(Address("127.0.0.1", self.store.port)),
        )

    async def send(self, seconds: float, per_s: float) -> None:
        """Send lookups to the gateways in turn.

        :param seconds: length of the traffic
        :param per_s: lookups a second
        """
        calls = []
        for _ in range(round(seconds * per_s)):
            calls.append(asyncio.ensure_future(self._call(next(self._numbers))))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*calls)

    async def _call(self, number: int) -> None:
        headers = {"Host": "h.example", "X-Key": "key", "X-Deadline-Ms": "2000"}
        headers["X-Attempt-Id"] = f"c{number}"
        front, sent_at = self.gateways[number % GATEWAYS].settings.front, time.monotonic()
        async with self.session.post(f"http://{front}/l/{number}", headers=headers) as response:
            await response.read()
            self.statuses.append(response.status)
            if response.status == 503:
                self.refused_after_s.append(time.monotonic() - sent_at)
                assert 0 < float(response.headers["Retry-After"]) <= 5.0

    async def stop(self) -> None:
        await self.session.close()
        await asyncio.gather(*(service.stop() for service in self.gateways))
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def count_most(server: AppServerStandin, since: float) -> int:
    """:return: most requests that reached a server within the time of a window."""
    times = sorted([request.at for request in server.seen] + server.reported_at)
    times = [at for at in times if at >= since]
    return max((sum(t <= at < t + WINDOW_S for at in times) for t in times), default=0)


def count_allowed(per_s: float) -> float:
    """:return: requests that a server with this limit tolerates in a window."""
    return 1.5 * per_s * WINDOW_S + 5


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    await fleet.start()
    yield fleet
    await fleet.stop()


# fault: a server that named a limit gets its share of the calls as before
async def test_servers_that_named_a_limit_get_no_more_and_the_calls_are_served(
    fleet: Fleet,
) -> None:
    await fleet.send(1.0, 40.0)
    for server in fleet.servers[:2]:
        server.limit = "1.0"
    named_at = time.monotonic()
    await fleet.send(9.0, 40.0)
    for server in fleet.servers[:2]:
        assert count_most(server, named_at + TOLD_S) <= count_allowed(1.0)
        assert len([r for r in server.seen if r.at > named_at + TOLD_S]) >= 3, "it is used"
    assert set(fleet.statuses) == {200}
    assert max(fleet.servers[2].seen[-1].at, 0.0) > named_at


# fault: calls that no server takes in time wait, and are sent in spite of all limits in the end
async def test_calls_beyond_all_limits_get_a_retry_delay(fleet: Fleet) -> None:
    await fleet.send(0.5, 40.0)
    for server in fleet.servers:
        server.limit = "0.5"
    named_at = time.monotonic()
    await fleet.send(6.0, 20.0)
    for server in fleet.servers:
        assert count_most(server, named_at + TOLD_S) <= count_allowed(0.5)
    assert set(fleet.statuses) <= {200, 503}
    assert fleet.statuses.count(503) > 60
    ran = {request.id for server in fleet.servers for request in server.runs}
    assert fleet.statuses.count(200) == len(ran), "a refused call has not run"
    refused = sorted(fleet.refused_after_s)
    assert refused[len(refused) // 2] < 0.15


# fault: the end of a limit is never noticed, as nothing is sent that would show it
async def test_servers_are_used_again_after_their_limit(fleet: Fleet) -> None:
    for server in fleet.servers[:2]:
        server.limit = "1.0"
    await fleet.send(3.0, 20.0)
    for server in fleet.servers:
        server.limit = ""
    await fleet.send(7.0, 20.0)
    for service in fleet.gateways:
        for endpoint in service.gateway.directory:
            assert not endpoint.notices.limit.is_in_force(time.monotonic())
    known = [len(server.seen) for server in fleet.servers]
    await asyncio.gather(*(fleet.send(0.1, 400.0) for _ in range(2)))
    assert all(len(s.seen) > n for s, n in zip(fleet.servers, known, strict=True))
    assert set(fleet.statuses) == {200}
