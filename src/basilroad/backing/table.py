"""Client of the platform's table over HTTP."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from basilroad.backing.messages import (
    ChangesRequest,
    CommitAnswer,
    CommitRequest,
    KeyRequest,
    ReadAnswer,
    RowsAnswer,
    ScanRequest,
)
from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.coordination.table import (
    Changes,
    Row,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)
from basilroad.http.client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
)

OK = 200
SERVER_ERROR = 500

Message = TypeVar("Message")


class HttpTable:
    """Client of the table service.

    :param url: base URL of the platform
    :param timeout_s: timeout of each request in seconds
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def read(self, key: str) -> Row | None:
        """:return: the row, or ``None``.

        :raises TableUnavailableError: the request failed
        """
        response = await self._request("/table/read", KeyRequest(key), ReadAnswer)
        return response.row

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """:return: all rows whose key starts with a prefix, sorted by key.

        :raises TableUnavailableError: the request failed
        """
        response = await self._request("/table/scan", ScanRequest(prefix), RowsAnswer)
        return response.rows

    async def changes(self, prefix: str, since: int) -> Changes:
        """:return: rows below a prefix written after revision ``since``, including deleted ones.

        :raises TableUnavailableError: the request failed
        """
        return await self._request("/table/changes", ChangesRequest(prefix, since), Changes)

    async def read_history(self, key: str) -> tuple[Row, ...]:
        """:return: all past states of a row, oldest first, including deletions.

        :raises TableUnavailableError: the request failed
        """
        response = await self._request("/table/history", KeyRequest(key), RowsAnswer)
        return response.rows

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        """Write several rows in one transaction.

        :param writes: the writes, at most one per key
        :param atomic: whether one failed condition rolls back all of them
        :return: one result for each write, in order
        :raises TableUnavailableError: nothing was written
        :raises TableUnknownError: the outcome is unknown; the writes may have been applied
        """
        try:
            response = await self._post("/table/commit", CommitRequest(tuple(writes), atomic))
        except RequestNotSentError as error:
            raise TableUnavailableError(str(error)) from error
        except HttpError as error:
            raise TableUnknownError(str(error)) from error
        if response.status >= SERVER_ERROR:
            raise TableUnknownError(f"answered {response.status}")
        if response.status != OK:
            raise TableUnavailableError(f"refused with {response.status}: {response.body!r}")
        try:
            return decode_json(response.body, CommitAnswer).results
        except DecodeError as error:
            raise TableUnknownError(f"invalid response: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _request(self, path: str, message: object, kind: type[Message]) -> Message:
        try:
            response = await self._post(path, message)
        except HttpError as error:
            raise TableUnavailableError(str(error)) from error
        if response.status != OK:
            raise TableUnavailableError(f"answered {response.status}: {response.body!r}")
        try:
            return decode_json(response.body, kind)
        except DecodeError as error:
            raise TableUnavailableError(f"invalid response: {error}") from error

    async def _post(self, path: str, message: object) -> HttpResponse:
        return await self._client.send(HttpRequest("POST", path, body=msgspec.json.encode(message)))


__all__ = ["HttpTable"]
