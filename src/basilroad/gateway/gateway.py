"""The gateway: what it believes and whom it admits."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.calllog import AttemptRecord, log_attempt
from basilroad.gateway.directory import Directory
from basilroad.gateway.dispatch import Dispatcher
from basilroad.gateway.freshness import Freshness
from basilroad.gateway.liveness import Liveness
from basilroad.gateway.metrics import GatewayMetrics, name_rank
from basilroad.gateway.preference import EnginePreference
from basilroad.gateway.selection import Chooser
from basilroad.gateway.streamdurations import StreamDurations

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilroad.gateway.attempt import EndpointProtocol
    from basilroad.gateway.call import Call
    from basilroad.gateway.route import EngineLimits, Route, RoutingTable, WorkspaceSpec
    from basilroad.gateway.selection import Locality

_LOGGER = logging.getLogger(__name__)


CONFIRM_WAIT_S = 0.3
"""Seconds for which a call waits for a configuration or its confirmation that is being read; many
answers of the store, and less than an eighth of the time in which a stream is to begin."""

OUTAGE_S = 1.0
"""Seconds without the store beyond which calls are refused at once instead of waiting for it."""

CONFIRM_POLL_S = 0.01
"""Seconds between looks while a call waits so."""

ELSEWHERE_RETRY_S = 0.05
"""Pause for callers that this host alone refuses: their next try reaches another host, and any
longer pause would use up the target of a short call."""

OUTAGE_RETRY_S = 1.0
"""Pause for callers in a long outage, which other hosts most likely see too."""

LONG_OUTAGE_S = 10.0
"""Age of the configuration beyond which an outage counts as long; the fleets' sheets show outages
of single hosts up to nine seconds."""

SHARING_HOSTS = 10
"""Hosts that share the retries allowed to all at the least, while fewer are known: hosts that start
together don't know each other yet."""

FLEET_RETRIES = 10.0
"""Retries a second that all hosts together may make without any requests, where no settings say it:
one for each of the hosts that share them at the least."""

