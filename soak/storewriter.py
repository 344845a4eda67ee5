"""Writes of operator and servers to the store, and its return from an older copy."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque

import msgspec

from basilroad.standin.rowstore import RowStoreStandin, StoreCopy

CONFIG_ROW = ("op", "config")
COPY_INTERVAL_S = 0.25
KEPT_COPIES_S = 10.0
"""Seconds for which copies are kept, longer than the age of any that is restored."""

WRITTEN_AGAIN_S = 2.0
"""Seconds within which servers write again what a restore lost, as specified for the fleets."""

POLL_S = 0.01


class StoreWriter:
    """Writes rows, and writes them again after the store has lost them.

    :param store: the store
    :param generator: random generator that decides when servers write again
    """

    def __init__(self, store: RowStoreStandin, generator: random.Random) -> None:
        self._store = store
        self._random = generator
        self._newest: dict[tuple[str, str], bytes | None] = {}
        self._copies: deque[tuple[float, StoreCopy]] = deque(
            maxlen=round(KEPT_COPIES_S / COPY_INTERVAL_S)
        )
        self._away = asyncio.Lock()

    def put(self, table: str, key: str, value: object) -> None:
        """Write or delete a row; while the store is away, it is written on its return.

        :param table: table of the row
        :param key: key of the row
        :param value: stored as JSON; ``None`` deletes the row
        """
        data = None if value is None else msgspec.json.encode(value)
        self._newest[table, key] = data
        self._store.put(table, key, data)

    async def wait_acknowledged(self, row: tuple[str, str]) -> None:
        """Wait until the store has taken the newest value of a row.

        :param row: its table and key
        """
        while self._away.locked() or self._is_lost(row):
            await asyncio.sleep(POLL_S)

    async def keep_copies(self) -> None:
        """Take copies of the store until cancelled, except while it is away."""
        while True:
            if not self._away.locked():
                self._copies.append((time.monotonic(), self._store.take_copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore(
        self, away_s: float, age_s: float, config_after_s: float, *, silent: bool
    ) -> None:
        """Let the store go and return from a copy; then write again what it has lost.

        :param away_s: seconds for which the store is away
        :param age_s: age of the copy in seconds at the moment at which the store goes
        :param config_after_s: seconds from the return until the operator writes the config again
        :param silent: whether the store does not respond while it is away, else it rejects calls
        """
        store = self._store
        async with self._away:
            copy = self._drop_copies_after(time.monotonic() - age_s)
            store.break_off()
            store.silent |= silent
            store.refusing = 0 if silent else 503
            await asyncio.sleep(away_s)
            store.restore(copy)
            store.silent, store.refusing = False, 0
        await asyncio.gather(
            *(
                self._write_again(
                    row,
                    (
                        config_after_s
                        if row == CONFIG_ROW
                        else self._random.uniform(0.0, WRITTEN_AGAIN_S)
                    ),
                )
                for row in self._newest
                if self._is_lost(row)
            )
        )

    def _drop_copies_after(self, moment: float) -> StoreCopy:
        """:return: the newest copy from before a moment, or the oldest; later ones are dropped."""
        while len(self._copies) > 1 and self._copies[-1][0] > moment:
            self._copies.pop()
        return self._copies[-1][1]

    async def _write_again(self, row: tuple[str, str], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        # the store may be away once more
        async with self._away:
            if self._is_lost(row):
                self._store.put(*row, self._newest[row])

    def _is_lost(self, row: tuple[str, str]) -> bool:
        return self._store.get(*row) != self._newest[row]


__all__ = ["CONFIG_ROW", "StoreWriter"]
