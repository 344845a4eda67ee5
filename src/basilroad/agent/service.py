"""Agent process: endpoint drivers, entry streams and timers."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from typing import TYPE_CHECKING

from grpclib.server import Server
from mode import Service

from basilroad.agent.cache import CacheFollower
from basilroad.agent.copyguard import CopyGuard
from basilroad.agent.directory import GenerationDirectory
from basilroad.agent.drains import Drains
from basilroad.agent.enginedriver import EngineDriver
from basilroad.agent.fencing import LeaseFence
from basilroad.agent.handlers import handle_message
from basilroad.agent.hoststate import build_host_state
from basilroad.agent.link import EntryLink
from basilroad.agent.plaindriver import PlainDriver
from basilroad.agent.registration import AgentRegistration
from basilroad.agent.runstore import RunStore
from basilroad.backing.table import HttpTable
from basilroad.coordination.hostrecords import HostRecords
from basilroad.coordination.poison import PoisonLedger, PoisonMark, PoisonSettings
from basilroad.coordination.timer import Timer
from basilroad.metrics import Metrics
from basilroad.peers.address import parse_address
from basilroad.peers.exchange import SettingsExchange
from basilroad.peers.failreason import FailReason
from basilroad.peers.heartbeat import HeartbeatScheduler
from basilroad.peers.serialization import pack_marks, unpack_marks
from basilroad.peers.streamtasks import end_tasks
from basilroad.peers.traffic import LinkMeter
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerBase
from basilroad.settings.report import ReportSettings, SettingsReporter
from basilroad.settings.store import SettingsStore
from basilroad.settings.watch import SettingsWatch, WatchSettings
from basilroad.stopsignal import StopSignal

if TYPE_CHECKING:
    from grpclib.server import Stream
    from mode.types import ServiceT

    from basilroad.agent.run import Run
    from basilroad.settings.daemon import DaemonSettings, EndpointSettings
    from basilroad.settings.view import SettingsView

STALL_CHECK_INTERVAL_S = 0.05
"""Seconds between checks for stalled runs."""

HEALTH_CHECK_INTERVAL_S = 1.0
"""Seconds between health checks of an idle engine."""

EXPIRY_INTERVAL_S = 5.0
"""Seconds between removals of expired records."""

FIRST_POLL_TIMEOUT_S = 1.0
"""Seconds to wait for the engines' loaded models and for the table before entries may connect."""

CACHE_UPDATE_INTERVAL_S = 0.1
"""Seconds over which changes of a prefix cache are collected before they are sent."""

CROSSING_S = 0.3
"""Time after the news of a drain for which the streams stay open, so that work which was sent
before the news had arrived is refused as not run; several round trips between data centres."""

PLATFORM_TIMEOUT_S = 2.0
"""Seconds to wait for one response of the platform."""

_LOGGER = logging.getLogger(__name__)


class _PeerHandler(PeerBase):
    def __init__(self, agent: AgentService) -> None:
        self.agent = agent

    async def Converse(  # noqa: N802
        self, stream: Stream[wire.EntryFrame, wire.AgentFrame]
    ) -> None:
        await self.agent.converse(stream)


