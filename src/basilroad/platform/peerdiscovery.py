"""Peer discovery between gateways through the platform's store."""

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

GATEWAYS_TABLE = "gateways"

READ_INTERVAL_S = 30.0
"""Interval between reads of the table; gossip also spreads peer addresses, and requests to the
store are billed."""

RETRY_INTERVAL_S = 1.0
"""Interval between attempts while the store is unavailable."""

FIRST_READ_DELAY_S = 2.0
"""Delay of the first read after a gateway has registered; gateways that start at the same time have
registered by then."""

_LOGGER = logging.getLogger(__name__)


class PeerDiscovery(Service):
    """Registers this gateway's address in the store and reads those of its peers.

    :param store: the platform's store
    :param host: name of this host
    :param address: address on which it receives datagrams
    :param gossip: receives the addresses of the peers
    """

    def __init__(self, store: StoreClient, host: str, address: Address, gossip: Gossip) -> None:
        super().__init__()
        self._store = store
        self._host = host
        self._address = address
        self._gossip = gossip

    @Service.task
    async def _register_and_poll(self) -> None:
        registered = False
        while not self.should_stop:
            try:
                if not registered:
                    await self._store.put(GATEWAYS_TABLE, self._host, str(self._address).encode())
                    registered = True
                    await asyncio.sleep(FIRST_READ_DELAY_S)
                await self._read()
            except StoreError as error:
                _LOGGER.info("roster not reached", extra={"detail": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                await asyncio.sleep(READ_INTERVAL_S * random.uniform(0.8, 1.2))

    async def _read(self) -> None:
        rows = (await self._store.read_table(GATEWAYS_TABLE)).rows
        found = []
        for row in rows:
            try:
                found.append(parse_address((row.value or b"").decode()))
            except ValueError as error:
                _LOGGER.warning("peer skipped", extra={"peer": row.key, "detail": str(error)})
        self._gossip.add_peers(found)


__all__ = ["PeerDiscovery"]
