"""Builders shared by the gateway tests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from basilroad.gateway.calls.call import Call, PromptSize
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.registry.endpoint import EndpointEntry, EndpointState
from basilroad.gateway.route import (
    EngineLimits,
    RetrySafety,
    Route,
    RoutingTable,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
)
from basilroad.peers.address import Address

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Headers

PLACE = Locality("riga-a", "riga", {"riga-a": "riga", "riga-b": "riga", "kurzeme-a": "kurzeme"})
ENGINE = EngineLimits(slots=48, memory_tokens=88_000, supports_kv_backup=True)


def build_route(**changes: object) -> Route:
    """:return: a route of a plain service with overrides."""
    values: dict[str, object] = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "targets": (WeightedService("app", 1),),
        "retry_safety": RetrySafety.ALLOWED,
        "timeout_s": 2.0,
        "latency_target_s": 0.5,
        "attempts_limit": 2,
        "rank": 1,
    }
    return Route(**{**values, **changes})  # type: ignore[arg-type]


def build_stream_route(**changes: object) -> Route:
    """:return: a route of resumable streams with overrides."""
    values: dict[str, object] = {
        "targets": (WeightedService("llm", 1),),
        "streams": True,
        "latency_target_s": 4.0,
        "timeout_s": 25.0,
        "attempts_limit": 5,
    }
    return build_route(**{**values, **changes})


def build_call(route: Route | None = None, **changes: object) -> Call:
    """:return: a call that has just arrived, with overrides."""
    route = route or build_route()
    now = time.monotonic()
    values: dict[str, object] = {
        "id": "c1",
        "method": "POST",
        "target": "/a/x?y=1",
        "headers": (("Host", "h.example"), ("X-Attempt-Id", str(changes.get("id", "c1")))),
        "body": b"body",
        "route": route,
        "service": route.targets[0].service,
        "workspace": "w",
        "rank": route.rank,
        "arrived_at": now,
        "expires_at": now + route.timeout_s,
        "size": PromptSize(8000, 1000) if route.streams else PromptSize(),
    }
    return Call(**{**values, **changes})  # type: ignore[arg-type]


def build_entry(
    name: str = "e1",
    *,
    port: int = 1,
    service: str = "app",
    data_centre: str = "riga-a",
    slots: int = 6,
    state: EndpointState = EndpointState.READY,
    started_ms: int = 1,
    version: str = "v1",
) -> EndpointEntry:
    """:return: an entry of an endpoint on loopback."""
    address = Address("127.0.0.1", port)
    return EndpointEntry(name, service, address, data_centre, slots, state, started_ms, version)


def build_table(version: int = 1, *routes: Route) -> RoutingTable:
    """:return: a configuration with one key."""
    services = [ServiceSpec("app"), ServiceSpec("llm", engine=ENGINE)]
    found = routes or (build_route(), build_stream_route(prefix="/s/"))
    return RoutingTable(version, found, services, [WorkspaceSpec("w", ("key",))])


class RecordingResponder:
    """Records the response that a caller would receive."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.data = b""

    async def begin(self, status: int, headers: Headers) -> None:
        """Record the head of a response."""
        assert not self.status, "a response starts only once"
        self.status, self.headers = status, headers

    async def write(self, data: bytes) -> None:
        """Record part of a response."""
        assert self.status, "a response starts before its parts"
        self.data += data

    @property
    def numbers(self) -> list[int]:
        """:return: ids of the events, in order."""
        lines = self.data.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]
