"""At-most-once execution of calls that have an idempotency key."""

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
from basilroad.coordination.hostrecords import HostRecords
from basilroad.coordination.table import TableError
from basilroad.entry.calls.servicecall import ServiceAnswer, read_answer
from basilroad.entry.keyedcalls.callhosts import CallHosts
from basilroad.entry.keyedcalls.earliersend import EarlierSendCheck, build_key
from basilroad.entry.keyedcalls.keyedcall import KeyedCall
from basilroad.entry.links.link import LinkLostError
from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.context import CallSender
    from basilroad.entry.links.link import AgentLink, EndpointView

HOLDER_GRACE_S = 0.3
"""Seconds that the holder of a claim is given to finish before its agent is asked."""

POLL_MIN_INTERVAL_S = 0.1
"""Seconds before the first repeated query about a running call; doubled each time."""

POLL_MAX_INTERVAL_S = 1.0
"""Maximum number of seconds between such queries."""

REPLY_TIMEOUT_S = 1.0
"""Seconds to wait for an agent's reply."""

LOST_AGENT_TIMEOUT_S = 5.0
"""Seconds to determine the outcome of a call after the connection to its agent was lost."""

NOT_RUN = frozenset(
    {ErrorKind.NO_ENDPOINT.value, ErrorKind.DRAINING.value, ErrorKind.STALE_ORDER.value}
)
"""Error kinds that guarantee that a claimed call did not run and never will."""

_LOGGER = logging.getLogger(__name__)