SHUTDOWN_RESERVE_S = 1.0
"""Seconds of the grace that are left to close what remains and to end the process; the end alone
takes about half of them."""


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway.

    :param host: name of this host
    :param place: where it stands
    :param key_age_limit_s: seconds for which keys count without a confirmation; ``None`` for ever
    :param ready_age_limit_s: age of the configuration up to which it counts as ready
    :param retries: budget of retries of each service; its minimum is that of all hosts together
    :param grace_s: seconds that a planned stop may take
    """

    host: str
    place: Locality
    key_age_limit_s: float | None = None
    ready_age_limit_s: float = 3.0
    retries: RetrySettings = attrs.field(factory=lambda: RetrySettings(minimum_per_s=FLEET_RETRIES))
    grace_s: float = 8.0


class Gateway:
    """Beliefs and parts of one gateway; no sockets towards callers.

    :param settings: its settings
    :param dialect: how calls are written for endpoints
    :param generator: source of chance; seeded by the system if left out
    """

    def __init__(
        self,
        settings: GatewaySettings,
        protocol: EndpointProtocol,
        generator: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.protocol = protocol
        self.random = generator or random.Random()
        self.directory = Directory()
        self.freshness = Freshness()
        self.table: RoutingTable | None = None
        self.known_hosts = 1
        self.preference = EnginePreference()
        chooser = Chooser(
            settings.place, self.random, lambda: self.known_hosts, lambda: self.preference
        )
        self.dispatcher = Dispatcher(self.directory, chooser, self.find_engine)
        self.liveness = Liveness(self.dispatcher, protocol, settings.place)
        self.stopping_since: float | None = None
        self._started_at = time.monotonic()
        self.stream_durations = StreamDurations()
        self.metrics = GatewayMetrics()
        self._budgets: dict[str, RetryBudget] = {}

    def update_known_hosts(self, count: int, heard: Mapping[str, str]) -> None:
        """Take over which other gateways there are.

        :param count: how many are known, this one among them
        :param heard: data centre of each other one that tells of itself, by its host
        """
        place = self.settings.place
        near = [host for host, at in heard.items() if place.regions.get(at) == place.region]
        self.known_hosts = count
        self.preference = EnginePreference.find(self.settings.host, near)

    # configuration

    def apply_table(self, table: RoutingTable) -> bool:
        """Take over a version of the configuration; never an older one.

        :param table: the version
        :return: whether it is in force now
        """
        known = self.table
        if known is not None and table.version < known.version:
            _LOGGER.warning(
                "config version refused",
                extra={"version": table.version, "in_force": known.version},
            )
            return False
        if known is not None and table.version == known.version:
            return True
        self.table = table
        _LOGGER.info(
            "config in force",
            extra={
                "version": table.version,
                "previous": known.version if known else None,
                "routes": table.route_count,
                "keys": table.key_count,
            },
        )
        return True

    def find_engine(self, service: str) -> EngineLimits | None:
        """:return: limits of a service's engines; ``None`` for a plain or unknown service."""
        spec = self.table.services.get(service) if self.table else None
        return spec.engine if spec else None

    def budget_of(self, service: str) -> RetryBudget:
        """:return: the retries that calls of a service may make."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retries, get_share=self._share_minimum)
            self._budgets[service] = budget
        return budget

    def _share_minimum(self) -> float:
        return 1 / max(SHARING_HOSTS, self.known_hosts)

    # admission

    @property
    def is_ready(self) -> bool:
        """:return: whether callers are to be sent here."""
        if self.stopping_since is not None or self.table is None:
            return False
        return self.freshness.is_within(self.settings.ready_age_limit_s)

    async def wait_until_fresh(self) -> None:
        """Wait a moment for what is being read, at the start or in a short outage."""
        limit_s = self.settings.key_age_limit_s or math.inf
        until = time.monotonic() + CONFIRM_WAIT_S
        while not self.freshness.is_within(limit_s) and time.monotonic() < until:
            age_s = self.freshness.age_s()
            missed_s = self._uptime_s() if age_s is None else age_s - limit_s
            if missed_s > OUTAGE_S:
                return
            await asyncio.sleep(CONFIRM_POLL_S)

    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_at

    def resolve_route(self, host: str, path: str) -> Route:
        """Find the route of a call.

        :param host: host that it names
        :param path: path without query
        :return: the route
        :raises RefusedError: there is none, or no configuration is known
        """
        if self.table is None:
            message = "no configuration is known yet"
            raise refuse(ErrorKind.STORE_UNAVAILABLE, message, self._choose_retry())
        route = self.table.find_route(host, path)
        if route is None:
            raise refuse(ErrorKind.UNKNOWN_SERVICE, "no route for this host and path")
        return route

    def authenticate(self, route: Route, key: str) -> WorkspaceSpec | None:
        """Find who calls.

        :param route: the call's route
        :param key: as the caller sent it
        :return: the workspace; ``None`` where none is needed
        :raises RefusedError: the key is not known, or can't be trusted any more
        """
        assert self.table is not None
        if route.public or not self.table.needs_keys:
            return None
        limit_s = self.settings.key_age_limit_s
        if limit_s is not None and not self.freshness.is_within(limit_s):
            message = "keys were not confirmed lately"
            raise refuse(ErrorKind.STORE_UNAVAILABLE, message, self._choose_retry())
        workspace = self.table.find_workspace(key)
        if workspace is None:
            raise refuse(ErrorKind.UNAUTHENTICATED, "unknown key")
        return workspace

    def check_draining(self, route: Route) -> None:
        """Refuse a stream that would not end before this host stops.

        :param route: the call's route
        :raises RefusedError: it is to be sent to another host
        """
        if self.stopping_since is None or not route.streams:
            return
        elapsed_s = time.monotonic() - self.stopping_since
        if elapsed_s + self.stream_durations.upper_s <= self.settings.grace_s - SHUTDOWN_RESERVE_S:
            return
        raise refuse(ErrorKind.DRAINING, "this host is leaving", ELSEWHERE_RETRY_S)

    def _choose_retry(self) -> float:
        age_s = self.freshness.age_s()
        missed_s = self._uptime_s() if age_s is None else age_s
        return ELSEWHERE_RETRY_S if missed_s < LONG_OUTAGE_S else OUTAGE_RETRY_S

    # calls

    def record_attempt(self, attempt: AttemptRecord) -> None:
        """Log and count what became of one attempt.

        :param attempt: the attempt
        """
        log_attempt(attempt)
        self.metrics.count_attempt(attempt.call, attempt.outcome)

    def record_placed(self, call: Call, waited_s: float) -> None:
        """Count the wait of a call that found an endpoint.

        :param call: the call
        :param waited_s: seconds since it began to wait
        """
        self.metrics.wait_s.labels(name_rank(call.rank)).observe(waited_s)

    def record_first_event(self, call: Call) -> None:
        """Note that a stream begins.

        :param call: the call
        """
        waited_s = time.monotonic() - call.arrived_at
        self.metrics.first_event_s.labels(name_rank(call.rank)).observe(waited_s)
        _LOGGER.info("first event", extra={"request": call.id, "waited_ms": round(1000 * waited_s)})

    def render_metrics(self) -> bytes:
        """:return: all measures as text for scrapers."""
        now, endpoints = time.monotonic(), list(self.directory)
        beliefs = {
            "config_version": self.table.version if self.table else 0,
            "config_age_seconds": self.freshness.age_s() or 0.0,
            "endpoints": len(endpoints),
            "endpoints_usable": sum(endpoint.is_available(now) for endpoint in endpoints),
            "calls_waiting": self.dispatcher.waiting,
            "probes": self.liveness.probes_sent,
        }
        return self.metrics.render(beliefs)

    # housekeeping

    def sweep(self) -> None:
        """Drop what is gone and place what waits."""
        self.directory.expire()
        self.dispatcher.serve_waiting()


__all__ = ["Gateway", "GatewaySettings"]
