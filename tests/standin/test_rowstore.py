"""Check the store stand-in over HTTP: rows, outages, copies and restores."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import pytest

from basilroad.standin.rowstore import ERA_HEADER, RowStoreStandin
from support.timelimit import await_within

WAIT_MS = 4000
SETTLE_S = 0.1


@attrs.frozen
class Answer:
    """What a call got.

    :param status: its status
    :param era: its era header; ``None`` without one
    :param body: its decoded body; empty without one
    """

    status: int
    era: str | None
    body: dict[str, Any]

    @property
    def values(self) -> dict[str, str | None]:
        """:return: values by key; ``None`` for removed rows."""
        return {
            row["key"]: None if row.get("deleted") else base64.b64decode(row["value"]).decode()
            for row in self.body["rows"]
        }

    @property
    def revisions(self) -> dict[str, int]:
        """:return: revisions by key."""
        return {row["key"]: row["ver"] for row in self.body["rows"]}


@attrs.frozen
class Caller:
    """Calls the store."""

    session: aiohttp.ClientSession
    store: RowStoreStandin

    async def get(self, path: str, **query: str | int) -> Answer:
        url = f"http://{self.store.ip}:{self.store.port}{path}"
        async with self.session.get(url, params=query) as response:
            return await read_answer(response)

    async def list(self, table: str = "t") -> Answer:
        return await self.get("/rows-get", table=table, part="")

    async def poll(self, since: int, wait_ms: int = 0, table: str = "t") -> Answer:
        return await self.get("/rows-feed", table=table, sinceRevision=since, waitMs=wait_ms)

    async def write(self, **transaction: object) -> Answer:
        url = f"http://{self.store.ip}:{self.store.port}/rows-tx"
        body = {"expected": [], "writes": [], "remove": [], **transaction}
        async with self.session.post(url, json=body) as response:
            return await read_answer(response)


async def read_answer(response: aiohttp.ClientResponse) -> Answer:
    body = await response.json() if response.content_type == "application/json" else {}
    return Answer(response.status, response.headers.get(ERA_HEADER), body)


def build_row(key: str, value: str) -> dict[str, str]:
    encoded = base64.b64encode(value.encode()).decode()
    return {"table": "t", "part": "", "key": key, "value": encoded}


async def poll_bytes(store: RowStoreStandin, since: int) -> bytes:
    """:return: all bytes until the store closes the connection; aiohttp would ask again."""
    reader, writer = await asyncio.open_connection(store.ip, store.port)
    target = f"/rows-feed?table=t&sinceRevision={since}&waitMs={WAIT_MS}"
    writer.write(f"GET {target} HTTP/1.1\r\nHost: store\r\n\r\n".encode())
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.fixture
async def store() -> AsyncIterator[RowStoreStandin]:
    store = RowStoreStandin()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def caller(store: RowStoreStandin) -> AsyncIterator[Caller]:
    async with aiohttp.ClientSession() as session:
        yield Caller(session, store)


async def test_rows_and_changes(store: RowStoreStandin, caller: Caller) -> None:
    store.put("t", "a", b"one")
    store.put("t", "b", b"two")
    store.put("other", "c", b"three")
    store.put("t", "a", None)
    listed = await caller.list()
    assert (listed.values, listed.body["ver"]) == ({"b": "two"}, 4)
    assert (await caller.poll(0)).values == {"b": "two", "a": None}
    assert (await caller.poll(4)).values == {}
    assert (store.get("t", "a"), store.get("t", "b")) == (None, b"two")


async def test_a_restore_brings_back_rows_and_revision(
    store: RowStoreStandin, caller: Caller
) -> None:
    store.put("t", "kept", b"1")
    store.put("t", "removed later", b"1")
    store.put("t", "changed later", b"old")
    copy = store.take_copy()
    store.put("t", "removed later", None)
    store.put("t", "changed later", b"new")
    store.put("t", "written later", b"1")
    store.restore(copy)
    listed = await caller.list()
    assert listed.values == {"kept": "1", "removed later": "1", "changed later": "old"}
    assert listed.body["ver"] == 3
    assert store.get("t", "written later") is None


async def test_a_copy_is_unaffected_by_what_comes_after_it(
    store: RowStoreStandin, caller: Caller
) -> None:
    store.put("t", "a", b"old")
    copy = store.take_copy()
    for era in (2, 3):
        store.put("t", "a", b"new")
        store.put("t", "b", b"new")
        store.restore(copy)
        listed = await caller.list()
        assert (listed.values, listed.body["ver"], listed.era) == ({"a": "old"}, 1, str(era))


async def test_revisions_are_given_out_again(store: RowStoreStandin, caller: Caller) -> None:
    store.put("t", "a", b"1")
    copy = store.take_copy()
    assert store.put("t", "before", b"1") == 2
    store.restore(copy)
    assert store.put("t", "after", b"1") == 2
    assert (await caller.list()).revisions == {"a": 1, "after": 2}
    written = await caller.write(writes=[build_row("mine", "1")])
    assert (written.status, written.body["ver"]) == (200, 3)
    # a poll from a revision that was given out twice skips the second row without a word
    assert (await caller.poll(2)).values == {"mine": "1"}


async def test_a_poll_above_the_newest_revision_is_rejected(
    store: RowStoreStandin, caller: Caller
) -> None:
    store.put("t", "a", b"1")
    copy = store.take_copy()
    store.put("t", "a", b"2")
    store.put("t", "a", b"3")
    store.restore(copy)
    assert (await caller.poll(3, WAIT_MS)).status == 410
    assert (await caller.poll(2, WAIT_MS)).status == 410
    assert (await caller.poll(1)).status == 200
    store.put("t", "a", b"2")
    assert (await caller.poll(2)).status == 200


async def test_a_restore_returns_to_the_history_of_the_copy(
    store: RowStoreStandin, caller: Caller
) -> None:
    store.put("t", "a", b"1")
    copy = store.take_copy()
    store.history_from = 2
    assert (await caller.poll(1)).status == 410
    store.restore(copy)
    assert (await caller.poll(1)).status == 200


async def test_each_answer_has_the_era(store: RowStoreStandin, caller: Caller) -> None:
    async def call_all() -> list[Answer]:
        answers = [
            await caller.list(),
            await caller.poll(0),
            await caller.write(writes=[build_row("a", "1")]),
            await caller.write(remove=[build_row("a", "1")]),
            await caller.write(remove=[{"table": "t"}]),
            await caller.get("/rows-get"),
            await caller.poll(store.revision + 1),
            await caller.get("/elsewhere"),
        ]
        store.refusing = 503
        answers.append(await caller.list())
        store.refusing = 0
        return answers

    statuses = [200, 200, 200, 200, 400, 400, 410, 404, 503]
    copy = store.take_copy()
    assert [(a.status, a.era) for a in await call_all()] == [(status, "1") for status in statuses]
    store.restore(copy)
    assert [(a.status, a.era) for a in await call_all()] == [(status, "2") for status in statuses]
    store.sends_era = False
    assert [(a.status, a.era) for a in await call_all()] == [(status, None) for status in statuses]


@pytest.mark.parametrize("silent", [False, True])
async def test_a_restore_breaks_off_the_calls_in_progress(
    store: RowStoreStandin, caller: Caller, silent: bool
) -> None:
    store.put("t", "a", b"1")
    copy = store.take_copy()
    store.silent = silent
    polls = [asyncio.ensure_future(poll_bytes(store, 1)) for _ in range(3)]
    await asyncio.sleep(SETTLE_S)
    assert not any(poll.done() for poll in polls)
    store.restore(copy)
    assert await await_within(asyncio.gather(*polls), 1.0) == [b"", b"", b""]
    store.silent = False
    assert (await caller.poll(1)).era == "2"


async def test_aborted_calls_return_no_write(store: RowStoreStandin, caller: Caller) -> None:
    poll = asyncio.ensure_future(poll_bytes(store, 0))
    await asyncio.sleep(SETTLE_S)
    store.break_off()
    store.put("t", "a", b"1")
    assert await await_within(poll, 1.0) == b""
    assert (await caller.poll(0, WAIT_MS)).values == {"a": "1"}


async def test_the_clock_may_jump_at_a_restore(store: RowStoreStandin, caller: Caller) -> None:
    before = (await caller.list()).body["nowMs"]
    store.restore(store.take_copy())
    store.clock_offset_s = -60.0
    assert -60_000 <= (await caller.list()).body["nowMs"] - before < -55_000


async def test_a_condition_that_fails_applies_nothing(
    store: RowStoreStandin, caller: Caller
) -> None:
    store.put("t", "a", b"one")
    expected = [{"table": "t", "part": "", "key": key, "ver": 0} for key in ("a", "b")]
    conflict = await caller.write(expected=expected, writes=[build_row("b", "two")])
    assert (conflict.status, conflict.values, conflict.revisions) == (412, {"a": "one"}, {"a": 1})
    assert store.get("t", "b") is None
    expected[0]["ver"] = 1
    applied = await caller.write(
        expected=expected, writes=[build_row("b", "two")], remove=[build_row("a", "")]
    )
    assert (applied.status, applied.body["ver"], "rows" in applied.body) == (200, 2, False)
    listed = await caller.list()
    assert (listed.values, listed.revisions) == ({"b": "two"}, {"b": 2})
    # a removed row counts as one that doesn't exist
    again = [{"table": "t", "part": "", "key": "a", "ver": 0}]
    assert (await caller.write(expected=again, writes=[build_row("a", "three")])).status == 200


async def test_a_transaction_has_one_part_and_at_most_100_entries(
    store: RowStoreStandin, caller: Caller
) -> None:
    rows = [{**build_row("a", "1"), "part": part} for part in ("p", "q")]
    assert (await caller.write(writes=rows)).status == 400
    assert (await caller.write(writes=rows, across=True)).status == 200
    assert (store.get("t", "a", "p"), store.get("t", "a")) == (b"1", None)
    many = [build_row(f"k{n}", "1") for n in range(101)]
    assert (await caller.write(writes=many)).status == 400
    assert (await caller.write(writes=many[:100])).status == 200


async def test_a_read_has_a_range_of_one_part(store: RowStoreStandin, caller: Caller) -> None:
    for key in ("a", "b", "c", "d"):
        store.put("t", key, b"1", "p")
        store.put("t", key, b"1", "q")
    query = {"table": "t", "part": "p", "from": "b", "to": "d"}
    whole = await caller.get("/rows-get", **query)
    assert (list(whole.values), whole.body["hasMore"]) == (["b", "c"], False)
    assert {row["part"] for row in whole.body["rows"]} == {"p"}
    page = await caller.get("/rows-get", **query, limit=1)
    assert (list(page.values), page.body["hasMore"]) == (["b"], True)
