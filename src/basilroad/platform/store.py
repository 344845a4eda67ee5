"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated
from urllib.parse import urlencode

import attrs
import msgspec

from basilroad.coordination.decoding import DecodeError, JsonDecoder
from basilroad.gateway.revision import Revision
from basilroad.http.client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    KeepAlive,
    RequestNotSentError,
)
from basilroad.platform.staleness import RESPONSE_ALLOWANCE_S

STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_UNAVAILABLE = 503
STATUS_FULL = 507
SERVER_ERROR = 500

NOT_APPLIED = (STATUS_UNAVAILABLE, STATUS_FULL)
"""Responses of the range of server errors that state that nothing was done."""
READ_TIMEOUT_S = 0.8
"""Longest silence in a read: many times the store's usual latency, and short enough for a retry
within the time in which a config version has to be in force."""

READ_TRANSFER_LIMIT_S = 2.4
"""Longest read whose bytes keep arriving; all hosts of a region may read a large config at once."""

PAGE_ROWS = 500

HEADER_EPOCH = "Store-Era"
MAX_EPOCH_DIGITS = 18  # fits into a message to another gateway

_LOGGER = logging.getLogger(__name__)


class StoreError(Exception):
    """The store did not respond in time, or with an unexpected response.

    :param detail: cause
    """


class ConnectionLostError(StoreError):
    """No response arrived in time, or the connection was lost before it.

    :param detail: cause
    :param closed: whether the store closed or reset the connection
    """

    def __init__(self, detail: str, *, closed: bool = False) -> None:
        super().__init__(detail)
        self.closed = closed


class ResponseLostError(StoreError):
    """A transaction got no response, so it may have been applied or may be later."""


class HistoryGoneError(StoreError):
    """The store no longer keeps the requested changes."""


RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _WireRow(msgspec.Struct):
    key: str
    value: str = ""
    ver: RevisionNumber = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename="camel"):
    rows: list[_WireRow]
    ver: RevisionNumber
    has_more: bool = False
    now_ms: float | None = None  # the store's monotonic clock, not time of day


class _WireResult(msgspec.Struct, rename="camel"):
    ver: RevisionNumber
    rows: list[_WireRow] = []
    now_ms: float | None = None


_ROWS_DECODER = JsonDecoder(_WireRows)
_RESULT_DECODER = JsonDecoder(_WireResult)


@attrs.frozen
class StoreRow:
    """A row of a table.

    :param key: its key
    :param value: its decoded value; ``None`` if it was removed
    :param revision: revision of its last change
    """

    key: str
    value: bytes | None
    revision: Revision


@attrs.frozen
class Changes:
    """Rows of a table as of a revision.

    :param rows: the rows
    :param revision: latest revision of the store at that moment
    :param store_s: the store's monotonic clock at that moment in seconds; ``None`` if not given
    """

    rows: tuple[StoreRow, ...]
    revision: Revision
    store_s: float | None = None


@attrs.frozen
class Transaction:
    """Changes of rows of one part, which are applied together or not at all.

    :param part: the part
    :param table: table of the rows
    :param expected: revision numbers by key; 0 for a row that must not exist
    :param writes: new values by key
    :param removals: keys of the rows that are removed
    """

    part: str
    table: str
    expected: Mapping[str, int] = attrs.field(factory=dict)
    writes: Mapping[str, bytes] = attrs.field(factory=dict)
    removals: Sequence[str] = ()

    def encode(self) -> bytes:
        """:return: body of the request."""
        expected = [{**self._name(key), "ver": number} for key, number in self.expected.items()]
        writes = [
            {**self._name(key), "value": base64.b64encode(value).decode()}
            for key, value in self.writes.items()
        ]
        removals = [self._name(key) for key in self.removals]
        return msgspec.json.encode({"expected": expected, "writes": writes, "remove": removals})

    def _name(self, key: str) -> dict[str, str | int]:
        return {"table": self.table, "part": self.part, "key": key}


@attrs.frozen
class TransactionResult:
    """Response to a transaction.

    :param applied: whether it was applied; if not, rows didn't have the expected revisions
    :param changes: if it was applied, its revision; if not, the current rows
    """

    applied: bool
    changes: Changes


