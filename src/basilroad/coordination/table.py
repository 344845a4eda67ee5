"""What the coordination parts ask of a transactional table."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

ABSENT = 0
"""Expected revision of a row that must not be there yet."""


@attrs.frozen
class Row:
    """One row as the table holds it.

    :param key: path of the row, with ``/`` between its parts
    :param value: JSON text; ``None`` for a row that was deleted
    :param revision: the table's global revision at the last write of this row
    :param author: who wrote it last
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
    :param author: who writes
    """

    key: str
    value: str | None
    expected: int | None = None
    author: str = ""


@attrs.frozen
class WriteResult:
    """Result of one conditional write.

    :param done: whether the write took effect
    :param row: the row as it stands afterwards; ``None`` if there is none
    """

    done: bool
    row: Row | None


@attrs.frozen
class Changes:
    """Rows written after a revision.

    :param revision: the table's global revision when this was read
    :param rows: the newest state of each changed row, oldest first
    """

    revision: int
    rows: tuple[Row, ...]


class TableError(Exception):
    """The table did not answer as asked."""


class TableUnavailableError(TableError):
    """The table could not be asked; nothing was written."""


class TableUnknownError(TableError):
    """The answer was lost; the write may have taken effect."""


class Table(Protocol):
    """A transactional table with one global revision."""

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

        :param writes: the writes, no key twice
        :param atomic: whether one failed condition undoes all of them
        :return: one result for each write, in order
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
