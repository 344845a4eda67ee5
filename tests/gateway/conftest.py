"""Fixtures: a gateway and stand-in servers on loopback."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from basilroad.gateway.dispatch.dispatcher import SWEEP_INTERVAL_S
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.platform.protocol import PlatformProtocol
from basilroad.standin.appserver import AppServerStandin
from builders import PLACE, build_entry, build_table

StartServer = Callable[..., Awaitable[AppServerStandin]]


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    """:return: a gateway with a configuration and no endpoints, its timers running."""
    gateway = Gateway(GatewaySettings("host", PLACE), PlatformProtocol(), LowestRandom())
    gateway.apply_table(build_table())
    gateway.freshness.confirm(gateway.freshness.clock())
    timers = asyncio.ensure_future(_run_timers(gateway))
    yield gateway
    timers.cancel()


class LowestRandom(random.Random):
    """Removes randomness from endpoint selection, so that only locality decides."""

    def uniform(self, a: float, b: float) -> float:
        """:return: the lower bound."""
        return min(a, b)


async def _run_timers(gateway: Gateway) -> None:
    while True:
        gateway.sweep()
        gateway.liveness.check()
        await asyncio.sleep(SWEEP_INTERVAL_S)


@pytest.fixture
async def start_server(gateway: Gateway) -> AsyncIterator[StartServer]:
    """:return: function that starts a stand-in server and lists it at the gateway."""
    servers: list[AppServerStandin] = []

    async def start(
        name: str,
        *,
        service: str = "app",
        data_centre: str = "riga-a",
        software: str = "v1",
        lists_start: bool = True,
        **options: object,
    ) -> AppServerStandin:
        server = AppServerStandin(name, **options)  # type: ignore[arg-type]
        await server.start()
        servers.append(server)
        gateway.directory.put(
            build_entry(
                name,
                port=server.port,
                service=service,
                data_centre=data_centre,
                slots=48,
                started_ms=server.born if lists_start else 0,
                version=software,
            )
        )
        return server

    yield start
    for endpoint in gateway.directory:
        endpoint.pending.drop()
    for server in servers:
        await server.stop()
