"""Finds an endpoint for each attempt, or a place in the queue."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fairpolicy import Flow
from basilroad.entry.admission import Admission
from basilroad.entry.context import EntryContext
from basilroad.entry.demandreporter import DemandTeller
from basilroad.entry.engineindex import EngineIndex
from basilroad.entry.modelqueue import ModelQueue, QueuedRequest
from basilroad.entry.placement import Placement
from basilroad.entry.placementwait import RESUME_WAIT_S, Patience, fits
from basilroad.entry.prefixes import PrefixIndex
from basilroad.entry.routing import Scorer, log_route
from basilroad.entry.spillover import SpilloverPolicy
from basilroad.errors import ErrorKind, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.fairness import build_fairness

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.entry.duplicates import Copies
    from basilroad.entry.flight import Flight
    from basilroad.entry.link import AgentLink, EndpointView
    from basilroad.settings.view import SettingsView

ALONE_POLL_S = 0.1
"""Seconds between looks for an endpoint that a suspect can have to itself."""

REPLACE_TRIES = 3
"""Endpoints at which the work of a small caller tries to replace that of a larger one."""

RESYNC_S = 2.0
"""Seconds between two full reports of what waits."""

_LOGGER = logging.getLogger(__name__)


class DispatchContext(EntryContext, Protocol):
    """What the dispatcher needs of its entry.

    :param copies: requests of equal content
    """

    copies: Copies


class Dispatcher:
    """Places attempts on endpoints.

    :param entry: the process
    """

    def __init__(self, entry: DispatchContext) -> None:
        self.entry = entry
        self.model_queues: dict[str, ModelQueue] = {}
        self._tickets: dict[Flight, QueuedRequest] = {}
        self.prefixes = PrefixIndex()
        self.admission = Admission(entry.store)
        settings = entry.settings
        self._scorer = Scorer(settings.data_centre, entry.link_costs, self.prefixes)
        self._spill = SpilloverPolicy(entry.link_costs, lambda: entry.store.view)
        self._patience = Patience(lambda: entry.store.view, self.find_views)
        self._index = EngineIndex(settings.host, settings.region, entry.options.agents_limit)
        self._demand = DemandTeller(
            self.model_queues, self._index, self._is_wanted, self._is_remote, entry.links.values
        )
        self._fairness = build_fairness(entry.store.view)
        self._resynced_s = time.monotonic()
        entry.store.subscribe(self._configure)

    async def place(self, flight: Flight) -> Placement:
        """Wait for a slot.

        :param flight: needs an endpoint for its next attempt
        :return: where to run it
        :raises RefusedError: nothing ran and nothing will
        :raises VersionGoneError: no endpoint can go on with what was begun
        """
        self.entry.containment.check(flight.request.fingerprint)
        if self.entry.containment.requires_isolation(flight.request.fingerprint):
            return await self._place_alone(flight)
        if not flight.has_run:
            self._check_model(flight)
        model_queue = self._find_lane(flight.request.model)
        placement = self._choose(flight, model_queue)
        if placement is not None:
            return placement
        if not flight.has_run:
            self.admission.check_wait(flight, model_queue)
        return await self._wait(flight, model_queue)

    def give_back(self, placement: Placement) -> None:
        """Return a slot that is not needed.

        :param placement: from :meth:`place`
        """
        if placement.credit:
            _return_credit(placement.view.link, placement.credit, placement.view.name)

    def find_views(self, model: str) -> Sequence[EndpointView]:
        """:return: the engines that run a model, as far as this entry works with them."""
        return self._index.find(model)

    def on_credit(self, link: AgentLink, credit: wire.Credit) -> None:
        """Use a promised slot for who comes next, or give it back.

        :param link: stream to the agent
        :param credit: the promise
        """
        view = link.endpoints.get(credit.endpoint)
        model_queue = self.model_queues.get(view.state.service) if view is not None else None
        ticket = None
        if (
            model_queue is not None
            and view is not None
            and self._is_wanted(model_queue, credit.rank, view)
        ):
            ticket = self._pop(model_queue, credit, view)
        if ticket is None or view is None:
            self._refuse_credit(link, model_queue, credit)
            return
        self._note_sent(ticket.flight, view)
        log_route(ticket.flight, view.name, (), "credit")
        ticket.placed.set_result(Placement(view, credit.credit))

    def on_endpoint(self, view: EndpointView) -> None:
        """Look at the queue again when an endpoint has changed.

        :param view: the endpoint
        """
        self._index.put(view)
        model_queue = self.model_queues.get(view.state.service)
        if model_queue is None or not len(model_queue.queue):
            return
        self._preempt_waiting(model_queue, view)
        self.tell_demand()

    def on_up(self, link: AgentLink) -> None:
        """Work with the engines of an agent that has answered.

        :param link: stream to it
        """
        for view in link.endpoints.values():
            self._index.put(view)
        self._demand.forget(link)
        self.tell_demand()

    def on_lost(self, link: AgentLink) -> None:
        """Forget the engines of a lost agent.

        :param link: stream to it
        """
        links = self.entry.links.values()
        self._index.keep(view for known in links for view in known.endpoints.values())
        self._demand.forget(link)
        self.tell_demand()

    def on_unread(self, flight: Flight) -> None:
        """Start nothing for a caller that is away.

        :param flight: has no reader now
        """
        ticket = self._tickets.get(flight)
        if ticket is not None and not ticket.begun:
            self._find_lane(flight.request.model).remove(ticket)
            self.tell_demand()

    def on_reader(self, flight: Flight) -> None:
        """Let the work of a caller that came back wait again, as the first of its flow.

        :param flight: has a reader again
        """
        ticket = self._tickets.get(flight)
        model_queue = self._find_lane(flight.request.model)
        if ticket is None or ticket in model_queue.queue or ticket.placed.done():
            return
        model_queue.push(ticket, first=True)
        self.tell_demand()

    def on_tokens(self, flight: Flight, count: int) -> None:
        """Count tokens that this entry was served.

        :param flight: what they belong to
        :param count: how many
        """
        model_queue = self.model_queues.get(flight.request.model)
        if model_queue is not None:
            model_queue.record_served(count)

    def tell_demand(self) -> None:
        """Tell the agents what waits, soon and once."""
        self._demand.tell()

    def resync(self) -> None:
        """Tell the agents now and then all that waits, whatever they were told before."""
        now = time.monotonic()
        waits = any(len(model_queue.queue) for model_queue in self.model_queues.values())
        if waits and now - self._resynced_s >= RESYNC_S:
            self._resynced_s = now
            self._demand.forget_all()
            self.tell_demand()

    def _configure(self, view: SettingsView) -> None:
        self._fairness = build_fairness(view)
        for model_queue in self.model_queues.values():
            model_queue.queue.policy.configure(self._fairness)

    def _find_lane(self, model: str) -> ModelQueue:
        model_queue = self.model_queues.get(model)
        if model_queue is None:
            model_queue = ModelQueue(self._fairness)
            self.model_queues[model] = model_queue
        return model_queue

    def _refuse_credit(
        self, link: AgentLink, model_queue: ModelQueue | None, credit: wire.Credit
    ) -> None:
        if model_queue is not None:
            # the agent counts the work as served, so it has to hear of it again
            model_queue.queue.mark_changed(Flow(credit.rank, credit.workspace, credit.caller))
            self.tell_demand()
        _return_credit(link, credit.credit, credit.endpoint)
        decision = Decision(what="return_credit", chosen=credit.endpoint, reason="not needed")
        log_decision(_LOGGER, decision)

    def _choose(self, flight: Flight, model_queue: ModelQueue) -> Placement | None:
        rank = flight.identity.rank
        waiting = model_queue.queue.ranks()
        if any(other < rank for other in waiting):
            return None
        if rank in waiting:
            return self._choose_larger(flight, model_queue)
        if flight.busy:
            return None
        views = self._keep_with_copy(flight, self._find_candidates(flight))
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
        self._note_sent(flight, view)
        log_route(flight, view.name, tuple(scored[:5]), reason)
        return Placement(view)

    def _choose_larger(self, flight: Flight, model_queue: ModelQueue) -> Placement | None:
        """Find the place of a larger caller's work that has no token yet."""
        if model_queue.queue.count_flow(flight.flow) or flight.has_run:
            return None
        if flight.attempts >= REPLACE_TRIES:
            return None
        views = [view for view in self._find_candidates(flight) if self._may_replace(view, flight)]
        if not views:
            return None
        view = max(views, key=lambda view: view.reported_s)
        self._note_sent(flight, view)
        log_route(flight, view.name, (), "replaces a larger caller")
        return Placement(view)

    def _may_replace(self, view: EndpointView, flight: Flight) -> bool:
        state, rank = view.state, flight.identity.rank
        if not self.entry.store.view.limits(state.service).preemption:
            return False
        starting = state.starting_by_rank[rank] if rank < len(state.starting_by_rank) else 0
        return starting > view.unreported_work

    async def _place_alone(self, flight: Flight) -> Placement:
        deadline_s = time.monotonic() + RESUME_WAIT_S
        while time.monotonic() < deadline_s:
            self.entry.containment.check(flight.request.fingerprint)
            views = [view for view in self._find_candidates(flight) if not view.state.alone]
            if views:
                view = min(views, key=self._rank_for_suspect)
                log_route(flight, view.name, (), "suspect, alone")
                return Placement(view)
            await asyncio.sleep(ALONE_POLL_S)
        raise refuse(*self._patience.explain(flight))

    def _rank_for_suspect(self, view: EndpointView) -> tuple[bool, int, str]:
        return self._spill.is_remote(view), view.state.running + view.unreported_work, view.name

    def _keep_with_copy(self, flight: Flight, views: list[EndpointView]) -> list[EndpointView]:
        shared = self.entry.copies.find_endpoint(flight)
        return [view for view in views if view.name == shared] or views

    def _find_candidates(self, flight: Flight) -> list[EndpointView]:
        views = [v for v in self.find_views(flight.request.model) if fits(flight, v)]
        fresh = [view for view in views if view.name not in flight.avoided]
        if not fresh:
            flight.avoided.clear()
            return views
        return fresh

    def _check_model(self, flight: Flight) -> None:
        model = flight.request.model
        if not self.find_views(model) and not self.entry.may_know(model):
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
        """Place urgent work that came to wait because the endpoint's state was not known."""
        rank = model_queue.queue.ranks()[0]
        if not view.usable or view.free > 0 or not self._may_preempt(view, rank):
            return
        ticket = model_queue.queue.pop_rank(rank)
        if ticket is None or ticket.placed.done():
            return
        if not fits(ticket.flight, view):
            model_queue.queue.push_front(ticket, ticket.flow, float(ticket.flight.remaining))
            return
        self._note_sent(ticket.flight, view)
        log_route(ticket.flight, view.name, (), "preempts, waited")
        ticket.placed.set_result(Placement(view))

    async def _wait(self, flight: Flight, model_queue: ModelQueue) -> Placement:
        placed: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        ticket = QueuedRequest(flight, flight.flow, placed, flight.has_run)
        self._tickets[flight] = ticket
        model_queue.push(ticket, first=ticket.begun)
        self.tell_demand()
        try:
            if ticket.begun:
                return await self._patience.await_resume(flight, placed)
            return await self._patience.await_first(flight, placed)
        except TimeoutError as error:
            raise refuse(*self._patience.explain(flight)) from error
        finally:
            self._tickets.pop(flight, None)
            model_queue.remove(ticket)
            self.tell_demand()

    def _pop(
        self, model_queue: ModelQueue, credit: wire.Credit, view: EndpointView
    ) -> QueuedRequest | None:
        if not view.usable:
            return None
        flow = Flow(credit.rank, credit.workspace, credit.caller)
        passed: list[QueuedRequest] = []
        found: QueuedRequest | None = None
        while found is None:
            ticket = model_queue.queue.pop_flow(flow) or model_queue.queue.pop()
            if ticket is None:
                break
            if ticket.placed.done():
                continue
            if fits(ticket.flight, view):
                found = ticket
            else:
                passed.append(ticket)
        for ticket in reversed(passed):
            model_queue.queue.push_front(ticket, ticket.flow, float(ticket.flight.remaining))
        return found

    def _note_sent(self, flight: Flight, view: EndpointView) -> None:
        self.prefixes.add(view.name, flight.request.prefixes)

    def _is_remote(self, link: AgentLink) -> bool:
        return self.entry.meter.is_remote(link.region)

    def _is_wanted(self, model_queue: ModelQueue, rank: int, view: EndpointView) -> bool:
        if not self._spill.is_remote(view):
            return True
        waiting = (t for t in model_queue.waiting if t.flow.rank == rank and not t.placed.done())
        ticket = next(waiting, None)
        if ticket is None:
            return False
        age_s = time.monotonic() - ticket.queued_s
        views = self.find_views(view.state.service)
        return self._spill.is_wanted(ticket.flight, age_s, model_queue, views, view)


def _return_credit(link: AgentLink, credit: str, endpoint: str) -> None:
    back = wire.ReturnCredit(credit=credit, endpoint=endpoint)
    link.send(wire.EntryMessage(return_credit=back))


__all__ = ["Dispatcher"]
