"""Peer discovery between gateways through the platform's store."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from mode import Service

from basilroad.peers.address import parse_remote_address
from basilroad.platform.store import StoreError

if TYPE_CHECKING:
    from basilroad.gateway.exchange.gossip import Gossip
    from basilroad.peers.address import Address
    from basilroad.platform.store import StoreClient

GATEWAYS_TABLE = "gateways"

READ_INTERVAL_S = 90.0
"""Interval between reads of the table; gossip also spreads peer addresses, and requests to the
store are billed."""

RETRY_INTERVAL_S = 1.0
"""Interval between attempts while the store is unavailable."""

FIRST_READ_DELAY_S = 1.0
"""Delay of the first read after a gateway has registered; gateways that start at the same time have
registered by then, also on the slowest hosts."""

REGISTRATION_SPREAD_S = 1.0
"""Time over which gateways spread their registrations after a restore, as each write takes the
store some milliseconds."""

SEPARATOR = " "
"""Between address and data centre in a row."""

_LOGGER = logging.getLogger(__name__)


class PeerDiscovery(Service):
    """Registers this gateway's address in the store and reads those of its peers.

    A store that was restored may have lost the registration, so that it is repeated.

    :param store: the platform's store
    :param host: name of this host
    :param data_centre: data centre of this host
    :param address: address on which it receives datagrams
    :param gossip: receives the addresses of the peers
    """

    def __init__(
        self, store: StoreClient, host: str, data_centre: str, address: Address, gossip: Gossip
    ) -> None:
        super().__init__()
        self._store = store
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._gossip = gossip
        self._restored = asyncio.Event()
        store.subscribe(self._restored.set)

    @Service.task
    async def _register_and_poll(self) -> None:
        registered = False
        while not self.should_stop:
            try:
                if not registered:
                    self._restored.clear()
                    row = f"{self._address}{SEPARATOR}{self._data_centre}".encode()
                    await self._store.put(GATEWAYS_TABLE, self._host, row)
                    registered = True
                    await asyncio.sleep(FIRST_READ_DELAY_S)
                await self._read()
            except StoreError as error:
                _LOGGER.info("roster not reached", extra={"detail": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                registered = not await self._wait_for_restore()

    async def _wait_for_restore(self) -> bool:
        """Wait until the next read is due.

        :return: whether the store was restored and may have lost the registration
        """
        try:
            async with asyncio.timeout(READ_INTERVAL_S * random.uniform(0.8, 1.2)):
                await self._restored.wait()
        except TimeoutError:
            return False
        await asyncio.sleep(REGISTRATION_SPREAD_S * random.random())
        return True

    async def _read(self) -> None:
        rows = (await self._store.read_table(GATEWAYS_TABLE)).rows
        found: dict[str, tuple[Address, str]] = {}
        for row in rows:
            try:
                address, _, data_centre = (row.value or b"").decode().partition(SEPARATOR)
                found[row.key] = parse_remote_address(address), data_centre
            except ValueError as error:
                _LOGGER.warning("peer skipped", extra={"peer": row.key, "detail": str(error)})
        self._gossip.add_peers(address for address, _ in found.values())
        near = {host: at for host, (at, place) in found.items() if place == self._data_centre}
        self._gossip.record_registered(near)


__all__ = ["PeerDiscovery"]
