"""Interface of a plain service, and its client over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import attrs
from yarl import URL

from basilroad.http.client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
)
from basilroad.http.headervalues import decode_header_value
from basilroad.timelimit import TimeLimit

REACHABILITY_TIMEOUT_S = 1.0
"""Connect timeout of the reachability check."""

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
"""Headers not forwarded: hop-by-hop ones, and ``Content-Length``, ``Expect`` and ``Host``."""


@attrs.frozen
class PlainCall:
    """One call to a plain service.

    :param method: HTTP method
    :param path: path and query, percent-encoded
    :param headers: header names and values
    :param body: body of the call
    :param idempotent: whether the call may run more than once
    :param timeout_s: timeout of the whole call in seconds
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotent: bool = False
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The service ran the call and responded.

    :param status: status code of the response
    :param headers: header names and values
    :param body: body of the response
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call was sent; it did not run.

    :param detail: description of the failure
    """

    detail: str


@dataclass(frozen=True, slots=True)
class CallMayHaveRun:
    """The call was sent, but its response was not received.

    :param detail: description of the failure
    :param timed_out: whether the timeout expired
    """

    detail: str
    timed_out: bool = False


CallOutcome = CallAnswered | CallNotSent | CallMayHaveRun


class PlainService(Protocol):
    """A plain service that runs calls."""

    async def call(self, call: PlainCall) -> CallOutcome:
        """Run a call, at most once.

        :param call: the call
        :return: outcome of the call
        """


class HttpPlainService:
    """Calls a plain service over HTTP.

    :param url: base URL of the service
    """

    def __init__(self, url: str) -> None:
        self._url = URL(url)
        # responses name no request: on a reused connection, a late second copy of one would be
        # taken for the response to the next call
        self._client = HttpClient(url, PlainCall("", "").timeout_s, reuse_connections=False)

    async def call(self, call: PlainCall) -> CallOutcome:
        """Run a call, at most once.

        :param call: the call
        :return: outcome of the call
        """
        request = HttpRequest(call.method, call.path, _remove_hop_headers(call.headers), call.body)
        try:
            response = await self._client.send(request, call.timeout_s)
        except RequestNotSentError as error:
            return CallNotSent(str(error))
        except HttpError as error:
            return CallMayHaveRun(str(error), error.timed_out)
        return _convert_response(response)

    async def is_reachable(self) -> bool:
        """:return: whether the service accepts a connection; nothing is sent."""
        try:
            async with TimeLimit(REACHABILITY_TIMEOUT_S):
                _, writer = await asyncio.open_connection(self._url.host, self._url.port)
        except OSError:
            return False
        writer.close()
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _convert_response(response: HttpResponse) -> CallAnswered:
    headers = _remove_hop_headers(tuple(response.headers.items()))
    texts = tuple((name, decode_header_value(value)) for name, value in headers)
    return CallAnswered(response.status, texts, response.body)


def _remove_hop_headers(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
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
