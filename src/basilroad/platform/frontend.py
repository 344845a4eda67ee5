"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import HttpVersion11, web
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST

from basilroad.errors import ErrorKind, Refusal, RefusedError, refuse
from basilroad.gateway.calls.call import Call, hash_api_key, read_events_received
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.calls.log import log_refusal
from basilroad.gateway.shutdown import Shutdown, ShutdownError, refuse_at_shutdown
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.http.connections import CallerServer, CallerServerSettings
from basilroad.http.ends import EndCause
from basilroad.http.listener import LISTEN_BACKLOG, CallerListener
from basilroad.http.upgrades import is_rest_lost
from basilroad.platform.protocol import (
    HEADER_API_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_REQUEST_ID,
    HEADER_TIME_LEFT_MS,
    filter_caller_headers,
    read_prompt_key,
    read_prompt_parts,
    read_prompt_size,
    read_resumes,
)
from basilroad.timelimit import TimeLimit

if TYPE_CHECKING:
    import random

    from basilroad.gateway.calls.call import Headers, Reply
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.route import Route
    from basilroad.peers.address import Address
    from basilroad.platform.settings import ProcessSettings

MAX_HEAD_BYTES = 65536
"""Maximum size of a request line or header that the parser accepts; the config's limit is lower."""

KEEPALIVE_TIMEOUT_S = 75.0
"""Keep-alive time of idle connections of callers; longer than the idle limits in configs."""

RESPONSE_MARGIN_S = 0.02
"""Time by which a caller's deadline is shortened, so that its response arrives in time; not the
time limit of a route, before which no stream may be cut."""

SERVER_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "handler_cancellation": True,
    "keepalive_timeout": KEEPALIVE_TIMEOUT_S,
    "max_field_size": MAX_HEAD_BYTES,
    "max_line_size": MAX_HEAD_BYTES,
}
"""Options of the HTTP servers."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response to a caller that sends its body only when it is requested."""

STOP_POLL_S = 0.5
"""Interval at which a shutdown looks whether the machine was suspended."""

LAST_RESPONSES_S = 0.1
"""Time to send the responses of calls that are still in flight at the end of a shutdown."""

_LOGGER = logging.getLogger(__name__)


