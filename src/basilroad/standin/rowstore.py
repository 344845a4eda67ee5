"""Stand-in for the row store of the users' platform, with outages and restores."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Mapping
from typing import Any

import attrs
import msgspec
from aiohttp import web

ERA_HEADER = "Store-Era"
SHUTDOWN_TIMEOUT_S = 0.1
MAX_ENTRIES = 100
"""Conditions, writes and removals of one transaction."""

MAX_PAGE_ROWS = 500

RowName = tuple[str, str, str]
"""Table, part and key of a row."""


@attrs.frozen
class StoreCopy:
    """All that the store held at one moment.

    :param rows: revision and value by table, part and key; ``None`` for removed rows
    :param revision: newest revision
    :param history_from: oldest revision from which changes could be read
    """

    rows: dict[RowName, tuple[int, bytes | None]]
    revision: int
    history_from: int


@attrs.define
class RowStoreStandin:
    """Stores rows by table, part and key, with one global revision counter.

    :param ip: its loopback address
    :param refusing: error status returned to every call; 0 to serve normally
    :param silent: whether all responses are withheld
    :param history_from: oldest revision from which changes can be read; earlier ones return 410
    :param era: sent in the header ``Store-Era``; rises by one with each restore
    :param sends_era: whether that header is sent
    :param clock_offset_s: seconds by which the clock of the responses differs from ours
    :param polls: number of long polls that wait for a change
    """

    ip: str = "127.0.0.1"
    refusing: int = 0
    silent: bool = False
    history_from: int = 0
    era: int = 1
    sends_era: bool = True
    clock_offset_s: float = 0.0
    port: int = 0
    revision: int = 0
    calls: int = 0
    polls: int = 0
    _rows: dict[RowName, tuple[int, bytes | None]] = attrs.field(factory=dict)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _break_count: int = 0
    _silenced: set[web.RequestHandler] = attrs.field(factory=set)
    _runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback.

        :param port: port; 0 takes a free one
        """
        server = web.Server(self._handle)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.ip, port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: object, part: str = "") -> int:
        """Write or delete a row.

        :param table: table of the row
        :param key: key of the row
        :param value: bytes are stored unchanged, other values as JSON; ``None`` deletes the row
        :param part: part of the row
        :return: revision of the write
        """
        self.revision += 1
        data = value if isinstance(value, bytes | None) else msgspec.json.encode(value)
        self._rows[(table, part, key)] = (self.revision, data)
        self._wake_polls()
        return self.revision

    def get(self, table: str, key: str, part: str = "") -> bytes | None:
        """Read a row.

        :param table: table of the row
        :param key: key of the row
        :param part: part of the row
        :return: its value as stored; ``None`` without such a row
        """
        return self._rows.get((table, part, key), (0, None))[1]

    def take_copy(self) -> StoreCopy:
        """:return: a copy of all that is stored now."""
        return StoreCopy(dict(self._rows), self.revision, self.history_from)

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy; revisions given out since then are given out again.

        :param copy: the copy
        """
        self._rows = dict(copy.rows)
        self.revision, self.history_from = copy.revision, copy.history_from
        self.era += 1
        self.break_off()

    def break_off(self) -> None:
        """Close the connections of all calls in progress without a response."""
        self._break_count += 1
        self._wake_polls()

    def silence_connections(self) -> int:
        """Respond no more on the connections that are open now; new ones work.

        :return: number of connections
        """
        assert self._runner is not None
        assert self._runner.server is not None
        self._silenced.update(self._runner.server.connections)
        return len(self._runner.server.connections)

    async def _hold_if_silenced(self, request: web.BaseRequest) -> None:
        while request.protocol in self._silenced and request.transport is not None:
            await asyncio.sleep(0.01)

    def _wake_polls(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        break_count = self._break_count
        # before any wait, in which the caller may leave
        body = await request.read()
        while self.silent and break_count == self._break_count:
            await asyncio.sleep(0.01)
        response = None
        if break_count == self._break_count:
            response = await self._respond(request, body)
        await self._hold_if_silenced(request)
        if response is None or break_count != self._break_count:
            if request.transport is not None:
                request.transport.close()
            # never sent on the closed connection
            return web.Response(status=503)
        if self.sends_era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _respond(self, request: web.BaseRequest, body: bytes) -> web.Response:
        if self.refusing:
            return web.Response(status=self.refusing)
        try:
            if request.path == "/rows-get":
                return self._read(request.query)
            if request.path == "/rows-feed":
                table, since = request.query["table"], int(request.query["sinceRevision"])
                return await self._feed(table, since, int(request.query["waitMs"]) / 1000)
            if request.path == "/rows-tx":
                return self._write(msgspec.json.decode(body))
        except (KeyError, ValueError, msgspec.MsgspecError):
            return web.Response(status=400)
        return web.Response(status=404)

    def _read(self, query: Mapping[str, str]) -> web.Response:
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        rows = [
            row
            for row in self._list(query["table"])
            if row["part"] == query["part"]
            and row["key"] >= query.get("from", "")
            and ("to" not in query or row["key"] < query["to"])
        ]
        return self._answer(rows[:limit], has_more=len(rows) > limit)

    def _write(self, transaction: dict[str, Any]) -> web.Response:
        """Apply a transaction if its conditions hold."""
        expected = [(_name(row), row["ver"]) for row in transaction["expected"]]
        changes: list[tuple[RowName, bytes | None]] = [
            (_name(row), base64.b64decode(row["value"], validate=True))
            for row in transaction["writes"]
        ]
        changes += [(_name(row), None) for row in transaction["remove"]]
        names = [name for name, _ in expected] + [name for name, _ in changes]
        parts = {part for _, part, _ in names}
        if len(names) > MAX_ENTRIES or (len(parts) > 1 and not transaction.get("across")):
            return web.Response(status=400)
        if any(self._find_revision(name) != revision for name, revision in expected):
            conditions = {name for name, _ in expected}
            rows = [
                _describe(name, revision, data)
                for name, (revision, data) in sorted(self._rows.items())
                if name in conditions and data is not None
            ]
            return self._answer(rows, status=412)
        self.revision += 1
        for name, data in changes:
            self._rows[name] = (self.revision, data)
        self._wake_polls()
        return self._build_answer({})

    def _find_revision(self, name: RowName) -> int:
        revision, data = self._rows.get(name, (0, None))
        return 0 if data is None else revision

    async def _feed(self, table: str, since: int, wait_s: float) -> web.Response:
        if since < self.history_from or since > self.revision:
            return web.Response(status=410)
        loop = asyncio.get_running_loop()
        limit = loop.time() + wait_s
        break_count = self._break_count
        while break_count == self._break_count:
            changed = self._changed
            rows = [row for row in self._list(table, removed=True) if row["ver"] > since]
            left_s = limit - loop.time()
            if rows or left_s <= 0:
                return self._answer(sorted(rows, key=lambda row: row["ver"]))
            self.polls += 1
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
            finally:
                self.polls -= 1
        return web.Response(status=503)

    def _list(self, table: str, *, removed: bool = False) -> list[dict[str, Any]]:
        return [
            _describe(name, revision, data)
            for name, (revision, data) in sorted(self._rows.items(), key=lambda row: _order(row[0]))
            if name[0] == table and (removed or data is not None)
        ]

    def _answer(
        self, rows: list[dict[str, Any]], *, status: int = 200, has_more: bool = False
    ) -> web.Response:
        return self._build_answer({"rows": rows, "hasMore": has_more}, status)

    def _build_answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        now_ms = round(1000 * (time.monotonic() + self.clock_offset_s))
        content = msgspec.json.encode({**body, "ver": self.revision, "nowMs": now_ms})
        return web.Response(status=status, body=content, content_type="application/json")


def _name(row: dict[str, Any]) -> RowName:
    return row["table"], row["part"], row["key"]


def _order(name: RowName) -> tuple[str, bytes]:
    return name[1], name[2].encode()


def _describe(name: RowName, revision: int, data: bytes | None) -> dict[str, Any]:
    table, part, key = name
    row: dict[str, Any] = {"table": table, "part": part, "key": key, "ver": revision}
    if data is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(data).decode()}


__all__ = ["ERA_HEADER", "RowStoreStandin", "StoreCopy"]
