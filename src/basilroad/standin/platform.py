"""Stand-in for the platform: table, object store, weight store and host list."""

from __future__ import annotations

import math

import attrs
from aiohttp import web

from basilroad.backing.hosts import ListedHost
from basilroad.backing.messages import (
    ChangesRequest,
    CommitAnswer,
    CommitRequest,
    KeyRequest,
    ReadAnswer,
    RowsAnswer,
    ScanRequest,
)
from basilroad.standin.faults import PlatformControl, PlatformFaults
from basilroad.standin.hosts import LaggingHostList
from basilroad.standin.lag import LaggingValue
from basilroad.standin.memorytable import InMemoryTable
from basilroad.standin.rates import RateLimit, Throttle
from basilroad.standin.server import (
    StandinServer,
    answer_error,
    answer_json,
    drop_connection,
    read_json,
)
from basilroad.standin.settings import PlatformStandinSettings

REVISION_HISTORY_S = 300.0
"""Longest lag of table reads in seconds."""


@attrs.define
class Counters:
    """Counts of operations since the start.

    :param reads: reads of the table and of objects
    :param writes: commits, and objects put or deleted
    :param rows_written: writes in all commits, including those whose condition failed
    :param weight_pulls: accepted pulls from the weight store
    :param weight_refusals: pulls rejected with 429
    :param host_reads: reads of the host list
    """

    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    weight_pulls: int = 0
    weight_refusals: int = 0
    host_reads: int = 0


class PlatformStandin(StandinServer):
    """Serves the platform's services from memory.

    A write that was received takes effect even if its client disconnects.

    :param settings: settings of the platform
    :param embedded: whether a crash stops only the server, not the process
    """

    def __init__(self, settings: PlatformStandinSettings, *, embedded: bool = False) -> None:
        super().__init__(settings.listen, embedded=embedded)
        self._settings = settings
        self._table = InMemoryTable()
        self._revisions = LaggingValue(0, REVISION_HISTORY_S)
        self._objects: dict[str, bytes] = {}
        self._hosts = LaggingHostList(settings.hosts, settings.hosts_lag_s)
        self._reads = Throttle(settings.reads_per_s)
        self._writes = Throttle(settings.writes_per_s)
        self._pulls = RateLimit(settings.weight_pulls_per_s, settings.weight_burst)
        self._weights = bytes(settings.weight_bytes)
        self._faults = PlatformFaults()
        self._counters = Counters()

    def list_routes(self) -> list[web.RouteDef]:
        """:return: the routes to serve."""
        return [
            web.post("/table/read", self._read),
            web.post("/table/scan", self._scan),
            web.post("/table/changes", self._read_changes),
            web.post("/table/history", self._read_history),
            web.post("/table/commit", self._commit),
            web.get("/objects/{key:.+}", self._get_object),
            web.put("/objects/{key:.+}", self._put_object),
            web.delete("/objects/{key:.+}", self._delete_object),
            web.get("/weights/{model}/{version}", self._pull_weights),
            web.get("/hosts", self._read_hosts),
            web.put("/control/hosts/{name}", self._put_host),
            web.delete("/control/hosts/{name}", self._remove_host),
            web.get("/control/counters", self._read_counters),
            web.post("/control", self._control),
        ]

    async def apply_faults(self, request: web.Request) -> None:
        """Abort the connection of a request while the platform is down.

        :param request: the request, before it is handled
        """
        if self._faults.down:
            drop_connection(request)

    async def _accept_after(self, seconds: float) -> None:
        await self.sleep(seconds)
        if not self.should_stop:
            await self.accept()

    async def _begin_read(self) -> int:
        self._counters.reads += 1
        await self._reads.acquire()
        await self._faults.delay()
        await self.wait_thawed()
        if self._faults.stale_reads_s > 0:
            return self._revisions.read(self._faults.stale_reads_s)
        return self._table.revision

    async def _begin_write(self) -> None:
        self._counters.writes += 1
        await self._writes.acquire()
        await self._faults.delay()
        await self.wait_thawed()

    async def _read(self, request: web.Request) -> web.Response:
        query = await read_json(request, KeyRequest)
        revision = await self._begin_read()
        return answer_json(ReadAnswer(self._table.read(query.key, revision)))

    async def _scan(self, request: web.Request) -> web.Response:
        query = await read_json(request, ScanRequest)
        revision = await self._begin_read()
        return answer_json(RowsAnswer(self._table.scan(query.prefix, revision)))

    async def _read_changes(self, request: web.Request) -> web.Response:
        query = await read_json(request, ChangesRequest)
        revision = await self._begin_read()
        return answer_json(self._table.list_changes(query.prefix, query.since, revision))

    async def _read_history(self, request: web.Request) -> web.Response:
        query = await read_json(request, KeyRequest)
        await self._begin_read()
        return answer_json(RowsAnswer(self._table.list_history(query.key)))

    async def _commit(self, request: web.Request) -> web.Response:
        transaction = await read_json(request, CommitRequest)
        await self._begin_write()
        try:
            results = self._table.commit(transaction.writes, atomic=transaction.atomic)
        except ValueError as error:
            return answer_error(400, str(error))
        self._revisions.record(self._table.revision)
        self._counters.rows_written += len(transaction.writes)
        self._faults.lose_answer(request)
        return answer_json(CommitAnswer(results))

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._begin_read()
        data = self._objects.get(request.match_info["key"])
        if data is None:
            return answer_error(404, "no such object")
        return web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._begin_write()
        self._objects[request.match_info["key"]] = data
        self._faults.lose_answer(request)
        return answer_json({})

    async def _delete_object(self, request: web.Request) -> web.Response:
        await self._begin_write()
        self._objects.pop(request.match_info["key"], None)
        self._faults.lose_answer(request)
        return answer_json({})

    async def _pull_weights(self, _: web.Request) -> web.Response:
        await self._faults.delay()
        pause_s = self._pulls.try_acquire()
        if pause_s > 0:
            self._counters.weight_refusals += 1
            headers = {"Retry-After": str(math.ceil(pause_s))}
            return web.Response(status=429, headers=headers)
        self._counters.weight_pulls += 1
        return web.Response(body=self._weights)

    async def _read_hosts(self, _: web.Request) -> web.Response:
        self._counters.host_reads += 1
        return answer_json(self._hosts.read())

    async def _put_host(self, request: web.Request) -> web.Response:
        host = await read_json(request, ListedHost)
        if host.name != request.match_info["name"]:
            return answer_error(400, "host name in the body differs from the path")
        self._hosts.put(host)
        return answer_json({})

    async def _remove_host(self, request: web.Request) -> web.Response:
        self._hosts.remove(request.match_info["name"])
        return answer_json({})

    async def _read_counters(self, _: web.Request) -> web.Response:
        return answer_json(self._counters)

    def _restore(self, age_s: float) -> None:
        revision = self._revisions.read(age_s)
        self._table.restore(revision)
        # No replica answers from the writes that were lost.
        self._revisions = LaggingValue(revision, REVISION_HISTORY_S)

    async def _control(self, request: web.Request) -> web.Response:
        control = await read_json(request, PlatformControl)
        self._faults.update(control)
        if control.down:
            self.abort_connections(exclude=request.transport)
        if control.refuse_s > 0:
            await self.refuse(exclude=request.transport)
            self.add_future(self._accept_after(control.refuse_s))
        if control.restore_s > 0:
            self._restore(control.restore_s)
        if control.freeze_s > 0:
            self.freeze(control.freeze_s)
        if control.die:
            await self.die()
        return answer_json({})


__all__ = ["Counters", "PlatformStandin"]
