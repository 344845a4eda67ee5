"""Transactions and reads of rows by the client of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from basilroad.gateway.revision import Revision
from basilroad.platform.store import (
    ConnectionLostError,
    ResponseLostError,
    StoreClient,
    StoreError,
    Transaction,
)
from basilroad.standin.rowstore import RowStoreStandin
from support.rawserver import Exchange, answer, hold, reset, run_server


@pytest.fixture
async def store() -> AsyncIterator[RowStoreStandin]:
    store = RowStoreStandin()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def client(store: RowStoreStandin) -> AsyncIterator[StoreClient]:
    client = StoreClient(f"http://127.0.0.1:{store.port}")
    yield client
    await client.close()


async def test_a_transaction_is_applied_if_its_conditions_hold(
    store: RowStoreStandin, client: StoreClient
) -> None:
    first = await client.transact(Transaction("p", "t", {"a": 0}, {"a": b"one", "b": b"two"}))
    assert (first.applied, first.changes.revision.number) == (True, 1)
    conflict = await client.transact(Transaction("p", "t", {"a": 0, "c": 0}, {"a": b"three"}))
    assert not conflict.applied
    assert [(r.key, r.value, r.revision.number) for r in conflict.changes.rows] == [
        ("a", b"one", 1)
    ]
    second = await client.transact(Transaction("p", "t", {"a": 1}, {"a": b"three"}, ["b"]))
    assert (second.applied, second.changes.revision.number) == (True, 2)
    assert (store.get("t", "a", "p"), store.get("t", "b", "p")) == (b"three", None)


async def test_rows_of_one_part_are_read_by_key(
    store: RowStoreStandin, client: StoreClient
) -> None:
    for key in ("a", "a1", "b"):
        store.put("t", key, key.encode(), "p")
        store.put("t", key, b"other", "q")
    row = await client.read_row("t", "p", "a")
    assert [(r.key, r.value) for r in row.rows] == [("a", b"a")]
    assert (await client.read_row("t", "p", "c")).rows == ()
    rows = await client.read_range("t", "p", "a", "b")
    assert [r.key for r in rows.rows] == ["a", "a1"]


# fault: a write that may still be applied is taken for one that is not
async def test_a_lost_response_differs_from_a_refusal(
    store: RowStoreStandin, client: StoreClient
) -> None:
    transaction = Transaction("p", "t", {"a": 0}, {"a": b"one"})
    store.refusing = 503
    with pytest.raises(StoreError) as refused:
        await client.transact(transaction)
    assert not isinstance(refused.value, ResponseLostError)
    store.refusing, store.silent = 0, True
    with pytest.raises(ResponseLostError):
        await client.transact(transaction)
    store.silent = False
    await store.stop()
    await asyncio.sleep(0.05)
    with pytest.raises(StoreError) as unreached:
        await client.transact(transaction)
    assert not isinstance(unreached.value, ResponseLostError)


# fault: as above, for responses that don't show the outcome of the transaction
@pytest.mark.parametrize("status", [500, 502, 504])
async def test_a_server_error_does_not_show_that_nothing_was_done(
    store: RowStoreStandin, client: StoreClient, status: int
) -> None:
    store.refusing = status
    with pytest.raises(ResponseLostError):
        await client.transact(Transaction("p", "t", {"a": 0}, {"a": b"one"}))


# fault: as above, where the transaction was applied
async def test_an_applied_transaction_with_an_unreadable_epoch_is_not_refused(
    store: RowStoreStandin, client: StoreClient
) -> None:
    store.era = "x"
    with pytest.raises(ResponseLostError):
        await client.transact(Transaction("p", "t", {"a": 0}, {"a": b"one"}))
    assert store.get("t", "a", "p") == b"one"


ROWS = b'{"rows":[{"key":"a","value":"b25l","ver":2}],"ver":2}'


# fault: rows of a feed that was cut were applied, where the part could be decoded
@pytest.mark.holds_settings
@pytest.mark.parametrize("body", [ROWS, ROWS[:-20]], ids=["decodable", "midway"])
async def test_a_row_feed_that_is_reset_is_lost(body: bytes) -> None:
    async with run_server(Exchange(answer(body=body), reset)) as address:
        client = StoreClient(f"http://{address}")
        with pytest.raises(ConnectionLostError) as caught:
            await client.wait_changes("t", Revision(0, 1), 1.0)
        assert caught.value.closed
        with pytest.raises(ConnectionLostError):
            await client.read_table("t")
        await client.close()


LENGTH = b"Content-Length: 6\r\n"


# fault: a transaction whose response was cut or had no valid status was taken for not applied
@pytest.mark.holds_not_run
@pytest.mark.parametrize(
    "exchange",
    [
        Exchange(answer("000", LENGTH), hold),
        Exchange(answer("400"), reset),
        Exchange(answer("503"), reset),
    ],
    ids=["000", "400 and reset", "503 and reset"],
)
async def test_a_transaction_with_an_invalid_response_may_be_applied(exchange: Exchange) -> None:
    async with run_server(exchange) as address:
        client = StoreClient(f"http://{address}")
        with pytest.raises(ResponseLostError):
            await client.transact(Transaction("p", "t", {"a": 0}, {"a": b"one"}))
        await client.close()
