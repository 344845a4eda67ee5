"""Calls to plain (non-LLM) services."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import attrs
from mode import Service

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.entry.calls.idempotent import IdempotentRun
from basilroad.entry.calls.servicecall import ServiceAnswer, ServiceCall, read_answer, read_call
from basilroad.entry.keyedcalls.keyedcall import KeyedCall
from basilroad.entry.keyedcalls.keyedcallrunner import KeyedCallRunner
from basilroad.entry.links.link import EndpointView, LinkLostError
from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.logs import Candidate, Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from aiohttp import web
    from mode.types import ServiceT

    from basilroad.entry.context import EntryContext
    from basilroad.entry.identity import Identity

POLL_INTERVAL_S = 0.05
"""Seconds between checks for an available endpoint."""

REMOTE_REGION_PENALTY = 0.5
"""Added to the score of endpoints in other regions; the load is 1.0 when all slots are in use."""

RETRIES_MIN_PER_S = 1.0
"""Retries per second that every service is allowed, whatever its request rate."""

SHORT_CALL_S = 0.3
"""Time that a call needs at least; one that a planned stop would end before that isn't sent."""

_LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _RunningCall:
    """A call in flight.

    :param is_keyed: whether its key comes from the caller, so an earlier request may have run
    :param sent: whether it was sent to an endpoint
    :param limit: ends it when the entry shuts down
    """

    is_keyed: bool
    sent: bool = False
    limit: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))

    def end(self) -> None:
        """End the call once it has to wait for something."""
        self.limit.reschedule(asyncio.get_running_loop().time())


