"""Optional capabilities of tables that settings use."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from basilroad.coordination.table import Row, Table


class ClosableTable(Table, Protocol):
    """A table that holds connections."""

    async def close(self) -> None:
        """Close all connections."""


@runtime_checkable
class HistoryTable(Protocol):
    """A table that also provides the history of a row."""

    async def read_history(self, key: str) -> tuple[Row, ...]:
        """:return: all versions of a row, oldest first, including deletions.

        :raises TableError: the table did not answer
        """


__all__ = ["ClosableTable", "HistoryTable"]
