"""Gateways of the users' platform in the test's process before engines that keep prompts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import attrs

from basilroad.clocks import read_boot_clock
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.shutdown import SHUTDOWN_RESERVE_S
from basilroad.gateway.streams.durations import StreamDurations
from basilroad.peers.address import Address
from basilroad.platform.run import PlatformService
from basilroad.platform.settings import Bounds, ProcessSettings, StoreAccess
from basilroad.standin.appserver import AppServerStandin, ReceivedRequest
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import name_ip
from support.streamcaller import MAX_TRIES, RETRY_PAUSE_S, StreamCaller, Try
from support.timelimit import limit_time

ENGINES = 3
GATEWAYS = 3
EVENTS = 200
EVENT_INTERVAL_S = 0.02
"""With ``EVENTS`` a stream takes 4 s."""

STOP_S = 1.0
"""Time limit of calls in a planned stop, at which streams are cut."""

CUT_AFTER_EVENTS = 15
"""Events after which a stream is cut; several gossip intervals have passed then."""

PROMPT_TOKENS = 8000
"""Tokens of a prompt, whose prefill takes an engine longer than any preference of gateways."""

CROWD = 7
"""Streams at an engine that outweigh the preferences of a gateway, but not the prefill of a prompt
of ``PROMPT_TOKENS``."""

TIMEOUT_S = 20.0
KEYS = {"tenant": "key", "other-tenant": "other-key"}
"""Keys of two workspaces."""

FIRST_GATEWAY_IP = 100
LISTED_LIMIT_S = 5.0


def build_prompt_config(*, can_fetch: bool = True) -> dict[str, object]:
    """Build a config.

    :param can_fetch: whether engines can fetch prompts from each other
    """
    route = {
        "name": "s",
        "host": "h.example",
        "prefix": "/s/",
        "timeoutMs": round(1000 * TIMEOUT_S),
        "sloMs": 2000,
        "priority": 1,
        "kind": "streaming",
        "service": "llm",
        "maxAttempts": 5,
        "resumable": True,
    }
    engine: dict[str, object] = {"slots": 48, "kvCapacity": 88000}
    if can_fetch:
        engine |= {"kvTokenBytes": 100000, "linkMbps": 25000}
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "llm", "engine": engine}],
        "limits": {"maxBodyBytes": 10000},
        "tenants": [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()],
    }


class PromptFleet:
    """Gateways that exchange gossip before engines that keep prompts.

    :param can_fetch: whether engines can fetch prompts from each other
    """

    def __init__(self, *, can_fetch: bool = True) -> None:
        self.store = RowStoreStandin()
        self.engines = [
            AppServerStandin(
                f"i-{n}", events=EVENTS, event_interval_s=EVENT_INTERVAL_S, ip=name_ip(n)
            )
            for n in range(ENGINES)
        ]
        self.gateways: list[PlatformService] = []
        self.skipped_s = 0.0
        self._config = build_prompt_config(can_fetch=can_fetch)
        self._numbers = itertools.count(1)
        self._hosts = itertools.count(0)
        self._sent: list[asyncio.Future[Try]] = []

    async def start(self, gateways: int = GATEWAYS) -> None:
        await self.store.start()
        self.store.put("op", "config", self._config)
        for engine in self.engines:
            await engine.start()
            self.list_engine(engine)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        for _ in range(gateways):
            await self.add_gateway()

    async def stop(self) -> None:
        for sent in self._sent:
            sent.cancel()
        await self.session.close()
        await asyncio.gather(*(self.kill(gateway) for gateway in list(self.gateways)))
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    # engines

    def list_engine(self, engine: AppServerStandin) -> None:
        """Put an engine into the store as it is now."""
        self.store.put("servers", engine.id, engine.build_entry("llm", slots=48))

    def unlist_engine(self, engine: AppServerStandin) -> None:
        """Remove an engine from the store."""
        self.store.put("servers", engine.id, None)

    async def wait_listed(self, engine: AppServerStandin) -> None:
        """Wait until all gateways know the current start and version of an engine."""
        async with limit_time(LISTED_LIMIT_S):
            while not all(_knows(gateway, engine) for gateway in self.gateways):
                await asyncio.sleep(0.02)

    async def wait_unlisted(self, engine: AppServerStandin) -> None:
        """Wait until no gateway knows an engine."""
        async with limit_time(LISTED_LIMIT_S):
            while any(g.gateway.directory.get(engine.id) for g in self.gateways):
                await asyncio.sleep(0.02)

    def set_full(self, *engines: AppServerStandin, is_full: bool = True) -> None:
        """Let all gateways take engines for full."""
        for gateway in self.gateways:
            for engine in engines:
                known = gateway.gateway.directory.get(engine.id)
                assert known is not None
                known.full_until = float("inf") if is_full else 0.0

    def list_others(self, engine: AppServerStandin) -> list[AppServerStandin]:
        """:return: all engines but one."""
        return [other for other in self.engines if other is not engine]

    def find_engine(self, caller: StreamCaller) -> AppServerStandin:
        """:return: the engine that made the last event of a stream."""
        run = caller.events[-1].run
        return next(engine for engine in self.engines if run.startswith(f"{engine.id}/"))

    def count_read(self) -> int:
        """:return: prompt tokens that all engines have read."""
        return sum(engine.prompts.tokens_read for engine in self.engines)

    def list_fetches(self) -> list[ReceivedRequest]:
        """:return: requests that named an engine to fetch the prompt from."""
        return [run for engine in self.engines for run in engine.seen if "kv-fetch" in run.headers]

    # gateways

    async def add_gateway(self) -> PlatformService:
        """Start a gateway and wait until all know each other and the engines."""
        service = PlatformService(self._build_settings(next(self._hosts)), Path("absent"))
        service.gateway.stream_durations = StreamDurations(mean_s=0.5, events=10, event_s=0.01)
        service.gateway.dispatcher.prompt_locations._clock = self._read_clock
        service.gateway.prompts.clock = self._read_clock
        await service.start()
        self.gateways.append(service)
        async with limit_time(LISTED_LIMIT_S):
            while not self._are_acquainted():
                self._introduce()
                await asyncio.sleep(0.02)
        return service

    def skip(self, length_s: float) -> None:
        """Let time pass for what gateways know of prompts.

        :param length_s: seconds
        """
        self.skipped_s += length_s

    async def stop_planned(self, *gateways: PlatformService) -> None:
        """Stop gateways as by SIGTERM, all at once."""
        await self._end(STOP_S, gateways)

    async def _end(self, limit_s: float, gateways: Sequence[PlatformService]) -> None:
        for service in gateways:
            gateway = service.gateway
            gateway.settings = attrs.evolve(gateway.settings, grace_s=SHUTDOWN_RESERVE_S + limit_s)
        await asyncio.gather(*(gateway.stop() for gateway in gateways))
        self.gateways = [gateway for gateway in self.gateways if gateway not in gateways]

    async def kill(self, *gateways: PlatformService) -> None:
        """End gateways at once, without a datagram to the others."""
        for service in gateways:
            assert service.gossip is not None
            service.gossip.close()
        await self._end(0.0, gateways)

    def _read_clock(self) -> float:
        return read_boot_clock() + self.skipped_s

    def _are_acquainted(self) -> bool:
        hosts = {gateway.settings.host for gateway in self.gateways}
        return all(
            gateway.gossip is not None
            and hosts <= {*gateway.gossip.list_live_peers(), gateway.settings.host}
            and len(list(gateway.gateway.directory)) >= ENGINES
            for gateway in self.gateways
        )

    def _introduce(self) -> None:
        addresses = [g.settings.peers for g in self.gateways if g.settings.peers is not None]
        for gateway in self.gateways:
            assert gateway.gossip is not None
            gateway.gossip.add_peers(addresses)

    def _build_settings(self, number: int) -> ProcessSettings:
        ip = name_ip(FIRST_GATEWAY_IP + number)
        return ProcessSettings(
            host=f"h{number}",
            role="gateway",
            place=Locality("a", "r", {"a": "r"}),
            front=Address(ip, 8001),
            ready=Address(ip, 8002),
            metrics=Address(ip, 8003),
            peers=Address(ip, 8004),
            bounds=Bounds(2.5, 3.0, 2.5, 2.0, 0.8, 10, 150, 4.0),
            store=StoreAccess(Address("127.0.0.1", self.store.port)),
        )

    # callers

    def add_caller(self, number: int = 0) -> StreamCaller:
        """Add a caller of a stream.

        :param number: distinguishes its prompt; 0 for one that nobody has
        """
        number = number or next(self._numbers)
        return StreamCaller(self.session, number, EVENTS, deadline_s=TIMEOUT_S)

    async def send(self, caller: StreamCaller, gateway: PlatformService, **headers: str) -> Try:
        """Send the request of a caller once.

        :param caller: the caller
        :param gateway: the gateway
        :param headers: headers that differ, with underscores for hyphens
        """
        prompt = {
            "X_Token_Usage": f"{PROMPT_TOKENS},50",
            "X_Prompt_Prefix": f"{caller.number:08x}:{PROMPT_TOKENS}",
        }
        return await caller.send(f"http://{gateway.settings.front}", **{**prompt, **headers})

    async def begin(
        self, gateway: PlatformService, count: int = 1, **headers: str
    ) -> list[StreamCaller]:
        """Begin streams at a gateway and wait for the events after which they may be cut.

        :param gateway: the gateway
        :param count: number of streams, each with a prompt of its own
        :param headers: as in ``send``
        """
        callers = [self.add_caller() for _ in range(count)]
        for caller in callers:
            self._sent.append(asyncio.ensure_future(self.send(caller, gateway, **headers)))
        async with limit_time(TIMEOUT_S):
            while not all(len(caller.events) >= CUT_AFTER_EVENTS for caller in callers):
                await asyncio.sleep(0.01)
        return callers

    async def crowd(self, gateway: PlatformService, engine: AppServerStandin) -> None:
        """Run so many short prompts at an engine that a gateway prefers others to it.

        :param gateway: the gateway
        :param engine: the engine
        """
        others = self.list_others(engine)
        self.set_full(*others)
        await self.begin(gateway, CROWD, X_Token_Usage="10,50", X_Prompt_Prefix="")
        self.set_full(*others, is_full=False)

    async def begin_at(
        self, gateway: PlatformService, engine: AppServerStandin, count: int = 1
    ) -> list[StreamCaller]:
        """Begin streams at an engine, as ``begin`` does at any."""
        others = self.list_others(engine)
        self.set_full(*others)
        callers = await self.begin(gateway, count)
        self.set_full(*others, is_full=False)
        return callers

    async def wait_cut(self, callers: list[StreamCaller]) -> None:
        """Wait until the first requests of callers have ended before their streams were whole."""
        async with limit_time(TIMEOUT_S):
            while not all(caller.tries for caller in callers):
                await asyncio.sleep(0.01)
        assert not any(caller.is_whole for caller in callers)

    async def take_up(self, gateway: PlatformService, *callers: StreamCaller) -> None:
        """Let callers take their streams up at a gateway, all at once, until they are whole."""
        await asyncio.gather(*(self._take_up(gateway, caller) for caller in callers))

    async def _take_up(self, gateway: PlatformService, caller: StreamCaller) -> None:
        for _ in range(MAX_TRIES):
            ended = await self.send(caller, gateway)
            if caller.is_whole:
                return
            await asyncio.sleep(max(RETRY_PAUSE_S, ended.retry_after_s))


def _knows(gateway: PlatformService, engine: AppServerStandin) -> bool:
    known = gateway.gateway.directory.get(engine.id)
    return known is not None and (known.entry.started_ms, known.entry.version) == (
        engine.born,
        engine.version,
    )


__all__ = ["KEYS", "PROMPT_TOKENS", "PromptFleet"]
