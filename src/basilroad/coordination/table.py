"""Interface of the transactional table that the coordination primitives require."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

ABSENT = 0
"""Expected revision of a row that must not exist yet."""


@attrs.frozen
class Row:
    """One row as stored in the table.

    :param key: path of the row, with ``/`` between its parts
    :param value: JSON text; ``None`` for a row that was deleted
    :param revision: the table's global revision at the last write of this row
    :param author: process that last wrote it
    """

    key: str
    value: str | None
    revision: int
    author: str = ""


@attrs.frozen
class Write:
    """One conditional write.

    :param key: path of the row
    :param value: JSON text; ``None`` deletes the row
    :param expected: revision that the row must have; ``ABSENT`` for none, ``None`` for any
    :param author: process that writes
    """

    key: str
    value: str | None
    expected: int | None = None
    author: str = ""


@attrs.frozen
class WriteResult:
    """Result of one conditional write.

    :param done: whether the write took effect
    :param row: the row after the write; ``None`` if there is none
    """

    done: bool
    row: Row | None


@attrs.frozen
class Changes:
    """Rows written since a revision.

    :param revision: the table's global revision at the time of the read
    :param rows: latest state of each changed row, oldest first
    """

    revision: int
    rows: tuple[Row, ...]


class TableError(Exception):
    """The table did not answer a request successfully."""


class TableUnavailableError(TableError):
    """The table could not be reached; nothing was written."""


class TableUnknownError(TableError):
    """The answer was lost; the write may have taken effect."""


class Table(Protocol):
    """Transactional table with one global revision."""

    async def read(self, key: str) -> Row | None:
        """:return: the row, or ``None``.

        :raises TableError: the table did not answer
        """

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """:return: all rows below a prefix, by key.

        :raises TableError: the table did not answer
        """

    async def changes(self, prefix: str, since: int) -> Changes:
        """:return: rows below a prefix written after revision ``since``, deleted ones included.

        :raises TableError: the table did not answer
        """

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        """Write several rows in one transaction.

        :param writes: the writes; keys must be unique
        :param atomic: whether one failed condition rolls back all of them
        :return: one result per write, in order
        :raises TableUnavailableError: nothing was written
        :raises TableUnknownError: it is not known whether anything was written
        """


__all__ = [
    "ABSENT",
    "Changes",
    "Row",
    "Table",
    "TableError",
    "TableUnavailableError",
    "TableUnknownError",
    "Write",
    "WriteResult",
]
