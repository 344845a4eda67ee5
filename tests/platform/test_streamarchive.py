"""Versions of streams, in the store of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest

from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.versions.baseversion import BASE_KEY
from basilroad.gateway.versions.streamrow import build_key
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.store import StoreClient
from basilroad.platform.streamarchive import STREAMS_TABLE, StreamArchive
from basilroad.standin.rowstore import RowStoreStandin
from builders import build_call, build_entry, build_stream_route
from support.watchrig import wait_until

SERVICE = "llm"


def find_key(stream: str) -> str:
    """:return: key of the record of a stream."""
    return build_key(build_call(build_stream_route(), id=stream))


@attrs.define(eq=False)
class Host:
    """A gateway with its archive."""

    gateway: Gateway
    archive: StreamArchive
    client: StoreClient

    def list_versions(self, *versions: str) -> None:
        entries = [build_entry(version, service=SERVICE) for version in versions]
        self.gateway.directory.replace([attrs.evolve(entry, version=entry.id) for entry in entries])
        self.gateway.stream_versions.keeper.observe()

    async def begin(self, stream: str, version: str) -> bool:
        call = build_call(build_stream_route(), id=stream)
        self.gateway.stream_versions.begin(call, version)
        return await self.gateway.stream_versions.confirm(call, version)

    async def find(self, stream: str) -> str | None:
        call = build_call(build_stream_route(), id="again", resumes=stream)
        return await self.gateway.stream_versions.find(call)

    async def stop(self) -> None:
        await self.archive.stop()
        await self.client.close()


StartHost = Callable[[str], Awaitable[Host]]


@pytest.fixture
async def store() -> AsyncIterator[RowStoreStandin]:
    store = RowStoreStandin()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def start_host(store: RowStoreStandin) -> AsyncIterator[StartHost]:
    hosts = []

    async def start(name: str) -> Host:
        place = Locality("a", "r", {"a": "r"})
        gateway = Gateway(GatewaySettings(name, place), PlatformProtocol())
        client = StoreClient(f"http://127.0.0.1:{store.port}")
        host = Host(gateway, StreamArchive(client, gateway), client)
        hosts.append(host)
        await host.archive.start()
        return host

    yield start
    for host in hosts:
        await host.stop()


# fault: streams were joined of two versions after all hosts had been killed at once
async def test_a_host_that_starts_alone_knows_the_versions(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    first = await start_host("h1")
    first.list_versions("v1")
    assert await first.begin("s0", "v1")
    await wait_until(lambda: store.get(STREAMS_TABLE, BASE_KEY, SERVICE) is not None)
    first.list_versions("v1", "v2")
    assert await first.begin("s1", "v1")
    assert await first.begin("s2", "v2")
    assert store.get(STREAMS_TABLE, find_key("s2"), SERVICE) is not None
    assert store.get(STREAMS_TABLE, find_key("s1"), SERVICE) is None
    await first.stop()
    second = await start_host("h2")
    second.list_versions("v2")
    assert [await second.find(stream) for stream in ("s1", "s2")] == ["v1", "v2"]


async def test_a_restored_store_gets_the_records_again(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    host = await start_host("h1")
    host.list_versions("v1")
    assert await host.begin("s0", "v1")
    await wait_until(lambda: store.get(STREAMS_TABLE, BASE_KEY, SERVICE) is not None)
    copy = store.take_copy()
    host.list_versions("v1", "v2")
    assert await host.begin("s2", "v2")
    store.restore(copy)
    # any response shows the restore
    await host.client.read_table("op")
    key = find_key("s2")
    await wait_until(lambda: store.get(STREAMS_TABLE, key, SERVICE) is not None)
    assert await host.find("s2") == "v2"


# fault: a stream whose record was lost resumed at another version, as its own one had left before
# the hosts started
async def test_a_host_knows_a_version_that_left_before_a_restore(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    first = await start_host("h1")
    first.list_versions("v1")
    assert await first.begin("s0", "v1")
    await wait_until(lambda: store.get(STREAMS_TABLE, BASE_KEY, SERVICE) is not None)
    first.list_versions("v1", "v2")
    await wait_until(lambda: b"v2" in (store.get(STREAMS_TABLE, BASE_KEY, SERVICE) or b""))
    copy = store.take_copy()
    assert await first.begin("s2", "v2")
    await first.stop()
    store.restore(copy)
    second = await start_host("h2")
    second.list_versions("v1")
    assert await second.find("s2") is None


async def test_a_store_that_is_away_at_first_gets_the_record(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    host = await start_host("h1")
    host.list_versions("v1", "v2")
    store.refusing = 503
    beginning = asyncio.ensure_future(host.begin("s1", "v2"))
    await asyncio.sleep(0.3)
    store.refusing = 0
    assert await beginning
    key = find_key("s1")
    await wait_until(lambda: store.get(STREAMS_TABLE, key, SERVICE) is not None)
