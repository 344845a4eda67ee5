"""Stand-in for the row store of the users' platform, with outages."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import attrs
import msgspec
from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.1


@attrs.define
class RowStoreStandin:
    """Stores rows by table and key, with one global revision counter.

    :param ip: its loopback address
    :param refusing: error status returned to every call; 0 to serve normally
    :param silent: whether all responses are withheld
    :param history_from: oldest revision from which changes can be read; earlier ones return 410
    """

    ip: str = "127.0.0.1"
    refusing: int = 0
    silent: bool = False
    history_from: int = 0
    port: int = 0
    revision: int = 0
    calls: int = 0
    _rows: dict[tuple[str, str], tuple[int, bytes | None]] = attrs.field(factory=dict)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
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

    def put(self, table: str, key: str, value: object) -> int:
        """Write or delete a row.

        :param table: table of the row
        :param key: key of the row
        :param value: bytes are stored unchanged, other values as JSON; ``None`` deletes the row
        :return: revision of the write
        """
        self.revision += 1
        data = value if isinstance(value, bytes | None) else msgspec.json.encode(value)
        self._rows[(table, key)] = (self.revision, data)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        # before any wait, in which the caller may leave
        body = await request.read()
        while self.silent:
            await asyncio.sleep(0.01)
        if self.refusing:
            return web.Response(status=self.refusing)
        query = request.query
        if request.path == "/rows-get":
            return self._answer(self._list(query["table"], query.get("from", "")))
        if request.path == "/rows-feed":
            since = int(query["sinceRevision"])
            return await self._feed(query["table"], since, int(query["waitMs"]) / 1000)
        if request.path == "/rows-tx":
            return self._write(msgspec.json.decode(body))
        return web.Response(status=404)

    def _write(self, transaction: dict[str, Any]) -> web.Response:
        """Apply a transaction without conditions, as gateways register with."""
        if transaction["expected"] or transaction["remove"]:
            return web.Response(status=400)
        for row in transaction["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return self._answer([])

    async def _feed(self, table: str, since: int, wait_s: float) -> web.Response:
        if since < self.history_from:
            return web.Response(status=410)
        loop = asyncio.get_running_loop()
        limit = loop.time() + wait_s
        while True:
            changed = self._changed
            rows = [row for row in self._list(table, "", removed=True) if row["ver"] > since]
            left_s = limit - loop.time()
            if rows or left_s <= 0:
                return self._answer(sorted(rows, key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _list(self, table: str, start: str, *, removed: bool = False) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []
        for (name, key), (revision, data) in sorted(self._rows.items()):
            if name != table or key < start:
                continue
            row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": revision}
            if data is not None:
                rows.append({**row, "value": base64.b64encode(data).decode()})
            elif removed:
                rows.append({**row, "deleted": True})
        return rows

    def _answer(self, rows: list[dict[str, Any]]) -> web.Response:
        body: dict[str, Any] = {"rows": rows, "hasMore": False, "ver": self.revision}
        body["nowMs"] = round(1000 * time.monotonic())
        return web.Response(body=msgspec.json.encode(body), content_type="application/json")


__all__ = ["RowStoreStandin"]
