"""Messages between the platform and its clients."""

from __future__ import annotations

import attrs

from basilroad.coordination.table import Row, Write, WriteResult


@attrs.frozen
class KeyRequest:
    """Asks for one row, or for its history.

    :param key: path of the row
    """

    key: str


@attrs.frozen
class ScanRequest:
    """Asks for the rows below a prefix.

    :param prefix: leading text of the keys
    """

    prefix: str


@attrs.frozen
class ChangesRequest:
    """Asks for the rows below a prefix that were written after a revision.

    :param prefix: leading text of the keys
    :param since: the revision
    """

    prefix: str
    since: int


@attrs.frozen
class CommitRequest:
    """Asks to write rows in one transaction.

    :param writes: the writes, no key twice
    :param atomic: whether one failed condition undoes all of them
    """

    writes: tuple[Write, ...]
    atomic: bool = False


@attrs.frozen
class ReadAnswer:
    """One row.

    :param row: the row; ``None`` if there is none
    """

    row: Row | None


@attrs.frozen
class RowsAnswer:
    """Several rows.

    :param rows: the rows
    """

    rows: tuple[Row, ...]


@attrs.frozen
class CommitAnswer:
    """What became of a transaction.

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
