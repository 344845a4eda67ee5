"""Assigns calls to endpoints by priority, then by fair shares of workspaces."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from operator import itemgetter
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.coordination.fairqueue import FairQueue
from basilroad.gateway.dispatch.availability import find_service_pause
from basilroad.gateway.dispatch.candidates import Candidates, EndpointCriteria
from basilroad.gateway.dispatch.promptlocations import PromptLocations
from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptAccess
from basilroad.gateway.dispatch.selection import estimate_wait
from basilroad.gateway.registry.endpoint import Reservation

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, PromptSize
    from basilroad.gateway.dispatch.availability import ServicePause
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.dispatch.selection import Chooser
    from basilroad.gateway.exchange.permits import PermitExchange
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.reports import ReportReader
    from basilroad.gateway.route import EngineLimits

SWEEP_INTERVAL_S = 0.02
"""Interval of dispatching queued calls: capacity can also become free without a call of this
gateway ending, for example when a backoff ends or a peer reports less load."""

REPORT_CANDIDATES = 3
"""Engines whose reports are read before a placement: with the best of two or three random ones,
crowded engines are rare, and each request costs."""

CROWDED_WAIT_S = 0.6
"""Wait at the best candidate beyond which further ones are asked: half the prefill of a mean
prompt."""

MAX_PERMIT_ROUNDS = 3
"""Endpoints with a limit that are asked for one call before it takes what is left, or waits."""

MAX_REPORT_ROUNDS = 2
"""Groups of candidates that are asked for one call."""

STRICT_PRIORITY = FairSettings(floor=0.0)
"""No minimum share for low ranks: they wait as long as more urgent calls are queued."""


@attrs.define(order=False, eq=False)
class Ticket:
    """A queued call.

    :param call: the call
    :param avoid: excluded endpoints
    :param wait_until: monotonic seconds until which it may wait
    :param placed: future of the reservation; ``None`` if waiting is of no use
    :param version: the only version that may run it; ``None`` for any
    """

    call: Call
    avoid: Collection[str]
    wait_until: float
    placed: asyncio.Future[Reservation | None]
    version: str | None = None

    @property
    def flow(self) -> Flow:
        """:return: the flow whose fair share the call uses."""
        return Flow(self.call.rank, self.call.workspace, "")

    @property
    def cost(self) -> float:
        """:return: tokens of a generation; 1 for a call of a plain service."""
        return float(self.call.size.total or 1)


class Dispatcher:
    """Queues calls by service, rank and workspace, then by time of arrival.

    :param directory: known endpoints
    :param chooser: selects among them
    :param find_engine: returns the engine limits of a service by its name
    :param reports: reads the load reports of engines
    :param permits: asks for permits of endpoints that named a limit; without it none are had
    :param clock: monotonic seconds
    :param may_begin: checks whether new streams of a service may be placed at a version
    """

    def __init__(
        self,
        directory: Directory,
        chooser: Chooser,
        find_engine: Callable[[str], EngineLimits | None],
        reports: ReportReader | None = None,
        permits: PermitExchange | None = None,
        clock: Callable[[], float] = time.monotonic,
        may_begin: Callable[[str, str], bool] = lambda _service, _version: True,
    ) -> None:
        self.directory = directory
        self.chooser = chooser
        self.find_engine = find_engine
        self.asks_engines = False
        self._reports = reports
        self._permits = permits
        self._permit_requests: dict[str, asyncio.Task[None]] = {}
        self.prompt_locations = PromptLocations()
        self._clock = clock
        self._candidates = Candidates(
            directory, chooser, find_engine, self.prompt_locations, may_begin, clock
        )
        self._queues: dict[str, FairQueue[Ticket]] = {}

    @property
    def waiting(self) -> int:
        """:return: number of queued calls."""
        return sum(len(queue) for queue in self._queues.values())

    async def place(
        self,
        call: Call,
        wait_until: float,
        avoid: Collection[str] = (),
        version: str | None = None,
    ) -> Reservation | None:
        """Wait for an endpoint with capacity, unless none takes calls in time.

        :param call: the call
        :param wait_until: monotonic seconds until which it may wait
        :param avoid: excluded endpoints
        :param version: the only version that may run it; ``None`` for any
        :return: reserved capacity; ``None`` if there was none in time
        """
        if not self._is_blocked(call, version):
            criteria = self._build_criteria(call, avoid, version)
            endpoint = await self._choose_by_reports(call, criteria)
            if endpoint is None:
                criteria = self._build_criteria(call, avoid, version)
                endpoint = await self._choose_permitted(call, criteria)
            if endpoint is not None:
                return self._reserve_for(call, endpoint)
        left_s = wait_until - self._clock()
        if left_s <= 0:
            return None
        ticket = Ticket(call, avoid, wait_until, _create_future(), version)
        pause = self.find_turn(call, avoid, version)
        if self._is_wait_useless(ticket, pause, self._list_staying(call, version)):
            return None
        return await self._wait(ticket, left_s)

    async def acquire_permit(self, endpoint: Endpoint) -> bool:
        """Get a permit for a request to an endpoint, unless there is one in hand or none is needed.

        :param endpoint: the endpoint
        :return: whether a request may be sent to it
        """
        if endpoint.notices.limit.has_permit(self._clock()):
            return True
        return self._permits is not None and await self._permits.acquire(endpoint)

    def request_permit(self, endpoint: Endpoint) -> None:
        """Ask for a permit in the background, unless none is needed or to be had.

        :param endpoint: the endpoint
        """
        limit, now = endpoint.notices.limit, self._clock()
        if endpoint.id in self._permit_requests or limit.has_permit(now) or limit.is_refused(now):
            return
        task = asyncio.ensure_future(self._request_permit(endpoint))
        self._permit_requests[endpoint.id] = task

    async def _request_permit(self, endpoint: Endpoint) -> None:
        try:
            await self.acquire_permit(endpoint)
        finally:
            del self._permit_requests[endpoint.id]
        self.dispatch_waiting()

    def reserve(
        self,
        endpoint: Endpoint,
        size: PromptSize,
        *,
        needs_prefill: bool = True,
        transfer_tokens: int = 0,
    ) -> Reservation:
        """Reserve capacity of an endpoint for one request, and use a permit if it needs one.

        :param endpoint: the endpoint
        :param size: tokens of the call
        :param needs_prefill: whether the endpoint has to process the prompt first
        :param transfer_tokens: tokens of prefill that take as long as the transfer of its prompt
        :return: the reservation
        """
        reservation = Reservation(
            endpoint, size, needs_prefill=needs_prefill, transfer_tokens=transfer_tokens
        )
        endpoint.notices.limit.take_permit(self._clock(), reservation)
        return reservation

    def plan_prompt(self, call: Call, endpoint: Endpoint) -> PromptPlan:
        """:return: how an engine gets the prompt of a call."""
        return self._candidates.plan_prompt(call, endpoint)

    def _reserve_for(self, call: Call, endpoint: Endpoint) -> Reservation:
        plan = self.plan_prompt(call, endpoint)
        return self.reserve(
            endpoint,
            call.size,
            needs_prefill=plan.access is PromptAccess.COMPUTED,
            transfer_tokens=round(plan.duration_s * PREFILL_TOKENS_PER_S),
        )

    def find_pause(
        self, call: Call, avoid: Collection[str] = (), version: str | None = None
    ) -> ServicePause | None:
        """:return: the pause of a call's service, if all endpoints for it want no requests."""
        endpoints = self._candidates.list_all(call, EndpointCriteria(avoid, version))
        return find_service_pause(endpoints, self._clock(), avoid)

    def find_turn(
        self, call: Call, avoid: Collection[str] = (), version: str | None = None
    ) -> ServicePause | None:
        """:return: the same, until the turn of a call that comes after those that wait."""
        pause = self.find_pause(call, avoid, version)
        return None if pause is None else pause.after(self._count_ahead(call))

    def has_room(self, call: Call, avoid: Collection[str], version: str | None = None) -> bool:
        """:return: whether another endpoint could take the call at once."""
        return self._choose_unblocked(call, avoid, version) is not None

    def estimate_first_event(
        self, call: Call, avoid: Collection[str], version: str | None = None
    ) -> float | None:
        """Estimate when another endpoint that could take a call at once would begin to answer.

        :param call: the call
        :param avoid: excluded endpoints
        :param version: the only version that may run it; ``None`` for any
        :return: seconds if it computes the prompt; ``None`` without such an endpoint
        """
        endpoint = self._choose_unblocked(call, avoid, version)
        if endpoint is None:
            return None
        prefill_s = call.size.prompt_tokens / PREFILL_TOKENS_PER_S
        return estimate_wait(endpoint, call.size, self._clock()) + prefill_s

    def reserve_at_once(
        self, call: Call, avoid: Collection[str], version: str | None = None
    ) -> Reservation | None:
        """:return: capacity of another endpoint, if one could take the call at once."""
        endpoint = self._choose_unblocked(call, avoid, version)
        return None if endpoint is None else self._reserve_for(call, endpoint)

    def release(self, reservation: Reservation, *, is_unused: bool = False) -> None:
        """Release a reservation and dispatch queued calls.

        :param reservation: the reservation
        :param is_unused: whether nothing was sent for it, so that others may use its permit
        """
        if is_unused:
            reservation.endpoint.notices.limit.give_back(reservation)
        reservation.release()
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Assign queued calls to endpoints as far as there is capacity."""
        for queue in list(self._queues.values()):
            self._dispatch_queue(queue)

    def _list_ahead(self, call: Call) -> list[Ticket]:
        queue = self._queues.get(call.service)
        if queue is None or not any(rank <= call.rank for rank in queue.ranks()):
            return []
        return [ticket for ticket in queue.items() if ticket.call.rank <= call.rank]

    def _is_blocked(self, call: Call, version: str | None) -> bool:
        return any(ticket.version in (None, version) for ticket in self._list_ahead(call))

    def _choose_unblocked(
        self, call: Call, avoid: Collection[str], version: str | None
    ) -> Endpoint | None:
        if self._is_blocked(call, version):
            return None
        return self._choose_at_once(call, self._build_criteria(call, avoid, version))

    async def _wait(self, ticket: Ticket, left_s: float) -> Reservation | None:
        placed, service = ticket.placed, ticket.call.service
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = FairQueue(STRICT_PRIORITY)
        queue.push(ticket, ticket.flow, ticket.cost)
        try:
            async with asyncio.timeout(left_s):
                return await placed
        except TimeoutError:
            return _take_result(placed)
        except asyncio.CancelledError:
            # a reservation may have been made just before the cancellation
            given = _take_result(placed)
            if given is not None:
                self.release(given, is_unused=True)
            raise
        finally:
            queue.remove(ticket)
            self.dispatch_waiting()

    def _dispatch_queue(self, queue: FairQueue[Ticket]) -> None:
        self._end_useless_waits(queue)
        held: list[Ticket] = []
        claimed: set[str] = set()
        while (ticket := queue.peek()) is not None:
            if ticket.placed.done():
                queue.remove(ticket)
                continue
            endpoint = self._choose_for(ticket, claimed)
            if endpoint is not None and not endpoint.notices.limit.has_permit(self._clock()):
                self.request_permit(endpoint)
                if ticket.version is None:
                    break
                endpoint = None
            if endpoint is None and not ticket.avoid and ticket.version is None:
                break
            if endpoint is None:
                # later calls may use the endpoints that this one excludes
                queue.remove(ticket)
                if ticket.avoid and self._is_wait_useless(
                    ticket,
                    self.find_pause(ticket.call, ticket.avoid, ticket.version),
                    self._list_staying(ticket.call, ticket.version),
                ):
                    ticket.placed.set_result(None)
                    continue
                held.append(ticket)
                if ticket.version is not None and not ticket.avoid:
                    claimed.add(ticket.version)
                continue
            queue.pop()
            ticket.placed.set_result(self._reserve_for(ticket.call, endpoint))
        for ticket in reversed(held):
            queue.push_front(ticket, ticket.flow, ticket.cost)

    def _choose_for(self, ticket: Ticket, claimed: Collection[str]) -> Endpoint | None:
        if ticket.version in claimed:
            return None
        criteria = EndpointCriteria(ticket.avoid, ticket.version, claimed)
        endpoint = self._choose_at_once(ticket.call, criteria)
        return endpoint or self._candidates.choose(ticket.call, criteria)

    def _end_useless_waits(self, queue: FairQueue[Ticket]) -> None:
        by_version: dict[str | None, list[Ticket]] = {}
        for ticket in queue.items():
            by_version.setdefault(ticket.version, []).append(ticket)
        for version, tickets in by_version.items():
            call = tickets[0].call
            pause = self.find_pause(call, version=version)
            staying = self._list_staying(call, version)
            if pause is None and staying is None:
                continue
            for ticket in tickets:
                if not ticket.placed.done() and self._is_wait_useless(ticket, pause, staying):
                    queue.remove(ticket)
                    ticket.placed.set_result(None)

    def _list_staying(self, call: Call, version: str | None) -> list[Endpoint] | None:
        """:return: the endpoints that a bound call can wait for; ``None`` if others may come."""
        if version is None or not self.directory.is_reliable:
            return None
        return self.directory.list_staying(call.service, version)

    def _is_wait_useless(
        self, ticket: Ticket, pause: ServicePause | None, staying: list[Endpoint] | None
    ) -> bool:
        if pause is not None and pause.outlasts(ticket.wait_until):
            return True
        return staying is not None and all(endpoint.id in ticket.avoid for endpoint in staying)

    async def _choose_by_reports(self, call: Call, criteria: EndpointCriteria) -> Endpoint | None:
        """Choose an engine by the reports of a few candidates.

        :param call: the call
        :param criteria: the endpoints that it may use
        :return: an engine that reported; ``None`` if engines are not asked or none has room
        """
        engine = self.find_engine(call.service)
        if self._reports is None or engine is None or not self.asks_engines:
            return None
        holder = self._candidates.find_holder(call)
        excluded, known = set(criteria.avoid), []
        for _ in range(MAX_REPORT_ROUNDS):
            # requests for reports would use up the permits of limited engines
            endpoints = [
                endpoint
                for endpoint in self._candidates.list_preferred(call, criteria)
                if not endpoint.notices.limit.is_in_force(self._clock())
            ]
            scored = self.chooser.list_scored(
                endpoints, call, engine, self._clock(), excluded, holder
            )
            scored.sort(key=itemgetter(0))
            candidates = [endpoint for _, endpoint in scored[:REPORT_CANDIDATES]]
            excluded.update(endpoint.id for endpoint in candidates)
            known += await self._reports.refresh(candidates)
            best = self.chooser.choose(known, call, engine, self._clock(), criteria.avoid, holder)
            if best is not None and estimate_wait(best, call.size, self._clock()) < CROWDED_WAIT_S:
                break
        return best

    async def _choose_permitted(self, call: Call, criteria: EndpointCriteria) -> Endpoint | None:
        endpoint = self._candidates.choose(call, criteria)
        for _ in range(MAX_PERMIT_ROUNDS):
            if endpoint is None:
                return None
            # it may have announced its exit while the permit was asked for
            if await self.acquire_permit(endpoint) and endpoint.is_available(self._clock()):
                return endpoint
            # calls may have queued meanwhile
            criteria = self._build_criteria(call, criteria.avoid, criteria.version)
            # one round trip is enough while others need no permit
            endpoint = self._choose_at_once(call, criteria)
            endpoint = endpoint or self._candidates.choose(call, criteria)
        criteria = self._build_criteria(call, criteria.avoid, criteria.version)
        return self._choose_at_once(call, criteria)

    def _choose_at_once(self, call: Call, criteria: EndpointCriteria) -> Endpoint | None:
        return self._candidates.choose(call, criteria, at_once=True)

    def _build_criteria(
        self, call: Call, avoid: Collection[str], version: str | None
    ) -> EndpointCriteria:
        ahead = self._list_ahead(call)
        return EndpointCriteria(avoid, version, {t.version for t in ahead if t.version is not None})

    def _count_ahead(self, call: Call) -> int:
        queue = self._queues.get(call.service)
        if queue is None:
            return 0
        return sum(queue.count(rank) for rank in queue.ranks() if rank <= call.rank)


def _create_future() -> asyncio.Future[Reservation | None]:
    return asyncio.get_running_loop().create_future()


def _take_result(placed: asyncio.Future[Reservation | None]) -> Reservation | None:
    if placed.done() and not placed.cancelled():
        return placed.result()
    return None


__all__ = ["SWEEP_INTERVAL_S", "Dispatcher", "Ticket"]
