"""Driver of one plain service; claimed calls are sent at most once."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.keymemory import KeyedCallIndex
from basilroad.coordination.callledger import CallLedger, CallLedgerSettings, CallState
from basilroad.endpoints.plainservice import (
    CallAnswered,
    CallMayHaveRun,
    CallNotSent,
    HttpPlainService,
    PlainCall,
)
from basilroad.errors import ErrorKind
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink
    from basilroad.agent.registration import AgentRegistration
    from basilroad.settings.daemon import EndpointSettings

PROBE_INTERVAL_S = 0.25
"""Seconds between probes of a service that refused a connection."""

MAX_KEPT_ANSWERS = 2_000
"""Maximum number of answers to claimed calls that are retained."""

PROBE_INTERVAL_S = 0.25
"""Seconds between probes of an unreachable service."""

_LOGGER = logging.getLogger(__name__)


class PlainDriver(Service):
    """Sends calls to one plain service.

    :param settings: the endpoint
    :param incarnation: incarnation of this process; claims for another one are refused
    :param registration: of the agent; claimed calls wait for it
    :param announce: called when the endpoint's state has changed
    """

    def __init__(
        self,
        settings: EndpointSettings,
        incarnation: str,
        registration: AgentRegistration,
        announce: Callable[[], None],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = incarnation
        self.draining = False
        self.running = 0
        self.alive = True
        self._registration = registration
        self._announce = announce
        self._service = HttpPlainService(settings.url)
        self._ledger = CallLedger(incarnation, CallLedgerSettings())
        self._answers: OrderedDict[str, wire.CallAnswer] = OrderedDict()
        self._keys = KeyedCallIndex()

    async def on_stop(self) -> None:
        """Close the service's connections."""
        await self._service.close()

    def build_state(self) -> wire.EndpointState:
        """:return: the endpoint's state for the entries."""
        return wire.EndpointState(
            endpoint=self.settings.name,
            kind=self.settings.kind,
            service=self.settings.service,
            version=self.settings.version,
            slots=self.settings.slots,
            running=self.running,
            draining=self.draining,
            alive=self.alive,
        )

    async def run_call(self, link: EntryLink, request: wire.RunCall) -> None:
        """Send a call and return its answer to the entry.

        :param link: stream to the entry
        :param request: the call
        """
        deadline_s = time.monotonic() + request.patience
        is_registered = not request.claim or await self._registration.await_registered(
            request.patience
        )
        refusal = self._refuse(request, deadline_s, is_registered=is_registered)
        if refusal is not None:
            link.send(wire.AgentMessage(answer=refusal))
            return
        self.running += 1
        try:
            answer = await self._send(request)
        finally:
            self.running -= 1
        if request.claim:
            self._keep_answer(request, answer)
        link.send(wire.AgentMessage(answer=answer))

    def settle(self, request: wire.SettleCall) -> wire.CallSettled:
        """Settle a claimed call; one never received is refused from now on.

        :param request: names the claim
        :return: its state, with the answer if it is retained
        """
        state = self._ledger.settle(request.claim, request.incarnation)
        answer = self._answers.get(request.claim)
        return wire.CallSettled(call=request.call, state=state.value, answer=answer)

    def find(self, request: wire.FindCall) -> wire.CallSettled:
        """Look up a keyed call, whichever claim it ran under; unlike settling, refuses nothing.

        :param request: names the key
        :return: its state, with the answer if it is retained
        """
        ticket = self._keys.find(request.key)
        if ticket is None:
            state = CallState.NOT_STARTED if self._keys.is_complete else CallState.MAY_HAVE_RUN
            return wire.CallSettled(call=request.call, state=state.value)
        state = self._ledger.settle(ticket, self.incarnation)
        answer = self._answers.get(ticket)
        return wire.CallSettled(call=request.call, state=state.value, answer=answer)

    def _keep_answer(self, request: wire.RunCall, answer: wire.CallAnswer) -> None:
        self._ledger.finish(request.claim, answered=not answer.kind)
        self._keys.finish(request.key, request.claim)
        if answer.kind:
            return
        self._answers[request.claim] = answer
        while len(self._answers) > MAX_KEPT_ANSWERS:
            self._answers.popitem(last=False)

    def _refuse(
        self, request: wire.RunCall, deadline_s: float, *, is_registered: bool
    ) -> wire.CallAnswer | None:
        if not request.claim:
            detail = "the endpoint is draining"
            return _build_failure(request, ErrorKind.DRAINING, detail) if self.draining else None
        if self.draining:
            return self._settle_refused(request, ErrorKind.DRAINING, "the endpoint is draining")
        if not is_registered:
            detail = "the agent could not record its host"
            return self._settle_refused(request, ErrorKind.NO_ENDPOINT, detail)
        if not self._ledger.begin(request.claim, request.incarnation, deadline_s):
            return self._settle_refused(
                request, ErrorKind.STALE_ORDER, "the claim has expired or was already used"
            )
        self._keys.record(request.key, request.claim)
        return None

    def _settle_refused(
        self, request: wire.RunCall, kind: ErrorKind, detail: str
    ) -> wire.CallAnswer:
        # settled, so that the ticket can't be used after the refusal
        state = self._ledger.settle(request.claim, request.incarnation)
        if state is CallState.NOT_STARTED:
            return _build_failure(request, kind, detail)
        return _build_failure(request, ErrorKind.MAY_HAVE_RUN, f"{detail}: {state.value}")

    async def _send(self, request: wire.RunCall) -> wire.CallAnswer:
        call = PlainCall(
            method=request.method,
            path=request.path,
            headers=tuple((h.name, h.value) for h in request.headers),
            body=request.body,
            idempotent=request.idempotent,
            timeout_s=request.timeout,
        )
        try:
            return self._build_answer(request, await self._service.call(call))
        except Exception as error:
            # an unexpected error in one call must not stop the agent
            _LOGGER.exception("call failed")
            return _build_failure(request, ErrorKind.MAY_HAVE_RUN, type(error).__name__)

    def _build_answer(
        self, request: wire.RunCall, outcome: CallAnswered | CallNotSent | CallMayHaveRun
    ) -> wire.CallAnswer:
        match outcome:
            case CallAnswered():
                self._set_alive(True)
                headers = [wire.Header(name=n, value=v) for n, v in outcome.headers]
                return wire.CallAnswer(
                    call=request.call, status=outcome.status, headers=headers, body=outcome.body
                )
            case CallNotSent():
                self._set_alive(False)
                if request.claim:
                    self._ledger.cancel(request.claim)
                return _build_failure(request, ErrorKind.NO_ENDPOINT, outcome.detail)
            case CallMayHaveRun():
                return _build_failure(request, ErrorKind.MAY_HAVE_RUN, outcome.detail)

    def _set_alive(self, alive: bool) -> None:
        if alive == self.alive:
            return
        self.alive = alive
        self._announce()
        if not alive:
            self.add_future(self._await_recovery())

    async def _await_recovery(self) -> None:
        # an unreachable service gets no calls, so its recovery shows only in a probe
        while not self.alive and not self.should_stop:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if await self._service.is_reachable():
                self._set_alive(True)


def _build_failure(request: wire.RunCall, kind: ErrorKind, detail: str) -> wire.CallAnswer:
    _LOGGER.info("call refused", extra={"what": "call", "kind": kind.value, "reason": detail})
    return wire.CallAnswer(call=request.call, kind=kind.value, detail=detail)


__all__ = ["PlainDriver"]