class ServiceCaller(Service):
    """Sends calls to plain services.

    :param entry: state of the entry process
    """

    def __init__(self, entry: EntryContext) -> None:
        super().__init__()
        self.entry = entry
        self.keyed_calls = KeyedCallRunner(self)
        self._budgets: dict[str, RetryBudget] = {}
        # by the id of the call
        self._running: dict[int, _RunningCall] = {}
        self._has_ended = False

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: child services."""
        return [] if self.keyed_calls.claims is None else [self.keyed_calls.claims]

    async def call(self, http: web.Request, body: bytes, identity: Identity) -> ServiceAnswer:
        """Run one call.

        :param http: the caller's request
        :param body: body of the request
        :param identity: sender of the request
        :return: the service's answer
        :raises RefusedError: the call failed; the error says whether it may have run
        """
        call = read_call(http, body, self.entry.store.view)
        running = _RunningCall(is_keyed=not identity.key_generated)
        self.entry.calls_running += 1
        try:
            async with running.limit:
                self._running[id(call)] = running
                if self._has_ended:
                    running.end()
                try:
                    return await self._run(call, identity)
                finally:
                    del self._running[id(call)]
        except TimeoutError:
            if not running.limit.expired():
                raise
            raise _build_shutdown_error(running) from None
        finally:
            self.entry.calls_running -= 1

    def end_at_shutdown(self) -> None:
        """End the calls in flight, and later ones, as the entry shuts down; each gets an error."""
        self._has_ended = True
        for running in self._running.values():
            running.end()

    async def choose(self, call: ServiceCall, avoided: set[str]) -> EndpointView:
        """Wait for an available endpoint of the service.

        :param call: call to run
        :param avoided: names of endpoints to exclude
        :return: the endpoint with the lowest score
        :raises RefusedError: none was available in time; nothing ran
        """
        while True:
            views = self._find_views(call.service, avoided)
            if views:
                return self._choose_least_loaded(call, views)
            if call.remaining_wait_s <= 0:
                raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint of the service accepts calls")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def send(
        self,
        view: EndpointView,
        call: ServiceCall,
        *,
        claim: str = "",
        incarnation: str = "",
        key: str = "",
    ) -> wire.CallAnswer:
        """Send a call to one endpoint, once.

        :param view: the endpoint
        :param call: call to run
        :param claim: ticket of its claim, if it must not run twice
        :param incarnation: incarnation of the agent that the claim names
        :param key: identifies the call across claims
        :return: the agent's answer
        :raises LinkLostError: the connection to the agent was lost before it answered
        """
        number = view.link.next_call_number()
        message = wire.RunCall(
            call=number,
            endpoint=view.name,
            method=call.method,
            path=call.path,
            headers=[wire.Header(name=name, value=value) for name, value in call.headers],
            body=call.body,
            idempotent=call.idempotent,
            claim=claim,
            incarnation=incarnation,
            patience=call.remaining_wait_s,
            timeout=call.contract.timeout_s,
            key=key,
        )
        timeout_s = call.contract.timeout_s + call.remaining_wait_s
        if running := self._running.get(id(call)):
            running.sent = True
        # agents don't report each start and end of a call, so the entry counts it as load itself
        with view.reserve_slot():
            reply = await view.link.ask(number, wire.EntryMessage(call=message), timeout_s)
        assert isinstance(reply, wire.CallAnswer)
        return reply

    def choose_other(self, call: ServiceCall, avoided: set[str]) -> EndpointView | None:
        """Find another endpoint of the service without waiting.

        :param call: call that is running
        :param avoided: names of endpoints that it was sent to
        :return: the endpoint with the lowest score; ``None`` if there is no other
        """
        views = self._find_views(call.service, avoided)
        return self._choose_least_loaded(call, views) if views else None

    async def _run(self, call: ServiceCall, identity: Identity) -> ServiceAnswer:
        if call.idempotent or identity.key_generated:
            self._check_accepted(call)
            if call.idempotent:
                return await IdempotentRun(self, call, self._find_budget(call)).run()
            return await self._run_once(call)
        keyed_call = KeyedCall(call, identity)
        try:
            self._check_accepted(call)
            return await self.keyed_calls.run(keyed_call)
        except RefusedError as error:
            return await self.keyed_calls.earlier.check(keyed_call, error)

    def _check_accepted(self, call: ServiceCall) -> None:
        if self.entry.stopping:
            raise refuse(ErrorKind.DRAINING, "this host is leaving")
        configured = call.service in self.entry.store.view.services
        if not configured and not self._find_views(call.service, set()):
            raise refuse(ErrorKind.UNKNOWN_SERVICE, "no such service")

    async def _run_once(self, call: ServiceCall) -> ServiceAnswer:
        # the key was generated here, so no other entry can send the call: no claim is needed
        avoided: set[str] = set()
        while True:
            view = await self.choose(call, avoided)
            if self.entry.read_stop_clock() + SHORT_CALL_S > self.entry.work_ends_at:
                # its end can't be promised, and another host can run it
                raise refuse(ErrorKind.DRAINING, "this host is shutting down")
            try:
                answer = await self.send(view, call)
            except LinkLostError as error:
                raise refuse(
                    ErrorKind.MAY_HAVE_RUN, "the connection to the endpoint's host was lost"
                ) from error
            if answer.kind not in (ErrorKind.NO_ENDPOINT.value, ErrorKind.DRAINING.value):
                return read_answer(answer)
            avoided.add(view.name)

    def _find_views(self, service: str, avoided: set[str]) -> list[EndpointView]:
        return [
            view
            for link in self.entry.links.values()
            for view in link.endpoints.values()
            if view.state.service == service
            and view.state.kind == "service"
            and view.usable
            and view.name not in avoided
        ]

    def _choose_least_loaded(self, call: ServiceCall, views: list[EndpointView]) -> EndpointView:
        scored = sorted((self._score(view) for view in views), key=lambda c: c.score or 0.0)
        decision = Decision(
            what="route", request=call.service, chosen=scored[0].endpoint, candidates=(*scored[:5],)
        )
        log_decision(_LOGGER, decision)
        return next(view for view in views if view.name == scored[0].endpoint)

    def _score(self, view: EndpointView) -> Candidate:
        load = (view.state.running + view.unreported_work) / max(1, view.state.slots)
        hello = view.link.hello
        local = hello is not None and hello.region == self.entry.settings.region
        parts = {"load": load, "distance": 0.0 if local else REMOTE_REGION_PENALTY}
        return Candidate(view.name, sum(parts.values()), parts)

    def _find_budget(self, call: ServiceCall) -> RetryBudget:
        budget = self._budgets.get(call.service)
        if budget is None:
            budget = RetryBudget(RetrySettings(call.contract.retry_ratio, RETRIES_MIN_PER_S))
            self._budgets[call.service] = budget
        return budget


def _build_shutdown_error(running: _RunningCall) -> RefusedError:
    if running.sent or running.is_keyed:
        return refuse(ErrorKind.MAY_HAVE_RUN, "this host shut down before an endpoint answered")
    return refuse(ErrorKind.DRAINING, "this host is shutting down")


__all__ = ["ServiceCaller"]
