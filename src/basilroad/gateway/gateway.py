"""Gateway state and admission of calls."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.gateway.calls.log import AttemptRecord, log_attempt, log_service_pause
from basilroad.gateway.crashes.containment import Containment
from basilroad.gateway.dispatch.dispatcher import Dispatcher
from basilroad.gateway.dispatch.preference import EnginePreference
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.dispatch.sourcecheck import SourceCheck
from basilroad.gateway.exchange.engineprobes import EngineProbes
from basilroad.gateway.exchange.loans import RetryLoans
from basilroad.gateway.exchange.permits import PermitExchange
from basilroad.gateway.exchange.promptexchange import PromptExchange
from basilroad.gateway.freshness import Freshness
from basilroad.gateway.metrics import GatewayMetrics, name_rank
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.liveness import Liveness
from basilroad.gateway.registry.notices import NoticeRegister
from basilroad.gateway.registry.reports import ReportReader
from basilroad.gateway.shutdown import (
    OTHER_HOST_RETRY_S,
    SHORT_CALL_S,
    Shutdown,
    ShutdownSchedule,
    refuse_at_shutdown,
)
from basilroad.gateway.streams.durations import StreamDurations
from basilroad.gateway.versions.startcheck import StartCheck
from basilroad.gateway.versions.streamversions import StreamVersions
from basilroad.stopsignal import StopSignal

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from basilroad.errors import Refusal
    from basilroad.gateway.calls.attempt import EndpointProtocol
    from basilroad.gateway.calls.attempttracker import AttemptTracker
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.route import EngineLimits, Route, RoutingTable, WorkspaceSpec

_LOGGER = logging.getLogger(__name__)


CONFIG_WAIT_LIMIT_S = 0.3
"""Time for which a call waits for the configuration or its confirmation; many round trips to the
store, and less than an eighth of the target for the first event of a stream."""

SHORT_OUTAGE_LIMIT_S = 1.0
"""Duration of a store outage beyond which calls are refused without waiting."""

CONFIG_POLL_INTERVAL_S = 0.01
"""Poll interval while a call waits for the configuration."""

LONG_OUTAGE_RETRY_S = 1.0
"""Retry delay in a long outage, which most likely affects other hosts too."""

LONG_OUTAGE_S = 10.0
"""Age of the configuration beyond which an outage counts as long; outages of single hosts up to
9 s are specified for the fleets."""

MAX_GOSSIPING_HOSTS = 40
"""Number of gateways beyond which engines are asked for their load before a placement: reports of
other gateways are then older than a stream lives, about 6 s."""

MIN_SHARING_HOSTS = 10
"""Minimum number of hosts among which the fleet's retries are divided: hosts that start together
don't know each other yet."""

