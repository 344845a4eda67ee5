"""A gateway that watches a stand-in store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from basilroad.clocks import read_boot_clock
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.peers.address import Address
from basilroad.platform.configwatch import ConfigWatch
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.serverswatch import ServersWatch
from basilroad.platform.staleness import StalenessBudget
from basilroad.platform.store import StoreClient
from basilroad.standin.rowstore import RowStoreStandin
from support.timelimit import limit_time

TIMEOUT_S = 5.0
DRAIN_S = 2.5
CONTACT_S = 4.0
SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "version": "v1",
    "born": 7,
}

BUDGET = StalenessBudget(CONTACT_S, DRAIN_S)

STARTED = {**SERVER, "born": 1000}
"""Entry of a server that reports when it started."""

NOBODY = Address("127.0.0.1", 1)
"""Address at which no gateway listens."""


def build_config(version: int, *keys: str) -> dict[str, object]:
    tenants = [{"name": "t", "apiKeys": list(keys)}]
    return {"version": version, "routes": [], "services": [], "tenants": tenants}


async def wait_until(check: Callable[[], bool]) -> None:
    async with limit_time(TIMEOUT_S):
        while not check():
            await asyncio.sleep(0.01)


class Rig:
    """A gateway that watches a stand-in store.

    :param budget: time limits of its watches
    :param host: its name, by which readers are ordered
    :param address: address at which others fetch its config; ``None`` to serve no other gateway
    """

    def __init__(
        self,
        budget: StalenessBudget = BUDGET,
        host: str = "h",
        address: Address | None = None,
    ) -> None:
        self.budget = budget
        self.host = host
        self.address = address
        self.store = RowStoreStandin()
        place = Locality("a", "r", {"a": "r"})
        self.gateway = Gateway(GatewaySettings(host, place), PlatformProtocol())

    async def start(self) -> None:
        await self.store.start()
        self.relay = Relay(self.host, read_boot_clock)
        self.exchange = ConfigExchange(self.address)
        self.client = StoreClient(f"http://127.0.0.1:{self.store.port}")
        self.watches = [
            ConfigWatch(self.client, self.gateway, self.relay, self.exchange, self.budget),
            ServersWatch(self.client, self.gateway, self.relay, self.budget),
        ]
        for service in (self.exchange, *self.watches):
            await service.start()

    async def stop(self) -> None:
        for service in (*self.watches, self.exchange):
            await service.stop()
        await self.client.close()
        await self.store.stop()

    @property
    def version(self) -> int:
        return self.gateway.table.version if self.gateway.table else 0


__all__ = [
    "BUDGET",
    "CONTACT_S",
    "DRAIN_S",
    "NOBODY",
    "SERVER",
    "STARTED",
    "Rig",
    "build_config",
    "wait_until",
]
