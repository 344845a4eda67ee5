"""In-memory table that can be unavailable, delay writes or lose responses."""

from __future__ import annotations

from collections.abc import Sequence

from basilroad.coordination.table import (
    Changes,
    Row,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)
from basilroad.standin.memorytable import InMemoryTable


class FakeTable:
    """In-memory table with injected faults.

    While ``unavailable``, every read and commit fails. The next ``lost_answers`` commits take
    effect, but their response is lost; the next ``delayed_writes`` commits are held until
    ``apply_delayed_writes``. ``competing_writes`` are committed by other writers right before the
    next commit.
    """

    def __init__(self) -> None:
        self.store = InMemoryTable()
        self.unavailable = False
        self.lost_answers = 0
        self.delayed_writes = 0
        self.competing_writes: list[Write] = []
        self.reads = 0
        self.commits = 0
        self._delayed: list[Sequence[Write]] = []

    def put(self, key: str, value: str | None, author: str = "") -> Row:
        self.store.commit([Write(key, value, author=author)], atomic=True)
        return self.store.list_history(key)[-1]

    def get(self, key: str) -> Row | None:
        return self.store.read(key, self.store.revision)

    def apply_delayed_writes(self) -> None:
        while self._delayed:
            self.store.commit(self._delayed.pop(0), atomic=True)

    async def read(self, key: str) -> Row | None:
        self._count_read()
        return self.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        self._count_read()
        return self.store.scan(prefix, self.store.revision)

    async def changes(self, prefix: str, since: int) -> Changes:
        self._count_read()
        return self.store.list_changes(prefix, since, self.store.revision)

    async def read_history(self, key: str) -> tuple[Row, ...]:
        self._count_read()
        return self.store.list_history(key)

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        if self.unavailable:
            raise TableUnavailableError("table unavailable")
        self.commits += 1
        while self.competing_writes:
            self.store.commit([self.competing_writes.pop(0)], atomic=True)
        if self.delayed_writes:
            self.delayed_writes -= 1
            self._delayed.append(writes)
            raise TableUnknownError("request lost")
        results = self.store.commit(writes, atomic=atomic)
        if self.lost_answers:
            self.lost_answers -= 1
            raise TableUnknownError("response lost")
        return results

    async def close(self) -> None:
        pass

    def _count_read(self) -> None:
        if self.unavailable:
            raise TableUnavailableError("table unavailable")
        self.reads += 1
