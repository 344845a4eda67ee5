"""Registration of gateways in the store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable

import pytest

from basilroad.peers.address import Address
from basilroad.platform import peerdiscovery
from basilroad.platform.peerdiscovery import GATEWAYS_TABLE, PeerDiscovery
from basilroad.platform.store import StoreClient
from basilroad.standin.rowstore import RowStoreStandin
from support.watchrig import wait_until

ADDRESS = Address("127.0.0.1", 7)


class KnownPeers:
    """Records the peers that a gateway discovers."""

    def __init__(self) -> None:
        self.addresses: set[Address] = set()

    def add_peers(self, addresses: Iterable[Address]) -> None:
        self.addresses.update(addresses)

    def record_registered(self, near: dict[str, Address]) -> None:
        self.near = near


@pytest.fixture
async def store(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[RowStoreStandin]:
    monkeypatch.setattr(peerdiscovery, "FIRST_READ_DELAY_S", 0.1)
    monkeypatch.setattr(peerdiscovery, "RETRY_INTERVAL_S", 0.1)
    store = RowStoreStandin()
    await store.start()
    yield store
    await store.stop()


async def test_a_registration_that_a_restored_store_has_lost_is_repeated(
    store: RowStoreStandin,
) -> None:
    # fault: gateways that started after a restore knew too few others, which share limits
    copy = store.take_copy()
    client, peers = StoreClient(f"http://127.0.0.1:{store.port}"), KnownPeers()
    service = PeerDiscovery(client, "h", "a", ADDRESS, peers)  # type: ignore[arg-type]
    await service.start()
    await wait_until(lambda: ADDRESS in peers.addresses)
    store.restore(copy)
    store.put(GATEWAYS_TABLE, "other", b"127.0.0.1:8 a")
    assert store.get(GATEWAYS_TABLE, "h") is None
    # a watch reads the store all the time
    await client.read_table("servers")
    await wait_until(lambda: store.get(GATEWAYS_TABLE, "h") is not None)
    await wait_until(lambda: Address("127.0.0.1", 8) in peers.addresses)
    await service.stop()
    await client.close()


async def test_a_registration_that_was_lost_before_the_first_read_is_repeated(
    store: RowStoreStandin,
) -> None:
    # fault: the epoch of the registration wasn't read, so that the next one was the first known
    copy = store.take_copy()
    client, peers = StoreClient(f"http://127.0.0.1:{store.port}"), KnownPeers()
    service = PeerDiscovery(client, "h", "a", ADDRESS, peers)  # type: ignore[arg-type]
    await service.start()
    await wait_until(lambda: store.get(GATEWAYS_TABLE, "h") is not None)
    store.restore(copy)
    await wait_until(lambda: store.get(GATEWAYS_TABLE, "h") is not None)
    await service.stop()
    await client.close()
