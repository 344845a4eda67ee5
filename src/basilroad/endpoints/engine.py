"""Interface of a model engine, and its client over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol, TypeVar

import msgspec

from basilroad.endpoints.errors import (
    EngineDiedError,
    EngineError,
    EngineRefusedError,
    EngineSilentError,
    EngineUnreachableError,
)
from basilroad.endpoints.messages import (
    CacheEvent,
    CacheEvents,
    CacheSnapshot,
    CancelOrder,
    EngineFinish,
    EngineHealth,
    EngineLoad,
    EngineOrder,
    EngineToken,
    GenerateOrder,
)
from basilroad.endpoints.stream import OK, EventStreamReader, decode
from basilroad.http import HttpClient, HttpError, HttpRequest, NotSentError

CACHE_EVENTS_WAIT_S = 10.0
"""Long-poll timeout of a read of cache events."""

Message = TypeVar("Message")


class Engine(Protocol):
    """A model engine with continuous batching."""

    def generate(self, order: GenerateOrder) -> AsyncIterator[EngineToken | EngineFinish]:
        """Generate a completion; closing the iterator cancels it.

        :param order: the prompt and its sampling parameters
        :return: the tokens after the prior ones, then the finish event
        :raises EngineError: the connection failed, or the engine timed out or refused
        """

    async def cancel(self, request_id: str) -> None:
        """Cancel a generation, if it is running.

        :param request_id: identifier of the generation
        :raises EngineError: the connection failed, or the engine timed out or refused
        """

    async def read_load(self) -> EngineLoad:
        """:return: current load of the engine; may be out of date.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        """Wait for changes of the prefix cache.

        :param since: sequence number of the last change received
        :return: later changes, delayed and possibly with gaps; empty if the wait times out;
            sequence numbers restart at 1 when the engine restarts
        :raises EngineError: the connection failed, or the engine timed out or refused
        """

    async def read_cache(self) -> CacheSnapshot:
        """:return: the complete content of the prefix cache.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """

    async def order(self, order: EngineOrder) -> EngineHealth:
        """Load or unload a model, or set the role; a load continues after the response.

        :param order: the command
        :return: state of the engine after the command
        :raises EngineRefusedError: the fencing number is outdated
        :raises EngineError: the connection failed or the engine timed out
        """

    async def read_health(self) -> EngineHealth:
        """:return: the state of the engine.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """


class HttpEngine:
    """Client of an engine over HTTP.

    :param url: base URL of the engine
    :param timeout_s: timeout of each request in seconds; a connected stream has no limit
    """

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._timeout_s = timeout_s
        self._client = HttpClient(url, timeout_s)

    async def generate(self, order: GenerateOrder) -> AsyncIterator[EngineToken | EngineFinish]:
        """Generate a completion; closing the iterator cancels it.

        :param order: the prompt and its sampling parameters
        :return: the tokens after the prior ones, then the finish event
        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        request = HttpRequest("POST", "/generate", body=msgspec.json.encode(order))
        try:
            async with self._client.stream(request) as response:
                if response.status != OK:
                    raise EngineRefusedError(response.status, await response.text())
                reader = EventStreamReader()
                async for chunk in response.content.iter_any():
                    for message in reader.read(chunk):
                        yield message
                        if isinstance(message, EngineFinish):
                            return
        except HttpError as error:
            raise _map_error(error) from error
        raise EngineDiedError("the stream ended before its finish event")

    async def cancel(self, request_id: str) -> None:
        """Cancel a generation, if it is running.

        :param request_id: identifier of the generation
        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        await self._send("POST", "/cancel", CancelOrder(request_id))

    async def read_load(self) -> EngineLoad:
        """:return: current load of the engine; may be out of date.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        return await self._request("GET", "/load", EngineLoad)

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        """Wait for changes of the prefix cache.

        :param since: sequence number of the last change received
        :return: later changes, delayed and possibly with gaps; empty if the wait times out;
            sequence numbers restart at 1 when the engine restarts
        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        path = f"/events?since={since}&wait_s={CACHE_EVENTS_WAIT_S}"
        body = await self._send("GET", path, timeout_s=CACHE_EVENTS_WAIT_S + self._timeout_s)
        return decode(body, CacheEvents).events

    async def read_cache(self) -> CacheSnapshot:
        """:return: the complete content of the prefix cache.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        return await self._request("GET", "/cache", CacheSnapshot)

    async def order(self, order: EngineOrder) -> EngineHealth:
        """Load or unload a model, or set the role; a load continues after the response.

        :param order: the command
        :return: state of the engine after the command
        :raises EngineRefusedError: the fencing number is outdated
        :raises EngineError: the connection failed or the engine timed out
        """
        return await self._request("POST", "/orders", EngineHealth, order)

    async def read_health(self) -> EngineHealth:
        """:return: the state of the engine.

        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        return await self._request("GET", "/health", EngineHealth)

    async def close(self) -> None:
        """Close all connections; running streams end."""
        await self._client.close()

    async def _request(
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
            raise _map_error(error) from error
        if answer.status != OK:
            raise EngineRefusedError(answer.status, answer.body.decode(errors="replace"))
        return answer.body


def _map_error(error: HttpError) -> EngineError:
    if isinstance(error, NotSentError):
        return EngineUnreachableError(f"could not connect: {error}")
    if error.timed_out:
        return EngineSilentError(str(error))
    return EngineDiedError(f"connection lost: {error}")


__all__ = [
    "CacheEvent",
    "CacheSnapshot",
    "Engine",
    "EngineDiedError",
    "EngineError",
    "EngineFinish",
    "EngineHealth",
    "EngineLoad",
    "EngineOrder",
    "EngineRefusedError",
    "EngineSilentError",
    "EngineToken",
    "EngineUnreachableError",
    "GenerateOrder",
    "HttpEngine",
]
