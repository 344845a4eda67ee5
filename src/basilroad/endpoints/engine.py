"""What the system asks of a model engine, and the adapter over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol, TypeVar

import msgspec

from basilroad.endpoints.errors import (
    EngineConnectionError,
    EngineError,
    EngineRefusedError,
    EngineTimeoutError,
    EngineUnreachableError,
)
from basilroad.endpoints.messages import (
    CacheEvent,
    CacheEvents,
    CacheSnapshot,
    CancelRequest,
    EngineCommand,
    EngineFinish,
    EngineHealth,
    EngineLoad,
    EngineToken,
    GenerateRequest,
)
from basilroad.endpoints.stream import OK, StreamReader, decode
from basilroad.http import HttpClient, HttpError, HttpRequest, RequestNotSentError

EVENTS_WAIT_S = 10.0
"""Time that the engine may hold back a read of cache events."""

Message = TypeVar("Message")


class Engine(Protocol):
    """A model engine that batches continuously."""

    def generate(self, order: GenerateRequest) -> AsyncIterator[EngineToken | EngineFinish]:
        """Continue a text; closing the iterator cancels.

        :param order: what to generate
        :return: the tokens after the prior ones, then the finish
        :raises EngineError: the engine died, is silent or refused
        """

    async def cancel(self, request_id: str) -> None:
        """End a generation, if it runs.

        :param request_id: names its order
        :raises EngineError: the engine died, is silent or refused
        """

    async def read_load(self) -> EngineLoad:
        """:return: what the engine has to do; lags.

        :raises EngineError: the engine died, is silent or refused
        """

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        """Wait for changes of the prefix cache.

        :param since: sequence number of the last known change
        :return: the later changes, late and with gaps; none after some seconds without any;
            numbers start again at 1 when the engine does
        :raises EngineError: the engine died, is silent or refused
        """

    async def read_cache(self) -> CacheSnapshot:
        """:return: the whole content of the prefix cache.

        :raises EngineError: the engine died, is silent or refused
        """

    async def order(self, order: EngineCommand) -> EngineHealth:
        """Order to load, to unload or to take a role; a load goes on after the answer.

        :param order: the order
        :return: the state after it
        :raises EngineRefusedError: the fencing number is old
        :raises EngineError: the engine died or is silent
        """

    async def read_health(self) -> EngineHealth:
        """:return: the state of the engine.

        :raises EngineError: the engine died, is silent or refused
        """


class HttpEngine:
    """Asks an engine over HTTP.

    :param url: base URL of the engine
    :param timeout_s: seconds for each request; a stream has no limit once it is connected
    """

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._timeout_s = timeout_s
        self._client = HttpClient(url, timeout_s)

    async def generate(self, order: GenerateRequest) -> AsyncIterator[EngineToken | EngineFinish]:
        """Continue a text; closing the iterator cancels.

        :param order: what to generate
        :return: the tokens after the prior ones, then the finish
        :raises EngineError: the engine died, is silent or refused
        """
        request = HttpRequest("POST", "/generate", body=msgspec.json.encode(order))
        try:
            async with self._client.stream(request) as response:
                if response.status != OK:
                    raise EngineRefusedError(response.status, await response.text())
                reader = StreamReader()
                async for piece in response.content.iter_any():
                    for message in reader.read(piece):
                        yield message
                        if isinstance(message, EngineFinish):
                            return
        except HttpError as error:
            raise _describe(error) from error
        raise EngineConnectionError("the stream ended before its finish")

    async def cancel(self, request_id: str) -> None:
        """End a generation, if it runs.

        :param request_id: names its order
        :raises EngineError: the engine died, is silent or refused
        """
        await self._send("POST", "/cancel", CancelRequest(request_id))

    async def read_load(self) -> EngineLoad:
        """:return: what the engine has to do; lags.

        :raises EngineError: the engine died, is silent or refused
        """
        return await self._ask("GET", "/load", EngineLoad)

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        """Wait for changes of the prefix cache.

        :param since: sequence number of the last known change
        :return: the later changes, late and with gaps; none after some seconds without any;
            numbers start again at 1 when the engine does
        :raises EngineError: the engine died, is silent or refused
        """
        path = f"/events?since={since}&wait_s={EVENTS_WAIT_S}"
        body = await self._send("GET", path, timeout_s=EVENTS_WAIT_S + self._timeout_s)
        return decode(body, CacheEvents).events

    async def read_cache(self) -> CacheSnapshot:
        """:return: the whole content of the prefix cache.

        :raises EngineError: the engine died, is silent or refused
        """
        return await self._ask("GET", "/cache", CacheSnapshot)

    async def order(self, order: EngineCommand) -> EngineHealth:
        """Order to load, to unload or to take a role; a load goes on after the answer.

        :param order: the order
        :return: the state after it
        :raises EngineRefusedError: the fencing number is old
        :raises EngineError: the engine died or is silent
        """
        return await self._ask("POST", "/orders", EngineHealth, order)

    async def read_health(self) -> EngineHealth:
        """:return: the state of the engine.

        :raises EngineError: the engine died, is silent or refused
        """
        return await self._ask("GET", "/health", EngineHealth)

    async def close(self) -> None:
        """Close all connections; running streams end."""
        await self._client.close()

    async def _ask(
        self, method: str, path: str, kind: type[Message], message: object = None
    ) -> Message:
        return decode(await self._send(method, path, message), kind)

    async def _send(
        self, method: str, path: str, message: object = None, timeout_s: float | None = None
    ) -> bytes:
        body = None if message is None else msgspec.json.encode(message)
        try:
            answer = await self._client.send(HttpRequest(method, path, body=body), timeout_s)
        except HttpError as error:
            raise _describe(error) from error
        if answer.status != OK:
            raise EngineRefusedError(answer.status, answer.body.decode(errors="replace"))
        return answer.body


def _describe(error: HttpError) -> EngineError:
    if isinstance(error, RequestNotSentError):
        return EngineUnreachableError(f"not connected: {error}")
    if error.timed_out:
        return EngineTimeoutError(str(error))
    return EngineConnectionError(f"connection lost: {error}")


__all__ = [
    "CacheEvent",
    "CacheSnapshot",
    "Engine",
    "EngineCommand",
    "EngineConnectionError",
    "EngineError",
    "EngineFinish",
    "EngineHealth",
    "EngineLoad",
    "EngineRefusedError",
    "EngineTimeoutError",
    "EngineToken",
    "EngineUnreachableError",
    "GenerateRequest",
    "HttpEngine",
]
