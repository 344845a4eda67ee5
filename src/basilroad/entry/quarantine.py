"""One endpoint at a time for a request that may be poison, across all entries."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from typing import TYPE_CHECKING, Protocol

from basilroad.entry.identity import KEY_BYTES
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from basilroad.entry.containment import Containment
    from basilroad.entry.locationdirectory import LocationDirectory

STALE_S = 10.0
"""Age of a record at which its holder is taken for lost."""

REFRESH_S = 2.0
"""Seconds between writes by which the holder shows that it lives."""

POLL_S = 0.2
"""Seconds between tries to become the holder."""


class QuarantineContext(Protocol):
    """What the quarantine needs of its entry.

    :param locations: keeps the records
    :param containment: tells which contents are suspects
    """

    locations: LocationDirectory
    containment: Containment


class Quarantine:
    """Lets one suspect of each content run at a time.

    A record counts up: an odd number stands while somebody holds it.

    :param entry: the process
    """

    def __init__(self, entry: QuarantineContext) -> None:
        self.entry = entry

    @contextlib.asynccontextmanager
    async def hold(self, fingerprint: str) -> AsyncIterator[None]:
        """Hold the right to run a suspect; free for requests that are none.

        :param fingerprint: of the content that is about to run
        :raises RefusedError: it has turned out to be poison meanwhile
        """
        if not self.entry.containment.is_suspect(fingerprint):
            yield
            return
        key = _build_key(fingerprint)
        number = await self._acquire(fingerprint, key)
        refresher = asyncio.ensure_future(self._refresh(key, number))
        try:
            self.entry.containment.check(fingerprint)
            yield
        finally:
            refresher.cancel()
            self.entry.locations.write(_build_record(key, number + 1))

    async def _acquire(self, fingerprint: str, key: bytes) -> int:
        while True:
            self.entry.containment.check(fingerprint)
            found = await self.entry.locations.find(key)
            known = found.location.attempt if found is not None else 0
            free = found is None or known % 2 == 0
            if free or (found is not None and found.age > STALE_S):
                number = known + 1 if free else known + 2
                record = _build_record(key, number)
                if await self.entry.locations.exchange(record, expected=known):
                    return number
            await asyncio.sleep(POLL_S)

    async def _refresh(self, key: bytes, number: int) -> None:
        while True:
            await asyncio.sleep(REFRESH_S)
            self.entry.locations.write(_build_record(key, number))


def _build_key(fingerprint: str) -> bytes:
    return hashlib.blake2b(b"alone/" + fingerprint.encode(), digest_size=KEY_BYTES).digest()


def _build_record(key: bytes, number: int) -> wire.Location:
    return wire.Location(key=key, attempt=number)


__all__ = ["Quarantine"]
