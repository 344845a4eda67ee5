"""Takes requests of the platform's clients over HTTP."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST

from basilroad.errors import ErrorKind, Refusal, RefusedError, refuse
from basilroad.gateway.call import Call
from basilroad.gateway.calllog import log_refusal
from basilroad.gateway.gateway import SHUTDOWN_RESERVE_S
from basilroad.gateway.handler import CallHandler
from basilroad.gateway.streaming import StreamBrokenError
from basilroad.platform.protocol import (
    KEY,
    LAST_EVENT,
    REQUEST_ID,
    TIME_LEFT_MS,
    keep_caller_headers,
    read_prompt_key,
    read_size,
)

if TYPE_CHECKING:
    from basilroad.gateway.call import Headers, Reply
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.route import Route
    from basilroad.platform.settings import ProcessSettings

HEAD_BYTES = 65536
"""Largest line or header of a request that is read at all; the config's limit is lower."""

KEPT_S = 75.0
"""Seconds for which an idle connection of a client is kept; beyond the idle limits of configs."""

ANSWER_MARGIN_S = 0.02
"""Seconds before a call's end at which its answer is sent, so that it arrives in time."""

DRAIN_CHECK_S = 0.05
"""Seconds between looks at what is still in flight while stopping."""

LISTEN_AFTER_STOP_S = 2.5
"""Seconds after a stop for which new connections are taken; the platform notices a host that is
not ready after two questions, a second apart."""

_LOGGER = logging.getLogger(__name__)


