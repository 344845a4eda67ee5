"""Chooses an endpoint for each attempt or queues the request."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fairpolicy import Flow
from basilroad.entry.context import EntryContext
from basilroad.entry.dispatch.admission import Admission
from basilroad.entry.dispatch.demandreporter import DemandReporter
from basilroad.entry.dispatch.engineindex import EngineIndex
from basilroad.entry.dispatch.modelqueue import ModelQueue, QueuedRequest
from basilroad.entry.dispatch.placement import Placement
from basilroad.entry.dispatch.placementwait import RESUME_TIMEOUT_S, PlacementWaiter, fits
from basilroad.entry.dispatch.prefixes import PrefixIndex
from basilroad.entry.dispatch.routing import Scorer, log_route
from basilroad.entry.dispatch.spillover import SpilloverPolicy
from basilroad.errors import ErrorKind, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.fairness import build_fairness

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.entry.generations.duplicates import DuplicateTracker
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import AgentLink, EndpointView
    from basilroad.settings.view import SettingsView

ISOLATED_POLL_S = 0.1
"""Interval between checks for an endpoint that can run an isolated request."""

SHARED_POLL_S = 0.02
"""Interval between checks for the end of a duplicate's attempt."""

REPLACE_ATTEMPTS_MAX = 3
"""Number of attempts after which a request no longer tries to replace a generation without
tokens of a caller with a larger backlog."""

RESYNC_INTERVAL_S = 2.0
"""Interval between full backlog reports to the agents."""

_LOGGER = logging.getLogger(__name__)


class DispatchContext(EntryContext, Protocol):
    """What the dispatcher needs from the entry process.

    :param duplicates: in-flight requests with equal content
    """

    duplicates: DuplicateTracker


