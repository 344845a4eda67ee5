"""The platform's table over HTTP."""

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
from basilroad.coordination.table import (
    Changes,
    Row,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)
from basilroad.http import HttpClient, HttpError, HttpRequest, HttpResponse, RequestNotSentError

OK = 200
SERVER_ERROR = 500

Message = TypeVar("Message")


class HttpTable:
    """Asks the platform's table service.

    :param url: base URL of the platform
    :param timeout_s: seconds for each request
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def read(self, key: str) -> Row | None:
        """:return: the row, or ``None``.

        :raises TableUnavailableError: the table did not answer
        """
        answer = await self._ask("/table/read", KeyRequest(key), ReadAnswer)
        return answer.row

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """:return: all rows whose key starts with a prefix, by key.

        :raises TableUnavailableError: the table did not answer
        """
        answer = await self._ask("/table/scan", ScanRequest(prefix), RowsAnswer)
        return answer.rows

    async def changes(self, prefix: str, since: int) -> Changes:
        """:return: rows below a prefix written after revision ``since``, deleted ones included.

        :raises TableUnavailableError: the table did not answer
        """
        return await self._ask("/table/changes", ChangesRequest(prefix, since), Changes)

    async def read_history(self, key: str) -> tuple[Row, ...]:
        """:return: the states that a row had, oldest first, deletions included.

        :raises TableUnavailableError: the table did not answer
        """
        answer = await self._ask("/table/history", KeyRequest(key), RowsAnswer)
        return answer.rows

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        """Write several rows in one transaction.

        :param writes: the writes, no key twice
        :param atomic: whether one failed condition undoes all of them
        :return: one result for each write, in order
        :raises TableUnavailableError: nothing was written
        :raises TableUnknownError: it is not known whether anything was written
        """
        try:
            answer = await self._post("/table/commit", CommitRequest(tuple(writes), atomic))
        except RequestNotSentError as error:
            raise TableUnavailableError(str(error)) from error
        except HttpError as error:
            raise TableUnknownError(str(error)) from error
        if answer.status >= SERVER_ERROR:
            raise TableUnknownError(f"answered {answer.status}")
        if answer.status != OK:
            raise TableUnavailableError(f"refused with {answer.status}: {answer.body!r}")
        try:
            return msgspec.json.decode(answer.body, type=CommitAnswer).results
        except msgspec.MsgspecError as error:
            raise TableUnknownError(f"answer not understood: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _ask(self, path: str, message: object, kind: type[Message]) -> Message:
        try:
            answer = await self._post(path, message)
        except HttpError as error:
            raise TableUnavailableError(str(error)) from error
        if answer.status != OK:
            raise TableUnavailableError(f"answered {answer.status}: {answer.body!r}")
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            raise TableUnavailableError(f"answer not understood: {error}") from error

    async def _post(self, path: str, message: object) -> HttpResponse:
        return await self._client.send(HttpRequest("POST", path, body=msgspec.json.encode(message)))


__all__ = ["HttpTable"]
