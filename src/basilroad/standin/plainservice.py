"""Stand-in for a plain service that counts executed calls."""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
from aiohttp import web

from basilroad.standin.server import (
    StandinServer,
    answer_error,
    answer_json,
    cut_response,
    drop_connection,
    read_json,
)
from basilroad.standin.settings import PlainStandinSettings

ORDER_HEADER = "X-Order"
"""Request header with the order id of a call."""

KEY_HEADER = "Idempotency-Key"
"""Request header whose key is the order id of a call that names none."""


@attrs.frozen
class PlainAnswer:
    """Response to one call.

    :param order: order id; empty if the call had neither one nor a key
    :param count: how often calls of this order were executed
    :param path: path of the call
    :param body_size: size of the request body in bytes
    """

    order: str
    count: int
    path: str
    body_size: int


@attrs.frozen
class PlainControl:
    """Faults to inject.

    :param work_s: seconds that each later call takes
    :param fail_next: number of calls to fail with 500 without executing them
    :param drop_answer_next: number of calls to execute without sending a response
    :param cut_answer_next: number of calls to execute and answer in part, without a length, before
        the connection is reset
    :param freeze_s: suspend all work for this many seconds
    :param die: crash at once
    """

    work_s: float | None = None
    fail_next: int | None = None
    drop_answer_next: int | None = None
    cut_answer_next: int | None = None
    freeze_s: float = 0.0
    die: bool = False


class PlainStandin(StandinServer):
    """Executes any call and counts it by order id.

    :param settings: settings of the service
    :param embedded: whether a crash stops only the server, not the process
    """

    def __init__(self, settings: PlainStandinSettings, *, embedded: bool = False) -> None:
        super().__init__(settings.listen, embedded=embedded)
        self._work_s = settings.work_s
        self._fail_next = 0
        self._drop_answer_next = 0
        self._cut_answer_next = 0
        self._counts: Counter[str] = Counter()

    def list_routes(self) -> list[web.RouteDef]:
        """:return: the routes to serve."""
        return [
            web.get("/control/counts", self._read_counts),
            web.post("/control", self._control),
            web.route("*", "/{path:.*}", self._run),
        ]

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._fail_next > 0:
            self._fail_next -= 1
            return answer_error(500, "failure injected by /control")
        order = request.headers.get(ORDER_HEADER, "") or request.headers.get(KEY_HEADER, "")
        await asyncio.sleep(self._work_s)
        await self.wait_thawed()
        self._counts[order] += 1
        if self._drop_answer_next > 0:
            self._drop_answer_next -= 1
            drop_connection(request)
        if self._cut_answer_next > 0:
            self._cut_answer_next -= 1
            await cut_response(request)
        return answer_json(PlainAnswer(order, self._counts[order], request.path, len(body)))

    async def _read_counts(self, _: web.Request) -> web.Response:
        return answer_json(self._counts)

    async def _control(self, request: web.Request) -> web.Response:
        control = await read_json(request, PlainControl)
        if control.work_s is not None:
            self._work_s = control.work_s
        if control.fail_next is not None:
            self._fail_next = control.fail_next
        if control.drop_answer_next is not None:
            self._drop_answer_next = control.drop_answer_next
        if control.cut_answer_next is not None:
            self._cut_answer_next = control.cut_answer_next
        if control.freeze_s > 0:
            self.freeze(control.freeze_s)
        if control.die:
            await self.die()
        return answer_json({})


__all__ = ["KEY_HEADER", "ORDER_HEADER", "PlainAnswer", "PlainControl", "PlainStandin"]
