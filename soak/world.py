"""The deployment of one run: store, endpoints, links and gateways."""

from __future__ import annotations

import asyncio
import functools
import os
import random
import socket
import time
from collections.abc import Sequence
from pathlib import Path

import attrs

from basilroad.standin.appserver import ALL_RESPONSES, AppServerStandin
from basilroad.standin.port import hold_port
from basilroad.standin.promptcache import PromptPart
from basilroad.standin.rowstore import RowStoreStandin
from soak.link import Link
from soak.process import GatewayProcess
from soak.records import Limit, Pause, Record, Run, ServingTime
from soak.releaseschedule import FIRST_VERSION
from soak.settings import DRAIN_S, SoakSettings
from soak.storewriter import CONFIG_ROW, StoreWriter

HOST = "soak.example"
APP, OTHER_APP, ENGINE = "app", "app-2", "llm"
SERVICES = (APP, OTHER_APP, ENGINE)
DATA_CENTRES = ("a", "b")
SLOTS = 16
STREAM_EVENTS = 30
EVENT_INTERVAL_S = 0.02
FETCHING = {"kvTokenBytes": 100000, "linkMbps": 25000}
"""Config of engines that fetch prompts from each other, four times as fast as they read them."""

UNREGISTER_DELAY_S = 1.5
"""Seconds after its crash at which an endpoint is removed from the store."""

DRAIN_MARGIN_S = 0.5
"""Seconds after the drain time at which an endpoint stops."""

UNLISTED_LEAVING_S = 2.0
"""Seconds for which an endpoint that leaves without changing its entry continues after that."""

BACKENDS = 200
"""Number of the address of store, endpoints and links, beyond those of gateways. With an address of
its own, no other process takes the port of an endpoint that is down; ``World`` holds it against its
own listeners."""

KEY_COUNT = 6
"""Number of API keys at the start; two are never revoked."""


