"""Lets gateways find each other through the platform's store."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from mode import Service

from basilroad.peers.address import parse_address
from basilroad.platform.store import StoreError

if TYPE_CHECKING:
    from basilroad.gateway.gossip import Gossip
    from basilroad.peers.address import Address
    from basilroad.platform.store import StoreClient

ROSTER_TABLE = "gateways"

READ_S = 30.0
"""Seconds between reads; peers also tell each other of peers, and calls are paid."""

RETRY_S = 1.0
"""Seconds between tries while the store is away."""

FIRST_READ_S = 2.0
"""Seconds after its start at which a gateway reads the table; those that start with it have
written by then."""

_LOGGER = logging.getLogger(__name__)


class PeerDiscovery(Service):
    """Writes where this gateway listens, and reads where the others do.

    :param store: the platform's store
    :param host: name of this host
    :param address: where it listens for datagrams
    :param gossip: learns of the others
    """

    def __init__(self, store: StoreClient, host: str, address: Address, gossip: Gossip) -> None:
        super().__init__()
        self._store = store
        self._host = host
        self._address = address
        self._gossip = gossip

    @Service.task
    async def _follow(self) -> None:
        written = False
        while not self.should_stop:
            try:
                if not written:
                    await self._store.put(ROSTER_TABLE, self._host, str(self._address).encode())
                    written = True
                    await asyncio.sleep(FIRST_READ_S)
                await self._read()
            except StoreError as error:
                _LOGGER.info("roster not reached", extra={"detail": str(error)})
                await asyncio.sleep(RETRY_S)
            else:
                await asyncio.sleep(READ_S * random.uniform(0.8, 1.2))

    async def _read(self) -> None:
        rows = (await self._store.read_table(ROSTER_TABLE)).rows
        found = []
        for row in rows:
            try:
                found.append(parse_address((row.value or b"").decode()))
            except ValueError as error:
                _LOGGER.warning("peer skipped", extra={"peer": row.key, "detail": str(error)})
        self._gossip.add_peers(found)


__all__ = ["PeerDiscovery"]
