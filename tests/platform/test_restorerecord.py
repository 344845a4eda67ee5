"""Keys at a gateway that starts after a restore of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from basilroad.clocks import read_boot_clock
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.platform.configwatch import RESTORE_SETTLE_S, ConfigWatch
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.restorerecord import RESTORES_TABLE, SETTLED_KEY
from basilroad.platform.store import StoreClient
from basilroad.standin.rowstore import RowStoreStandin
from support.watchrig import BUDGET, build_config, wait_until

pytestmark = pytest.mark.by_turns

EARLY_S = RESTORE_SETTLE_S / 2
"""Time within which keys are confirmed without a wait for the store to settle."""


class Host:
    """A gateway that knows no other one.

    :param store: its store
    """

    def __init__(self, store: RowStoreStandin) -> None:
        place = Locality("a", "r", {"a": "r"})
        self.gateway = Gateway(GatewaySettings("h", place), PlatformProtocol())
        self._client = StoreClient(f"http://127.0.0.1:{store.port}")
        relay, exchange = Relay("h", read_boot_clock), ConfigExchange(None)
        self._watch = ConfigWatch(self._client, self.gateway, relay, exchange, BUDGET)

    async def start(self) -> None:
        await self._watch.start()

    async def stop(self) -> None:
        await self._watch.stop()
        await self._client.close()

    @property
    def confirms_keys(self) -> bool:
        return self.gateway.freshness.age_s() is not None


@pytest.fixture
async def store() -> AsyncIterator[RowStoreStandin]:
    store = RowStoreStandin()
    await store.start()
    store.put("op", "config", build_config(1, "k"))
    store.restore(store.take_copy())
    yield store
    await store.stop()


async def wait_for_record(store: RowStoreStandin) -> None:
    """Run a gateway until the store holds the record of its present epoch."""
    host = Host(store)
    expected = b'{"epoch":%d}' % store.era
    await host.start()
    await wait_until(lambda: store.get(RESTORES_TABLE, SETTLED_KEY) == expected)
    await host.stop()


async def confirms_early(store: RowStoreStandin) -> bool:
    """Start a gateway.

    :return: whether it confirms keys without a wait for the store to settle
    """
    host = Host(store)
    await host.start()
    await wait_until(lambda: host.gateway.table is not None)
    await asyncio.sleep(EARLY_S)
    confirms = host.confirms_keys
    await host.stop()
    return confirms


async def test_a_start_long_after_a_restore_confirms_keys_at_once(store: RowStoreStandin) -> None:
    # fault: each start after any restore refused all calls with a key for two seconds
    await wait_for_record(store)
    assert await confirms_early(store)


async def test_a_start_soon_after_a_restore_waits_for_the_store_to_settle(
    store: RowStoreStandin,
) -> None:
    assert not await confirms_early(store)


async def test_the_record_of_an_earlier_epoch_does_not_count(store: RowStoreStandin) -> None:
    await wait_for_record(store)
    store.restore(store.take_copy())
    assert not await confirms_early(store)


async def test_a_record_that_is_not_understood_does_not_count(store: RowStoreStandin) -> None:
    store.put(RESTORES_TABLE, SETTLED_KEY, {"epoch": "2"})
    assert not await confirms_early(store)


async def test_the_listing_from_before_the_record_confirms_no_key(
    store: RowStoreStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: a listing read before the store had settled counted once the record said that it has
    read_row = StoreClient.read_row
    read_at: list[float] = []

    async def read_late(client: StoreClient, table: str, part: str, key: str) -> object:
        store.put("op", "config", build_config(2, "other"))
        store.put(RESTORES_TABLE, SETTLED_KEY, {"epoch": store.era})
        read_at.append(read_boot_clock())
        return await read_row(client, table, part, key)

    monkeypatch.setattr(StoreClient, "read_row", read_late)
    host = Host(store)
    await host.start()
    await wait_until(lambda: host.confirms_keys)
    table, age_s = host.gateway.table, host.gateway.freshness.age_s()
    confirmed_at = read_boot_clock() - (age_s or 0.0)
    await host.stop()
    assert table is not None
    assert table.version == 2
    assert confirmed_at >= read_at[0]