class StoreClient:
    """Reads, watches and writes tables of the store.

    :param url: base URL of the store
    """

    def __init__(self, url: str) -> None:
        self._client = HttpClient(url, READ_TIMEOUT_S, keep_alive=KeepAlive())
        self.epoch: int | None = None
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function when the store was restored.

        :param callback: the function
        """
        self._subscribers.append(callback)

    async def read_table(self, table: str) -> Changes:
        """Read all rows of a table.

        :param table: its name
        :return: the rows, with the revision of the first page
        :raises StoreError: there was no valid response
        """
        rows: list[StoreRow] = []
        revision: Revision | None = None
        store_s, start = None, ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            page, epoch = await self._get("/rows-get", query, READ_TIMEOUT_S)
            # later pages may hold newer rows; a poll from the first revision repeats those changes
            if revision is None:
                revision, store_s = Revision(epoch, page.ver), _read_store_clock(page)
            elif epoch != revision.epoch:
                raise StoreError("the store was restored between two pages of the table")
            rows.extend(_decode_row(row, epoch) for row in page.rows)
            if not page.has_more or not page.rows:
                return Changes(tuple(rows), revision, store_s)
            start = page.rows[-1].key + "\0"

    async def wait_changes(self, table: str, revision: Revision, wait_s: float) -> Changes:
        """Wait for changes of a table by a long poll.

        :param table: its name
        :param revision: revision after which changes are wanted
        :param wait_s: seconds after which the store sends an empty response
        :return: the changes in order
        :raises HistoryGoneError: the store doesn't keep these changes, or not in this epoch
        :raises ConnectionLostError: there was no response
        :raises StoreError: there was no valid response
        """
        query = {"table": table, "sinceRevision": revision.number, "waitMs": round(1000 * wait_s)}
        page, epoch = await self._get("/rows-feed", query, wait_s + RESPONSE_ALLOWANCE_S, wait_s)
        if epoch != revision.epoch:
            raise HistoryGoneError("the requested changes are of another epoch")
        return _decode_page(page, epoch)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally.

        :param table: its table
        :param key: its key
        :param value: its new value
        :raises StoreError: it may not have been written
        """
        answer = await self._post(Transaction("", table, writes={key: value}))
        if answer.status != STATUS_OK:
            raise StoreError(f"responded with status {answer.status}, expected {STATUS_OK}")

    async def read_row(self, table: str, part: str, key: str) -> Changes:
        """Read one row.

        :param table: its table
        :param part: its part
        :param key: its key
        :return: the row, or no rows if it doesn't exist
        :raises StoreError: there was no valid response
        """
        return await self.read_range(table, part, key, key + "\0", 1)

    async def read_range(
        self, table: str, part: str, start: str, end: str, limit: int = PAGE_ROWS
    ) -> Changes:
        """Read rows of a range of keys.

        :param table: their table
        :param part: their part
        :param start: first key
        :param end: key before which the range ends
        :param limit: maximum number of rows
        :return: the first rows of the range
        :raises StoreError: there was no valid response
        """
        query = {"table": table, "part": part, "from": start, "to": end, "limit": limit}
        page, epoch = await self._get("/rows-get", query, READ_TIMEOUT_S)
        return _decode_page(page, epoch)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply changes if their conditions hold.

        :param transaction: the changes
        :return: whether they were applied
        :raises ResponseLostError: they may have been applied, or may be later
        :raises StoreError: they were not applied and won't be
        """
        answer = await self._post(transaction)
        if answer.status not in (STATUS_OK, STATUS_CONFLICT):
            message = f"responded with status {answer.status}, expected {STATUS_OK}"
            if answer.status < SERVER_ERROR or answer.status in NOT_APPLIED:
                raise StoreError(message)
            raise ResponseLostError(message)
        try:
            page = _RESULT_DECODER.decode(answer.body)
        except DecodeError as error:
            raise ResponseLostError(f"response can't be decoded: {error}") from error
        epoch = _read_epoch(answer, self.epoch or 0)
        return TransactionResult(answer.status == STATUS_OK, _decode_page(page, epoch))

    async def _post(self, transaction: Transaction) -> HttpResponse:
        headers = (("Content-Type", "application/json"),)
        request = HttpRequest("POST", "/rows-tx", headers, transaction.encode())
        try:
            answer = await self._client.send(request, READ_TIMEOUT_S)
        except RequestNotSentError as error:
            raise StoreError(str(error)) from error
        except HttpError as error:
            raise ResponseLostError(str(error)) from error
        try:
            self._observe_epoch(answer)
        except StoreError as error:
            raise ResponseLostError(str(error)) from error
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    def _observe_epoch(self, answer: HttpResponse) -> int:
        known = self.epoch
        # without the header, responses can only be distinguished by their revisions
        epoch = _read_epoch(answer, known or 0)
        if known is None or epoch > known:
            self.epoch = epoch
        if known is not None and epoch > known:
            _LOGGER.warning("store restored", extra={"epoch": epoch, "previous": known})
            for callback in self._subscribers:
                callback()
        return epoch

    async def _get(
        self, path: str, query: dict[str, object], limit_s: float, wait_s: float = 0.0
    ) -> tuple[_WireRows, int]:
        request = HttpRequest("GET", f"{path}?{urlencode(query)}")
        try:
            answer = await self._client.send(request, limit_s, wait_s + READ_TRANSFER_LIMIT_S)
        except HttpError as error:
            raise ConnectionLostError(str(error), closed=error.closed) from error
        epoch = self._observe_epoch(answer)
        if answer.status == STATUS_GONE:
            raise HistoryGoneError("the requested changes are no longer kept")
        if answer.status != STATUS_OK:
            raise StoreError(f"responded with status {answer.status}, expected {STATUS_OK}")
        try:
            return _ROWS_DECODER.decode(answer.body), epoch
        except DecodeError as error:
            raise StoreError(f"response can't be decoded: {error}") from error


def _read_epoch(answer: HttpResponse, default: int) -> int:
    text = answer.headers.get(HEADER_EPOCH, "")
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS):
        raise StoreError(f"{HEADER_EPOCH}: expected a number, found {text[:MAX_EPOCH_DIGITS]!r}")
    return int(text)


def _read_store_clock(page: _WireRows | _WireResult) -> float | None:
    return None if page.now_ms is None else page.now_ms / 1000


def _decode_page(page: _WireRows | _WireResult, epoch: int) -> Changes:
    rows = tuple(_decode_row(row, epoch) for row in page.rows)
    return Changes(rows, Revision(epoch, page.ver), _read_store_clock(page))


def _decode_row(row: _WireRow, epoch: int) -> StoreRow:
    revision = Revision(epoch, row.ver)
    if row.deleted:
        return StoreRow(row.key, None, revision)
    try:
        return StoreRow(row.key, base64.b64decode(row.value, validate=True), revision)
    except ValueError:
        # the decoders of the value reject empty bytes like any other malformed value
        return StoreRow(row.key, b"", revision)


__all__ = [
    "Changes",
    "ConnectionLostError",
    "HistoryGoneError",
    "ResponseLostError",
    "StoreClient",
    "StoreError",
    "StoreRow",
    "Transaction",
    "TransactionResult",
]
