"""The entry process as a tree of services."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import time
import uuid
from typing import TYPE_CHECKING

from mode import Service

from basilroad.backing.hosts import HttpHostList
from basilroad.backing.table import HttpTable
from basilroad.coordination.timer import Timer
from basilroad.entry.calls.calls import ServiceCaller
from basilroad.entry.dispatch.dispatch import Dispatcher
from basilroad.entry.generations.containment import Containment
from basilroad.entry.generations.duplicates import DuplicateTracker
from basilroad.entry.generations.flight import Flight
from basilroad.entry.generations.generation import build_generation_id, read_key
from basilroad.entry.generations.generationrecorder import GenerationRecorder
from basilroad.entry.generations.locationdirectory import REFRESH_INTERVAL_S, LocationDirectory
from basilroad.entry.generations.quarantine import Quarantine
from basilroad.entry.generations.takeover import Takeover
from basilroad.entry.handlers import handle_message
from basilroad.entry.http import HttpServer
from basilroad.entry.keyedcalls.callhosts import CALL_HOSTS_READ_INTERVAL_S
from basilroad.entry.links.hostwatch import HOSTS_READ_INTERVAL_S, HostWatch
from basilroad.entry.links.link import AgentLink
from basilroad.entry.links.linkcost import LinkCosts
from basilroad.errors import ErrorKind, Refusal, refuse
from basilroad.metrics import Metrics
from basilroad.peers.address import Address, parse_address
from basilroad.peers.exchange import SettingsExchange
from basilroad.peers.heartbeat import HeartbeatScheduler
from basilroad.peers.traffic import FRAME_OVERHEAD_BYTES, LinkMeter
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.placement.service import Planner
from basilroad.settings.report import ReportSettings, SettingsReporter
from basilroad.settings.status import HostState
from basilroad.settings.store import SettingsStore
from basilroad.settings.watch import SettingsWatch, WatchSettings
from basilroad.stopsignal import StopSignal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator, Sequence

    from mode.types import ServiceT

    from basilroad.entry.generations.request import CompletionRequest
    from basilroad.entry.identity import Identity
    from basilroad.settings.daemon import DaemonSettings

UNREACHABLE_GRACE_S = 10.0
"""Seconds after a link was created or lost in which its agent may run any model."""

EXPIRY_INTERVAL_S = 30.0
"""Interval between removals of expired records."""

ABANDON_DELAY_S = 1.0
"""Seconds that a generation without an idempotency key runs on without a reader."""

ABANDON_KEYED_DELAY_S = 10.0
"""Seconds that a generation with an idempotency key runs on without a reader."""

DRAIN_POLL_S = 0.05
"""Interval between checks for work in flight while draining."""

PLATFORM_WAIT_S = 2.0
"""Timeout of one request to the platform."""

_LOGGER = logging.getLogger(__name__)


class EntryService(Service):
    """Accepts requests from callers and runs them to completion.

    :param settings: the daemon's settings, including the entry section
    :param stop_signal: signal that requests a planned stop
    """

    def __init__(self, settings: DaemonSettings, stop_signal: StopSignal | None = None) -> None:
        super().__init__()
        self._stop_signal = stop_signal or StopSignal()
        assert settings.entry is not None
        self.settings = settings
        self.options = settings.entry
        self.incarnation = uuid.uuid4().hex[:12]
        self.metrics = Metrics(settings.statsd, f"basilroad.{settings.host}")
        self.meter = LinkMeter(settings.region, self.metrics)
        self.timers = Timer()
        self.store = SettingsStore()
        self.table = HttpTable(settings.platform, PLATFORM_WAIT_S) if settings.platform else None
        self.hosts = HttpHostList(settings.platform, PLATFORM_WAIT_S) if settings.platform else None
        self.links: dict[Address, AgentLink] = {}
        self.flights: dict[bytes, Flight] = {}
        self.exchange = SettingsExchange(
            self.store, self.links.values, lambda changes: wire.EntryMessage(settings=changes)
        )
        self.records = GenerationRecorder(self.metrics)
        self.duplicates = DuplicateTracker()
        self.containment = Containment(self.duplicates.has_duplicates, self._broadcast_marks)
        self.link_costs = LinkCosts(settings.region, lambda: self.store.view)
        self.dispatcher = Dispatcher(self)
        self.locations = LocationDirectory(self)
        self.quarantine = Quarantine(self)
        self.takeover = Takeover(self)
        self.caller = ServiceCaller(self)
        self.http = HttpServer(self)
        self.stopping = False
        self.work_ends_at = math.inf
        self.models_seen: set[str] = set()
        self.calls_running = 0
        self._run_tasks: dict[Flight, asyncio.Task[None]] = {}
        self._preparations: set[asyncio.Timeout] = set()
        self._preparations_ended = False
        self._heartbeats = HeartbeatScheduler(self.store)
        self._agents_tried = False

    @property
    def is_ready(self) -> bool:
        """:return: whether requests should be routed to this entry."""
        hosts = self.caller.keyed_calls.hosts
        if self.stopping or (hosts is not None and not hosts.tried.is_set()):
            return False
        # until a first connection to each agent was tried, its models would be refused as unknown
        self._agents_tried = self._agents_tried or all(
            link.first_connect_done.is_set() for link in self.links.values()
        )
        return self._agents_tried and any(link.is_up for link in self.links.values())

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: the child services."""
        services: list[ServiceT] = [self.timers, self.http, self.caller]
        if self.table is not None:
            services.append(self._build_watch(self.table))
            planner = Planner(self, self.table)
            services.append(planner)
            services.append(self._build_reporter(self.table, planner))
        return services

    async def on_started(self) -> None:
        """Connect to the seed agents and start the periodic tasks."""
        for seed in self.settings.seeds:
            await self.connect(parse_address(seed))
        self.timers.subscribe(self.options.heartbeat_s, self._send_heartbeats)
        self.timers.subscribe(EXPIRY_INTERVAL_S, self.containment.expire)
        self.timers.subscribe(EXPIRY_INTERVAL_S, self.locations.expire)
        self.timers.subscribe(REFRESH_INTERVAL_S, self.locations.refresh)
        call_hosts = self.caller.keyed_calls.hosts
        if call_hosts is not None:
            self.timers.subscribe(CALL_HOSTS_READ_INTERVAL_S, call_hosts.read).fire_soon()
        if self.hosts is not None:
            watch = HostWatch(self.hosts, self.links, self.connect)
            self.timers.subscribe(HOSTS_READ_INTERVAL_S, watch.read)

    async def on_stop(self) -> None:
        """Drain: wait for work in flight up to the limit, then refuse and cancel it."""
        self.stopping = True
        _LOGGER.info("entry draining", extra={"flights": len(self.flights)})
        self.work_ends_at = self._stop_signal.record() + self.options.drain_limit_s
        while self._is_working and self.read_stop_clock() < self.work_ends_at:
            await asyncio.sleep(DRAIN_POLL_S)
        self._preparations_ended = True
        ending = set(self._preparations)
        for limit in ending:
            limit.reschedule(asyncio.get_running_loop().time())
        # those that begin later end once they have to wait for something
        while ending & self._preparations:
            await asyncio.sleep(0)
        for flight, task in list(self._run_tasks.items()):
            flight.end_early(Refusal(ErrorKind.DRAINING, "this host is shutting down"))
            task.cancel()
        self.caller.end_at_shutdown()
        # a read of the hosts connects to agents; a link that is added from now on would not stop
        await self.timers.stop()

    def read_stop_clock(self) -> float:
        """:return: the time by which a planned stop goes, as ``work_ends_at``."""
        return self._stop_signal.read_clock()

    async def on_shutdown(self) -> None:
        """Close the connections to the platform after all child services have stopped."""
        if self.table is not None:
            await self.table.close()
        if self.hosts is not None:
            await self.hosts.close()

    # flights

    async def open_flight(
        self, request: CompletionRequest, identity: Identity, *, may_restart: bool
    ) -> Flight:
        """Start a generation, or attach to the running one with the same key.

        :param request: request of the caller
        :param identity: identity of the caller
        :param may_restart: whether the caller accepts a new generation from offset 0
        :return: the running generation
        :raises RefusedError: it was not started
        """
        if self.stopping:
            raise refuse(ErrorKind.DRAINING, "this host is shutting down")
        running = self.flights.get(identity.key)
        if running is not None:
            return _check_same_body(running, request)
        self.dispatcher.admission.check_workspace(identity.workspace)
        flight = Flight(self, request, identity, build_generation_id(identity.key))
        flight.may_restart = may_restart
        if identity.key_generated:
            self.launch(flight)
            return flight
        async with self.limit_preparation(ErrorKind.MAY_HAVE_RUN):
            return await self.takeover.open_keyed(flight)

    async def reattach(self, generation: str, identity: Identity) -> Flight:
        """Find a generation by its identifier.

        :param generation: identifier sent to the caller
        :param identity: identity of the caller
        :return: the running generation
        :raises RefusedError: it is unknown, lost or belongs to another caller
        """
        key = read_key(generation)
        flight = self.flights.get(key)
        if flight is None:
            if self._preparations_ended:
                raise refuse(ErrorKind.DRAINING, "this host is shutting down")
            async with self.limit_preparation(ErrorKind.DRAINING):
                flight = await self.takeover.attach(key, generation)
        if not _may_read(flight, generation, identity):
            raise refuse(ErrorKind.UNKNOWN_GENERATION, "no such generation")
        return flight

    def launch(self, flight: Flight, *, location: wire.Location | None = None) -> None:
        """Run a generation in a task of its own.

        :param flight: the generation
        :param location: where an attempt is already running, if any
        """
        self.flights[flight.key] = flight
        self.duplicates.add(flight)
        self.dispatcher.admission.open(flight.identity.workspace)
        run = flight.run() if location is None else flight.follow(location)
        task = asyncio.ensure_future(run)
        self._run_tasks[flight] = task
        task.add_done_callback(lambda _: self._remove_flight(flight, task))

    @contextlib.contextmanager
    def reading(self, flight: Flight) -> Iterator[None]:
        """Count a reader of a generation while it reads.

        :param flight: the generation
        """
        flight.readers += 1
        self.dispatcher.on_reader_attached(flight)
        try:
            yield
        finally:
            flight.readers -= 1
            if not flight.readers and not flight.done:
                self.dispatcher.on_readers_gone(flight)
                delay_s = _find_abandon_delay(flight)
                asyncio.get_running_loop().call_later(delay_s, self._abandon, flight)

    @contextlib.asynccontextmanager
    async def limit_preparation(self, kind: ErrorKind) -> AsyncIterator[None]:
        """End what precedes a generation or call at the limit of a stop, which waits for it.

        :param kind: error for the caller
        :raises RefusedError: the limit has passed
        """
        now = asyncio.get_running_loop().time()
        limit = asyncio.timeout_at(now if self._preparations_ended else None)
        try:
            async with limit:
                self._preparations.add(limit)
                try:
                    yield
                finally:
                    self._preparations.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
            raise refuse(kind, "this host is shutting down") from None

    # peers

    async def connect(self, address: Address) -> AgentLink:
        """Maintain a connection to an agent.

        :param address: listen address of the agent
        :return: the link, which may not be up yet
        """
        link = self.links.get(address)
        if link is None:
            link = AgentLink(address, self.options, self)
            self.links[address] = link
            await self.add_runtime_dependency(link)
        return link

    def build_hello(self) -> wire.EntryHello:
        """:return: the first message to an agent."""
        return wire.EntryHello(
            host=self.settings.host,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            nodes=1 + len(self.links),
        )

    def on_message(self, link: AgentLink, body: object) -> None:
        """Handle a message from an agent.

        :param link: stream that it was received on
        :param body: the message
        """
        handle_message(body, self, link)

    def on_up(self, link: AgentLink) -> None:
        """Send the current state to an agent that has connected.

        :param link: stream to it
        """
        # settings and drain notice go first, so that a draining agent knows it before any work
        self.exchange.send_snapshot(link)
        if link.leaving:
            link.send(wire.EntryMessage(leaving=wire.HostLeaving(leaving=True)))
        states = [view.state for view in link.endpoints.values()]
        self.models_seen.update(state.service for state in states if state.kind == "engine")
        link.send(wire.EntryMessage(poison=self.containment.pack_all()))
        self.dispatcher.on_up(link)
        self.locations.announce()

    def on_lost(self, link: AgentLink, endpoints: Sequence[str]) -> None:
        """Handle the loss of an agent.

        :param link: stream to it
        :param endpoints: names of its endpoints
        """
        for name in endpoints:
            self.dispatcher.prefixes.reset(name)
        self.dispatcher.on_lost(link)
        self.locations.announce()

    def on_sent(self, link: AgentLink, messages: Sequence[wire.EntryMessage], size: int) -> None:
        """Count a frame sent to another region.

        :param link: stream that it was sent on
        :param messages: messages in the frame
        :param size: size of the frame in bytes
        """
        if self.meter.is_remote(link.region):
            self.meter.count(link.region, messages, size)
            self.link_costs.record_sent(link.region, size + FRAME_OVERHEAD_BYTES)

    def on_received(self, link: AgentLink, frame: wire.AgentFrame, tokens: int) -> None:
        """Count a frame received from another region.

        :param link: stream that it was received on
        :param frame: the frame
        :param tokens: number of tokens in it
        """
        if self.meter.is_remote(link.region):
            size = frame.ByteSize() + FRAME_OVERHEAD_BYTES
            self.link_costs.record_received(link.region, size, tokens)

    def may_serve_model(self, model: str) -> bool:
        """Check whether a model may be served.

        :param model: name of the model
        :return: whether it was seen or is configured, or an unreachable agent might run it
        """
        if model in self.models_seen or model in self.store.view.models:
            return True
        since_s = time.monotonic() - UNREACHABLE_GRACE_S
        return any(
            not link.is_up and link.connection_changed_s > since_s for link in self.links.values()
        )

    def list_models(self) -> list[str]:
        """:return: names of the models that have an engine."""
        views = [view for link in self.links.values() for view in link.endpoints.values()]
        names = {view.state.service for view in views if view.state.kind == "engine"}
        return sorted(names - {""})

    @property
    def _is_working(self) -> bool:
        return bool(self._run_tasks or self._preparations or self.calls_running)

    def _build_watch(self, table: HttpTable) -> SettingsWatch:
        return SettingsWatch(
            WatchSettings(), table, self.store, lambda: 1 + len(self.links), self.exchange.broadcast
        )

    def _build_reporter(self, table: HttpTable, planner: Planner) -> SettingsReporter:
        return SettingsReporter(
            ReportSettings(),
            self.settings.host,
            table,
            self.store,
            lambda: 1 + len(self.links),
            lambda: HostState("entry", shortages=planner.describe_shortages()),
        )

    def _broadcast_marks(self, marks: wire.PoisonMarks) -> None:
        message = wire.EntryMessage(poison=marks)
        for link in self.links.values():
            link.send(message)

    def _send_heartbeats(self) -> None:
        heartbeat = wire.EntryMessage(heartbeat=self._heartbeats.build_next())
        now = time.monotonic()
        for link in list(self.links.values()):
            link.check_heartbeat(now)
            if self._heartbeats.is_due(remote=self.meter.is_remote(link.region), busy=link.is_busy):
                link.send(heartbeat)
        self.dispatcher.resync()

    def _abandon(self, flight: Flight) -> None:
        task = self._run_tasks.get(flight)
        if task is not None and not flight.readers and not flight.done:
            _LOGGER.info("generation abandoned", extra={"generation": flight.generation})
            task.cancel()

    def _remove_flight(self, flight: Flight, task: asyncio.Task[None]) -> None:
        self._run_tasks.pop(flight, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _LOGGER.error(
                "generation failed", extra={"generation": flight.generation}, exc_info=error
            )
            flight.end_early(Refusal(ErrorKind.INTERNAL, "internal error"))
        elif flight.readers:
            # a caller came back while the abandoned generation was being cancelled
            flight.end_early(Refusal(ErrorKind.MAY_HAVE_RUN, "the generation was abandoned"))
        self.duplicates.remove(flight)
        self.dispatcher.admission.close(flight.identity.workspace)
        self.locations.retire(flight)
        if self.flights.get(flight.key) is flight:
            del self.flights[flight.key]


def _find_abandon_delay(flight: Flight) -> float:
    if not flight.identity.key_generated:
        return ABANDON_KEYED_DELAY_S
    # without a key, a caller receives the generation's identifier only with the first token
    return ABANDON_DELAY_S if flight.tokens else 0.0


def _check_same_body(flight: Flight, request: CompletionRequest) -> Flight:
    if flight.request.body_hash != request.body_hash:
        raise refuse(ErrorKind.KEY_REUSED, "the key was used with another body")
    return flight


def _may_read(flight: Flight, generation: str, identity: Identity) -> bool:
    owner = (flight.identity.workspace, flight.identity.caller)
    known = generation == flight.generation or generation in flight.previous_ids
    return known and owner == (identity.workspace, identity.caller)


__all__ = ["EntryService"]
