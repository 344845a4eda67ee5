"""Transactional table in memory."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence

from basilroad.coordination.table import ABSENT, Changes, Row, Write, WriteResult

KEPT_ROWS = 1000
"""States of one row that its history keeps."""


class InMemoryTable:
    """Rows with one global revision, and the states that each row had."""

    def __init__(self) -> None:
        self.revision = 0
        # In the order of the last write of each key, so that changes are found from the end.
        self._histories: dict[str, list[Row]] = {}
        self._keys: list[str] = []

    def read(self, key: str, revision: int) -> Row | None:
        """Look up a row.

        :param key: path of the row
        :param revision: global revision to look at
        :return: the row as it was; ``None`` if there was none
        """
        row = self._find(key, revision)
        return row if row is not None and row.value is not None else None

    def scan(self, prefix: str, revision: int) -> tuple[Row, ...]:
        """Look up the rows below a prefix.

        :param prefix: leading text of the keys
        :param revision: global revision to look at
        :return: the rows as they were, by key
        """
        rows = (self.read(key, revision) for key in self._list_keys(prefix))
        return tuple(row for row in rows if row is not None)

    def list_changes(self, prefix: str, since: int, revision: int) -> Changes:
        """Look up the rows below a prefix that were written after a revision.

        :param prefix: leading text of the keys
        :param since: the revision
        :param revision: global revision to look at
        :return: the newest state of each such row, deleted ones included, oldest first
        """
        rows = []
        for key in reversed(self._histories):
            if self._histories[key][-1].revision <= since:
                break
            row = self._find(key, revision) if key.startswith(prefix) else None
            if row is not None and row.revision > since:
                rows.append(row)
        rows.sort(key=lambda row: (row.revision, row.key))
        return Changes(revision, tuple(rows))

    def list_history(self, key: str) -> tuple[Row, ...]:
        """Look up the states that a row had.

        :param key: path of the row
        :return: the states, oldest first, deletions included
        """
        return tuple(self._histories.get(key, ()))

    def commit(self, writes: Sequence[Write], *, atomic: bool) -> tuple[WriteResult, ...]:
        """Write several rows in one transaction, which gets one revision.

        :param writes: the writes, no key twice
        :param atomic: whether one failed condition undoes all of them
        :return: one result for each write, in order
        :raises ValueError: a key comes twice
        """
        if len({write.key for write in writes}) < len(writes):
            raise ValueError("a key comes twice")
        holds = [self._check(write) for write in writes]
        if atomic and not all(holds):
            holds = [False] * len(writes)
        for write in (write for write, held in zip(writes, holds, strict=True) if held):
            self._apply(write, self.revision + 1)
        if any(holds):
            self.revision += 1
        return tuple(
            WriteResult(held, self.read(write.key, self.revision))
            for write, held in zip(writes, holds, strict=True)
        )

    def _check(self, write: Write) -> bool:
        if write.expected is None:
            return True
        row = self.read(write.key, self.revision)
        return write.expected == (ABSENT if row is None else row.revision)

    def _apply(self, write: Write, revision: int) -> None:
        if write.value is None and self.read(write.key, self.revision) is None:
            return
        history = self._histories.pop(write.key, None)
        if history is None:
            history = []
            insort(self._keys, write.key)
        history.append(Row(write.key, write.value, revision, write.author))
        del history[:-KEPT_ROWS]
        self._histories[write.key] = history

    def _find(self, key: str, revision: int) -> Row | None:
        for row in reversed(self._histories.get(key, ())):
            if row.revision <= revision:
                return row
        return None

    def _list_keys(self, prefix: str) -> Iterator[str]:
        for index in range(bisect_left(self._keys, prefix), len(self._keys)):
            if not self._keys[index].startswith(prefix):
                return
            yield self._keys[index]


__all__ = ["KEPT_ROWS", "InMemoryTable"]
