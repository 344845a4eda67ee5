"""Messages between the platform and its clients."""

from __future__ import annotations

import attrs

from basilroad.coordination.table import Row, Write, WriteResult


@attrs.frozen
class KeyRequest:
    """Request for one row or its history.

    :param key: key of the row
    """

    key: str


@attrs.frozen
class ScanRequest:
    """Request for the rows below a prefix.

    :param prefix: prefix of the keys
    """

    prefix: str


@attrs.frozen
class ChangesRequest:
    """Request for the rows below a prefix that were written after a revision.

    :param prefix: prefix of the keys
    :param since: the revision
    """

    prefix: str
    since: int


@attrs.frozen
class CommitRequest:
    """Request to write rows in one transaction.

    :param writes: the writes, at most one per key
    :param atomic: whether one failed condition rolls back all of them
    """

    writes: tuple[Write, ...]
    atomic: bool = False


@attrs.frozen
class ReadAnswer:
    """Response with one row.

    :param row: the row; ``None`` if there is none
    """

    row: Row | None


@attrs.frozen
class RowsAnswer:
    """Response with several rows.

    :param rows: the rows
    """

    rows: tuple[Row, ...]


@attrs.frozen
class CommitAnswer:
    """Response with the results of a transaction.

    :param results: one result for each write, in order
    """

    results: tuple[WriteResult, ...]


__all__ = [
    "ChangesRequest",
    "CommitAnswer",
    "CommitRequest",
    "KeyRequest",
    "ReadAnswer",
    "RowsAnswer",
    "ScanRequest",
]
