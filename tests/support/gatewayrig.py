"""One gateway of the users' platform in the test's process, and requests to it as bytes."""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path

import aiohttp
import attrs
from yarl import URL

from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.shutdown import SHUTDOWN_RESERVE_S
from basilroad.gateway.streams.durations import StreamDurations
from basilroad.peers.address import Address
from basilroad.platform.run import PlatformService
from basilroad.platform.settings import Bounds, ProcessSettings, StoreAccess
from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import find_free_port
from support.turnclock import TurnLoop

CONFIGURE_TURN_S = 0.01
CONFIGURE_TURNS = 300
"""Turns of the event loop, which gateway and store share, until a config is in force."""

HEADERS = {"Host": "h.example", "X-Attempt-Id": "c1", "X-Key": "key", "X-Deadline-Ms": "2000"}


def build_config(version: int, *keys: str, timeout_ms: int = 2000) -> dict[str, object]:
    base = {"host": "h.example", "timeoutMs": timeout_ms, "sloMs": 500, "priority": 1}
    orders = {**base, "name": "o", "prefix": "/o/", "kind": "non_idempotent", "service": "app"}
    streams = {
        **base,
        "name": "s",
        "prefix": "/s/",
        "kind": "streaming",
        "service": "llm",
        "maxAttempts": 5,
        "resumable": True,
    }
    engine = {"slots": 48, "kvCapacity": 88000, "backups": True}
    return {
        "version": version,
        "routes": [orders, streams],
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": {"maxBodyBytes": 10000},
        "tenants": [{"name": "tenant", "apiKeys": list(keys)}],
    }


class GatewayRig:
    """One gateway with its store and two servers, all on loopback."""

    def __init__(self) -> None:
        self.store = RowStoreStandin()
        self.app = AppServerStandin("i-app")
        self.llm = AppServerStandin("i-llm", events=10)

    async def start(self) -> None:
        await self.store.start()
        for server, service in ((self.app, "app"), (self.llm, "llm")):
            await server.start()
            self.store.put("servers", server.id, server.build_entry(service))
        self.service = PlatformService(self._build_settings(), Path("absent"))
        # the stand-in's streams are short
        self.service.gateway.stream_durations = StreamDurations(mean_s=0.5, events=10, event_s=0.01)
        await self.service.start()
        self.url = f"http://{self.service.settings.front}"
        self.session = aiohttp.ClientSession()

    def _build_settings(self) -> ProcessSettings:
        return ProcessSettings(
            host="h",
            role="gateway",
            place=Locality("a", "r", {"a": "r"}),
            front=Address("127.0.0.1", find_free_port()),
            ready=Address("127.0.0.1", find_free_port()),
            metrics=Address("127.0.0.1", find_free_port()),
            peers=None,
            bounds=Bounds(2.5, 3.0, 2.5, 2.0, 0.8, 10, 150, 4.0),
            store=StoreAccess(Address("127.0.0.1", self.store.port)),
        )

    async def configure(self, version: int, *keys: str, timeout_ms: int = 2000) -> None:
        self.store.put("op", "config", build_config(version, *keys, timeout_ms=timeout_ms))
        for _ in range(CONFIGURE_TURNS):
            if self.version == version and list(self.service.gateway.directory):
                return
            await asyncio.sleep(CONFIGURE_TURN_S)
        raise TimeoutError(f"version {version} is not in force")

    @property
    def version(self) -> int:
        table = self.service.gateway.table
        return table.version if table else 0

    async def send_request(
        self, path: str, body: bytes = b"x", **headers: str
    ) -> aiohttp.ClientResponse:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        response = await self.session.post(
            URL(self.url + path, encoded=True), data=body, headers={**HEADERS, **named}
        )
        await response.read()
        return response

    async def is_ready(self) -> bool:
        url = f"http://{self.service.settings.ready}/readiness"
        async with self.session.get(url) as response:
            return response.status == 200

    async def stop(self) -> None:
        await self.session.close()
        await self.service.stop()
        for server in (self.app, self.llm):
            await server.stop()
        await self.store.stop()


def shorten_grace(rig: GatewayRig, limit_s: float = 1.5) -> float:
    """Set a short grace period.

    :param rig: the gateway
    :param limit_s: time limit of its calls during a stop, in seconds
    :return: this limit
    """
    gateway = rig.service.gateway
    gateway.settings = attrs.evolve(gateway.settings, grace_s=SHUTDOWN_RESERVE_S + limit_s)
    return limit_s


async def open_kept_connection(
    rig: GatewayRig, number: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and complete one order on it.

    :param rig: the gateway
    :param number: distinguishes the order
    :return: the connection, which the gateway keeps open
    """
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    writer.write(build_order(f"first-{number}"))
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    assert length is not None
    await reader.readexactly(int(length[1]))
    return reader, writer


async def send_on_kept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
) -> bytes:
    """Send an order on a kept connection.

    :param reader: the connection
    :param writer: the same
    :param request_id: id of the order
    :return: what came back until the connection was closed; empty without a response
    """
    try:
        writer.write(build_order(request_id))
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def build_order(request_id: str) -> bytes:
    """:return: an order as bytes."""
    headers = {**HEADERS, "X-Attempt-Id": request_id, "Content-Length": "4"}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /o/1 HTTP/1.1\r\n{head}\r\nbody".encode()


async def stop_after(rig: GatewayRig, event: asyncio.Event) -> None:
    """Stop a gateway once its signal is handled.

    :param rig: the gateway
    :param event: set by the handler of the signal
    """
    await event.wait()
    await rig.service.stop()


def block_event_loop(length_s: float) -> None:
    """Do nothing else for a while, as on a host without processor time."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, TurnLoop):
        loop.skip(length_s)
    else:
        time.sleep(length_s)


__all__ = [
    "HEADERS",
    "GatewayRig",
    "block_event_loop",
    "build_config",
    "build_order",
    "open_kept_connection",
    "send_on_kept",
    "shorten_grace",
    "stop_after",
]