class PlatformFrontend(Service):
    """Serves the requests of callers.

    :param settings: settings of this process
    :param gateway: admits and dispatches the calls
    """

    def __init__(self, settings: ProcessSettings, gateway: Gateway) -> None:
        super().__init__()
        self._settings = settings
        self._gateway = gateway
        self._handler = CallHandler(gateway)
        self._runners: list[web.ServerRunner] = []
        self._listener: CallerListener | None = None
        self._connections: CallerServer | None = None

    async def on_start(self) -> None:
        """Listen for calls, readiness checks and metrics scrapes."""
        settings, gateway = self._settings, self._gateway
        server_settings = CallerServerSettings(HEADER_REQUEST_ID, gateway.metrics.count_end)
        readiness = web.Server(self._serve_readiness, **SERVER_OPTIONS)
        await self._listen(readiness, settings.ready)
        await self._listen(web.Server(self._serve_metrics, **SERVER_OPTIONS), settings.metrics)
        # last, as a start that fails resets the connections of callers
        self._connections = CallerServer(self._handle, server_settings, **SERVER_OPTIONS)
        runner = await self._set_up(self._connections)
        self._listener = await CallerListener.open(runner, settings.front)
        _LOGGER.info("listening", extra={"front": str(settings.front)})

    async def on_stop(self) -> None:
        """Wait for calls in flight up to the grace period, answer the rest and close everything."""
        shutdown, connections = self._gateway.shutdown, self._connections
        shutdown.signal.record()
        if connections is None:
            # stopped while the other services start
            return
        schedule = self._gateway.shutdown_schedule
        assert schedule is not None
        _LOGGER.info("stopping", extra=_describe_shutdown(shutdown, connections))
        await self._sleep_until(schedule.accepts_until)
        if self._listener is not None:
            left_s = schedule.admits_until - shutdown.read_clock()
            await self._listener.close(time.monotonic() + left_s)
        await self._sleep_until(schedule.admits_until)
        _LOGGER.info("admission ended", extra=_describe_shutdown(shutdown, connections))
        while connections.connections and (left_s := schedule.ends_at - shutdown.read_clock()) > 0:
            limit = time.monotonic() + min(left_s, STOP_POLL_S)
            await connections.close_connections(limit)
        ended = shutdown.end_calls()
        await connections.close_connections(time.monotonic() + LAST_RESPONSES_S)
        _LOGGER.info("stopped", extra=_describe_shutdown(shutdown, connections, ended))
        connections.mark_exiting()
        for runner in self._runners:
            await runner.cleanup()

    async def _sleep_until(self, at: float) -> None:
        # a timer does not go on while the machine is suspended
        while (left_s := at - self._gateway.shutdown.read_clock()) > 0:
            await asyncio.sleep(min(left_s, STOP_POLL_S))

    async def _listen(self, server: web.Server, address: Address) -> None:
        runner = await self._set_up(server)
        site = web.TCPSite(
            runner, address.ip, address.port, reuse_address=True, backlog=LISTEN_BACKLOG
        )
        await site.start()

    async def _set_up(self, server: web.Server) -> web.ServerRunner:
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        return runner

    async def _serve_readiness(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._gateway.is_ready else 503)

    async def _serve_metrics(self, _: web.BaseRequest) -> web.Response:
        text = self._gateway.render_metrics()
        return web.Response(body=text, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = time.monotonic()
        assert self._connections is not None
        with self._connections.track(request, arrived_at):
            response = await self._respond(request, arrived_at)
            return await self._complete_response(request, response, arrived_at)

    async def _respond(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        try:
            return await self._serve_call(request, arrived_at)
        except RefusedError as error:
            return self._refuse(request, error.refusal, arrived_at)
        except ConnectionError:
            raise
        except asyncio.CancelledError as error:
            assert self._connections is not None
            if self._connections.is_cancelled():
                raise
            # what the call awaited was cancelled, not the call
            return self._refuse_failed(request, error, arrived_at)
        except Exception as error:
            return self._refuse_failed(request, error, arrived_at)

    def _refuse_failed(
        self, request: web.BaseRequest, error: BaseException, arrived_at: float
    ) -> web.Response:
        if request.writer.output_size:
            # a part of the response was sent
            raise error
        # the head of a response may have failed after this was set
        writer: Any = request.writer
        writer.chunked = False
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        _LOGGER.error("call failed", extra={"request": request_id}, exc_info=error)
        return self._refuse(request, Refusal(ErrorKind.INTERNAL, "internal error"), arrived_at)

    async def _complete_response(
        self, request: web.BaseRequest, response: web.StreamResponse, arrived_at: float
    ) -> web.StreamResponse:
        assert self._connections is not None
        try:
            await self._connections.send(request, response, arrived_at)
        except Exception as error:
            response = self._refuse_failed(request, error, arrived_at)
            await self._connections.send(request, response, arrived_at)
        return response

    async def _serve_call(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
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
            assert self._connections is not None
            self._connections.record_end(request, EndCause.STREAM_BROKEN, arrived_at, str(error))
            return responder.abort()
        if reply is None:
            return responder.response
        return self._build_response(request, reply)

    async def _read_call(self, request: web.BaseRequest, arrived_at: float) -> Call:
        gateway = self._gateway
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        target = request.raw_path
        path = target.partition("?")[0]
        await gateway.wait_until_fresh()
        route = gateway.resolve_route(_strip_port(request.headers.get("Host", "")), path)
        api_key = request.headers.get(HEADER_API_KEY, "")
        workspace = gateway.authenticate(route, api_key)
        gateway.check_draining(route)
        if route.streams and request.version < HttpVersion11:
            raise refuse(ErrorKind.BAD_REQUEST, "event streams need HTTP/1.1")
        expires_at = arrived_at + max(0.0, _read_time_limit(request, route))
        body = await self._read_body_in_time(request, expires_at)
        # the body may have arrived after the end of admission
        gateway.check_draining(route)
        workspace_rank = workspace.rank if workspace else None
        resume_after = request.headers.get(HEADER_LAST_EVENT_ID, "")
        is_taken_up = route.streams and read_events_received(resume_after) > 0
        resumes = read_resumes(request.headers) if is_taken_up else ""
        return Call(
            id=request_id,
            method=request.method,
            target=target,
            headers=filter_caller_headers(request.headers.items()),
            body=body,
            route=route,
            service=_select_service(route, resumes or request_id, gateway.random),
            workspace=workspace.name if workspace else "",
            rank=route.rank if workspace_rank is None else workspace_rank,
            arrived_at=arrived_at,
            expires_at=expires_at,
            size=read_prompt_size(request.headers) if route.streams else read_prompt_size({}),
            resume_after=resume_after,
            resumes=resumes,
            prompt_key=read_prompt_key(request.headers) if route.streams else "",
            prompt_parts=read_prompt_parts(request.headers) if route.streams else (),
            api_key_hash=hash_api_key(api_key) if route.streams else b"",
        )

    async def _read_body_in_time(self, request: web.BaseRequest, expires_at: float) -> bytes:
        if request.content.is_eof():
            # all of it was received, as for nearly all requests
            return await self._read_body(request)
        limit = TimeLimit(max(0.0, expires_at - time.monotonic()))
        try:
            async with self._gateway.shutdown.limit_call(), limit:
                return await self._read_body(request)
        except ShutdownError:
            raise refuse_at_shutdown() from None
        except TimeoutError:
            message = "the request body did not arrive in time"
            raise refuse(ErrorKind.TIME_TOO_SHORT, message) from None

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        assert self._gateway.table is not None
        limit = self._gateway.table.limits.body_bytes
        await _request_body(request)
        parts, size = [], 0
        try:
            async for part in request.content.iter_any():
                size += len(part)
                if size > limit:
                    raise refuse(ErrorKind.BODY_TOO_LARGE, f"request body exceeds {limit} bytes")
                parts.append(part)
        except web.RequestPayloadError as error:
            raise refuse(ErrorKind.BAD_REQUEST, f"malformed request body: {error}") from error
        return b"".join(parts)

    def _build_response(self, request: web.BaseRequest, reply: Reply) -> web.Response:
        response = web.Response(status=reply.status, body=reply.body)
        response.headers.popall("Content-Type", None)
        for name, value in reply.headers:
            response.headers.add(name, value)
        self._close_if_last(request, response)
        return response

    def _close_if_last(
        self, request: web.BaseRequest, response: web.StreamResponse, *, has_failed: bool = False
    ) -> None:
        # a request that was received behind this one gets its response on the same connection
        is_ending = has_failed or self._gateway.shutdown.is_requested
        assert self._connections is not None
        is_last = is_ending and not self._connections.list_unread_requests(request.protocol)
        if is_last or is_rest_lost(request):
            _close_after(response)

    def _refuse(
        self, request: web.BaseRequest, refusal: Refusal, arrived_at: float
    ) -> web.Response:
        answer = refusal.answer
        self._gateway.metrics.count_refusal(refusal)
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
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
            response.headers[HEADER_REQUEST_ID] = request_id
        retry_after = refusal.retry_after or answer.retry_after
        if retry_after is not None:
            response.headers["Retry-After"] = str(retry_after)
        has_failed = refusal.kind is ErrorKind.INTERNAL
        self._close_if_last(request, response, has_failed=has_failed)
        return response


class _StreamResponder:
    """Forwards a stream to its caller.

    :param request: the caller's request
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self.response = web.StreamResponse()

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the response.

        :param status: status code
        :param headers: headers of the first server's response
        """
        self.response.set_status(status)
        for name, value in headers:
            self.response.headers.add(name, value)
        self.response.enable_chunked_encoding()
        if is_rest_lost(self._request):
            _close_after(self.response)
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of the response body.

        :param data: one or more complete events
        """
        await self.response.write(data)

    def abort(self) -> web.StreamResponse:
        """Close the connection, so that the caller sees a truncated response.

        :return: the response as far as it was sent
        """
        if self._request.transport is not None:
            self._request.transport.close()
        return self.response


def _describe_shutdown(
    shutdown: Shutdown, connections: CallerServer, ended: int = 0
) -> dict[str, int]:
    return {
        **connections.describe(),
        "signal_age_ms": round(1000 * shutdown.signal.age_s()),
        "ended": ended,
    }


def _close_after(response: web.StreamResponse) -> None:
    response.force_close()
    response.headers["Connection"] = "close"


async def _request_body(request: web.BaseRequest) -> None:
    awaits = request.headers.get("Expect", "").lower() == "100-continue"
    if not awaits or request.version < HttpVersion11 or request.content.is_eof():
        return
    await request.writer.write(CONTINUE)
    # an error before the head of the response can still be answered
    request.writer.output_size = 0


def _strip_port(host: str) -> str:
    return host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()


def _select_service(route: Route, stream_id: str, generator: random.Random) -> str:
    if route.streams and stream_id and stream_id.isascii():
        return route.find_service(stream_id)
    return route.select_service(generator)


def _read_time_limit(request: web.BaseRequest, route: Route) -> float:
    text = request.headers.get(HEADER_TIME_LEFT_MS, "")
    try:
        time_left_s = float(text) / 1000
    except ValueError:
        return route.timeout_s
    if math.isnan(time_left_s):
        return route.timeout_s
    return min(time_left_s - RESPONSE_MARGIN_S, route.timeout_s)


__all__ = ["PlatformFrontend"]