class Dispatcher:
    """Assigns attempts to endpoints.

    :param entry: the entry process
    """

    def __init__(self, entry: DispatchContext) -> None:
        self.entry = entry
        self.model_queues: dict[str, ModelQueue] = {}
        self._queued_by_flight: dict[Flight, QueuedRequest] = {}
        self.prefixes = PrefixIndex()
        self.admission = Admission(entry.store)
        settings = entry.settings
        self._scorer = Scorer(settings.data_centre, entry.link_costs, self.prefixes)
        self._spill = SpilloverPolicy(entry.link_costs, lambda: entry.store.view)
        self._waiter = PlacementWaiter(lambda: entry.store.view, self.find_views)
        self._index = EngineIndex(settings.host, settings.region, entry.options.agents_limit)
        self._demand = DemandReporter(
            self.model_queues, self._index, self._is_wanted, self._is_remote, entry.links.values
        )
        self._fairness = build_fairness(entry.store.view)
        self._last_resync_s = time.monotonic()
        entry.store.subscribe(self._configure)

    async def place(self, flight: Flight) -> Placement:
        """Wait for a slot.

        :param flight: generation that needs an endpoint for its next attempt
        :return: endpoint to run it on
        :raises RefusedError: the attempt was not and will not be started
        :raises VersionGoneError: no endpoint has the version that the generation began with
        """
        self.entry.containment.check(flight.request.fingerprint)
        if self.entry.containment.requires_isolation(flight.request.fingerprint):
            return await self._place_isolated(flight)
        if not flight.has_run:
            self._check_model(flight)
        await self._await_duplicate(flight)
        model_queue = self._get_queue(flight.request.model)
        placement = self._choose(flight, model_queue)
        if placement is not None:
            return placement
        if not flight.has_run:
            self.admission.check_wait(flight, model_queue)
        return await self._wait(flight, model_queue)

    def release_placement(self, placement: Placement) -> None:
        """Return a slot that is not used.

        :param placement: result of :meth:`place`
        """
        if placement.credit:
            _return_credit(placement.view.link, placement.credit, placement.view.name)

    def find_views(self, model: str) -> Sequence[EndpointView]:
        """:return: the engines of a model that this entry uses."""
        return self._index.find(model)

    def on_credit(self, link: AgentLink, credit: wire.Credit) -> None:
        """Assign a credited slot to the next queued request, or return the credit.

        :param link: stream to the agent
        :param credit: slot credit, an offer of one slot
        """
        view = link.endpoints.get(credit.endpoint)
        model_queue = self.model_queues.get(view.state.service) if view is not None else None
        queued = None
        if (
            model_queue is not None
            and view is not None
            and self._is_wanted(model_queue, credit.rank, view)
        ):
            queued = self._pop(model_queue, credit, view)
        if queued is None or view is None:
            self._refuse_credit(link, model_queue, credit)
            return
        self._record_prefixes(queued.flight, view)
        log_route(queued.flight, view.name, (), "credit")
        queued.placed.set_result(Placement(view, credit.credit))

    def on_endpoint(self, view: EndpointView) -> None:
        """Update the index and re-evaluate the queue after an endpoint state change.

        :param view: the endpoint
        """
        self._index.put(view)
        model_queue = self.model_queues.get(view.state.service)
        if model_queue is None or not len(model_queue.queue):
            return
        self._preempt_waiting(model_queue, view)
        self.schedule_demand()

    def on_up(self, link: AgentLink) -> None:
        """Add the engines of an agent that has connected.

        :param link: stream to it
        """
        for view in link.endpoints.values():
            self._index.put(view)
        self._demand.forget(link)
        self.schedule_demand()

    def on_lost(self, link: AgentLink) -> None:
        """Remove the engines of a lost agent.

        :param link: stream to it
        """
        links = self.entry.links.values()
        self._index.keep(view for known in links for view in known.endpoints.values())
        self._demand.forget(link)
        self.schedule_demand()

    def on_readers_gone(self, flight: Flight) -> None:
        """Dequeue a generation that has no reader, unless it has started.

        :param flight: generation without a reader
        """
        queued = self._queued_by_flight.get(flight)
        if queued is not None and not queued.has_started:
            self._get_queue(flight.request.model).remove(queued)
            self.schedule_demand()

    def on_reader_attached(self, flight: Flight) -> None:
        """Queue a generation again at the head of its flow when a reader reattaches.

        :param flight: generation with a new reader
        """
        queued = self._queued_by_flight.get(flight)
        model_queue = self._get_queue(flight.request.model)
        if queued is None or queued in model_queue.queue or queued.placed.done():
            return
        model_queue.push(queued, first=True)
        self.schedule_demand()

    def on_tokens(self, flight: Flight, count: int) -> None:
        """Count tokens received from the engines.

        :param flight: generation that they belong to
        :param count: number of tokens
        """
        model_queue = self.model_queues.get(flight.request.model)
        if model_queue is not None:
            model_queue.record_served(count)

    def schedule_demand(self) -> None:
        """Schedule one batched backlog report to the agents."""
        self._demand.schedule_send()

    def resync(self) -> None:
        """Report the full backlog at intervals, regardless of earlier reports."""
        now = time.monotonic()
        has_backlog = any(len(model_queue.queue) for model_queue in self.model_queues.values())
        if has_backlog and now - self._last_resync_s >= RESYNC_INTERVAL_S:
            self._last_resync_s = now
            self._demand.forget_all()
            self.schedule_demand()

    def _configure(self, view: SettingsView) -> None:
        self._fairness = build_fairness(view)
        for model_queue in self.model_queues.values():
            model_queue.queue.policy.configure(self._fairness)

    def _get_queue(self, model: str) -> ModelQueue:
        model_queue = self.model_queues.get(model)
        if model_queue is None:
            model_queue = ModelQueue(self._fairness)
            self.model_queues[model] = model_queue
        return model_queue

    def _refuse_credit(
        self, link: AgentLink, model_queue: ModelQueue | None, credit: wire.Credit
    ) -> None:
        if model_queue is not None:
            # the agent counts the request as served, so its backlog must be reported again
            model_queue.queue.mark_changed(Flow(credit.rank, credit.workspace, credit.caller))
            self.schedule_demand()
        _return_credit(link, credit.credit, credit.endpoint)
        decision = Decision(what="return_credit", chosen=credit.endpoint, reason="no request")
        log_decision(_LOGGER, decision)

    def _choose(self, flight: Flight, model_queue: ModelQueue) -> Placement | None:
        rank = flight.identity.rank
        waiting = model_queue.queue.ranks()
        if any(other < rank for other in waiting):
            return None
        if rank in waiting:
            return self._choose_replacement(flight, model_queue)
        if flight.was_endpoint_busy:
            return None
        views = self._prefer_shared(flight, self._find_candidates(flight))
        free = [view for view in views if view.free > 0]
        free = self._spill.keep_reachable(flight, model_queue, free, views)
        reason = "free slot"
        if not free:
            free = [view for view in views if self._may_preempt(view, rank)]
            free = self._spill.keep_reachable(flight, model_queue, free, views)
            reason = "preempts"
        if not free:
            return None
        scored = self._scorer.score(flight, free)
        view = next(view for view in free if view.name == scored[0].endpoint)
        self._record_prefixes(flight, view)
        log_route(flight, view.name, tuple(scored[:5]), reason)
        return Placement(view)

    def _choose_replacement(self, flight: Flight, model_queue: ModelQueue) -> Placement | None:
        """Find an endpoint where a generation without tokens of a larger caller can be replaced."""
        if model_queue.queue.count_flow(flight.flow) or flight.has_run:
            return None
        if flight.attempts >= REPLACE_ATTEMPTS_MAX:
            return None
        views = [view for view in self._find_candidates(flight) if self._may_replace(view, flight)]
        if not views:
            return None
        view = max(views, key=lambda view: view.reported_s)
        self._record_prefixes(flight, view)
        log_route(flight, view.name, (), "replaces a larger caller")
        return Placement(view)

    def _may_replace(self, view: EndpointView, flight: Flight) -> bool:
        state, rank = view.state, flight.identity.rank
        if not self.entry.store.view.limits(state.service).preemption:
            return False
        starting = state.starting_by_rank[rank] if rank < len(state.starting_by_rank) else 0
        return starting > view.unreported_work

    async def _place_isolated(self, flight: Flight) -> Placement:
        deadline_s = time.monotonic() + RESUME_TIMEOUT_S
        while time.monotonic() < deadline_s:
            self.entry.containment.check(flight.request.fingerprint)
            views = [view for view in self._find_candidates(flight) if not view.state.alone]
            if views:
                view = min(views, key=self._rank_for_suspect)
                log_route(flight, view.name, (), "suspect, isolated")
                return Placement(view)
            await asyncio.sleep(ISOLATED_POLL_S)
        raise refuse(*self._waiter.describe_timeout(flight))

    def _rank_for_suspect(self, view: EndpointView) -> tuple[bool, int, str]:
        return self._spill.is_remote(view), view.state.running + view.unreported_work, view.name

    def _prefer_shared(self, flight: Flight, views: list[EndpointView]) -> list[EndpointView]:
        shared_endpoint = self.entry.duplicates.find_endpoint(flight)
        return [view for view in views if view.name == shared_endpoint] or views

    async def _await_duplicate(self, flight: Flight) -> None:
        """Wait while the endpoint that a request is to share accepts no further request.

        It may have crashed, which the end of the duplicate's attempt will show.
        """
        while self.entry.duplicates.must_share(flight):
            shared_endpoint = self.entry.duplicates.find_endpoint(flight)
            if any(view.name == shared_endpoint for view in self._find_candidates(flight)):
                return
            await asyncio.sleep(SHARED_POLL_S)

    def _find_candidates(self, flight: Flight) -> list[EndpointView]:
        views = [v for v in self.find_views(flight.request.model) if fits(flight, v)]
        untried = [view for view in views if view.name not in flight.avoided]
        if not untried:
            flight.avoided.clear()
            return views
        return untried

    def _check_model(self, flight: Flight) -> None:
        model = flight.request.model
        if not self.find_views(model) and not self.entry.may_serve_model(model):
            raise refuse(ErrorKind.UNKNOWN_MODEL, "no such model")

    def _may_preempt(self, view: EndpointView, rank: int) -> bool:
        state = view.state
        if not self.entry.store.view.limits(state.service).preemption:
            return False
        return any(
            count - view.unreported_work > self._fairness.reserved_slots(order, state.slots)
            for order, count in enumerate(state.running_by_rank)
            if order > rank
        )

    def _preempt_waiting(self, model_queue: ModelQueue, view: EndpointView) -> None:
        """Preempt for urgent requests that were queued before the endpoint's state was known."""
        rank = model_queue.queue.ranks()[0]
        if not view.usable or view.free > 0 or not self._may_preempt(view, rank):
            return
        queued = model_queue.queue.pop_rank(rank)
        if queued is None or queued.placed.done():
            return
        if not fits(queued.flight, view):
            model_queue.queue.push_front(queued, queued.flow, float(queued.flight.remaining))
            return
        self._record_prefixes(queued.flight, view)
        log_route(queued.flight, view.name, (), "preempts, after queueing")
        queued.placed.set_result(Placement(view))

    async def _wait(self, flight: Flight, model_queue: ModelQueue) -> Placement:
        placed: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        queued = QueuedRequest(flight, flight.flow, placed, flight.has_run)
        self._queued_by_flight[flight] = queued
        model_queue.push(queued, first=queued.has_started)
        self.schedule_demand()
        try:
            if queued.has_started:
                return await self._waiter.await_resume(flight, placed)
            return await self._waiter.await_first(flight, placed)
        except TimeoutError as error:
            raise refuse(*self._waiter.describe_timeout(flight)) from error
        finally:
            self._queued_by_flight.pop(flight, None)
            model_queue.remove(queued)
            self.schedule_demand()

    def _pop(
        self, model_queue: ModelQueue, credit: wire.Credit, view: EndpointView
    ) -> QueuedRequest | None:
        if not view.usable:
            return None
        flow = Flow(credit.rank, credit.workspace, credit.caller)
        skipped: list[QueuedRequest] = []
        found: QueuedRequest | None = None
        while found is None:
            queued = model_queue.queue.pop_flow(flow) or model_queue.queue.pop()
            if queued is None:
                break
            if queued.placed.done():
                continue
            if fits(queued.flight, view):
                found = queued
            else:
                skipped.append(queued)
        for queued in reversed(skipped):
            model_queue.queue.push_front(queued, queued.flow, float(queued.flight.remaining))
        return found

    def _record_prefixes(self, flight: Flight, view: EndpointView) -> None:
        self.prefixes.add(view.name, flight.request.prefixes)

    def _is_remote(self, link: AgentLink) -> bool:
        return self.entry.meter.is_remote(link.region)

    def _is_wanted(self, model_queue: ModelQueue, rank: int, view: EndpointView) -> bool:
        if not self._spill.is_remote(view):
            return True
        waiting = (t for t in model_queue.waiting if t.flow.rank == rank and not t.placed.done())
        queued = next(waiting, None)
        if queued is None:
            return False
        age_s = time.monotonic() - queued.queued_s
        views = self.find_views(view.state.service)
        return self._spill.is_wanted(queued.flight, age_s, model_queue, views, view)


def _return_credit(link: AgentLink, credit: str, endpoint: str) -> None:
    returned = wire.ReturnCredit(credit=credit, endpoint=endpoint)
    link.send(wire.EntryMessage(return_credit=returned))


__all__ = ["Dispatcher"]
