"""Callers of the users' platform that take up broken streams."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import attrs

from basilroad.standin.streamevents import StreamEvent, decode_events
from support.gatewayrig import HEADERS

OK = 200

MAX_TRIES = 6
"""Tries of one request, more than the clients of the platform make."""

RETRY_PAUSE_S = 0.1
"""Time between two tries without a ``Retry-After``."""


@attrs.frozen
class Try:
    """One request of a caller and how it ended.

    :param id: its id
    :param status: status of the response; 0 without one
    :param took_s: seconds from the request to the end of the response
    :param retry_after_s: seconds that the response asks to wait; 0 if it does not
    """

    id: str
    status: int
    took_s: float
    retry_after_s: float


@attrs.define(eq=False)
class StreamCaller:
    """Reads one stream, and takes it up where it broke off.

    :param session: connections that it may use
    :param number: distinguishes its prompt and its ids
    :param expected: events of the complete stream
    :param deadline_s: seconds that each try gives
    :param events: events received in all tries
    :param tries: tries that have ended
    :param begun_by: id of the try that brought the first event; empty before
    """

    session: aiohttp.ClientSession
    number: int
    expected: int
    deadline_s: float = 10.0
    events: list[StreamEvent] = attrs.field(factory=list)
    tries: list[Try] = attrs.field(factory=list)
    begun_by: str = ""
    _started: int = 0

    @property
    def is_whole(self) -> bool:
        """:return: whether each event was received once and in order."""
        return [event.number for event in self.events] == list(range(1, self.expected + 1))

    @property
    def versions(self) -> set[str]:
        """:return: software versions of the servers that made its events."""
        return {event.version for event in self.events}

    async def send(self, front: str, **headers: str) -> Try:
        """Send the request once.

        :param front: URL of the gateway
        :param headers: headers that differ, with underscores for hyphens
        :return: how it ended
        """
        self._started += 1
        request_id, status, retry_after_s = f"c{self.number}-{self._started}", 0, 0.0
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        own = self._build_headers(request_id)
        url, body = f"{front}/s/1", f"body {self.number}".encode()
        began, before = time.monotonic(), list(self.events)
        try:
            async with self.session.post(url, data=body, headers={**own, **named}) as response:
                status = response.status
                retry_after_s = float(response.headers.get("Retry-After", 0))
                data = b""
                async for part in response.content.iter_any():
                    data += part
                    self._receive(request_id, before, data)
        except (aiohttp.ClientError, OSError):
            pass
        took_s = time.monotonic() - began
        self.tries.append(Try(request_id, status, took_s, retry_after_s))
        return self.tries[-1]

    async def take_up(self, front: str) -> None:
        """Try until the stream is whole, at most ``MAX_TRIES`` times.

        :param front: URL of the gateway
        """
        for _ in range(MAX_TRIES):
            if self.is_whole:
                return
            ended = await self.send(front)
            if not self.is_whole:
                await asyncio.sleep(max(RETRY_PAUSE_S, ended.retry_after_s))

    def _build_headers(self, request_id: str) -> dict[str, str]:
        headers = {
            **HEADERS,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(round(1000 * self.deadline_s)),
            "X-Token-Usage": "300,50",
            "X-Prompt-Prefix": f"{self.number:08x}:100",
        }
        if self.events:
            headers |= {"Resumes": self.begun_by, "Last-Event-Id": str(self.events[-1].number)}
        return headers

    def _receive(self, request_id: str, before: list[StreamEvent], data: bytes) -> None:
        self.events = [*before, *decode_events(data)]
        if self.events and not self.begun_by:
            self.begun_by = request_id


__all__ = ["OK", "StreamCaller", "Try"]
