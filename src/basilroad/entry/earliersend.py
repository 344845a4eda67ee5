"""Whether an order that is about to be refused may have run when it was sent before."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

import msgspec

from basilroad.coordination.callledger import CallState
from basilroad.coordination.claim import ClaimState, build_path
from basilroad.coordination.table import TableError
from basilroad.entry.link import LinkLostError
from basilroad.entry.servicecall import ServiceAnswer, build_answer
from basilroad.errors import Effect, ErrorKind, RefusedError, refuse
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.coordination.claim import Claim
    from basilroad.coordination.claims import Claims
    from basilroad.entry.keyedcall import KeyedCall
    from basilroad.entry.link import AgentLink

ASK_S = 1.0
"""Seconds to wait for an agent's reply."""

POLL_S = 0.5
"""Seconds between questions about an order that runs."""

LOST_S = 600.0
"""Seconds for which an agent that was lost may have run an order that is sent again."""

_LOGGER = logging.getLogger(__name__)


class ClaimedOrders(Protocol):
    """Reads claims and asks agents about them.

    :param claims: the claims; ``None`` without a table
    """

    claims: Claims | None

    def links(self) -> Sequence[AgentLink]:
        """:return: streams to the agents that this entry knows."""

    async def confirm(self, order: KeyedCall) -> Claim | None:
        """:return: the claim of an order as it stands now, if it may be used."""

    async def ask(self, claim: Claim) -> wire.CallSettled | None:
        """:return: what became of a claimed order, from its agent; ``None`` if not told in time."""

    def read_outcome(self, claim: Claim) -> ServiceAnswer:
        """:return: the stored answer of an order that ran."""

    def keep(self, claim: Claim, answer: wire.CallAnswer) -> ServiceAnswer:
        """:return: the answer of an order that ran, which is stored."""


class EarlierSendCheck:
    """Checks a refusal that says an order was not run against earlier sendings of its key.

    :param orders: reads claims and asks agents about them
    """

    def __init__(self, orders: ClaimedOrders) -> None:
        self._orders = orders

    async def check(self, order: KeyedCall, error: RefusedError) -> ServiceAnswer:
        """Find out whether an order ran before.

        :param order: the order that is about to be refused
        :param error: the refusal
        :return: the answer, if it ran
        :raises RefusedError: the refusal, or another one if the order may have run
        """
        kind = error.refusal.kind
        if error.refusal.answer.effect is not Effect.NOT_RUN or kind is ErrorKind.KEY_REUSED:
            raise error
        if self._orders.claims is None:
            raise error
        if kind is not ErrorKind.STORE_UNAVAILABLE:
            try:
                return await self._check_claim(order, error)
            except (TableError, msgspec.MsgspecError):
                _LOGGER.info("claim not read, agents are asked")
        return await self._ask_agents(order, error)

    async def _check_claim(self, order: KeyedCall, error: RefusedError) -> ServiceAnswer:
        settled_nonce = ""
        while True:
            claim = await self._orders.confirm(order)
            if claim is None or claim.record.nonce == settled_nonce:
                raise error
            if claim.record.fingerprint != order.fingerprint:
                raise refuse(ErrorKind.KEY_REUSED, "the key was used for another call")
            if claim.record.state is ClaimState.RAN:
                return self._orders.read_outcome(claim)
            settled = await self._orders.ask(claim)
            if settled is None or settled.state == CallState.MAY_HAVE_RUN.value:
                raise refuse(ErrorKind.MAY_HAVE_RUN, "what became of the call is not known")
            if settled.HasField("answer"):
                return self._orders.keep(claim, settled.answer)
            if settled.state == CallState.NOT_STARTED.value:
                settled_nonce = claim.record.nonce
                continue
            self._check_patience(order, settled)
            await asyncio.sleep(POLL_S)

    async def _ask_agents(self, order: KeyedCall, error: RefusedError) -> ServiceAnswer:
        while True:
            replies = await asyncio.gather(
                *(self._ask(link, order) for link in self._list_links(order))
            )
            known = [reply for reply in replies if reply is not None]
            for reply in known:
                if reply.HasField("answer"):
                    return build_answer(reply.answer)
            states = {CallState(reply.state) for reply in known}
            if CallState.RUNNING not in states:
                break
            running = next(r for r in known if r.state == CallState.RUNNING.value)
            self._check_patience(order, running)
            await asyncio.sleep(POLL_S)
        if len(known) < len(replies) or states - {CallState.NOT_STARTED}:
            raise refuse(
                ErrorKind.MAY_HAVE_RUN, "whether an earlier sending of the key ran is not known"
            )
        raise error

    def _list_links(self, order: KeyedCall) -> list[AgentLink]:
        links = self._orders.links()
        return [link for link in links if link.may_run_service(order.call.service)]

    async def _ask(self, link: AgentLink, order: KeyedCall) -> wire.CallSettled | None:
        if not link.is_up:
            return (
                None if time.monotonic() - link.connection_changed_s < LOST_S else _build_unknown()
            )
        if time.monotonic() - link.restarted_s < LOST_S:
            return None
        number = link.next_call_number()
        question = wire.FindCall(call=number, key=build_key(order))
        try:
            reply = await link.ask(number, wire.EntryMessage(find_call=question), ASK_S)
        except LinkLostError:
            return None
        return reply if isinstance(reply, wire.CallSettled) else None

    def _check_patience(self, order: KeyedCall, settled: wire.CallSettled) -> None:
        if settled.state == CallState.RAN.value:
            raise refuse(ErrorKind.OUTCOME_LOST, "the call ran; its answer is not kept")
        if time.monotonic() > order.call.deadline_s + order.call.contract.timeout_s:
            raise refuse(ErrorKind.IN_PROGRESS, "the call still runs")


def build_key(order: KeyedCall) -> str:
    """:return: names an order, whichever claim it runs under."""
    identity = order.identity
    return build_path(identity.workspace, identity.caller, identity.idempotency_key)


def _build_unknown() -> wire.CallSettled:
    return wire.CallSettled(state=CallState.NOT_STARTED.value)


__all__ = ["EarlierSendCheck", "build_key"]
