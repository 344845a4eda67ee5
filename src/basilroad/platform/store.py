"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
from urllib.parse import urlencode

import attrs
import msgspec

from basilroad.http import HttpClient, HttpError, HttpRequest

OK = 200
GONE = 410
READ_S = 0.8
"""Seconds for a read; many times the store's usual answer, and short enough to try again within
the time in which a version has to be in force."""

FEED_SLACK_S = 0.6
"""Seconds beyond its wait after which a call for changes counts as lost."""

PAGE_ROWS = 500


class StoreError(Exception):
    """The store did not answer as it should.

    :param detail: what was seen
    """


class HistoryGoneError(StoreError):
    """The changes that were asked for are not kept any more."""


class _WireRow(msgspec.Struct):
    key: str
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename="camel"):
    rows: list[_WireRow]
    ver: int
    has_more: bool = False
    now_ms: float | None = None  # the store's steady clock; no time of day


@attrs.frozen
class StoreRow:
    """One row of a table.

    :param key: its key
    :param value: its bytes; ``None`` if it was removed
    """

    key: str
    value: bytes | None


@attrs.frozen
class Changes:
    """Rows, and the revision that they show.

    :param rows: the rows
    :param revision: newest revision of the store at that moment
    :param store_s: seconds of the store's steady clock at that moment; ``None`` if it tells none
    """

    rows: tuple[StoreRow, ...]
    revision: int
    store_s: float | None = None


class StoreClient:
    """Reads tables of the store.

    :param url: base URL of the store
    """

    def __init__(self, url: str) -> None:
        self._client = HttpClient(url, READ_S)

    async def read_table(self, table: str) -> Changes:
        """Read all rows of a table.

        :param table: its name
        :return: the rows as of the first page
        :raises StoreError: there was no answer that can be used
        """
        rows: list[StoreRow] = []
        revision, store_s, start = None, None, ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            page = await self._get("/rows-get", query, READ_S)
            # later pages may show newer rows; the feed from the first revision repeats them
            if revision is None:
                revision, store_s = page.ver, _read_clock(page)
            rows.extend(_decode_row(row) for row in page.rows)
            if not page.has_more or not page.rows:
                return Changes(tuple(rows), revision, store_s)
            start = page.rows[-1].key + "\0"

    async def wait_changes(self, table: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes of a table.

        :param table: its name
        :param revision: changes after it are wanted
        :param wait_s: seconds after which an empty answer comes
        :return: the changes in order
        :raises HistoryGoneError: they are not kept any more
        :raises StoreError: there was no answer that can be used
        """
        query = {"table": table, "sinceRevision": revision, "waitMs": round(1000 * wait_s)}
        page = await self._get("/rows-feed", query, wait_s + FEED_SLACK_S)
        rows = tuple(_decode_row(row) for row in page.rows)
        return Changes(rows, page.ver, _read_clock(page))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row, whatever it held.

        :param table: its table
        :param key: its key
        :param value: its bytes
        :raises StoreError: it may not have been written
        """
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
        body = msgspec.json.encode({"expected": [], "writes": [row], "remove": []})
        headers = (("Content-Type", "application/json"),)
        try:
            answer = await self._client.send(HttpRequest("POST", "/rows-tx", headers, body), READ_S)
        except HttpError as error:
            raise StoreError(str(error)) from error
        if answer.status != OK:
            raise StoreError(f"answered {answer.status}")

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _get(self, path: str, query: dict[str, object], limit_s: float) -> _WireRows:
        request = HttpRequest("GET", f"{path}?{urlencode(query)}")
        try:
            answer = await self._client.send(request, limit_s)
        except HttpError as error:
            raise StoreError(str(error)) from error
        if answer.status == GONE:
            raise HistoryGoneError("the history was dropped")
        if answer.status != OK:
            raise StoreError(f"answered {answer.status}")
        try:
            return msgspec.json.decode(answer.body, type=_WireRows)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise StoreError(f"answer not understood: {error}") from error


def _read_clock(page: _WireRows) -> float | None:
    return None if page.now_ms is None else page.now_ms / 1000


def _decode_row(row: _WireRow) -> StoreRow:
    if row.deleted:
        return StoreRow(row.key, None)
    try:
        return StoreRow(row.key, base64.b64decode(row.value, validate=True))
    except binascii.Error:
        # decoders of the value reject this as they do other bytes that can't be read
        return StoreRow(row.key, b"")


__all__ = ["Changes", "HistoryGoneError", "StoreClient", "StoreError", "StoreRow"]