class PlatformFrontend(Service):
    """Serves the platform's clients.

    :param machine: settings of this process
    :param gateway: decides
    """

    def __init__(self, machine: ProcessSettings, gateway: Gateway) -> None:
        super().__init__()
        self._machine = machine
        self._gateway = gateway
        self._handler = CallHandler(gateway)
        self._runners: list[web.ServerRunner] = []
        self._in_flight = 0

    async def on_start(self) -> None:
        """Listen for clients and for the question whether this host is ready."""
        await self._listen(self._handle, self._machine.front.ip, self._machine.front.port)
        await self._listen(self._tell_ready, self._machine.ready.ip, self._machine.ready.port)
        metrics = self._machine.metrics
        await self._listen(self._show_measures, metrics.ip, metrics.port)

    async def on_stop(self) -> None:
        """Let calls in flight end, then close."""
        stopped_at = time.monotonic()
        self._gateway.stopping_since = stopped_at
        _LOGGER.info("stopping", extra={"in_flight": self._in_flight})
        limit = stopped_at + self._gateway.settings.grace_s - SHUTDOWN_RESERVE_S
        while time.monotonic() < limit:
            taking = time.monotonic() < stopped_at + LISTEN_AFTER_STOP_S
            if not taking and not self._in_flight:
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        _LOGGER.info("stopped", extra={"in_flight": self._in_flight})
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, handler: object, ip: str, port: int) -> None:
        server = web.Server(
            handler,  # type: ignore[arg-type]
            access_log=None,
            auto_decompress=False,
            handler_cancellation=True,
            keepalive_timeout=KEPT_S,
            max_field_size=HEAD_BYTES,
            max_line_size=HEAD_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, ip, port, reuse_address=True, backlog=1024).start()
        self._runners.append(runner)

    async def _tell_ready(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._gateway.is_ready else 503)

    async def _show_measures(self, _: web.BaseRequest) -> web.Response:
        text = self._gateway.render_metrics()
        return web.Response(body=text, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = time.monotonic()
        self._in_flight += 1
        try:
            return await self._answer(request, arrived_at)
        except RefusedError as error:
            return self._refuse(request, error.refusal, arrived_at)
        finally:
            self._in_flight -= 1

    async def _answer(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        call = await self._read_call(request, arrived_at)
        responder = _StreamResponder(request)
        try:
            reply = await self._handler.handle(call, responder)
        except StreamBrokenError as error:
            _LOGGER.warning(
                "stream broken",
                extra={
                    "request": call.id,
                    "detail": str(error),
                    "waited_ms": round(1000 * (time.monotonic() - arrived_at)),
                },
            )
            return responder.break_off()
        if reply is None:
            return responder.response
        return self._build_response(reply)

    async def _read_call(self, request: web.BaseRequest, arrived_at: float) -> Call:
        gateway = self._gateway
        request_id = request.headers.get(REQUEST_ID, "")
        target = request.raw_path
        path = target.partition("?")[0]
        await gateway.wait_until_fresh()
        route = gateway.resolve_route(_strip_port(request.headers.get("Host", "")), path)
        workspace = gateway.authenticate(route, request.headers.get(KEY, ""))
        gateway.check_draining(route)
        body = await self._read_body(request)
        time_left_s = _read_time_left(request, route)
        workspace_rank = workspace.rank if workspace else None
        return Call(
            id=request_id,
            method=request.method,
            target=target,
            headers=keep_caller_headers(request.headers.items()),
            body=body,
            route=route,
            service=route.select_service(gateway.random),
            workspace=workspace.name if workspace else "",
            rank=route.rank if workspace_rank is None else workspace_rank,
            arrived_at=arrived_at,
            expires_at=arrived_at + max(0.0, time_left_s - ANSWER_MARGIN_S),
            size=read_size(request.headers) if route.streams else read_size({}),
            resume_after=request.headers.get(LAST_EVENT, ""),
            prompt_key=read_prompt_key(request.headers) if route.streams else "",
        )

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        assert self._gateway.table is not None
        limit = self._gateway.table.limits.body_bytes
        parts, size = [], 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                raise refuse(ErrorKind.BODY_TOO_LARGE, f"the body has more than {limit} bytes")
            parts.append(part)
        return b"".join(parts)

    def _build_response(self, reply: Reply) -> web.Response:
        response = web.Response(status=reply.status, body=reply.body)
        response.headers.popall("Content-Type", None)
        for name, value in reply.headers:
            response.headers.add(name, value)
        self._mark_leaving(response)
        return response

    def _mark_leaving(self, response: web.StreamResponse) -> None:
        if self._gateway.stopping_since is not None:
            response.force_close()
            response.headers["Connection"] = "close"

    def _refuse(
        self, request: web.BaseRequest, refusal: Refusal, arrived_at: float
    ) -> web.Response:
        answer = refusal.answer
        self._gateway.metrics.count_refusal(refusal)
        request_id = request.headers.get(REQUEST_ID, "")
        age_s = self._gateway.freshness.age_s()
        log_refusal(
            request_id,
            refusal,
            time.monotonic() - arrived_at,
            config=self._gateway.table.version if self._gateway.table else None,
            config_age_ms=None if age_s is None else round(1000 * age_s),
            waiting=self._gateway.dispatcher.waiting,
        )
        body = {"error": {"kind": refusal.kind.value, "message": refusal.message}}
        response = web.Response(
            status=answer.http_status,
            body=msgspec.json.encode(body),
            content_type="application/json",
        )
        if request_id:
            response.headers[REQUEST_ID] = request_id
        retry_after = refusal.retry_after or answer.retry_after
        if retry_after is not None:
            response.headers["Retry-After"] = str(retry_after)
        self._mark_leaving(response)
        return response


class _StreamResponder:
    """Passes a stream on to its client.

    :param request: the client's request
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self.response = web.StreamResponse()

    async def begin(self, status: int, headers: Headers) -> None:
        """Start the answer.

        :param status: status code
        :param headers: headers of the first server's answer
        """
        self.response.set_status(status)
        for name, value in headers:
            self.response.headers.add(name, value)
        self.response.enable_chunked_encoding()
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Pass on a part of the answer.

        :param data: whole events
        """
        await self.response.write(data)

    def break_off(self) -> web.StreamResponse:
        """End the answer so that it does not look complete.

        :return: the response that was begun
        """
        if self._request.transport is not None:
            self._request.transport.close()
        return self.response


def _strip_port(host: str) -> str:
    return host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()


def _read_time_left(request: web.BaseRequest, route: Route) -> float:
    text = request.headers.get(TIME_LEFT_MS, "")
    try:
        return min(float(text) / 1000, route.timeout_s)
    except ValueError:
        return route.timeout_s


__all__ = ["PlatformFrontend"]