@attrs.define
class Endpoint:
    """One endpoint and the server instances that have run as it.

    :param number: number of the endpoint
    :param service: service of the endpoint
    :param server: current instance
    :param link: proxy through which gateways reach it
    :param instances: all instances, in order of their start
    :param busy: held during a crash or drain
    :param version: software version of the instances that start
    :param serving: when its current instance serves
    :param name_reused_at: when its name was given to another instance last
    """

    number: int
    service: str
    server: AppServerStandin
    link: Link
    instances: list[AppServerStandin] = attrs.field(factory=list)
    busy: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    version: int = FIRST_VERSION
    serving: ServingTime | None = None
    name_reused_at: float = 0.0

    @property
    def data_centre(self) -> str:
        """:return: one of two data centres; each service has endpoints in both."""
        return DATA_CENTRES[self.number // len(SERVICES) % len(DATA_CENTRES)]


class World:
    """The deployment of a run, and the operations that change it.

    :param settings: settings of the run
    :param folder: directory of settings and logs
    """

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self.settings = settings
        self.record = Record(events=STREAM_EVENTS)
        self._ip = _choose_ip(BACKENDS)
        self.store = RowStoreStandin(self._ip)
        self.writer = StoreWriter(self.store, random.Random(f"rows {settings.seed}"))
        self.store_links: list[Link] = []
        self.gateways: list[GatewayProcess] = []
        self.endpoints: list[Endpoint] = []
        self.keys = {f"key-{number}": f"workspace-{number % 3}" for number in range(KEY_COUNT)}
        self._folder = folder
        self._version = 0
        self._moved_to_service = APP
        self._copying: asyncio.Future[None] | None = None
        self._port_holders: list[socket.socket] = []

    async def start(self) -> None:
        """Start everything; the store holds config and endpoints before the gateways start."""
        await self.store.start()
        for number in range(len(SERVICES) * self.settings.endpoints):
            await self._add_endpoint(number, SERVICES[number % len(SERVICES)])
        for number in self.settings.list_released_engines():
            await self._add_endpoint(number, ENGINE)
        self.write_config()
        self._copying = asyncio.ensure_future(self.writer.keep_copies())
        for number in range(self.settings.gateways):
            link = Link(self.store.port, self._ip)
            await link.start()
            self.store_links.append(link)
            gateway = GatewayProcess(number, _choose_ip(number), self._folder, link)
            gateway.start()
            self.gateways.append(gateway)

    async def close(self) -> None:
        """Stop everything, and record which requests the endpoints ran."""
        if self._copying is not None:
            self._copying.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for endpoint in self.endpoints:
            await endpoint.link.close()
            await endpoint.server.stop()
            for instance in endpoint.instances:
                self._record_instance(endpoint, instance)
        for link in self.store_links:
            await link.close()
        await self.store.stop()
        for holder in self._port_holders:
            holder.close()

    def _record_instance(self, endpoint: Endpoint, instance: AppServerStandin) -> None:
        record, name, service = self.record, instance.id, endpoint.service
        record.runs += [Run(name, service, run) for run in instance.runs]
        record.prompt_loads += instance.prompts.loads
        record.reached += [
            Run(name, service, seen)
            for seen in instance.seen
            if seen.headers.get("x-expect-instance") == name
        ]
        record.pauses += [
            Pause(name, endpoint.number, request, float(text)) for request, text in instance.paused
        ]

    def heal(self) -> None:
        """End all faults that are still in effect."""
        self.store.refusing = 0
        self.store.silent = False
        for link in [*self.store_links, *(endpoint.link for endpoint in self.endpoints)]:
            link.heal()
        for endpoint in self.endpoints:
            endpoint.server.faults.clear()

    # endpoints

    async def crash(
        self, number: int, downtime_s: float, version: int = 0, *, keeps_name: bool = False
    ) -> None:
        """Crash an endpoint; a new instance starts at its address.

        :param number: number of the endpoint
        :param downtime_s: seconds between crash and start
        :param version: software version of the new instance; 0 for the same
        :param keeps_name: whether it has the name of the one that crashed
        """
        endpoint = self.endpoints[number]
        async with endpoint.busy:
            dead = endpoint.server
            endpoint.version = version or endpoint.version
            _end_serving(endpoint)
            await dead.stop()
            endpoint.link.reset()
            await asyncio.sleep(downtime_s)
            if keeps_name:
                endpoint.name_reused_at = time.monotonic()
            await self._start_instance(endpoint, dead.port, dead.id if keeps_name else "")
            await asyncio.sleep(max(0.0, UNREGISTER_DELAY_S - downtime_s))
            if not keeps_name:
                self.writer.put("servers", dead.id, None)

    async def drain(self, number: int, version: int = 0) -> None:
        """Drain an endpoint; a new instance starts at another address.

        :param number: number of the endpoint
        :param version: software version of the new instance; 0 for the same
        """
        endpoint = self.endpoints[number]
        async with endpoint.busy:
            leaving, link = endpoint.server, endpoint.link
            endpoint.version = version or endpoint.version
            _end_serving(endpoint)
            self._register(endpoint, state="draining")
            self.record.draining_since[leaving.id] = time.monotonic()
            endpoint.link = Link(0, self._ip)
            await self._start_instance(endpoint, 0)
            await asyncio.sleep(DRAIN_S + DRAIN_MARGIN_S)
            self.writer.put("servers", leaving.id, None)
            await leaving.stop()
            await link.close()

    async def leave(self, number: int) -> None:
        """Let an endpoint leave that says so in its responses only; a new instance starts.

        :param number: number of the endpoint
        """
        endpoint = self.endpoints[number]
        async with endpoint.busy:
            leaving, link = endpoint.server, endpoint.link
            leaving.leaving_in = ALL_RESPONSES
            _end_serving(endpoint)
            endpoint.link = Link(0, self._ip)
            await self._start_instance(endpoint, 0)
            await asyncio.sleep(DRAIN_S + DRAIN_MARGIN_S + UNLISTED_LEAVING_S)
            self.writer.put("servers", leaving.id, None)
            await leaving.stop()
            await link.close()

    async def name_limit(self, number: int, per_s: float, length_s: float) -> None:
        """Let an endpoint name a limit for a time, unless it names one.

        :param number: number of the endpoint
        :param per_s: requests a second
        :param length_s: seconds
        """
        endpoint, began = self.endpoints[number], time.monotonic()
        server = endpoint.server
        if server.limit:
            return
        server.limit = f"{per_s:g}"
        await asyncio.sleep(length_s)
        server.limit = ""
        reused_at = endpoint.name_reused_at
        ended = reused_at if reused_at > began else time.monotonic()
        self.record.limits.append(Limit(server.id, number, per_s, began, ended))

    async def _add_endpoint(self, number: int, service: str) -> None:
        endpoint = Endpoint(number, service, AppServerStandin(), Link(0, self._ip))
        self.endpoints.append(endpoint)
        await self._start_instance(endpoint, 0)

    async def _start_instance(self, endpoint: Endpoint, port: int, name: str = "") -> None:
        name = name or f"i-{endpoint.number}-{len(endpoint.instances)}"
        # it continues the count of starts, by which gateways distinguish it from the one before it
        starts = len(endpoint.instances)
        version = f"v{endpoint.version}"
        instance = AppServerStandin(name, ip=self._ip, version=version, starts=starts)
        if endpoint.service == ENGINE:
            instance.events, instance.event_interval_s = STREAM_EVENTS, EVENT_INTERVAL_S
            instance.prompts.find_holders = functools.partial(self._find_holders, version)
        await instance.start(port or self._hold_port())
        endpoint.server = instance
        endpoint.instances.append(instance)
        if not endpoint.link.port:
            endpoint.link = Link(instance.port, self._ip)
            await endpoint.link.start()
        self._register(endpoint)
        serves = version if endpoint.service == ENGINE else ""
        endpoint.serving = ServingTime(endpoint.number, serves, time.monotonic())
        self.record.serving.append(endpoint.serving)

    def _hold_port(self) -> int:
        """:return: a port that no link and no other endpoint gets in this run."""
        holder = hold_port(self._ip)
        self._port_holders.append(holder)
        return int(holder.getsockname()[1])

    def _find_holders(self, version: str, prompt: Sequence[PromptPart]) -> tuple[str, ...]:
        """:return: names of the engines of a version that have a prompt in their caches."""
        instances = (one for endpoint in self.endpoints for one in endpoint.instances)
        return tuple(
            one.id for one in instances if one.version == version and one.prompts.keeps(prompt)
        )

    def _register(self, endpoint: Endpoint, state: str = "ready") -> None:
        address = f"{endpoint.link.ip}:{endpoint.link.port}"
        entry = endpoint.server.build_entry(
            endpoint.service,
            address=address,
            zone=endpoint.data_centre,
            slots=SLOTS,
            state=state,
        )
        self.writer.put("servers", endpoint.server.id, entry)

    # config

    async def revoke_key(self, number: int) -> None:
        """Revoke an API key, unless only two are left; callers continue to use it.

        :param number: chooses the key
        """
        if len(self.keys) <= 2:
            return
        key = sorted(self.keys)[number % len(self.keys)]
        del self.keys[key]
        self.write_config()
        await self.writer.wait_acknowledged(CONFIG_ROW)
        self.record.key_revoked_at[key] = time.monotonic()

    def move_route(self) -> None:
        """Move the route to the other service."""
        self._moved_to_service = OTHER_APP if self._moved_to_service == APP else APP
        self.write_config()

    def write_config(self) -> None:
        """Write the current config to the store."""
        self._version += 3
        workspaces: dict[str, list[str]] = {}
        for key, workspace in self.keys.items():
            workspaces.setdefault(workspace, []).append(key)
        base = {"host": HOST, "timeoutMs": 4000, "sloMs": 800, "priority": 1}
        idempotent = {"kind": "idempotent", "maxAttempts": 3}
        stream = {"kind": "streaming", "maxAttempts": 6, "resumable": True}
        routes = [
            {**base, "name": "o", "prefix": "/o/", "kind": "non_idempotent", "service": APP},
            {**base, **idempotent, "name": "l", "prefix": "/l/", "service": APP},
            {**base, **idempotent, "name": "m", "prefix": "/m/", "service": self._moved_to_service},
            {**base, **stream, "name": "s", "prefix": "/s/", "service": ENGINE},
        ]
        engine = {"slots": SLOTS, "kvCapacity": 88000, "backups": True, **FETCHING}
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": APP}, {"name": OTHER_APP}, {"name": ENGINE, "engine": engine}],
            "tenants": [{"name": name, "apiKeys": keys} for name, keys in workspaces.items()],
        }
        self.writer.put(*CONFIG_ROW, config)
        route_moves = self.record.route_moves
        if not route_moves or route_moves[-1][1] != self._moved_to_service:
            # the first assignment applies from the start of the run
            route_moves.append((time.monotonic() if route_moves else 0.0, self._moved_to_service))


def _end_serving(endpoint: Endpoint) -> None:
    if endpoint.serving is not None:
        endpoint.serving.ended = time.monotonic()


def _choose_ip(number: int) -> str:
    # concurrent runs must not share addresses, as all gateways use the same ports
    high, low = divmod(os.getpid() % (250 * 250), 250)
    return f"127.{high + 1}.{low + 1}.{number + 1}"


__all__ = ["HOST", "World"]
