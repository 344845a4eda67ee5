"""Calls that must not run twice."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from basilroad.coordination.callledger import CallState
from basilroad.coordination.claim import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimState,
    KeyMismatch,
    StoredHeader,
    StoredOutcome,
    Unavailable,
)
from basilroad.coordination.claims import Claims
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.table import TableError
from basilroad.entry.earliersend import EarlierSendCheck, build_key
from basilroad.entry.keyedcall import KeyedCall
from basilroad.entry.link import LinkLostError
from basilroad.entry.servicecall import ServiceAnswer, build_answer
from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.context import CallSender
    from basilroad.entry.link import AgentLink, EndpointView

GRACE_S = 0.3
"""Seconds that the holder of a claim is given before its agent is asked."""

POLL_S = 0.1
"""Seconds before the first question about a call that runs is asked again."""

POLL_MAX_S = 1.0
"""Seconds between such questions at the most."""

ASK_S = 1.0
"""Seconds to wait for an agent's reply."""

SETTLE_S = 5.0
"""Seconds to find out what became of a call whose agent was lost."""

NOT_RUN = frozenset(
    {ErrorKind.NO_ENDPOINT.value, ErrorKind.DRAINING.value, ErrorKind.STALE_ORDER.value}
)
"""Kinds with which an agent tells that a claimed call did not run and never will."""

_LOGGER = logging.getLogger(__name__)


