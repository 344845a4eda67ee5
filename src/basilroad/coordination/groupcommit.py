"""Service that gathers single writes into few commits."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Sequence

import attrs
from mode import Service

from basilroad.coordination.table import (
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)

logger = logging.getLogger(__name__)


@attrs.frozen
class GroupCommitSettings:
    """Settings of the group commit.

    :param batch_s: seconds for which writes are gathered
    :param batch_limit: most writes of one commit
    :param commits_limit: most commits under way at a time
    """

    batch_s: float = 0.01
    batch_limit: int = 100
    commits_limit: int = 4


@attrs.define(eq=False)
class _Pending:
    write: Write
    future: asyncio.Future[WriteResult]
    sent: bool = False


class GroupCommit(Service):
    """Commits writes in batches; each write succeeds or fails alone.

    :param table: table that is written
    :param settings: settings of the group commit
    """

    def __init__(self, table: Table, settings: GroupCommitSettings) -> None:
        super().__init__()
        self._table = table
        self._settings = settings
        self._waiting: deque[_Pending] = deque()
        self._wake = asyncio.Event()
        self._slots = asyncio.Semaphore(settings.commits_limit)
        self._commits: set[asyncio.Task[None]] = set()

    async def submit(self, write: Write, timeout_s: float) -> WriteResult:
        """Write one row with the next batch.

        :param write: the write
        :param timeout_s: seconds to wait for the result
        :return: the result
        :raises TableUnavailableError: nothing was written, nor will be
        :raises TableUnknownError: the write may have taken effect, or may yet
        """
        if self.should_stop:
            raise TableUnavailableError("the service has stopped")
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(write, future)
        self._waiting.append(pending)
        self._wake.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise _build_timeout(pending) from None

    async def on_stop(self) -> None:
        """End the commits under way and refuse the writes that wait."""
        commits = list(self._commits)
        for task in commits:
            task.cancel()
        await asyncio.gather(*commits, return_exceptions=True)
        while self._waiting:
            _fail([self._waiting.popleft()], TableUnavailableError("the service has stopped"))

    @Service.task
    async def _gather(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            await asyncio.sleep(self._settings.batch_s)
            await self._slots.acquire()
            batch = self._take_batch()
            task = asyncio.create_task(self._commit(batch))
            self._commits.add(task)
            task.add_done_callback(self._end_commit)

    def _end_commit(self, task: asyncio.Task[None]) -> None:
        self._commits.discard(task)
        self._slots.release()

    def _take_batch(self) -> list[_Pending]:
        batch: dict[str, _Pending] = {}
        left: deque[_Pending] = deque()
        while self._waiting and len(batch) < self._settings.batch_limit:
            pending = self._waiting.popleft()
            if pending.future.done():
                continue
            if pending.write.key in batch:
                left.append(pending)
                continue
            pending.sent = True
            batch[pending.write.key] = pending
        self._waiting.extendleft(reversed(left))
        if not self._waiting:
            self._wake.clear()
        return list(batch.values())

    async def _commit(self, batch: Sequence[_Pending]) -> None:
        if not batch:
            return
        try:
            results = await self._table.commit([pending.write for pending in batch])
        except TableError as error:
            _fail(batch, error)
        except asyncio.CancelledError:
            _fail(batch, TableUnknownError("the commit was cancelled"))
            raise
        except Exception as error:
            logger.exception("commit failed writes=%d", len(batch))
            _fail(batch, TableUnknownError(repr(error)))
        else:
            _resolve(batch, results)


def _build_timeout(pending: _Pending) -> TableError:
    if pending.sent:
        return TableUnknownError("no answer in time")
    return TableUnavailableError("not sent in time")


def _resolve(batch: Sequence[_Pending], results: Sequence[WriteResult]) -> None:
    for pending, result in zip(batch, results, strict=True):
        if not pending.future.done():
            pending.future.set_result(result)


def _fail(batch: Sequence[_Pending], error: TableError) -> None:
    for pending in batch:
        if not pending.future.done():
            pending.future.set_exception(error)


__all__ = ["GroupCommit", "GroupCommitSettings"]
