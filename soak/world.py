"""The deployment of one run: store, endpoints, links and gateways."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import attrs

from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from soak.link import Link
from soak.process import GatewayProcess
from soak.records import Record, Run
from soak.settings import DRAIN_S, SoakSettings

HOST = "soak.example"
APP, OTHER_APP, ENGINE = "app", "app-2", "llm"
SERVICES = (APP, OTHER_APP, ENGINE)
DATA_CENTRES = ("a", "b")
SLOTS = 16
EVENTS = 30
EVENT_GAP_S = 0.02
LAPSE_S = 1.5
"""Seconds after its death at which an endpoint is not listed any more."""

LEAVE_S = 0.5
"""Seconds beyond the time to leave after which an endpoint ends."""

KEYS = 6
"""Keys at the start; two are never taken away."""


@attrs.define
class Endpoint:
    """One endpoint, through all its lives at one address.

    :param number: which one
    :param service: its service
    :param server: its present life
    :param link: how gateways reach it
    """

    number: int
    service: str
    server: AppServerStandin
    link: Link
    lives: list[AppServerStandin] = attrs.field(factory=list)
    busy: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def data_centre(self) -> str:
        """:return: one of two; each service has endpoints in both."""
        return DATA_CENTRES[self.number // len(SERVICES) % len(DATA_CENTRES)]


class World:
    """Builds the deployment and changes it.

    :param settings: the run
    :param folder: for settings and logs
    """

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self.settings = settings
        self.record = Record(events=EVENTS)
        self.store = RowStoreStandin()
        self.store_links: list[Link] = []
        self.gateways: list[GatewayProcess] = []
        self.endpoints: list[Endpoint] = []
        self.keys = {f"key-{number}": f"workspace-{number % 3}" for number in range(KEYS)}
        self._folder = folder
        self._version = 0
        self._moved_to = APP

    async def start(self) -> None:
        """Start everything; the store holds a config and all entries."""
        await self.store.start()
        for number in range(len(SERVICES) * self.settings.endpoints):
            await self._add_endpoint(number, SERVICES[number % len(SERVICES)])
        self.write_config()
        for number in range(self.settings.gateways):
            link = Link(self.store.port)
            await link.start()
            self.store_links.append(link)
            gateway = GatewayProcess(number, _choose_ip(number), self._folder, link.port)
            gateway.start()
            self.gateways.append(gateway)

    async def close(self) -> None:
        """End everything, and collect what the endpoints ran."""
        for gateway in self.gateways:
            await gateway.end()
        for endpoint in self.endpoints:
            await endpoint.link.close()
            await endpoint.server.stop()
            for life in endpoint.lives:
                self.record.runs += [Run(life.id, endpoint.service, run) for run in life.runs]
        for link in self.store_links:
            await link.close()
        await self.store.stop()

    def heal(self) -> None:
        """End all faults that last."""
        self.store.refusing = 0
        self.store.silent = False
        for link in [*self.store_links, *(endpoint.link for endpoint in self.endpoints)]:
            link.heal()
        for endpoint in self.endpoints:
            endpoint.server.faults.clear()

    # endpoints

    async def crash(self, number: int, away_s: float) -> None:
        """End an endpoint at once; another one starts at its address.

        :param number: which one
        :param away_s: seconds in between
        """
        endpoint = self.endpoints[number]
        async with endpoint.busy:
            dead = endpoint.server
            await dead.stop()
            endpoint.link.reset()
            await asyncio.sleep(away_s)
            await self._begin_life(endpoint, dead.port)
            await asyncio.sleep(max(0.0, LAPSE_S - away_s))
            self.store.put("servers", dead.id, None)

    async def drain(self, number: int) -> None:
        """Let an endpoint leave; another one starts beside it.

        :param number: which one
        """
        endpoint = self.endpoints[number]
        async with endpoint.busy:
            leaving, link = endpoint.server, endpoint.link
            self._list(endpoint, state="draining")
            self.record.endpoint_left[leaving.id] = time.monotonic()
            endpoint.link = Link(0)
            await self._begin_life(endpoint, 0)
            await asyncio.sleep(DRAIN_S + LEAVE_S)
            self.store.put("servers", leaving.id, None)
            await leaving.stop()
            await link.close()

    async def _add_endpoint(self, number: int, service: str) -> None:
        endpoint = Endpoint(number, service, AppServerStandin(), Link(0))
        self.endpoints.append(endpoint)
        await self._begin_life(endpoint, 0)

    async def _begin_life(self, endpoint: Endpoint, port: int) -> None:
        life = AppServerStandin(f"i-{endpoint.number}-{len(endpoint.lives)}")
        if endpoint.service == ENGINE:
            life.events, life.event_interval_s = EVENTS, EVENT_GAP_S
        await life.start(port)
        endpoint.server = life
        endpoint.lives.append(life)
        if not endpoint.link.port:
            endpoint.link = Link(life.port)
            await endpoint.link.start()
        self._list(endpoint)

    def _list(self, endpoint: Endpoint, state: str = "ready") -> None:
        entry = {
            "service": endpoint.service,
            "address": f"127.0.0.1:{endpoint.link.port}",
            "zone": endpoint.data_centre,
            "slots": SLOTS,
            "state": state,
        }
        self.store.put("servers", endpoint.server.id, entry)

    # config

    def take_key(self, number: int) -> None:
        """Take a key away from callers that go on using it.

        :param number: which one
        """
        if len(self.keys) <= 2:
            return
        key = sorted(self.keys)[number % len(self.keys)]
        del self.keys[key]
        self.write_config()
        self.record.key_taken[key] = time.monotonic()

    def move_route(self) -> None:
        """Move a route to the other service."""
        self._moved_to = OTHER_APP if self._moved_to == APP else APP
        self.write_config()

    def write_config(self) -> None:
        """Write the config as it is wanted now."""
        self._version += 3
        workspaces: dict[str, list[str]] = {}
        for key, workspace in self.keys.items():
            workspaces.setdefault(workspace, []).append(key)
        base = {"host": HOST, "timeoutMs": 4000, "sloMs": 800, "priority": 1}
        look = {"kind": "idempotent", "maxAttempts": 3}
        stream = {"kind": "streaming", "maxAttempts": 6, "resumable": True}
        routes = [
            {**base, "name": "o", "prefix": "/o/", "kind": "non_idempotent", "service": APP},
            {**base, **look, "name": "l", "prefix": "/l/", "service": APP},
            {**base, **look, "name": "m", "prefix": "/m/", "service": self._moved_to},
            {**base, **stream, "name": "s", "prefix": "/s/", "service": ENGINE},
        ]
        engine = {"slots": SLOTS, "kvCapacity": 88000, "backups": True}
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": APP}, {"name": OTHER_APP}, {"name": ENGINE, "engine": engine}],
            "tenants": [{"name": name, "apiKeys": keys} for name, keys in workspaces.items()],
        }
        self.store.put("op", "config", config)
        moves = self.record.moves
        if not moves or moves[-1][1] != self._moved_to:
            # the first one holds from the start
            moves.append((time.monotonic() if moves else 0.0, self._moved_to))


def _choose_ip(number: int) -> str:
    # runs beside each other must not share addresses, as ports are the same on all gateways
    high, low = divmod(os.getpid() % (250 * 250), 250)
    return f"127.{high + 1}.{low + 1}.{number + 1}"


__all__ = ["HOST", "World"]
