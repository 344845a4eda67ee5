"""Record that the store has settled after a restore, for gateways that start."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from basilroad.coordination.decoding import DecodeError, JsonDecoder
from basilroad.platform.store import StoreError

if TYPE_CHECKING:
    from basilroad.platform.store import StoreClient

RESTORES_TABLE = "restores"
SETTLED_KEY = "settled"

WRITE_SPREAD_S = 0.1
"""Time over which gateways spread the write, as each takes the store some milliseconds and all that
read the store settle at once; all of them may be stopped soon after it."""

RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0
"""Limits of the backoff while the store is unavailable; without the record, only starts take
longer."""

_LOGGER = logging.getLogger(__name__)


class _Row(msgspec.Struct):
    """The record.

    :param epoch: epoch in which the store has settled
    """

    epoch: int


_ROW_DECODER = JsonDecoder(_Row)


class RestoreRecord(Service):
    """Keeps in the store itself the epoch in which it has settled.

    A gateway that starts can't know how long ago the last restore was. A copy holds the record of
    an earlier epoch, so that one of the present epoch was written after the restore.

    :param store: the platform's store
    """

    def __init__(self, store: StoreClient) -> None:
        super().__init__()
        self._store = store
        self._epoch = 0
        self._written_epoch = 0
        self._changed = asyncio.Event()

    def record_settled(self, epoch: int) -> None:
        """Have the record written unless it is known to be there.

        :param epoch: epoch in which the store has settled
        """
        if epoch > max(self._epoch, self._written_epoch):
            self._epoch = epoch
            self._changed.set()

    async def has_settled(self, epoch: int) -> bool:
        """Ask the store whether it has settled.

        :param epoch: its present epoch
        :return: whether a gateway has seen it settle in this epoch
        """
        try:
            changes = await self._store.read_row(RESTORES_TABLE, "", SETTLED_KEY)
            epochs = [_ROW_DECODER.decode(row.value or b"").epoch for row in changes.rows]
        except (StoreError, DecodeError) as error:
            _LOGGER.info("restore record not read", extra={"detail": str(error)})
            return False
        if changes.revision.epoch != epoch or epoch not in epochs:
            return False
        self._written_epoch = epoch
        return True

    @Service.task
    async def _write_changes(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.should_stop:
            await self._changed.wait()
            await asyncio.sleep(WRITE_SPREAD_S * random.random())
            epoch = self._epoch
            try:
                # another gateway may have written it meanwhile
                if not await self.has_settled(epoch):
                    row = msgspec.json.encode(_Row(epoch))
                    await self._store.put(RESTORES_TABLE, SETTLED_KEY, row)
                    self._written_epoch = epoch
            except StoreError as error:
                _LOGGER.info("restore record not written", extra={"detail": str(error)})
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, 2 * pause_s)
                continue
            pause_s = RETRY_MIN_S
            if epoch == self._epoch:
                self._changed.clear()
                _LOGGER.info("restore record written", extra={"epoch": epoch})


__all__ = ["RESTORES_TABLE", "SETTLED_KEY", "RestoreRecord"]
