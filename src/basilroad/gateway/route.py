"""Routes, services and workspaces that a configuration declares."""

from __future__ import annotations

import bisect
import enum
import random
from collections.abc import Mapping, Sequence

import attrs


class RetrySafety(enum.Enum):
    """Whether a call may run more than once."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


@attrs.frozen
class EngineLimits:
    """What one model engine of a service can hold.

    :param slots: requests that run at once
    :param memory_tokens: tokens that fit into its memory
    :param keeps_copies: whether a run's memory can be copied to another engine while it runs
    """

    slots: int
    memory_tokens: int
    supports_kv_backup: bool = False


@attrs.frozen
class ServiceSpec:
    """A service that routes lead to.

    :param name: its name
    :param health_path: path that answers 200 while an endpoint is healthy
    :param connections_limit: connections that one endpoint accepts from all callers
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
    """Where calls of one host and path prefix go.

    :param name: its name
    :param host: host that calls name
    :param prefix: leading part of the path, with a slash at both ends
    :param targets: services that take its calls; at least one
    :param repetition: whether a call may run more than once
    :param streams: whether answers are streams of events
    :param timeout_s: seconds after which a call gets its final answer
    :param target_s: seconds within which an answer is on time; for streams, the first event
    :param attempts_limit: endpoints on which one call may run
    :param rank: order of urgency, 0 first
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

        :param generator: source of chance
        :return: name of the service
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return generator.choices(self.targets, weights)[0].service


@attrs.frozen
class WorkspaceSpec:
    """A workspace and its keys.

    :param name: its name
    :param keys: keys that its callers present
    :param rank: rank of its calls, in place of the route's; ``None`` keeps the route's
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send.

    :param header_bytes: size of a request's head
    :param body_bytes: size of a request's body
    :param header_timeout_s: seconds for a head to arrive
    :param idle_timeout_s: seconds for which a connection may stay idle
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RoutingTable:
    """One version of the configuration, indexed for lookups.

    :param version: grows with each change
    :param routes: all routes
    :param services: all services
    :param workspaces: all workspaces; none means that calls need no key
    :param limits: what callers may send
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Sequence[ServiceSpec],
        workspaces: Sequence[WorkspaceSpec] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or CallerLimits()
        self.services: Mapping[str, ServiceSpec] = {s.name: s for s in services}
        self.needs_keys = bool(workspaces)
        self.route_count = len(routes)
        self._workspaces = {key: w for w in workspaces for key in w.keys}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._lengths = {host: sorted(map(len, found)) for host, found in self._routes.items()}

    @property
    def key_count(self) -> int:
        """:return: how many keys are accepted."""
        return len(self._workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins a path.

        :param host: host that the call names, without port
        :param path: path without query
        :return: the route, if there is one
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
        """Find who holds a key.

        :param key: as the caller sent it
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
