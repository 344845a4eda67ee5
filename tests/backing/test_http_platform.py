"""Check the clients of objects, weights and hosts against the platform stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from time import monotonic
from typing import Any

import aiohttp
import attrs
import pytest

from basilroad.backing.hosts import HostListError, HttpHostList, ListedHost
from basilroad.backing.objects import HttpObjectStore, ObjectStoreError
from basilroad.backing.table import HttpTable
from basilroad.backing.weights import (
    HttpWeightStore,
    WeightsDeferred,
    WeightsPulled,
    WeightStoreError,
)
from basilroad.coordination.table import Write
from basilroad.standin.engine import EngineStandin
from basilroad.standin.platform import PlatformStandin
from basilroad.standin.settings import EngineStandinSettings, PlatformStandinSettings

TIMEOUT_S = 5.0
HOST = ListedHost("h1", "agent", "riga", "riga-a", "127.0.0.1:4000")


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


def make_platform(**settings: Any) -> PlatformStandin:
    return PlatformStandin(PlatformStandinSettings(listen="127.0.0.1:0", **settings), embedded=True)


async def test_objects_are_stored_until_deleted() -> None:
    async with make_platform() as platform:
        objects = HttpObjectStore(platform.url, TIMEOUT_S)
        assert await objects.get("a/b c") is None
        await objects.put("a/b c", b"\x00oak")
        assert await objects.get("a/b c") == b"\x00oak"
        await objects.delete("a/b c")
        assert await objects.get("a/b c") is None
        await platform.refuse()
        with pytest.raises(ObjectStoreError):
            await objects.get("a/b c")
        await objects.close()


async def test_weights_are_rate_limited() -> None:
    async with make_platform(weight_pulls_per_s=0.5, weight_burst=1) as platform:
        weights = HttpWeightStore(platform.url, TIMEOUT_S)
        assert await weights.pull("m/x", "1") == WeightsPulled(4096)
        assert await weights.pull("m/x", "1") == WeightsDeferred(2.0)
        await platform.refuse()
        with pytest.raises(WeightStoreError):
            await weights.pull("m/x", "1")
        await weights.close()


async def test_engine_waits_for_the_weight_store(client: aiohttp.ClientSession) -> None:
    async with make_platform(weight_pulls_per_s=2.0, weight_burst=1) as platform:
        settings = EngineStandinSettings("e1", "127.0.0.1:0", "", weights_url=platform.url)
        async with EngineStandin(settings, embedded=True) as engine:
            for version in ("1", "2"):
                order = {"action": "load", "model": "m", "version": version}
                await client.post(f"{engine.url}/orders", json=order)
                await wait_ready(client, engine)
        async with client.get(f"{platform.url}/control/counters") as response:
            counters = await response.json()
    assert counters["weight_pulls"] == 2
    assert counters["weight_refusals"] >= 1


async def wait_ready(client: aiohttp.ClientSession, engine: EngineStandin) -> None:
    state = ""
    while state != "ready":
        async with client.get(f"{engine.url}/health") as response:
            state = (await response.json())["state"]
        await asyncio.sleep(0.01)


async def test_host_list_reflects_changes(client: aiohttp.ClientSession) -> None:
    async with make_platform(hosts=(HOST,)) as platform:
        hosts = HttpHostList(platform.url, TIMEOUT_S)
        assert await hosts.read() == (HOST,)
        url = f"{platform.url}/control/hosts/h1"
        leaving = attrs.evolve(HOST, leaving=True)
        await client.put(url, json=attrs.asdict(leaving))
        assert await hosts.read() == (leaving,)
        await client.delete(url)
        assert await hosts.read() == ()
        await platform.refuse()
        with pytest.raises(HostListError):
            await hosts.read()
        await hosts.close()


async def test_host_list_lags_by_the_configured_time(client: aiohttp.ClientSession) -> None:
    async with make_platform(hosts=(HOST,), hosts_lag_s=60.0) as platform:
        hosts = HttpHostList(platform.url, TIMEOUT_S)
        await client.delete(f"{platform.url}/control/hosts/h1")
        assert await hosts.read() == (HOST,)
        await hosts.close()


async def test_writes_over_the_rate_limit_are_delayed() -> None:
    async with make_platform(writes_per_s=100.0) as platform:
        table = HttpTable(platform.url, TIMEOUT_S)
        start = monotonic()
        await asyncio.gather(*(table.commit([Write(str(n), "1")]) for n in range(30)))
        assert monotonic() - start >= 0.2
        assert len(await table.scan("")) == 30
        await table.close()
