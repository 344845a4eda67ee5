"""In-memory transactional table."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence

from basilroad.coordination.table import ABSENT, Changes, Row, Write, WriteResult

MAX_ROW_STATES = 1000
"""States kept in the history of one row; older ones are discarded."""


class InMemoryTable:
    """Rows with one global revision and a history per row."""

    def __init__(self) -> None:
        self.revision = 0
        # Ordered by the last write of each key, so that recent changes are found from the end.
        self._histories: dict[str, list[Row]] = {}
        self._keys: list[str] = []

    def read(self, key: str, revision: int) -> Row | None:
        """Look up a row.

        :param key: path of the row
        :param revision: global revision to read at
        :return: the row at that revision; ``None`` if absent
        """
        row = self._find(key, revision)
        return row if row is not None and row.value is not None else None

    def scan(self, prefix: str, revision: int) -> tuple[Row, ...]:
        """Look up the rows below a prefix.

        :param prefix: prefix of the keys
        :param revision: global revision to read at
        :return: the rows at that revision, ordered by key
        """
        rows = (self.read(key, revision) for key in self._list_keys(prefix))
        return tuple(row for row in rows if row is not None)

    def list_changes(self, prefix: str, since: int, revision: int) -> Changes:
        """Look up the rows below a prefix that were written after a revision.

        :param prefix: prefix of the keys
        :param since: only rows written after this revision
        :param revision: global revision to read at
        :return: the newest state of each such row, including deleted ones, oldest first
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
        """Look up the history of a row.

        :param key: path of the row
        :return: its kept states, oldest first, including deletions
        """
        return tuple(self._histories.get(key, ()))

    def commit(self, writes: Sequence[Write], *, atomic: bool) -> tuple[WriteResult, ...]:
        """Write several rows in one transaction with one revision.

        :param writes: the writes, at most one per key
        :param atomic: whether one failed condition rejects all writes
        :return: one result for each write, in order
        :raises ValueError: two writes have the same key
        """
        if len({write.key for write in writes}) < len(writes):
            raise ValueError("duplicate key in one commit")
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

    def restore(self, revision: int) -> None:
        """Go back to a revision, as if a copy of that time was put in place of the table.

        Later states are lost, and their revisions are given out again.

        :param revision: global revision of the copy
        """
        kept = {
            key: [row for row in states if row.revision <= revision]
            for key, states in self._histories.items()
        }
        by_last_write = sorted(
            ((key, states) for key, states in kept.items() if states),
            key=lambda each: each[1][-1].revision,
        )
        self._histories = dict(by_last_write)
        self._keys = sorted(self._histories)
        self.revision = min(self.revision, revision)

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
        del history[:-MAX_ROW_STATES]
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


__all__ = ["MAX_ROW_STATES", "InMemoryTable"]