class AgentService(Service):
    """Runs the requests of the entries on the endpoints of one host.

    :param settings: the daemon's settings, with its agent part
    :param stop_signal: signal that requests a planned stop
    """

    def __init__(self, settings: DaemonSettings, stop_signal: StopSignal | None = None) -> None:
        super().__init__()
        self._stop_signal = stop_signal or StopSignal()
        assert settings.agent is not None
        self.settings = settings
        self.options = settings.agent
        self.incarnation = uuid.uuid4().hex[:12]
        self.metrics = Metrics(settings.statsd, f"basilroad.{settings.host}")
        self.meter = LinkMeter(settings.region, self.metrics)
        self.timers = Timer()
        self.runs = RunStore(self.options.keep_s)
        self.directory = GenerationDirectory()
        self.poison = PoisonLedger(PoisonSettings())
        self.copies = CopyGuard(self.poison, self.runs)
        self.links: dict[EntryLink, None] = {}
        self.store = SettingsStore()
        self.exchange = SettingsExchange(
            self.store, lambda: self.links, lambda changes: wire.AgentMessage(settings=changes)
        )
        self.table = HttpTable(settings.platform, PLATFORM_TIMEOUT_S) if settings.platform else None
        self.fences = LeaseFence(self.table)
        runs_calls = any(each.kind == "service" for each in self.options.endpoints)
        records = HostRecords(self.table) if self.table is not None and runs_calls else None
        self.registration = AgentRegistration(records, settings.host, self.incarnation)
        self.drivers = {e.name: self._build_driver(e) for e in self.options.endpoints}
        self.drains = Drains(self)
        self._announce_pending = False
        self._outdated_links: set[EntryLink] = set()
        self._server: Server | None = None
        self._heartbeats = HeartbeatScheduler(self.store)

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: child services."""
        services: list[ServiceT] = [self.timers, self.registration, *self.drivers.values()]
        if self.table is not None:
            services.append(self._build_watch(self.table))
            services.append(self._build_reporter(self.table))
        return services

    async def on_started(self) -> None:
        """Start the timers and listen for entries."""
        self.store.subscribe(lambda _: self.drains.apply())
        self.store.subscribe(self._configure)
        self.drains.apply()
        self.timers.subscribe(self.options.heartbeat_s, self._send_heartbeats)
        self.timers.subscribe(STALL_CHECK_INTERVAL_S, self._check_stalls)
        for driver in self.drivers.values():
            if isinstance(driver, EngineDriver):
                self.timers.subscribe(HEALTH_CHECK_INTERVAL_S, driver.check_health)
        self.timers.subscribe(EXPIRY_INTERVAL_S, self._expire)
        self.timers.subscribe(CACHE_UPDATE_INTERVAL_S, self._send_cache_changes)
        await asyncio.gather(self._poll_engines(), self._await_registration())
        address = parse_address(self.options.listen)
        self._server = Server([_PeerHandler(self)])
        await self._server.start(address.ip, address.port)
        _LOGGER.info("agent listens", extra={"address": str(address)})

    async def on_stop(self) -> None:
        """Drain: accept no new work, let running work end or move it, then close."""
        self.drains.drain_all()
        drained_at = time.monotonic()
        await self._wait_for_runs()
        if self.links:
            await asyncio.sleep(max(0.0, drained_at + CROSSING_S - time.monotonic()))
        await asyncio.gather(*(link.finish() for link in list(self.links)))
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def on_shutdown(self) -> None:
        """Close the connections to the platform, after all child services have stopped."""
        if self.table is not None:
            await self.table.close()
        self.metrics.close()

    async def converse(self, stream: Stream[wire.EntryFrame, wire.AgentFrame]) -> None:
        """Serve one entry until its stream ends.

        :param stream: the stream that the entry opened
        """
        link = EntryLink(stream, self.options.flush_s, self.meter)
        self.links[link] = None
        sender = asyncio.ensure_future(link.run_sender())
        receiver = asyncio.ensure_future(self._receive(link))
        closer = asyncio.ensure_future(link.wait_closed())
        tasks = {sender, receiver, closer}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            try:
                await end_tasks(tasks)
            finally:
                # the reset of a stream and the end of its connection cancel the handler each
                self._drop_link(link)
                link.mark_ended()

    def send_hello(self, link: EntryLink) -> None:
        """Send a new entry this agent's identity, the poison marks and the cache contents.

        An entry in a remote region gets no cache contents.

        :param link: stream to the entry
        """
        hello = wire.AgentHello(
            host=self.settings.host,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            endpoints=[self._build_state(driver, link) for driver in self.drivers.values()],
        )
        link.send(wire.AgentMessage(hello=hello))
        marks = self.poison.marks_since(0).marks
        link.send(wire.AgentMessage(poison=pack_marks(marks)))
        if link.is_remote:
            return
        for follower in self._list_followers():
            for change in follower.describe():
                link.send(wire.AgentMessage(cache=change))

    def find_engine(self, name: str) -> EngineDriver | None:
        """:return: the engine of that name on this host."""
        driver = self.drivers.get(name)
        return driver if isinstance(driver, EngineDriver) else None

    def cancel(self, run: Run, reason: FailReason) -> None:
        """End a run early.

        :param run: the run
        :param reason: sent to its readers
        """
        driver = self.find_engine(run.start.endpoint)
        if driver is not None:
            driver.cancel(run, reason)

    def settle(self, request: wire.SettleCall) -> wire.CallSettled:
        """Settle a claimed call.

        :param request: names the claim
        :return: its state; if it was never received, every service of this host refuses it
        """
        for driver in self.drivers.values():
            if isinstance(driver, PlainDriver):
                settled = driver.settle(request)
                if settled.state != "never":
                    return settled
        state = "never" if request.incarnation == self.incarnation else "may_have_run"
        return wire.CallSettled(call=request.call, state=state)

    def find_call(self, request: wire.FindCall) -> wire.CallSettled:
        """Look up a keyed call in the services of this host.

        :param request: names the key
        :return: its state
        """
        for driver in self.drivers.values():
            if isinstance(driver, PlainDriver):
                found = driver.find(request)
                if found.state != "never":
                    return found
        state = "never" if self.registration.knows_all_calls else "may_have_run"
        return wire.CallSettled(call=request.call, state=state)

    def merge_poison_marks(self, message: wire.PoisonMarks, link: EntryLink | None) -> None:
        """Merge poison marks and forward them to the other entries if any is new.

        :param message: the marks
        :param link: stream on which they arrived; ``None`` for marks of this agent
        """
        if not self.poison.merge(unpack_marks(message)):
            return
        for other in self.links:
            if other is not link:
                other.send(wire.AgentMessage(poison=message))

    def announce(self) -> None:
        """Schedule one send of the endpoints' state to all entries."""
        if not self._announce_pending:
            self._announce_pending = True
            asyncio.get_running_loop().call_soon(self._send_states)

    async def _poll_engines(self) -> None:
        engines = [d for d in self.drivers.values() if isinstance(d, EngineDriver)]
        polls = asyncio.gather(*(engine.loads.refresh() for engine in engines))
        try:
            async with asyncio.timeout(FIRST_POLL_TIMEOUT_S):
                await polls
        except TimeoutError:
            _LOGGER.warning("an engine did not report its loaded model in time")

    async def _await_registration(self) -> None:
        try:
            async with asyncio.timeout(FIRST_POLL_TIMEOUT_S):
                await self.registration.tried.wait()
        except TimeoutError:
            _LOGGER.warning("the table did not answer in time; claimed calls wait for it")

    def _build_driver(self, endpoint: EndpointSettings) -> EngineDriver | PlainDriver:
        if endpoint.kind == "engine":
            return EngineDriver(
                endpoint, self.incarnation, self.announce, self.fences, self._record_mark
            )
        return PlainDriver(endpoint, self.incarnation, self.registration, self.announce)

    def _record_mark(self, mark: PoisonMark) -> None:
        self.merge_poison_marks(pack_marks([mark]), None)

    async def _receive(self, link: EntryLink) -> None:
        async for frame in link.stream:
            link.last_received_s = time.monotonic()
            if frame.compressed:
                frame = wire.EntryFrame.FromString(link.codec.inflate(frame.compressed))
            for message in frame.messages:
                body = message.WhichOneof("body")
                if body is not None:
                    handle_message(getattr(message, body), self, link)

    def _drop_link(self, link: EntryLink) -> None:
        self.links.pop(link, None)
        self._outdated_links.discard(link)
        self.runs.drop_link(link)
        for driver in self.drivers.values():
            if isinstance(driver, EngineDriver):
                driver.drop_link(link)
        if link.host_leaving:
            self.drains.apply()

    def _send_states(self) -> None:
        self._announce_pending = False
        for link in self.links:
            if link.is_remote and not self._is_urgent():
                # sent with the next heartbeat
                self._outdated_links.add(link)
            else:
                self._send_states_to(link)

    def _is_urgent(self) -> bool:
        return any(driver.draining or not driver.alive for driver in self.drivers.values())

    def _send_states_to(self, link: EntryLink) -> None:
        self._outdated_links.discard(link)
        for driver in self.drivers.values():
            link.send(wire.AgentMessage(endpoint=self._build_state(driver, link)))

    def _build_state(
        self, driver: EngineDriver | PlainDriver, link: EntryLink
    ) -> wire.EndpointState:
        state = driver.build_state()
        state.seen = link.seen[state.endpoint]
        state.entries = sum(other.hello.region == link.hello.region for other in self.links)
        return state

    def _send_cache_changes(self) -> None:
        for follower in self._list_followers():
            change = follower.take_change()
            if change is None:
                continue
            for link in self.links:
                if link.hello.host and not link.is_remote:
                    link.send(wire.AgentMessage(cache=change))

    def _list_followers(self) -> list[CacheFollower]:
        drivers = self.drivers.values()
        return [driver.cache for driver in drivers if isinstance(driver, EngineDriver)]

    def _build_watch(self, table: HttpTable) -> SettingsWatch:
        return SettingsWatch(
            WatchSettings(), table, self.store, self._count_nodes, self.exchange.broadcast
        )

    def _build_reporter(self, table: HttpTable) -> SettingsReporter:
        return SettingsReporter(
            ReportSettings(),
            self.settings.host,
            table,
            self.store,
            self._count_nodes,
            lambda: build_host_state(self.drivers.values()),
        )

    def _count_nodes(self) -> int:
        # agents have no links to other agents; the entries report the number of nodes
        return max([1, *(link.hello.nodes for link in self.links)])

    def _send_heartbeats(self) -> None:
        message = wire.AgentMessage(heartbeat=self._heartbeats.build_next())
        for link in self.links:
            if self._heartbeats.is_due(remote=link.is_remote, busy=link.is_busy):
                link.send(message)
                if link in self._outdated_links:
                    self._send_states_to(link)

    def _check_stalls(self) -> None:
        for driver in self.drivers.values():
            if isinstance(driver, EngineDriver):
                driver.check_stalls()
                driver.expire_credits()

    def _configure(self, view: SettingsView) -> None:
        for driver in self.drivers.values():
            if isinstance(driver, EngineDriver):
                driver.configure(view)

    def _expire(self) -> None:
        self.runs.expire()
        self.directory.expire()
        self.poison.expire()
        for run in self.runs.find_orphans(self.options.orphan_s):
            self.cancel(run, FailReason.CANCELLED)

    async def _wait_for_runs(self) -> None:
        limit = self._stop_signal.record() + self.options.drain_limit_s
        while self._count_work() and self._stop_signal.read_clock() < limit:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        for run in self.runs.running():
            self.cancel(run, FailReason.MOVED)

    def _count_work(self) -> int:
        calls = sum(d.running for d in self.drivers.values() if isinstance(d, PlainDriver))
        return calls + len(self.runs.running())


__all__ = ["AgentService"]
