"""Decoding of the operator's config and the server entries from the store."""

from __future__ import annotations

import logging
from typing import Annotated

import msgspec

from basilroad.coordination.decoding import JsonDecoder
from basilroad.gateway.registry.endpoint import EndpointEntry, EndpointState
from basilroad.gateway.route import (
    CallerLimits,
    EngineLimits,
    RetrySafety,
    Route,
    RoutingTable,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
)
from basilroad.peers.address import parse_remote_address

KIND_IDEMPOTENT = "idempotent"
KIND_STREAMING = "streaming"
MIN_SLOTS = 1  # assumed where an entry gives no usable number

_LOGGER = logging.getLogger(__name__)


class ConfigError(Exception):
    """A row of the store can't be decoded.

    :param detail: cause
    """


class _Split(msgspec.Struct, rename="camel"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float  # time to the full response, or to the first event of a stream
    max_attempts: int = 1  # endpoints that may execute a call, not connection attempts
    priority: int = 5
    public: bool = False
    resumable: bool = False
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity: int
    backups: bool = False
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]  # sent to other gateways
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET  # an empty list revokes all keys


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: str  # of the software, not of the weights
    # start of this instance in Unix milliseconds; a restarted server may reuse the id
    born: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]


_CONFIG_DECODER = JsonDecoder(_Config)
_SERVER_DECODER = JsonDecoder(_Server)


def decode_config(data: bytes) -> RoutingTable:
    """Decode the operator's config.

    :param data: JSON value of its row
    :return: the routing table
    :raises ConfigError: the value can't be decoded
    """
    try:
        return _build_table(_CONFIG_DECODER.decode(data))
    except Exception as error:
        # whatever is wrong with a row, it must not hold up the others
        raise ConfigError(str(error)) from error


def _build_table(config: _Config) -> RoutingTable:
    limits = config.limits
    return RoutingTable(
        config.version,
        [_build_route(route) for route in config.routes],
        [_build_service(service) for service in config.services],
        _build_workspaces(config.tenants),
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _build_workspaces(tenants: list[_Tenant] | msgspec.UnsetType) -> list[WorkspaceSpec] | None:
    if tenants is msgspec.UNSET:
        return None
    return [WorkspaceSpec(t.name, tuple(t.api_keys), t.priority) for t in tenants]


def decode_server(server_id: str, data: bytes) -> EndpointEntry:
    """Decode a server's entry.

    :param server_id: key of its row
    :param data: JSON value of its row
    :return: the entry
    :raises ConfigError: the value can't be decoded or describes no usable endpoint
    """
    try:
        server = _SERVER_DECODER.decode(data)
        return EndpointEntry(
            server_id,
            server.service,
            parse_remote_address(server.address),
            server.zone,
            max(MIN_SLOTS, server.slots),
            EndpointState(server.state),
            server.born,
            server.version,
        )
    except Exception as error:
        # whatever is wrong with a row, it must not hold up the others
        raise ConfigError(str(error)) from error


def _build_route(route: _Route) -> Route:
    splits = route.traffic_split or [_Split(route.service or "", 1)]
    streams = route.kind == KIND_STREAMING
    repeatable = route.resumable if streams else route.kind == KIND_IDEMPOTENT
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        targets=tuple(WeightedService(s.service, s.weight) for s in splits if s.weight > 0),
        retry_safety=RetrySafety.ALLOWED if repeatable else RetrySafety.FORBIDDEN,
        streams=streams,
        timeout_s=route.timeout_ms / 1000,
        latency_target_s=route.slo_ms / 1000,
        attempts_limit=max(1, route.max_attempts),
        rank=route.priority,
        public=route.public,
    )


def _build_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    return ServiceSpec(
        service.name,
        service.health_path,
        service.max_connections,
        _build_engine(engine) if engine else None,
    )


def _build_engine(engine: _Engine) -> EngineLimits:
    return EngineLimits(
        engine.slots,
        engine.kv_capacity,
        engine.backups,
        engine.kv_token_bytes,
        1e6 * engine.link_mbps,
    )


__all__ = ["ConfigError", "decode_config", "decode_server"]
