"""Check how the soak's store goes, returns from a copy, and gets back what it has lost."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterator

import pytest

from basilroad.standin.rowstore import RowStoreStandin
from soak.storewriter import CONFIG_ROW, COPY_INTERVAL_S, WRITTEN_AGAIN_S, StoreWriter
from support.timelimit import await_within

pytestmark = pytest.mark.by_turns

MARGIN_S = 1.0


@pytest.fixture
def store() -> RowStoreStandin:
    return RowStoreStandin()


@pytest.fixture
async def writer(store: RowStoreStandin) -> AsyncIterator[StoreWriter]:
    writer = StoreWriter(store, random.Random(1))
    copying = asyncio.ensure_future(writer.keep_copies())
    yield writer
    copying.cancel()


async def wait_copied() -> None:
    await asyncio.sleep(2 * COPY_INTERVAL_S)


async def wait_restored(store: RowStoreStandin, era: int = 2) -> float:
    """:return: last monotonic seconds at which the store had not returned yet."""
    before = time.monotonic()
    while store.era < era:
        before = time.monotonic()
        await asyncio.sleep(0.005)
    return before


def read_servers(store: RowStoreStandin) -> Iterator[str]:
    return (key for key in ("a", "b", "c") if store.get("servers", key) is not None)


async def test_what_was_written_since_the_copy_is_written_again(
    store: RowStoreStandin, writer: StoreWriter
) -> None:
    writer.put("servers", "a", 1)
    writer.put("servers", "b", 1)
    writer.put(*CONFIG_ROW, "old")
    store.put("gateways", "kept", b"1")
    await wait_copied()
    writer.put("servers", "a", 2)
    writer.put("servers", "b", None)
    writer.put("servers", "c", 1)
    writer.put(*CONFIG_ROW, "new")
    store.put("gateways", "lost", b"1")
    newest = store.revision
    restore = asyncio.ensure_future(writer.restore(0.1, 0.1, 0.5, silent=False))
    await asyncio.sleep(0.05)
    assert (store.refusing, store.era) == (503, 1)
    returned_at = await wait_restored(store)
    assert store.refusing == 0
    assert store.revision < newest
    assert (list(read_servers(store)), store.get("servers", "a")) == (["a", "b"], b"1")
    assert store.get(*CONFIG_ROW) == b'"old"'
    await writer.wait_acknowledged(CONFIG_ROW)
    assert 0.5 <= time.monotonic() - returned_at < 0.5 + MARGIN_S
    await restore
    assert time.monotonic() - returned_at < WRITTEN_AGAIN_S + MARGIN_S
    assert (list(read_servers(store)), store.get("servers", "a")) == (["a", "c"], b"2")
    assert store.get(*CONFIG_ROW) == b'"new"'
    assert [store.get("gateways", key) for key in ("kept", "lost")] == [b"1", None]


async def test_what_was_not_lost_is_not_written_again(
    store: RowStoreStandin, writer: StoreWriter
) -> None:
    writer.put("servers", "a", 1)
    writer.put(*CONFIG_ROW, "old")
    await wait_copied()
    await writer.restore(0.0, 0.0, 0.1, silent=True)
    assert (store.revision, store.era, store.silent) == (2, 2, False)


async def test_what_changes_before_it_is_written_again_is_written_as_it_is_then(
    store: RowStoreStandin, writer: StoreWriter
) -> None:
    await wait_copied()
    writer.put(*CONFIG_ROW, "old")
    restore = asyncio.ensure_future(writer.restore(0.0, 0.1, 0.3, silent=False))
    await wait_restored(store)
    writer.put(*CONFIG_ROW, "new")
    newest = store.revision
    await restore
    assert (store.get(*CONFIG_ROW), store.revision) == (b'"new"', newest)


async def test_what_is_written_while_the_store_is_away_is_acknowledged_on_its_return(
    store: RowStoreStandin, writer: StoreWriter
) -> None:
    writer.put(*CONFIG_ROW, "old")
    await writer.wait_acknowledged(CONFIG_ROW)
    await wait_copied()
    restore = asyncio.ensure_future(writer.restore(0.3, 0.0, 0.8, silent=True))
    await asyncio.sleep(0.1)
    writer.put(*CONFIG_ROW, "new")
    acknowledged = asyncio.ensure_future(writer.wait_acknowledged(CONFIG_ROW))
    await wait_restored(store)
    assert store.get(*CONFIG_ROW) == b'"old"'
    await asyncio.sleep(0.1)
    assert not acknowledged.done()
    await await_within(acknowledged, MARGIN_S)
    assert store.get(*CONFIG_ROW) == b'"new"'
    await restore


async def test_the_copy_is_as_old_as_asked_and_a_second_one_is_no_newer(
    store: RowStoreStandin, writer: StoreWriter
) -> None:
    for number in range(4):
        writer.put("servers", "a", number)
        await wait_copied()
    values = []
    for era, age_s in ((2, 2.25 * COPY_INTERVAL_S * 2), (3, 0.0)):
        restore = asyncio.ensure_future(writer.restore(0.0, age_s, 0.0, silent=False))
        await wait_restored(store, era)
        values.append(store.get("servers", "a"))
        restore.cancel()
    assert values == [b"1", b"1"]
