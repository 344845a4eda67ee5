"""What the system asks of a plain service, and the adapter over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import attrs
from yarl import URL

from basilroad.http import HttpClient, HttpError, HttpRequest, HttpResponse, RequestNotSentError

REACH_S = 1.0
"""Time to wait for a connection that only shows whether there is one."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection and are not passed on."""


@attrs.frozen
class PlainCall:
    """One call of a plain service.

    :param method: HTTP method
    :param path: path and query, percent-encoded
    :param headers: header names and values
    :param body: body of the call
    :param idempotent: whether the call may run more than once
    :param timeout_s: seconds for the whole call
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotent: bool = False
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The service ran the call and answered.

    :param status: status code of the answer
    :param headers: header names and values
    :param body: body of the answer
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call was sent; it did not run.

    :param detail: what was seen
    """

    detail: str


@dataclass(frozen=True, slots=True)
class CallMayHaveRun:
    """The call was sent and its answer lost.

    :param detail: what was seen
    :param timed_out: whether time ran out
    """

    detail: str
    timed_out: bool = False


CallOutcome = CallAnswered | CallNotSent | CallMayHaveRun


class PlainService(Protocol):
    """A plain service that runs calls."""

    async def call(self, call: PlainCall) -> CallOutcome:
        """Run a call, at most once.

        :param call: the call
        :return: what became of it
        """


class HttpPlainService:
    """Calls a plain service over HTTP.

    :param url: base URL of the service
    """

    def __init__(self, url: str) -> None:
        timeout_s = PlainCall("", "").timeout_s
        self._url = URL(url)
        self._reusing = HttpClient(url, timeout_s)
        # On a reused connection a refusal can't be told from a call that ran.
        self._fresh = HttpClient(url, timeout_s, reuse_connections=False)

    async def call(self, call: PlainCall) -> CallOutcome:
        """Run a call, at most once.

        :param call: the call
        :return: what became of it
        """
        client = self._reusing if call.idempotent else self._fresh
        request = HttpRequest(call.method, call.path, _keep_end_headers(call.headers), call.body)
        try:
            answer = await client.send(request, call.timeout_s)
        except RequestNotSentError as error:
            return CallNotSent(str(error))
        except HttpError as error:
            return CallMayHaveRun(str(error), error.timed_out)
        return _describe(answer)

    async def is_reachable(self) -> bool:
        """:return: whether the service takes a connection; nothing is sent."""
        try:
            async with asyncio.timeout(REACH_S):
                _, writer = await asyncio.open_connection(self._url.host, self._url.port)
        except OSError:
            return False
        writer.close()
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self._reusing.close()
        await self._fresh.close()


def _describe(answer: HttpResponse) -> CallAnswered:
    headers = _keep_end_headers(tuple(answer.headers.items()))
    return CallAnswered(answer.status, headers, answer.body)


def _keep_end_headers(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
    return tuple(header for header in headers if header[0].lower() not in HOP_BY_HOP_HEADERS)


__all__ = [
    "HOP_BY_HOP_HEADERS",
    "CallAnswered",
    "CallMayHaveRun",
    "CallNotSent",
    "CallOutcome",
    "HttpPlainService",
    "PlainCall",
    "PlainService",
]
