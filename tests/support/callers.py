"""Callers that record every response without checking it."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
import attrs
import msgspec

_DONE = b"[DONE]"


@attrs.define(eq=False)
class StreamedAnswer:
    """Response to one caller for one generation, updated while the stream runs.

    :param status: HTTP status, 0 until the headers arrive
    :param texts: text of each event (one or more tokens), in order of arrival
    :param ids: ``id:`` of each event, ``generation:offset``
    :param times: arrival of each event, seconds of the monotonic clock
    :param finish_reason: set by the last event
    :param error: ``error`` of the response, or the text of the connection error
    :param headers: of the response
    :param usage: of the response
    :param restarts: events that restarted the stream at offset 0
    :param ended: whether the stream ended with ``[DONE]``
    :param closed: whether the connection is closed
    """

    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    ids: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    finish_reason: str | None = None
    error: Any = None
    headers: dict[str, str] = attrs.field(factory=dict)
    usage: dict[str, Any] | None = None
    restarts: int = 0
    ended: bool = False
    closed: bool = False
    _changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    @property
    def text(self) -> str:
        """:return: all text received so far."""
        return "".join(self.texts)

    @property
    def count(self) -> int:
        """:return: tokens received so far, by the id of the last event."""
        return int(self.ids[-1].rpartition(":")[2]) if self.ids else 0

    @property
    def generations(self) -> set[str]:
        """:return: generation ids found in the event ids."""
        return {i.rpartition(":")[0] for i in self.ids}

    async def wait_tokens(self, count: int) -> None:
        """Wait until the given number of tokens has been received.

        :param count: number of tokens
        :raises AssertionError: the stream ended earlier
        """
        async with self._changed:
            await self._changed.wait_for(lambda: self.closed or self.count >= count)
        assert self.count >= count, f"ended after {self.count} of {count} tokens: {self.error}"

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.closed)

    async def record_event(self, kind: str, event_id: str, data: bytes) -> None:
        """Record one event.

        :param kind: its ``event:``
        :param event_id: its ``id:``
        :param data: its ``data:``
        """
        if data == _DONE:
            self.ended = True
            return
        if kind == "restart":
            self.restarts += 1
            for kept in (self.texts, self.ids, self.times):
                kept.clear()
            return
        event = msgspec.json.decode(data)
        self.error = event.get("error", self.error)
        self.usage = event.get("usage") or self.usage
        for choice in event.get("choices", ()):
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
            text = choice.get("text") or (choice.get("delta") or {}).get("content")
            if text:
                await self._append(event_id, text)

    async def close(self) -> None:
        """Mark the connection as closed."""
        async with self._changed:
            self.closed = True
            self._changed.notify_all()

    async def _append(self, event_id: str, text: str) -> None:
        async with self._changed:
            self.texts.append(text)
            self.ids.append(event_id)
            self.times.append(time.monotonic())
            self._changed.notify_all()


@attrs.frozen
class OrderAnswer:
    """Response to a call of a plain service.

    :param status: HTTP status, 0 if the connection broke
    :param body: raw body
    :param headers: of the response
    """

    status: int
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def error(self) -> dict[str, Any]:
        """:return: ``error`` of the body, empty if there is none."""
        try:
            return dict(msgspec.json.decode(self.body).get("error", {}))
        except (msgspec.DecodeError, AttributeError):
            return {}


async def stream_completion(
    entry: str,
    prompt: str,
    *,
    model: str,
    max_tokens: int,
    key: str = "",
    headers: dict[str, str] | None = None,
    answer: StreamedAnswer | None = None,
    **fields: Any,
) -> StreamedAnswer:
    """Request a completion and read its stream to the end.

    :param entry: base URL
    :param prompt: text
    :param model: name of the service
    :param max_tokens: length of the completion
    :param key: idempotency key, none if empty
    :param headers: further headers
    :param answer: object to record into, can be observed meanwhile
    :param fields: further fields of the body
    :return: the recorded response
    """
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True, **fields}
    headers = {**({"Idempotency-Key": key} if key else {}), **(headers or {})}
    url = f"{entry}/v1/completions"
    return await _stream("POST", url, headers, body, answer or StreamedAnswer())


async def attach_generation(
    entry: str, answer: StreamedAnswer, headers: dict[str, str] | None = None
) -> StreamedAnswer:
    """Reattach to an interrupted stream, after its last event.

    :param entry: base URL, may be another entry
    :param answer: response received so far; new events are appended
    :param headers: further headers
    :return: the same object
    """
    last = answer.ids[-1]
    url = f"{entry}/v1/generations/{last.rpartition(':')[0]}"
    answer.closed, answer.error = False, None
    return await _stream("GET", url, {"Last-Event-ID": last, **(headers or {})}, None, answer)


async def place_order(
    entry: str,
    service: str,
    path: str,
    *,
    body: Any,
    key: str = "",
    headers: dict[str, str] | None = None,
) -> OrderAnswer:
    """Call a plain service once.

    :param entry: base URL
    :param service: name of the service
    :param path: path below the service
    :param body: sent as JSON
    :param key: idempotency key, none if empty
    :param headers: further headers
    :return: response, status 0 if the connection broke
    """
    headers = {**({"Idempotency-Key": key} if key else {}), **(headers or {})}
    url = f"{entry}/v1/services/{service}/{path}"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            return OrderAnswer(response.status, await response.read(), dict(response.headers))
    except aiohttp.ClientError:
        return OrderAnswer(0, b"")


async def _stream(
    method: str, url: str, headers: dict[str, str], body: Any, answer: StreamedAnswer
) -> StreamedAnswer:
    timeout = aiohttp.ClientTimeout(total=None)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body, headers=headers) as response,
        ):
            answer.status = response.status
            answer.headers = dict(response.headers)
            await _read_events(response, answer)
    except (aiohttp.ClientError, OSError) as error:
        answer.error = answer.error or repr(error)
    finally:
        await answer.close()
    return answer


async def _read_events(response: aiohttp.ClientResponse, answer: StreamedAnswer) -> None:
    if not response.content_type.startswith("text/event-stream"):
        await answer.record_event("", "", await response.read())
        return
    kind = event_id = ""
    async for raw in response.content:
        line = raw.rstrip(b"\r\n")
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value.decode()
        elif name == b"event":
            kind = value.decode()
        elif name == b"data":
            await answer.record_event(kind, event_id, value)
        elif not line:
            kind = ""


__all__ = [
    "OrderAnswer",
    "StreamedAnswer",
    "attach_generation",
    "place_order",
    "stream_completion",
]
