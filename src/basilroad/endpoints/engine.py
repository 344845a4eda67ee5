"""Interface of a model engine, and its client over HTTP."""

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
from basilroad.endpoints.stream import OK, EventStreamReader, decode
from basilroad.http.client import HttpClient, HttpError, HttpRequest, RequestNotSentError

CACHE_EVENTS_WAIT_S = 10.0
"""Long-poll timeout of a read of cache events."""

Message = TypeVar("Message")


class Engine(Protocol):
    """A model engine with continuous batching."""

    def generate(self, request: GenerateRequest) -> AsyncIterator[EngineToken | EngineFinish]:
        """Generate a completion; closing the iterator cancels it.

        :param request: the prompt and its sampling parameters
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

    async def order(self, command: EngineCommand) -> EngineHealth:
        """Load or unload a model, or set the role; a load continues after the response.

        :param command: the command
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
        # responses name no request: on a reused connection, a late second copy of one would be
        # taken for the response to the next request
        self._client = HttpClient(url, timeout_s, reuse_connections=False)

    async def generate(self, request: GenerateRequest) -> AsyncIterator[EngineToken | EngineFinish]:
        """Generate a completion; closing the iterator cancels it.

        :param request: the prompt and its sampling parameters
        :return: the tokens after the prior ones, then the finish event
        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        http_request = HttpRequest("POST", "/generate", body=msgspec.json.encode(request))
        try:
            async with self._client.stream(http_request) as response:
                if response.status != OK:
                    body = await response.read()
                    raise EngineRefusedError(response.status, body.decode(errors="replace"))
                reader = EventStreamReader()
                while part := await response.read_part():
                    for message in reader.read(part):
                        yield message
                        if isinstance(message, EngineFinish):
                            return
        except HttpError as error:
            raise _map_error(error) from error
        raise EngineConnectionError("the stream ended before its finish event")

    async def cancel(self, request_id: str) -> None:
        """Cancel a generation, if it is running.

        :param request_id: identifier of the generation
        :raises EngineError: the connection failed, or the engine timed out or refused
        """
        await self._send("POST", "/cancel", CancelRequest(request_id))

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

    async def order(self, command: EngineCommand) -> EngineHealth:
        """Load or unload a model, or set the role; a load continues after the response.

        :param command: the command
        :return: state of the engine after the command
        :raises EngineRefusedError: the fencing number is outdated
        :raises EngineError: the connection failed or the engine timed out
        """
        return await self._request("POST", "/orders", EngineHealth, command)

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
            response = await self._client.send(HttpRequest(method, path, body=body), timeout_s)
        except HttpError as error:
            raise _map_error(error) from error
        if response.status != OK:
            raise EngineRefusedError(response.status, response.body.decode(errors="replace"))
        return response.body


def _map_error(error: HttpError) -> EngineError:
    if isinstance(error, RequestNotSentError):
        return EngineUnreachableError(f"could not connect: {error}")
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
