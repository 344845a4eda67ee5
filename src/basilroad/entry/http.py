"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from aiohttp import web
from mode import Service

from basilroad.entry.context import EntryContext
from basilroad.entry.generations import answers
from basilroad.entry.generations.request import read_request
from basilroad.entry.identity import KEY_HEADER, read_identity
from basilroad.errors import ErrorKind, Refusal, RefusedError, refuse
from basilroad.http.apprunner import CallerAppRunner
from basilroad.http.connections import CallerServerSettings
from basilroad.http.listener import CallerListener
from basilroad.http.upgrades import is_rest_lost
from basilroad.peers.address import parse_address
from basilroad.timelimit import TimeLimit

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager, AbstractContextManager

    from aiohttp.typedefs import Handler

    from basilroad.entry.calls.calls import ServiceCaller
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.generations.request import CompletionRequest
    from basilroad.entry.identity import Identity
    from basilroad.metrics import Metrics

RESTART_HEADER = "X-Restart"
"""Set to ``allow`` by callers that support the restart event."""

SHUTDOWN_TIMEOUT_S = 1.0
"""Seconds that open connections are given to finish at shutdown."""

CANCEL_TIMEOUT_S = 0.1
"""Seconds that the handlers which are left after that are given to end."""

BODY_TIMEOUT_S = 60.0
"""Seconds in which the whole body of a request must arrive."""

_LOGGER = logging.getLogger(__name__)


class HttpContext(EntryContext, Protocol):
    """Part of the entry that the HTTP server uses.

    :param caller: runs calls to plain services
    :param metrics: metrics of this process
    """

    caller: ServiceCaller
    metrics: Metrics

    async def open_flight(
        self, request: CompletionRequest, identity: Identity, *, may_restart: bool
    ) -> Flight:
        """:return: the generation of a request; a new one unless its key already started one."""

    async def reattach(self, generation: str, identity: Identity) -> Flight:
        """:return: the generation with the given identifier."""

    def reading(self, flight: Flight) -> AbstractContextManager[None]:
        """:return: context in which the caller counts as a reader of the generation."""

    def limit_preparation(self, kind: ErrorKind) -> AbstractAsyncContextManager[None]:
        """:return: context that the limit of a planned stop ends with an error."""


