"""Routes, services and workspaces of a configuration."""

from __future__ import annotations

import bisect
import enum
import random
from collections.abc import Mapping, Sequence

import attrs

from basilroad.coordination.rendezvous import choose_weighted


class RetrySafety(enum.Enum):
    """Whether a call may run more than once."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


@attrs.frozen
class EngineLimits:
    """Capacity of one model engine of a service.

    :param slots: maximum number of concurrent requests
    :param memory_tokens: capacity of its KV cache in tokens
    :param supports_kv_backup: whether another engine can hold a KV cache backup of a live run
    :param kv_token_bytes: bytes of the KV cache of a token; 0 if engines can't fetch prompts
    :param link_bits_per_s: transfer rate between engines; 0 if they can't fetch prompts
    """

    slots: int
    memory_tokens: int
    supports_kv_backup: bool = False
    kv_token_bytes: float = 0.0
    link_bits_per_s: float = 0.0

    @property
    def can_fetch(self) -> bool:
        """:return: whether an engine can fetch a prompt from the cache of another one."""
        return self.kv_token_bytes > 0 and self.link_bits_per_s > 0

    def estimate_transfer(self, tokens: int) -> float:
        """Estimate the transfer of a KV cache between two engines of one data centre.

        :param tokens: its tokens
        :return: seconds
        """
        return 8 * tokens * self.kv_token_bytes / self.link_bits_per_s


@attrs.frozen
class ServiceSpec:
    """A target service of routes.

    :param name: its name
    :param health_path: path that answers 200 while an endpoint is healthy
    :param connections_limit: maximum connections that an endpoint accepts from all callers
    :param engine: limits of its model engines; ``None`` for a plain service
    """

    name: str
    health_path: str = "/health"
    connections_limit: int = 100
    engine: EngineLimits | None = None


@attrs.frozen
class WeightedService:
    """One target of a route.

    :param service: name of the service
    :param weight: share of the route's calls, relative to the other targets
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Target of the calls with one host and path prefix.

    :param name: its name
    :param host: requested host
    :param prefix: leading part of the path, with a slash at both ends
    :param targets: services that handle its calls; at least one
    :param retry_safety: whether a call may run more than once
    :param streams: whether responses are event streams
    :param timeout_s: time limit of a call in seconds
    :param latency_target_s: target for the response in seconds; for streams, for the first event
    :param attempts_limit: maximum number of attempts that may run
    :param rank: priority; 0 is the most urgent
    :param public: whether calls need no key
    """

    name: str
    host: str
    prefix: str
    targets: tuple[WeightedService, ...]
    retry_safety: RetrySafety = RetrySafety.FORBIDDEN
    streams: bool = False
    timeout_s: float = 60.0
    latency_target_s: float = 1.0
    attempts_limit: int = 1
    rank: int = 5
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """:return: whether a call may run more than once."""
        return self.retry_safety is RetrySafety.ALLOWED

    def select_service(self, generator: random.Random) -> str:
        """Choose a target by weight.

        :param generator: random number generator
        :return: name of the service
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return generator.choices(self.targets, weights)[0].service

    def find_service(self, stream_id: str) -> str:
        """Find the target of a stream, the same for all requests that take it up.

        :param stream_id: id of the request that began it
        :return: name of the service; streams are spread by weight
        """
        return choose_weighted(stream_id, [(t.service, t.weight) for t in self.targets])


@attrs.frozen
class WorkspaceSpec:
    """A workspace and its keys.

    :param name: its name
    :param keys: API keys of its callers
    :param rank: rank of its calls, in place of the route's; ``None`` keeps the route's
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on requests from callers.

    :param header_bytes: maximum size of a request head
    :param body_bytes: maximum size of a request body
    :param header_timeout_s: time limit for receiving a head
    :param idle_timeout_s: idle time limit of a connection
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RoutingTable:
    """One version of the configuration, indexed for lookups.

    :param version: increases with each change
    :param routes: all routes
    :param services: all services
    :param workspaces: all workspaces; with an empty list no key is valid, and calls need none only
        if this is ``None``
    :param limits: limits on requests
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Sequence[ServiceSpec],
        workspaces: Sequence[WorkspaceSpec] | None = None,
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or CallerLimits()
        self.services: Mapping[str, ServiceSpec] = {s.name: s for s in services}
        self.needs_keys = workspaces is not None
        self.route_count = len(routes)
        self._workspaces = {key: w for w in workspaces or () for key in w.keys}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._lengths = {host: sorted(map(len, found)) for host, found in self._routes.items()}

    def find_stream_limits(self) -> dict[str, float]:
        """:return: longest time limit of streams in seconds, by service."""
        limits: dict[str, float] = {}
        for route in (r for found in self._routes.values() for r in found.values()):
            for target in route.targets if route.streams else ():
                known_s = limits.get(target.service, 0.0)
                limits[target.service] = max(known_s, route.timeout_s)
        return limits

    @property
    def key_count(self) -> int:
        """:return: number of accepted keys."""
        return len(self._workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching prefix.

        :param host: requested host, without port
        :param path: path without query
        :return: the route; ``None`` if there is none
        """
        routes = self._routes.get(host)
        if routes is None:
            return None
        lengths = self._lengths[host]
        end = bisect.bisect_right(lengths, len(path))
        for length in reversed(lengths[:end]):
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> WorkspaceSpec | None:
        """Find the workspace of an API key.

        :param key: key sent by the caller
        :return: the workspace, if the key is known
        """
        return self._workspaces.get(key)


__all__ = [
    "CallerLimits",
    "EngineLimits",
    "RetrySafety",
    "Route",
    "RoutingTable",
    "ServiceSpec",
    "WeightedService",
    "WorkspaceSpec",
]
