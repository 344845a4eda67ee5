"""Versions of streams, kept in the store for gateways that start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from mode import Service

from basilroad.clocks import read_boot_clock
from basilroad.gateway.versions.archive import (
    ArchiveRow,
    ArchiveUnavailableError,
    Committed,
    Conflict,
    MayCommit,
    NotCommitted,
    Outcome,
    RowChange,
)
from basilroad.platform.store import ResponseLostError, StoreError, Transaction
from basilroad.platform.watch import FIRST_EPOCH

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.gateway.gateway import Gateway
    from basilroad.platform.store import Changes, StoreClient

STREAMS_TABLE = "streams"

_LOGGER = logging.getLogger(__name__)


class StreamArchive(Service):
    """Keeps the versions of streams in the store, one part for each service.

    Nothing is read or written while all streams are of the base version.

    :param store: the platform's store
    :param gateway: gateway whose streams are kept
    """

    def __init__(self, store: StoreClient, gateway: Gateway) -> None:
        super().__init__()
        self._store = store
        self._versions = gateway.stream_versions
        self._keeper = gateway.stream_versions.keeper
        self._clock_offset_s: float | None = None
        self._keeper.attach(self, lambda: gateway.known_hosts)
        store.subscribe(self._prepare_repeat)

    def _prepare_repeat(self) -> None:
        # a restored store may have another clock, and may have lost rows
        self._clock_offset_s = None
        self._versions.repeat()

    @property
    def epoch(self) -> int:
        """:return: number that rises with each restore of the store from a copy."""
        return self._store.epoch or 0

    @property
    def was_restored(self) -> bool:
        """:return: whether the store was ever restored from a copy."""
        return self.epoch > FIRST_EPOCH

    @property
    def store_s(self) -> float | None:
        """:return: the store's clock in seconds; ``None`` if not known."""
        offset_s = self._clock_offset_s
        return None if offset_s is None else offset_s + read_boot_clock()

    async def read(self, service: str, key: str) -> ArchiveRow | None:
        """Read a row.

        :param service: its service
        :param key: its key
        :return: the row; ``None`` if it doesn't exist
        :raises ArchiveUnavailableError: there was no valid response
        """
        try:
            changes = await self._store.read_row(STREAMS_TABLE, service, key)
        except StoreError as error:
            raise ArchiveUnavailableError(str(error)) from error
        self._observe_clock(changes)
        return _collect_rows(changes).get(key)

    async def list_rows(self, service: str, start: str, end: str) -> list[tuple[str, ArchiveRow]]:
        """Read the first rows of a range.

        :param service: their service
        :param start: first key
        :param end: key before which the range ends
        :return: rows in the order of their keys; none at the end of the range
        :raises ArchiveUnavailableError: there was no valid response
        """
        try:
            changes = await self._store.read_range(STREAMS_TABLE, service, start, end)
        except StoreError as error:
            raise ArchiveUnavailableError(str(error)) from error
        self._observe_clock(changes)
        return list(_collect_rows(changes).items())

    async def write(self, service: str, changes: Sequence[RowChange]) -> Outcome:
        """Apply changes, all or none of them.

        :param service: service of the rows
        :param changes: the changes
        :return: their outcome
        """
        transaction = Transaction(
            service,
            STREAMS_TABLE,
            {change.key: change.expected for change in changes if change.expected is not None},
            {change.key: change.value for change in changes if change.value is not None},
            [change.key for change in changes if change.value is None],
        )
        try:
            result = await self._store.transact(transaction)
        except ResponseLostError as error:
            return MayCommit(str(error))
        except StoreError as error:
            return NotCommitted(str(error))
        self._observe_clock(result.changes)
        if result.applied:
            return Committed(result.changes.revision.number)
        return Conflict(_collect_rows(result.changes))

    def _observe_clock(self, changes: Changes) -> None:
        if changes.store_s is not None:
            self._clock_offset_s = changes.store_s - read_boot_clock()

    @Service.task
    async def _work(self) -> None:
        while not self.should_stop:
            await self._keeper.wait_work()
            try:
                await self._keeper.work()
            except Exception:
                # one service's rows must not end the work for the others
                _LOGGER.error("stream versions not kept", exc_info=True)
                await self.sleep(1.0)


def _collect_rows(changes: Changes) -> dict[str, ArchiveRow]:
    # a conflict may name rows that don't exist, with the number 0
    return {
        row.key: ArchiveRow(row.value, row.revision.number)
        for row in changes.rows
        if row.value is not None and row.revision.number
    }


__all__ = ["STREAMS_TABLE", "StreamArchive"]