class HttpServer(Service):
    """Serves callers over HTTP.

    :param entry: state of the entry process
    """

    def __init__(self, entry: HttpContext) -> None:
        super().__init__()
        self.entry = entry
        self._runner: CallerAppRunner | None = None
        self._listener: CallerListener | None = None

    async def on_start(self) -> None:
        """Start listening for callers."""
        options = self.entry.options
        app = web.Application(
            client_max_size=options.max_body_bytes,
            middlewares=[self._track, self._answer_refusals],
        )
        app.add_routes(self._list_routes())
        app.on_response_prepare.append(_close_if_rest_lost)
        self._runner = CallerAppRunner(
            app,
            CallerServerSettings(KEY_HEADER, self.entry.metrics.count_end),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=CANCEL_TIMEOUT_S,
        )
        await self._runner.setup()
        address = parse_address(options.listen)
        self._listener = await CallerListener.open(self._runner, address)
        _LOGGER.info("entry is listening", extra={"address": str(address)})

    async def on_stop(self) -> None:
        """Close the listener and all connections, each one once it is idle."""
        limit = time.monotonic() + SHUTDOWN_TIMEOUT_S
        if self._listener is not None:
            await self._listener.close(limit)
        if self._runner is None:
            return
        if self._runner.server is not None:
            await self._runner.connections.close_connections(limit)
            _LOGGER.info("entry stopped", extra=self._runner.connections.describe())
            self._runner.connections.mark_exiting()
        await self._runner.cleanup()

    def _list_routes(self) -> list[web.RouteDef]:
        return [
            web.post("/v1/completions", self._complete),
            web.post("/v1/chat/completions", self._chat),
            web.get("/v1/models", self._list_models),
            web.get("/v1/generations/{generation}", self._reattach),
            web.route("*", "/v1/services/{service}/{path:.*}", self._call),
            web.get("/health", self._show_health),
            web.get("/ready", self._show_ready),
        ]

    @web.middleware
    async def _track(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        assert self._runner is not None
        connections, arrived_at = self._runner.connections, time.monotonic()
        with connections.track(request, arrived_at):
            response = await handler(request)
            try:
                await connections.send(request, response, arrived_at)
            except Exception as error:
                response = _refuse_failed(request, error)
                await connections.send(request, response, arrived_at)
            return response

    @web.middleware
    async def _answer_refusals(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except RefusedError as error:
            return _build_refusal(error.refusal)
        except web.HTTPException as error:
            return _build_refusal(_convert_http_error(error))
        except ConnectionError as error:
            if request.transport is None or request.transport.is_closing():
                raise
            # the connection of something that the request used, not of its caller
            return _refuse_failed(request, error)
        except asyncio.CancelledError as error:
            assert self._runner is not None
            if self._runner.connections.is_cancelled():
                raise
            # what the handler awaited was cancelled
            return _refuse_failed(request, error)
        except Exception as error:
            return _refuse_failed(request, error)

    async def _complete(self, http: web.Request) -> web.StreamResponse:
        return await self._generate(http, chat=False)

    async def _chat(self, http: web.Request) -> web.StreamResponse:
        return await self._generate(http, chat=True)

    async def _generate(self, http: web.Request, *, chat: bool) -> web.StreamResponse:
        raw = await self._read_body(http, ErrorKind.DRAINING)
        identity = read_identity(http.headers, self.entry.store.view)
        request = read_request(raw, chat=chat)
        may_restart = http.headers.get(RESTART_HEADER, "") == "allow" or not request.stream
        flight = await self.entry.open_flight(request, identity, may_restart=may_restart)
        headers = {KEY_HEADER: identity.idempotency_key, "X-Generation": flight.generation}
        offset = _read_offset(http, flight.generation)
        with self.entry.reading(flight):
            if request.stream:
                return await self._stream(http, flight, offset, headers, request.include_usage)
            return await self._answer(flight, headers)

    async def _reattach(self, http: web.Request) -> web.StreamResponse:
        generation = http.match_info["generation"]
        identity = read_identity(http.headers, self.entry.store.view)
        offset = _read_offset(http, generation)
        flight = await self.entry.reattach(generation, identity)
        headers = {"X-Generation": generation}
        with self.entry.reading(flight):
            return await self._stream(http, flight, offset, headers, False)

    async def _answer(self, flight: Flight, headers: dict[str, str]) -> web.Response:
        changed = flight.watch()
        try:
            while not flight.done:
                changed.clear()
                await changed.wait()
        finally:
            flight.remove_watcher(changed)
        if flight.refusal is not None:
            raise RefusedError(flight.refusal)
        headers["X-Generation"] = flight.generation
        body = answers.build_answer(flight)
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _stream(
        self,
        http: web.Request,
        flight: Flight,
        offset: int,
        headers: dict[str, str],
        include_usage: bool,
    ) -> web.StreamResponse:
        changed = flight.watch()
        try:
            await _wait_first_tokens(flight, changed)
            response = web.StreamResponse(headers=headers)
            response.content_type = "text/event-stream"
            response.headers["Cache-Control"] = "no-store"
            await response.prepare(http)
            started_as = headers["X-Generation"]
            await self._write_tokens(response, flight, (started_as, offset), changed)
            await _write_end(response, flight, include_usage)
        finally:
            flight.remove_watcher(changed)
        return response

    async def _write_tokens(
        self,
        response: web.StreamResponse,
        flight: Flight,
        place: tuple[str, int],
        changed: asyncio.Event,
    ) -> None:
        generation, offset = place
        first = True
        while True:
            changed.clear()
            if flight.generation != generation:
                generation = flight.generation
                offset = 0
                await response.write(answers.build_restart_event(flight))
            if offset < len(flight.tokens):
                text = "".join(flight.tokens[offset:])
                offset = len(flight.tokens)
                event = answers.build_tokens_event(flight, offset, text, first=first)
                first = False
                await response.write(event)
            elif flight.done:
                return
            else:
                await changed.wait()

    async def _list_models(self, http: web.Request) -> web.Response:
        del http
        models = [_Model(name) for name in self.entry.list_models()]
        return _build_json(_Models(models))

    async def _call(self, http: web.Request) -> web.StreamResponse:
        # with a key it may have been sent before
        kind = ErrorKind.MAY_HAVE_RUN if KEY_HEADER in http.headers else ErrorKind.DRAINING
        body = await self._read_body(http, kind)
        identity = read_identity(http.headers, self.entry.store.view)
        answer = await self.entry.caller.call(http, body, identity)
        headers = {**answer.headers, KEY_HEADER: identity.idempotency_key}
        return web.Response(status=answer.status, body=answer.body, headers=headers)

    async def _read_body(self, http: web.Request, kind: ErrorKind) -> bytes:
        is_late = self.entry.stopping and not http.content.is_eof()
        if is_late and kind is ErrorKind.DRAINING:
            # it is refused anyway, and to await its body would prolong the stop
            raise refuse(kind, "this host is shutting down")
        async with self.entry.limit_preparation(kind):
            return await _read_body(http)

    async def _show_health(self, http: web.Request) -> web.Response:
        del http
        return _build_json(_Health("ok"))

    async def _show_ready(self, http: web.Request) -> web.Response:
        del http
        if self.entry.is_ready:
            return _build_json(_Health("ready"))
        return _build_json(_Health("not ready"), status=503)


class _Model(msgspec.Struct):
    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "basilroad"


class _Models(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


class _Health(msgspec.Struct):
    status: str


def _build_json(body: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json", status=status
    )


async def _read_body(http: web.Request) -> bytes:
    try:
        async with TimeLimit(BODY_TIMEOUT_S):
            return await http.read()
    except TimeoutError as error:
        raise refuse(ErrorKind.BAD_REQUEST, "the request body did not arrive in time") from error
    except web.HTTPRequestEntityTooLarge as error:
        raise refuse(ErrorKind.BODY_TOO_LARGE, "the request body is too large") from error
    except web.RequestPayloadError as error:
        raise refuse(ErrorKind.BAD_REQUEST, f"malformed request body: {error}") from error


def _read_offset(http: web.Request, generation: str) -> int:
    last = http.headers.get("Last-Event-ID", "")
    if not last:
        return 0
    name, _, offset = last.rpartition(":")
    if not offset.isdecimal():
        raise refuse(
            ErrorKind.BAD_REQUEST,
            "Last-Event-ID must have the form generation:offset",
        )
    return int(offset) if name == generation else 0


async def _wait_first_tokens(flight: Flight, changed: asyncio.Event) -> None:
    while not flight.tokens and not flight.done:
        changed.clear()
        await changed.wait()
    if flight.refusal is not None and not flight.tokens:
        raise RefusedError(flight.refusal)


async def _write_end(response: web.StreamResponse, flight: Flight, include_usage: bool) -> None:
    if flight.refusal is not None:
        await response.write(answers.build_error_event(flight.refusal))
        return
    await response.write(answers.build_finish_event(flight))
    if include_usage:
        await response.write(answers.build_usage_event(flight))
    await response.write(answers.DONE)
    await response.write_eof()


async def _close_if_rest_lost(request: web.Request, response: web.StreamResponse) -> None:
    if is_rest_lost(request):
        response.force_close()
        response.headers["Connection"] = "close"


def _refuse_failed(request: web.BaseRequest, error: BaseException) -> web.Response:
    _LOGGER.error("request failed", exc_info=error)
    if request.writer.output_size:
        # a second answer would look like a part of the first; the HTTP library cuts it off
        raise error
    # the head of a response may have failed after this was set
    writer: Any = request.writer
    writer.chunked = False
    return _build_refusal(Refusal(ErrorKind.INTERNAL, "internal error"))


def _convert_http_error(error: web.HTTPException) -> Refusal:
    if error.status == 413:
        return Refusal(ErrorKind.BODY_TOO_LARGE, "the request body is too large")
    if error.status == 404:
        return Refusal(ErrorKind.UNKNOWN_SERVICE, "no such path")
    return Refusal(ErrorKind.BAD_REQUEST, error.reason)


def _build_refusal(refusal: Refusal) -> web.Response:
    answer = refusal.answer
    retry_after = refusal.retry_after or answer.retry_after
    headers = {"X-Effect": answer.effect.value}
    if retry_after is not None:
        headers["Retry-After"] = str(retry_after)
    return web.Response(
        status=answer.http_status,
        body=answers.build_error(refusal),
        content_type="application/json",
        headers=headers,
    )


__all__ = ["RESTART_HEADER", "HttpServer"]
