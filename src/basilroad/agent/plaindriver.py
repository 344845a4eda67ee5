"""Drives one plain service; unrepeatable calls are sent once at the most."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.keymemory import KeyMemory
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
    from basilroad.settings.daemon import EndpointSettings

PROBE_S = 0.25
"""Seconds between looks at a service that took no connection."""

ANSWERS_MAX = 2_000
"""Answers of claimed calls that are kept."""

PROBE_S = 0.25
"""Seconds between probes of a service that was down."""

_LOGGER = logging.getLogger(__name__)


class PlainDriver(Service):
    """Sends calls to one plain service.

    :param settings: the endpoint
    :param incarnation: names this process; claims for another one are refused
    :param announce: called when the endpoint's state has changed
    """

    def __init__(
        self, settings: EndpointSettings, incarnation: str, announce: Callable[[], None]
    ) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = incarnation
        self.draining = False
        self.running = 0
        self.alive = True
        self._announce = announce
        self._service = HttpPlainService(settings.url)
        self._ledger = CallLedger(incarnation, CallLedgerSettings())
        self._answers: OrderedDict[str, wire.CallAnswer] = OrderedDict()
        self._keys = KeyMemory()

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

    async def run_call(self, link: EntryLink, order: wire.RunCall) -> None:
        """Send a call and answer the entry.

        :param link: stream to the entry
        :param order: the call
        """
        refusal = self._refuse(order)
        if refusal is not None:
            link.send(wire.AgentMessage(answer=refusal))
            return
        self.running += 1
        try:
            answer = await self._send(order)
        finally:
            self.running -= 1
        if order.claim:
            self._keep_answer(order, answer)
        link.send(wire.AgentMessage(answer=answer))

    def settle(self, order: wire.SettleCall) -> wire.CallSettled:
        """Tell what became of a claimed call; one never seen is refused from now on.

        :param order: names the claim
        :return: its state, with the answer if there is one
        """
        state = self._ledger.settle(order.claim, order.incarnation)
        answer = self._answers.get(order.claim)
        return wire.CallSettled(call=order.call, state=state.value, answer=answer)

    def find(self, order: wire.FindCall) -> wire.CallSettled:
        """Tell what is known of an order, whichever claim it ran under; settles nothing.

        :param order: names the order
        :return: its state, with the answer if there is one
        """
        ticket = self._keys.find(order.key)
        if ticket is None:
            state = CallState.NOT_STARTED if self._keys.is_whole else CallState.MAY_HAVE_RUN
            return wire.CallSettled(call=order.call, state=state.value)
        state = self._ledger.settle(ticket, self.incarnation)
        answer = self._answers.get(ticket)
        return wire.CallSettled(call=order.call, state=state.value, answer=answer)

    def _keep_answer(self, order: wire.RunCall, answer: wire.CallAnswer) -> None:
        self._ledger.finish(order.claim, answered=not answer.kind)
        if answer.kind:
            return
        self._answers[order.claim] = answer
        while len(self._answers) > ANSWERS_MAX:
            self._answers.popitem(last=False)

    def _refuse(self, order: wire.RunCall) -> wire.CallAnswer | None:
        if not order.claim:
            leaving = "the endpoint is leaving"
            return _fail(order, ErrorKind.DRAINING, leaving) if self.draining else None
        if self.draining:
            return self._settle_refused(order, ErrorKind.DRAINING, "the endpoint is leaving")
        deadline_s = time.monotonic() + order.patience
        if not self._ledger.begin(order.claim, order.incarnation, deadline_s):
            return self._settle_refused(order, ErrorKind.STALE_ORDER, "the claim is late or used")
        self._keys.note(order.key, order.claim)
        return None

    def _settle_refused(self, order: wire.RunCall, kind: ErrorKind, detail: str) -> wire.CallAnswer:
        # settled, so that the ticket can't be used after the refusal
        state = self._ledger.settle(order.claim, order.incarnation)
        if state is CallState.NOT_STARTED:
            return _fail(order, kind, detail)
        return _fail(order, ErrorKind.MAY_HAVE_RUN, f"{detail}: {state.value}")

    async def _send(self, order: wire.RunCall) -> wire.CallAnswer:
        call = PlainCall(
            method=order.method,
            path=order.path,
            headers=tuple((h.name, h.value) for h in order.headers),
            body=order.body,
            idempotent=order.idempotent,
            timeout_s=order.timeout,
        )
        try:
            outcome = await self._service.call(call)
        except Exception as error:
            # one call that can't be written as HTTP must not end the whole agent
            _LOGGER.exception("call failed")
            return _fail(order, ErrorKind.MAY_HAVE_RUN, type(error).__name__)
        return self._build_answer(order, outcome)

    def _build_answer(
        self, order: wire.RunCall, outcome: CallAnswered | CallNotSent | CallMayHaveRun
    ) -> wire.CallAnswer:
        match outcome:
            case CallAnswered():
                self._note_alive(True)
                headers = [wire.Header(name=n, value=v) for n, v in outcome.headers]
                return wire.CallAnswer(
                    call=order.call, status=outcome.status, headers=headers, body=outcome.body
                )
            case CallNotSent():
                self._note_alive(False)
                if order.claim:
                    self._ledger.cancel(order.claim)
                return _fail(order, ErrorKind.NO_ENDPOINT, outcome.detail)
            case CallMayHaveRun():
                return _fail(order, ErrorKind.MAY_HAVE_RUN, outcome.detail)

    def _note_alive(self, alive: bool) -> None:
        if alive == self.alive:
            return
        self.alive = alive
        self._announce()
        if not alive:
            self.add_future(self._await_recovery())

    async def _await_recovery(self) -> None:
        # a dead service gets no calls, so that none of them would show its return
        while not self.alive and not self.should_stop:
            await asyncio.sleep(PROBE_S)
            if await self._service.is_reachable():
                self._note_alive(True)


def _fail(order: wire.RunCall, kind: ErrorKind, detail: str) -> wire.CallAnswer:
    _LOGGER.info("call refused", extra={"what": "call", "kind": kind.value, "reason": detail})
    return wire.CallAnswer(call=order.call, kind=kind.value, detail=detail)


__all__ = ["PlainDriver"]