class KeyedCallRunner:
    """Runs each keyed call at most once, even if it is sent to several entries.

    :param caller: sends the calls
    """

    def __init__(self, caller: CallSender) -> None:
        self._caller = caller
        self._entry = caller.entry
        table = self._entry.table
        self.claims = Claims(table, ClaimsSettings()) if table is not None else None
        self.hosts = CallHosts(HostRecords(table), self.links) if table is not None else None
        self.earlier = EarlierSendCheck(self)

    async def run(self, keyed_call: KeyedCall) -> ServiceAnswer:
        """Run a keyed call, or determine its outcome if it was sent before.

        :param keyed_call: call to run
        :return: its answer, perhaps a stored one
        :raises RefusedError: the call failed; the error does not say whether an earlier request
            with the same key ran
        """
        view = await self._caller.choose(keyed_call.call, set())
        outcome = await self._require_claims().claim(self._build_request(keyed_call, view))
        while True:
            match outcome:
                case Claimed():
                    step = await self._send(keyed_call, outcome)
                case AlreadyClaimed():
                    step = await self._wait_for_holder(keyed_call, outcome.claim)
                case KeyMismatch():
                    raise refuse(ErrorKind.KEY_REUSED, "the key was used for another call")
                case Unavailable():
                    raise refuse(ErrorKind.STORE_UNAVAILABLE, "the call could not be claimed")
            if isinstance(step, ServiceAnswer):
                return step
            outcome = step

    async def _send(self, keyed_call: KeyedCall, claimed: Claimed) -> ServiceAnswer | ClaimOutcome:
        record = claimed.claim.record
        view = self._find_view(keyed_call, record.agent, record.agent_incarnation)
        if view is None or keyed_call.call.remaining_wait_s <= 0:
            return await self._reassign(
                keyed_call, claimed.claim, "its agent was lost before the call was sent"
            )
        self._log(keyed_call, view.name, "claimed")
        try:
            answer = await self._caller.send(
                view,
                keyed_call.call,
                claim=claimed.claim.ticket,
                incarnation=record.agent_incarnation,
                key=build_key(keyed_call),
            )
        except LinkLostError:
            return await self._settle(keyed_call, claimed.claim, LOST_AGENT_TIMEOUT_S)
        return await self._handle_answer(keyed_call, claimed.claim, answer)

    async def _handle_answer(
        self, keyed_call: KeyedCall, claim: Claim, answer: wire.CallAnswer
    ) -> ServiceAnswer | ClaimOutcome:
        if answer.kind in NOT_RUN:
            return await self._reassign(keyed_call, claim, answer.detail)
        return self.store_answer(claim, answer)

    def store_answer(self, claim: Claim, answer: wire.CallAnswer) -> ServiceAnswer:
        """Store the answer of a call that ran.

        :param claim: claim under which it ran
        :param answer: answer from the agent
        :return: the service's answer
        :raises RefusedError: the agent reported an error instead of an answer
        """
        stored = read_answer(answer)
        self._record_outcome(claim, stored)
        return stored

    async def confirm(self, keyed_call: KeyedCall) -> Claim | None:
        """Read the current claim of a call.

        :param keyed_call: the call
        :return: the claim; ``None`` if there is none that may be used
        :raises TableError: the table did not answer
        """
        identity = keyed_call.identity
        return await self._require_claims().confirm(
            identity.workspace, identity.caller, identity.idempotency_key
        )

    def links(self) -> tuple[AgentLink, ...]:
        """:return: links to all known agents."""
        return tuple(self._entry.links.values())

    def read_outcome(self, claim: Claim) -> ServiceAnswer:
        """Read the stored answer of a call.

        :param claim: claim of a call that ran
        :return: its answer
        :raises RefusedError: the answer was too large to be stored
        """
        return _read_outcome(claim)

    async def _wait_for_holder(
        self, keyed_call: KeyedCall, claim: Claim
    ) -> ServiceAnswer | ClaimOutcome:
        if claim.record.state is ClaimState.RAN:
            return _read_outcome(claim)
        await asyncio.sleep(HOLDER_GRACE_S)
        newest = await self._read(keyed_call, claim)
        if newest is None:
            return await self._claim_again(keyed_call)
        if newest.record.nonce != claim.record.nonce or newest.record.state is ClaimState.RAN:
            return AlreadyClaimed(newest)
        return await self._settle(keyed_call, newest, keyed_call.call.remaining_wait_s)

    async def _settle(
        self, keyed_call: KeyedCall, claim: Claim, timeout_s: float
    ) -> ServiceAnswer | ClaimOutcome:
        deadline_s = time.monotonic() + max(timeout_s, REPLY_TIMEOUT_S)
        wait_s = POLL_MIN_INTERVAL_S
        while time.monotonic() < deadline_s:
            settled = await self.ask(claim)
            if settled is not None:
                state = CallState(settled.state)
                if state is CallState.NOT_STARTED:
                    return await self._reassign(
                        keyed_call, claim, "its agent did not start the call"
                    )
                if settled.HasField("answer"):
                    return await self._handle_answer(keyed_call, claim, settled.answer)
                if state is CallState.MAY_HAVE_RUN:
                    break
                if state is CallState.RUNNING:
                    # a running call is awaited for as long as the call itself may take
                    limit_s = keyed_call.call.deadline_s + keyed_call.call.contract.timeout_s
                    deadline_s = max(deadline_s, limit_s)
            await asyncio.sleep(wait_s)
            wait_s = min(POLL_MAX_INTERVAL_S, 2 * wait_s)
            newest = await self._read(keyed_call, claim)
            if newest is not None and newest.record != claim.record:
                return AlreadyClaimed(newest)
            if settled is not None and settled.state == CallState.RAN.value:
                raise refuse(
                    ErrorKind.OUTCOME_LOST, "the call ran, but its answer is not available"
                )
        raise refuse(ErrorKind.MAY_HAVE_RUN, "it is not known whether the call ran")

    async def ask(self, claim: Claim) -> wire.CallSettled | None:
        """Ask the agent of a claim for the outcome of its call.

        If the agent has not started the call, it refuses it from then on.

        :param claim: the claim
        :return: the agent's reply; ``None`` if there was none in time
        """
        link = await self._connect(claim.record.agent)
        if link is None:
            return None
        number = link.next_call_number()
        question = wire.SettleCall(
            call=number, claim=claim.ticket, incarnation=claim.record.agent_incarnation
        )
        try:
            reply = await link.ask(number, wire.EntryMessage(settle=question), REPLY_TIMEOUT_S)
        except LinkLostError:
            return None
        return reply if isinstance(reply, wire.CallSettled) else None

    async def _reassign(self, keyed_call: KeyedCall, claim: Claim, why: str) -> ClaimOutcome:
        # safe only if the agent refuses the old ticket for good, or if nothing was sent under it
        try:
            if keyed_call.call.remaining_wait_s <= 0:
                raise refuse(ErrorKind.NO_ENDPOINT, f"the call did not run: {why}")
            view = await self._caller.choose(keyed_call.call, set())
        except RefusedError:
            await self._require_claims().release(Claimed(claim))
            raise
        self._log(keyed_call, view.name, why)
        return await self._require_claims().take_over(claim, self._build_request(keyed_call, view))

    async def _claim_again(self, keyed_call: KeyedCall) -> ClaimOutcome:
        view = await self._caller.choose(keyed_call.call, set())
        return await self._require_claims().claim(self._build_request(keyed_call, view))

    async def _read(self, keyed_call: KeyedCall, claim: Claim) -> Claim | None:
        identity = keyed_call.identity
        try:
            return await self._require_claims().read(
                identity.workspace, identity.caller, identity.idempotency_key
            )
        except TableError:
            return claim

    async def _connect(self, agent: str) -> AgentLink | None:
        link = await self._entry.connect(parse_address(agent))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await link.up.wait()
        except TimeoutError:
            return None
        return link

    def _record_outcome(self, claim: Claim, answer: ServiceAnswer) -> None:
        headers = tuple(StoredHeader(name, value) for name, value in answer.headers.items())
        outcome = StoredOutcome(answer.status, headers, answer.body)
        self._require_claims().record_outcome(Claimed(claim), outcome)

    def _find_view(
        self, keyed_call: KeyedCall, agent: str, incarnation: str
    ) -> EndpointView | None:
        link = self._entry.links.get(parse_address(agent))
        if link is None or not link.is_up or link.incarnation != incarnation:
            return None
        views = link.endpoints.values()
        return next((v for v in views if v.state.service == keyed_call.call.service), None)

    def _build_request(self, keyed_call: KeyedCall, view: EndpointView) -> ClaimRequest:
        return ClaimRequest(
            workspace=keyed_call.identity.workspace,
            caller=keyed_call.identity.caller,
            key=keyed_call.identity.idempotency_key,
            fingerprint=keyed_call.fingerprint,
            holder=self._entry.incarnation,
            agent=str(view.link.address),
            agent_incarnation=view.link.incarnation,
            deadline=keyed_call.call.deadline_s,
        )

    def _require_claims(self) -> Claims:
        if self.claims is None:
            raise refuse(ErrorKind.STORE_UNAVAILABLE, "no platform is configured")
        return self.claims

    def _log(self, keyed_call: KeyedCall, endpoint: str, why: str) -> None:
        decision = Decision(
            what="route", request=keyed_call.identity.key.hex(), chosen=endpoint, reason=why
        )
        log_decision(_LOGGER, decision)


def _read_outcome(claim: Claim) -> ServiceAnswer:
    outcome = claim.record.outcome
    if outcome is None or not outcome.body_kept:
        raise refuse(ErrorKind.OUTCOME_LOST, "the call ran, but its answer is not available")
    headers = {header.name: header.value for header in outcome.headers}
    return ServiceAnswer(outcome.status, headers, outcome.body)


__all__ = ["KeyedCall", "KeyedCallRunner"]
