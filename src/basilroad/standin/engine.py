"""Stand-in for a model engine with continuous batching."""

from __future__ import annotations

import asyncio

import attrs
import msgspec
from aiohttp import web
from mode import Service

from basilroad.endpoints.messages import (
    CacheEvents,
    CancelRequest,
    EngineCommand,
    EngineFinish,
    EngineToken,
    GenerateRequest,
)
from basilroad.standin.batch import Batch, EngineFaults, Generation
from basilroad.standin.lag import LaggingValue
from basilroad.standin.loader import CommandRejectedError, Loader
from basilroad.standin.server import StandinServer, answer_error, answer_json, read_json
from basilroad.standin.settings import EngineStandinSettings

LOAD_SAMPLE_INTERVAL_S = 0.05
"""Interval between two samples of the load."""

EVENTS_WAIT_DEFAULT_S = 10.0
"""Seconds that a read of cache events waits for the first event by default."""


@attrs.frozen
class EngineControl:
    """Faults to inject.

    :param die: crash at once
    :param freeze_s: suspend all work for this many seconds
    :param crash_on: crash after the prefill of a prompt that contains this text; empty for never
    :param deaf: whether to keep connections open without sending tokens
    :param token_interval_s: seconds between the tokens of one generation, also of a running one
    """

    die: bool = False
    freeze_s: float = 0.0
    crash_on: str | None = None
    deaf: bool | None = None
    token_interval_s: float | None = None


@attrs.frozen
class StreamError:
    """Last message of a stream that failed.

    :param error: the reason
    """

    error: str


class EngineStandin(StandinServer):
    """Serves generations whose tokens depend on the request and all earlier tokens.

    :param settings: settings of the engine
    :param embedded: whether a crash stops only the server, not the process
    """

    def __init__(self, settings: EngineStandinSettings, *, embedded: bool = False) -> None:
        super().__init__(settings.listen, embedded=embedded, cancel_on_disconnect=True)
        self._settings = settings
        self._batch = Batch(settings, EngineFaults(self.wait_thawed, self._crash_if_poisoned))
        self._loader = Loader(settings, self._abort_all)
        self._generations: set[Generation] = set()
        self._load = LaggingValue(self._batch.measure(), settings.load_delay_s)
        self._crash_on = settings.crash_on
        self._sending_allowed = asyncio.Event()
        self._sending_allowed.set()

    def list_routes(self) -> list[web.RouteDef]:
        """:return: the routes to serve."""
        return [
            web.post("/generate", self._generate),
            web.post("/cancel", self._cancel),
            web.get("/load", self._read_load),
            web.get("/events", self._read_events),
            web.get("/cache", self._read_cache),
            web.post("/orders", self._execute_command),
            web.get("/health", self._read_health),
            web.post("/control", self._control),
            web.get("/control/counters", self._read_counters),
        ]

    async def on_stop(self) -> None:
        """Stop serving and cancel a load in progress."""
        self._loader.stop()
        await super().on_stop()

    @Service.task
    async def _sample_load(self) -> None:
        while not self.should_stop:
            self._load.record(self._batch.measure())
            await self.sleep(LOAD_SAMPLE_INTERVAL_S)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        order = await read_json(request, GenerateRequest)
        if not self._loader.serves(order):
            return answer_error(409, "the requested model, adapter or version is not loaded")
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        generation = Generation(order, asyncio.current_task())
        self._generations.add(generation)
        try:
            finish = await self._run(generation, response)
        finally:
            self._generations.discard(generation)
        await _send(response, finish)
        return response

    async def _run(
        self, generation: Generation, response: web.StreamResponse
    ) -> EngineFinish | StreamError:
        async def send_token(token: EngineToken) -> None:
            await self._sending_allowed.wait()
            await _send(response, token)

        try:
            return await self._batch.run(generation.order, send_token)
        except asyncio.CancelledError:
            if not generation.abort_reason or generation.task is None:
                raise
            generation.task.uncancel()
        if generation.abort_reason == "cancelled":
            return EngineFinish("cancelled", len(generation.order.prompt.split()), 0, 0)
        return StreamError(generation.abort_reason)

    async def _crash_if_poisoned(self, order: GenerateRequest) -> None:
        if self._crash_on and self._crash_on in order.prompt:
            await self.die()

    def _abort_all(self) -> None:
        self._batch.cache.clear()
        for generation in tuple(self._generations):
            generation.abort("unloaded")

    async def _cancel(self, request: web.Request) -> web.Response:
        order = await read_json(request, CancelRequest)
        for generation in tuple(self._generations):
            if generation.order.request_id == order.request_id:
                generation.abort("cancelled")
        return answer_json({})

    async def _read_load(self, _: web.Request) -> web.Response:
        self._load.record(self._batch.measure())
        return answer_json(self._load.read(self._settings.load_delay_s))

    async def _read_counters(self, _: web.Request) -> web.Response:
        return answer_json(self._batch.measure())

    async def _read_events(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        wait_s = float(request.query.get("wait_s", EVENTS_WAIT_DEFAULT_S))
        return answer_json(CacheEvents(await self._batch.cache.log.read(since, wait_s)))

    async def _read_cache(self, _: web.Request) -> web.Response:
        return answer_json(self._batch.cache.take_snapshot())

    async def _execute_command(self, request: web.Request) -> web.Response:
        order = await read_json(request, EngineCommand)
        try:
            self._loader.execute(order)
        except CommandRejectedError as error:
            return answer_error(409, str(error))
        return answer_json(self._loader.health)

    async def _read_health(self, _: web.Request) -> web.Response:
        return answer_json(self._loader.health)

    async def _control(self, request: web.Request) -> web.Response:
        control = await read_json(request, EngineControl)
        if control.crash_on is not None:
            self._crash_on = control.crash_on
        if control.deaf is not None:
            self._set_deaf(control.deaf)
        if control.token_interval_s is not None:
            self._batch.token_interval_s = control.token_interval_s
        if control.freeze_s > 0:
            self.freeze(control.freeze_s)
        if control.die:
            await self.die()
        return answer_json({})

    def _set_deaf(self, deaf: bool) -> None:
        if deaf:
            self._sending_allowed.clear()
        else:
            self._sending_allowed.set()


async def _send(response: web.StreamResponse, message: object) -> None:
    await response.write(b"data: " + msgspec.json.encode(message) + b"\n\n")


__all__ = ["EngineControl", "EngineStandin"]
