"""Mutual exclusion of suspect requests across all entries."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from typing import TYPE_CHECKING, Protocol

from basilroad.entry.identity import KEY_BYTES
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from basilroad.entry.generations.containment import Containment
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.generations.locationdirectory import LocationDirectory

HOLDER_TIMEOUT_S = 10.0
"""Age of a record at which its holder is considered lost."""

REFRESH_INTERVAL_S = 2.0
"""Interval at which the holder renews its record."""

POLL_INTERVAL_S = 0.2
"""Interval between attempts to acquire the record."""


class QuarantineContext(Protocol):
    """What the quarantine needs from the entry process.

    :param locations: stores the records
    :param containment: tracks which contents are suspect
    """

    locations: LocationDirectory
    containment: Containment


class Quarantine:
    """Allows one running request per suspect content.

    The record of a content is a counter: it is odd while an entry holds it.

    :param entry: the entry process
    """

    def __init__(self, entry: QuarantineContext) -> None:
        self.entry = entry

    @contextlib.asynccontextmanager
    async def hold(self, flight: Flight) -> AsyncIterator[None]:
        """Hold the lock for a suspect content; a no-op for other contents.

        Copies that were started before their entries knew of a death hold no lock, so the holder
        waits until none of them runs.

        :param flight: the request that is about to run
        :raises RefusedError: the content was classified as poison while waiting
        """
        fingerprint = flight.request.fingerprint
        if not self.entry.containment.is_suspect(fingerprint):
            yield
            return
        key = _build_key(fingerprint)
        number = await self._acquire(fingerprint, key)
        refresher = asyncio.ensure_future(self._refresh(key, number))
        try:
            await self._await_copies(flight)
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
            if free or (found is not None and found.age > HOLDER_TIMEOUT_S):
                number = known + 1 if free else known + 2
                record = _build_record(key, number)
                if await self.entry.locations.exchange(record, expected=known):
                    return number
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _await_copies(self, flight: Flight) -> None:
        fingerprint = flight.request.fingerprint
        while self.entry.containment.is_suspect(fingerprint):
            self.entry.containment.check(fingerprint)
            if not await self.entry.locations.find_copy(flight):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _refresh(self, key: bytes, number: int) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self.entry.locations.write(_build_record(key, number))


def _build_key(fingerprint: str) -> bytes:
    return hashlib.blake2b(b"alone/" + fingerprint.encode(), digest_size=KEY_BYTES).digest()


def _build_record(key: bytes, number: int) -> wire.Location:
    return wire.Location(key=key, attempt=number)


__all__ = ["Quarantine"]