class KeyedCallRunner:
    """Runs each keyed call once at the most, whichever entries it is sent to.

    :param caller: sends the calls
    """

    def __init__(self, caller: CallSender) -> None:
        self._caller = caller
        self._entry = caller.entry
        table = self._entry.table
        self.claims = Claims(table, ClaimsSettings()) if table is not None else None
        self.earlier = EarlierSendCheck(self)

    async def run(self, order: KeyedCall) -> ServiceAnswer:
        """Run an order, or find out what became of it.

        :param order: what is to run
        :return: its answer, perhaps a stored one
        :raises RefusedError: with what is known of the effect of this sending alone
        """
        view = await self._caller.choose(order.call, set())
        outcome = await self._require_claims().claim(self._build_request(order, view))
        while True:
            match outcome:
                case Claimed():
                    step = await self._send(order, outcome)
                case AlreadyClaimed():
                    step = await self._follow(order, outcome.claim)
                case KeyMismatch():
                    raise refuse(ErrorKind.KEY_REUSED, "the key was used for another call")
                case Unavailable():
                    raise refuse(ErrorKind.STORE_UNAVAILABLE, "the call could not be claimed")
            if isinstance(step, ServiceAnswer):
                return step
            outcome = step

    async def _send(self, order: KeyedCall, claimed: Claimed) -> ServiceAnswer | ClaimOutcome:
        record = claimed.claim.record
        view = self._find_view(order, record.agent, record.agent_incarnation)
        if view is None or order.call.patience_s <= 0:
            return await self._move(order, claimed.claim, "its agent is gone before the send")
        self._log(order, view.name, "claimed")
        try:
            answer = await self._caller.send(
                view,
                order.call,
                claim=claimed.claim.ticket,
                incarnation=record.agent_incarnation,
                key=build_key(order),
            )
        except LinkLostError:
            return await self._settle(order, claimed.claim, SETTLE_S)
        return await self._conclude(order, claimed.claim, answer)

    async def _conclude(
        self, order: KeyedCall, claim: Claim, answer: wire.CallAnswer
    ) -> ServiceAnswer | ClaimOutcome:
        if answer.kind in NOT_RUN:
            return await self._move(order, claim, answer.detail)
        return self.keep(claim, answer)

    def keep(self, claim: Claim, answer: wire.CallAnswer) -> ServiceAnswer:
        """Store the answer of an order that ran.

        :param claim: claim under which it ran
        :param answer: as the agent sent it
        :return: the service's answer
        :raises RefusedError: the call was not answered
        """
        built = build_answer(answer)
        self._record(claim, built)
        return built

    async def confirm(self, order: KeyedCall) -> Claim | None:
        """Read the claim of an order as it stands now.

        :param order: the order
        :return: the claim; ``None`` if there is none that may be used
        :raises TableError: the table did not answer
        """
        identity = order.identity
        return await self._require_claims().confirm(
            identity.workspace, identity.caller, identity.idempotency_key
        )

    def links(self) -> tuple[AgentLink, ...]:
        """:return: streams to the agents that this entry knows."""
        return tuple(self._entry.links.values())

    def read_outcome(self, claim: Claim) -> ServiceAnswer:
        """Read the stored answer of an order.

        :param claim: claim of an order that ran
        :return: its answer
        :raises RefusedError: it was too large to be stored
        """
        return _read_outcome(claim)

    async def _follow(self, order: KeyedCall, claim: Claim) -> ServiceAnswer | ClaimOutcome:
        if claim.record.state is ClaimState.RAN:
            return _read_outcome(claim)
        await asyncio.sleep(GRACE_S)
        newest = await self._read(order, claim)
        if newest is None:
            return await self._claim_again(order)
        if newest.record.nonce != claim.record.nonce or newest.record.state is ClaimState.RAN:
            return AlreadyClaimed(newest)
        return await self._settle(order, newest, order.call.patience_s)

    async def _settle(
        self, order: KeyedCall, claim: Claim, patience_s: float
    ) -> ServiceAnswer | ClaimOutcome:
        deadline_s = time.monotonic() + max(patience_s, ASK_S)
        wait_s = POLL_S
        while time.monotonic() < deadline_s:
            settled = await self.ask(claim)
            if settled is not None:
                state = CallState(settled.state)
                if state is CallState.NOT_STARTED:
                    return await self._move(order, claim, "settled as never sent")
                if settled.HasField("answer"):
                    return await self._conclude(order, claim, settled.answer)
                if state is CallState.MAY_HAVE_RUN:
                    break
                if state is CallState.RUNNING:
                    # it is worth waiting for as long as the call itself may take
                    limit_s = order.call.deadline_s + order.call.contract.timeout_s
                    deadline_s = max(deadline_s, limit_s)
            await asyncio.sleep(wait_s)
            wait_s = min(POLL_MAX_S, 2 * wait_s)
            newest = await self._read(order, claim)
            if newest is not None and newest.record != claim.record:
                return AlreadyClaimed(newest)
            if settled is not None and settled.state == CallState.RAN.value:
                raise refuse(ErrorKind.OUTCOME_LOST, "the call ran; its answer is not kept")
        raise refuse(ErrorKind.MAY_HAVE_RUN, "what became of the call is not known")

    async def ask(self, claim: Claim) -> wire.CallSettled | None:
        """Ask the agent of a claim what became of it; what was never sent is refused from then on.

        :param claim: the claim
        :return: the agent's reply; ``None`` if there was none in time
        """
        link = await self._reach(claim.record.agent)
        if link is None:
            return None
        number = link.next_call_number()
        question = wire.SettleCall(
            call=number, claim=claim.ticket, incarnation=claim.record.agent_incarnation
        )
        try:
            reply = await link.ask(number, wire.EntryMessage(settle=question), ASK_S)
        except LinkLostError:
            return None
        return reply if isinstance(reply, wire.CallSettled) else None

    async def _move(self, order: KeyedCall, claim: Claim, why: str) -> ClaimOutcome:
        # only after the agent refused the old ticket for good, or nothing was ever sent under it
        try:
            if order.call.patience_s <= 0:
                raise refuse(ErrorKind.NO_ENDPOINT, f"the call did not run: {why}")
            view = await self._caller.choose(order.call, set())
        except RefusedError:
            await self._require_claims().release(Claimed(claim))
            raise
        self._log(order, view.name, why)
        return await self._require_claims().take_over(claim, self._build_request(order, view))

    async def _claim_again(self, order: KeyedCall) -> ClaimOutcome:
        view = await self._caller.choose(order.call, set())
        return await self._require_claims().claim(self._build_request(order, view))

    async def _read(self, order: KeyedCall, claim: Claim) -> Claim | None:
        identity = order.identity
        try:
            return await self._require_claims().read(
                identity.workspace, identity.caller, identity.idempotency_key
            )
        except TableError:
            return claim

    async def _reach(self, agent: str) -> AgentLink | None:
        link = await self._entry.connect(parse_address(agent))
        try:
            async with asyncio.timeout(ASK_S):
                await link.up.wait()
        except TimeoutError:
            return None
        return link

    def _record(self, claim: Claim, answer: ServiceAnswer) -> None:
        headers = tuple(StoredHeader(name, value) for name, value in answer.headers.items())
        outcome = StoredOutcome(answer.status, headers, answer.body)
        self._require_claims().record_outcome(Claimed(claim), outcome)

    def _find_view(self, order: KeyedCall, agent: str, incarnation: str) -> EndpointView | None:
        link = self._entry.links.get(parse_address(agent))
        if link is None or not link.is_up or link.incarnation != incarnation:
            return None
        views = link.endpoints.values()
        return next((v for v in views if v.state.service == order.call.service), None)

    def _build_request(self, order: KeyedCall, view: EndpointView) -> ClaimRequest:
        return ClaimRequest(
            workspace=order.identity.workspace,
            caller=order.identity.caller,
            key=order.identity.idempotency_key,
            fingerprint=order.fingerprint,
            holder=self._entry.incarnation,
            agent=str(view.link.address),
            agent_incarnation=view.link.incarnation,
            deadline=order.call.deadline_s,
        )

    def _require_claims(self) -> Claims:
        if self.claims is None:
            raise refuse(ErrorKind.STORE_UNAVAILABLE, "no platform is set")
        return self.claims

    def _log(self, order: KeyedCall, endpoint: str, why: str) -> None:
        decision = Decision(
            what="route", request=order.identity.key.hex(), chosen=endpoint, reason=why
        )
        log_decision(_LOGGER, decision)


def _read_outcome(claim: Claim) -> ServiceAnswer:
    outcome = claim.record.outcome
    if outcome is None or not outcome.body_kept:
        raise refuse(ErrorKind.OUTCOME_LOST, "the call ran; its answer is not kept")
    headers = {header.name: header.value for header in outcome.headers}
    return ServiceAnswer(outcome.status, headers, outcome.body)


__all__ = ["KeyedCall", "KeyedCallRunner"]
