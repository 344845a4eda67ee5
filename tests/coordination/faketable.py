"""Clock and table that do as the tests tell them."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Sequence

from basilroad.coordination.table import (
    ABSENT,
    Changes,
    Row,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)


class FakeClock:
    """Clock that moves only when told."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds


class Fault(enum.Enum):
    """What the table does to one call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_UNDONE = "lost_undone"
    LOST_DONE = "lost_done"
    LOST_LATE = "lost_late"


class FakeTable:
    """Table in memory that fails as told.

    Each call takes the next fault of ``faults``; a fault ``LOST_LATE`` loses the answer and
    keeps the write until ``land``. While ``down``, nothing can be asked. ``on_commit`` is
    called before each write takes effect.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.faults: list[Fault] = []
        self.read_faults: list[Fault] = []
        self.down = False
        self.delay_s = 0.0
        self.commits: list[int] = []
        self.late: list[Sequence[Write]] = []
        self.on_commit = lambda: None

    async def read(self, key: str) -> Row | None:
        await self._meet(self.read_faults)
        return self.rows.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        await self._meet(self.read_faults)
        return tuple(row for key, row in sorted(self.rows.items()) if key.startswith(prefix))

    async def changes(self, prefix: str, since: int) -> Changes:
        rows = await self.scan(prefix)
        return Changes(self.revision, tuple(row for row in rows if row.revision > since))

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        assert len({write.key for write in writes}) == len(writes)
        assert not atomic
        self.commits.append(len(writes))
        fault = await self._meet(self.faults)
        if fault is Fault.LOST_UNDONE:
            raise TableUnknownError
        if fault is Fault.LOST_LATE:
            self.late.append(writes)
            raise TableUnknownError
        self.on_commit()
        results = tuple(self._apply(write) for write in writes)
        if fault is Fault.LOST_DONE:
            raise TableUnknownError
        return results

    def land(self) -> None:
        for writes in self.late:
            for write in writes:
                self._apply(write)
        self.late.clear()

    async def _meet(self, faults: list[Fault]) -> Fault:
        await asyncio.sleep(self.delay_s)
        fault = faults.pop(0) if faults else Fault.NONE
        if self.down or fault is Fault.UNAVAILABLE:
            raise TableUnavailableError
        return fault

    def _apply(self, write: Write) -> WriteResult:
        row = self.rows.get(write.key)
        found = ABSENT if row is None else row.revision
        if write.expected is not None and write.expected != found:
            return WriteResult(False, row)
        self.revision += 1
        if write.value is None:
            self.rows.pop(write.key, None)
            return WriteResult(True, None)
        row = Row(write.key, write.value, self.revision, write.author)
        self.rows[write.key] = row
        return WriteResult(True, row)