FLEET_RETRIES_PER_S = 10.0
"""Default for the retries per second that all hosts together may make without any requests: one
for each of the minimum number of sharing hosts."""


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway.

    :param host: name of this host
    :param place: its location
    :param key_age_limit_s: age of the configuration up to which keys are valid; ``None`` for any
    :param ready_age_limit_s: age of the configuration up to which the gateway is ready
    :param retries: retry budget of each service; its minimum applies to all hosts together
    :param grace_s: seconds that a planned shutdown may take
    """

    host: str
    place: Locality
    key_age_limit_s: float | None = None
    ready_age_limit_s: float = 3.0
    retries: RetrySettings = attrs.field(
        factory=lambda: RetrySettings(minimum_per_s=FLEET_RETRIES_PER_S)
    )
    grace_s: float = 8.0


class Gateway:
    """State and components of one gateway, without the server for callers.

    :param settings: its settings
    :param protocol: encoding of calls for endpoints
    :param generator: random number generator; seeded by the system if omitted
    :param stop_signal: signal that requests a planned shutdown
    """

    def __init__(
        self,
        settings: GatewaySettings,
        protocol: EndpointProtocol,
        generator: random.Random | None = None,
        stop_signal: StopSignal | None = None,
    ) -> None:
        self.settings = settings
        self.protocol = protocol
        self.random = generator or random.Random()
        self.metrics = GatewayMetrics()
        self.directory = Directory(notices=NoticeRegister(self.random, self.metrics.count_notice))
        self.freshness = Freshness()
        self.table: RoutingTable | None = None
        self.known_hosts = 1
        self.are_most_hosts_stopping: Callable[[], bool] = lambda: False
        self.list_other_stops: Callable[[], list[float]] = list
        self.preference = EnginePreference()
        chooser = Chooser(
            settings.place, self.random, lambda: self.known_hosts, lambda: self.preference
        )
        reports = ReportReader(protocol, settings.place)
        self.permits = PermitExchange(
            settings.host, settings.place, self.directory, generator=self.random
        )
        self.dispatcher = Dispatcher(
            self.directory,
            chooser,
            self.find_engine,
            reports,
            self.permits,
            may_begin=lambda service, version: self.stream_versions.may_begin(service, version),
        )
        self.prompts = PromptExchange(
            settings.host,
            settings.place,
            self.dispatcher.prompt_locations,
            is_stopping=lambda: self.shutdown.is_requested,
        )
        self.liveness = Liveness(self.dispatcher, reports, self.random, self.metrics.count_silence)
        self.start_check = StartCheck(
            self.directory, protocol, reports, self.dispatcher.acquire_permit
        )
        self.source_check = SourceCheck(self.start_check, settings.place)
        self.engine_probes = EngineProbes(
            settings.place, self.directory, self.source_check.probe, generator=self.random
        )
        self.source_check.ask_others = self.engine_probes.ask
        self.shutdown = Shutdown(signal=stop_signal or StopSignal())
        self._started_at = time.monotonic()
        self.stream_durations = StreamDurations()
        self.stream_versions = StreamVersions(self.directory, self.metrics, generator=self.random)
        self.containment = Containment(settings.host, self.metrics)
        self._budgets: dict[str, RetryBudget] = {}
        self.loans = RetryLoans(settings.host, self.budget_of, generator=self.random)

    def update_known_hosts(self, count: int, peers: Mapping[str, str]) -> None:
        """Update the set of known gateways.

        :param count: number of known gateways, including this one
        :param peers: data centre by host of each other gateway that sends gossip
        """
        place = self.settings.place
        near = [host for host, at in peers.items() if place.regions.get(at) == place.region]
        self.known_hosts = count
        self.dispatcher.asks_engines = count > MAX_GOSSIPING_HOSTS
        self.preference = EnginePreference.find(self.settings.host, near)

    # configuration

    def apply_table(self, table: RoutingTable) -> bool:
        """Apply a version of the configuration unless it is older than the current one.

        :param table: the version
        :return: whether it is in force
        """
        known = self.table
        if known is not None and table.version < known.version:
            versions: dict[str, int] = {"version": table.version, "in_force": known.version}
            _LOGGER.warning("config version refused", extra=versions)
            return False
        if known is not None and table.version == known.version:
            return True
        self.table = table
        for part in (self.stream_versions, self.prompts):
            part.apply_limits(table.find_stream_limits())
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
        """:return: retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retries, get_share=self._share_minimum)
            self._budgets[service] = budget
        return budget

    def request_retries(self, service: str) -> None:
        """Ask other gateways for retries if few are left here."""
        self.loans.request_if_low(service)

    def _share_minimum(self) -> float:
        return 1 / max(MIN_SHARING_HOSTS, self.known_hosts)

    # admission

    @property
    def is_ready(self) -> bool:
        """:return: whether the gateway is ready to take calls."""
        if self.shutdown.is_requested or self.table is None:
            return False
        limit_s = self.settings.ready_age_limit_s
        # a store that was just restored confirms the keys to no gateway yet
        return self.freshness.is_within(limit_s) or self.freshness.has_responded_within(limit_s)

    async def wait_until_fresh(self) -> None:
        """Wait for the configuration or its confirmation at startup or in a short outage.

        A planned shutdown refuses calls after its end of admission, so none waits longer than that.
        """
        limit_s = self.settings.key_age_limit_s or math.inf
        until = time.monotonic() + CONFIG_WAIT_LIMIT_S
        while not self.freshness.is_within(limit_s) and time.monotonic() < until:
            schedule = self.shutdown_schedule
            if schedule is not None and self.shutdown.read_clock() >= schedule.admits_until:
                return
            age_s = self.freshness.age_s()
            outage_s = self._uptime_s() if age_s is None else age_s - limit_s
            if outage_s > SHORT_OUTAGE_LIMIT_S:
                return
            await asyncio.sleep(CONFIG_POLL_INTERVAL_S)

    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_at

    def resolve_route(self, host: str, path: str) -> Route:
        """Find the route of a call.

        :param host: requested host
        :param path: path without query
        :return: the route
        :raises RefusedError: there is none, or no configuration was read yet
        """
        if self.table is None:
            message = "no configuration was read yet"
            raise refuse(ErrorKind.STORE_UNAVAILABLE, message, self._choose_retry_after())
        route = self.table.find_route(host, path)
        if route is None:
            raise refuse(ErrorKind.UNKNOWN_SERVICE, "no route for this host and path")
        return route

    def authenticate(self, route: Route, key: str) -> WorkspaceSpec | None:
        """Find the workspace of a caller.

        :param route: the call's route
        :param key: API key sent by the caller
        :return: the workspace; ``None`` if no key is required
        :raises RefusedError: the key is unknown, or the keys are not fresh enough
        """
        assert self.table is not None
        if route.public or not self.table.needs_keys:
            return None
        limit_s = self.settings.key_age_limit_s
        if limit_s is not None and not self.freshness.is_within(limit_s):
            message = "keys were not confirmed recently"
            raise refuse(ErrorKind.STORE_UNAVAILABLE, message, self._choose_retry_after())
        workspace = self.table.find_workspace(key)
        if workspace is None:
            raise refuse(ErrorKind.UNAUTHENTICATED, "unknown key")
        return workspace

    def check_draining(self, route: Route) -> None:
        """Refuse a call that is unlikely to end before this host shuts down.

        :param route: the call's route
        :raises RefusedError: it has to be sent to another host
        """
        schedule = self.shutdown_schedule
        if schedule is not None and self.shutdown.read_clock() >= schedule.admits_until:
            raise self._refuse_at_shutdown(route)
        self.check_time_before_shutdown(route)

    def check_time_before_shutdown(self, route: Route) -> None:
        """Refuse an admitted call that has waited until too little time is left to send it.

        :param route: the call's route
        :raises RefusedError: it has to be sent to another host
        """
        if not self.has_time_before_shutdown(route):
            raise self._refuse_at_shutdown(route)

    def _refuse_at_shutdown(self, route: Route) -> RefusedError:
        schedule = self.shutdown_schedule
        if schedule is None or not route.streams or not self.are_most_hosts_stopping():
            return refuse_at_shutdown()
        # a retry at once would come to this host, or to one that refuses it too
        left_s = self._find_first_restart(schedule) - self.shutdown.read_clock()
        return refuse_at_shutdown(max(left_s, OTHER_HOST_RETRY_S))

    def _find_first_restart(self, schedule: ShutdownSchedule) -> float:
        now, grace_s = self.shutdown.read_clock(), self.settings.grace_s
        others = (ShutdownSchedule.plan(at, grace_s).restarted_at for at in self.list_other_stops())
        # a host that is overdue may have been removed
        return min(schedule.restarted_at, *(at for at in others if at > now), math.inf)

    def has_time_before_shutdown(self, route: Route) -> bool:
        """Check whether a call that is sent now is likely to end before this host shuts down.

        :param route: the call's route
        :return: whether it is; always true without a shutdown
        """
        schedule = self.shutdown_schedule
        if schedule is None:
            return True
        needed_s = self.stream_durations.typical_max_s if route.streams else SHORT_CALL_S
        return self.shutdown.read_clock() + needed_s <= schedule.ends_at

    @property
    def shutdown_schedule(self) -> ShutdownSchedule | None:
        """:return: times of a planned shutdown; ``None`` without one."""
        return self.shutdown.find_schedule(self.settings.grace_s)

    def _choose_retry_after(self) -> float:
        age_s = self.freshness.age_s()
        outage_s = self._uptime_s() if age_s is None else age_s
        return OTHER_HOST_RETRY_S if outage_s < LONG_OUTAGE_S else LONG_OUTAGE_RETRY_S

    # calls

    def record_attempt(self, attempt: AttemptRecord) -> None:
        """Log and count the outcome of one attempt.

        :param attempt: the attempt
        """
        log_attempt(attempt, self.directory.list_passed_over(attempt.call.service))
        self.metrics.count_attempt(attempt.call, attempt.outcome)

    def build_refusal(self, tracker: AttemptTracker, version: str | None = None) -> Refusal:
        """Build the error for a call without a response.

        :param tracker: its attempts
        :param version: the only version that may run it; ``None`` for any
        :return: the error
        """
        call = tracker.call
        pause = None if tracker.sent else self.dispatcher.find_turn(call, version=version)
        if pause is not None:
            log_service_pause(call, self.directory.list_passed_over(call.service))
        return tracker.build_refusal(pause)

    def record_placed(self, call: Call, waited_s: float) -> None:
        """Record the queueing time of a call that was assigned to an endpoint.

        :param call: the call
        :param waited_s: seconds in the queue
        """
        self.metrics.wait_s.labels(name_rank(call.rank)).observe(waited_s)

    def record_first_event(self, call: Call) -> None:
        """Record the first event of a stream.

        :param call: the call
        """
        waited_s = time.monotonic() - call.arrived_at
        self.metrics.first_event_s.labels(name_rank(call.rank)).observe(waited_s)
        _LOGGER.info("first event", extra={"request": call.id, "waited_ms": round(1000 * waited_s)})

    def render_metrics(self) -> bytes:
        """:return: all metrics in the Prometheus text format."""
        now, endpoints = time.monotonic(), list(self.directory)
        gauge_values = {
            "config_version": self.table.version if self.table else 0,
            "config_age_seconds": self.freshness.age_s() or 0.0,
            "endpoints": len(endpoints),
            "endpoints_usable": sum(endpoint.is_available(now) for endpoint in endpoints),
            "calls_waiting": self.dispatcher.waiting,
            "probes": self.liveness.probes_sent,
        }
        return self.metrics.render(gauge_values)

    # housekeeping

    def sweep(self) -> None:
        """Remove expired endpoints, dispatch queued calls and find crashes of silent endpoints."""
        self.directory.expire()
        self.containment.check_silent(time.monotonic())
        self.dispatcher.dispatch_waiting()


__all__ = ["Gateway", "GatewaySettings"]
