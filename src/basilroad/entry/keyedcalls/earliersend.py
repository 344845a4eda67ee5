"""Check whether a keyed call that is about to be refused ran when it was sent earlier."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.callledger import CallState
from basilroad.coordination.claim import ClaimState, build_path
from basilroad.coordination.decoding import DecodeError
from basilroad.coordination.table import TableError
from basilroad.entry.calls.servicecall import ServiceAnswer, read_answer
from basilroad.entry.keyedcalls.callhosts import GONE_AGENT_WINDOW_S
from basilroad.entry.links.link import LinkLostError
from basilroad.errors import Effect, ErrorKind, RefusedError, refuse
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.coordination.claim import Claim
    from basilroad.coordination.claims import Claims
    from basilroad.entry.keyedcalls.callhosts import CallHosts
    from basilroad.entry.keyedcalls.keyedcall import KeyedCall
    from basilroad.entry.links.link import AgentLink

REPLY_TIMEOUT_S = 1.0
"""Seconds to wait for an agent's reply."""

POLL_INTERVAL_S = 0.5
"""Seconds between queries about a running call."""

SILENT_AGENT_TIMEOUT_S = 3.0
"""Seconds for which agents that do not reply are asked again; reconnecting takes up to 2 s."""

_LOGGER = logging.getLogger(__name__)


class ClaimReader(Protocol):
    """Reads claims and asks agents about them.

    :param claims: client of the claims table; ``None`` without a table
    :param hosts: hosts that may have run calls; ``None`` without a table
    """

    claims: Claims | None
    hosts: CallHosts | None

    def links(self) -> Sequence[AgentLink]:
        """:return: links to all known agents."""

    async def confirm(self, keyed_call: KeyedCall) -> Claim | None:
        """:return: the current claim of a call, if it may be used."""

    async def ask(self, claim: Claim) -> wire.CallSettled | None:
        """:return: outcome of a claimed call from its agent; ``None`` without a reply in time."""

    def read_outcome(self, claim: Claim) -> ServiceAnswer:
        """:return: the stored answer of a call that ran."""

    def store_answer(self, claim: Claim, answer: wire.CallAnswer) -> ServiceAnswer:
        """:return: the answer of a call that ran, after storing it."""


class EarlierSendCheck:
    """Checks a "not run" refusal of a call against earlier requests with the same key.

    :param reader: reads claims and asks agents about them
    """

    def __init__(self, reader: ClaimReader) -> None:
        self._reader = reader

    async def check(self, keyed_call: KeyedCall, error: RefusedError) -> ServiceAnswer:
        """Check whether a call ran earlier.

        :param keyed_call: the call about to be refused
        :param error: the refusal
        :return: the answer, if the call ran
        :raises RefusedError: ``error``, or another one if the call ran or may have run
        """
        kind = error.refusal.kind
        if error.refusal.answer.effect is not Effect.NOT_RUN or kind is ErrorKind.KEY_REUSED:
            raise error
        if self._reader.claims is None:
            raise error
        if kind is not ErrorKind.STORE_UNAVAILABLE:
            try:
                return await self._check_claim(keyed_call, error)
            except (TableError, DecodeError):
                _LOGGER.info("claim can't be read; asking the agents")
        return await self._ask_agents(keyed_call, error)

    async def _check_claim(self, keyed_call: KeyedCall, error: RefusedError) -> ServiceAnswer:
        not_started_nonce = ""
        while True:
            claim = await self._reader.confirm(keyed_call)
            if claim is None or claim.record.nonce == not_started_nonce:
                raise error
            if claim.record.fingerprint != keyed_call.fingerprint:
                raise refuse(ErrorKind.KEY_REUSED, "the key was used for another call")
            if claim.record.state is ClaimState.RAN:
                return self._reader.read_outcome(claim)
            settled = await self._reader.ask(claim)
            if settled is None or settled.state == CallState.MAY_HAVE_RUN.value:
                raise refuse(ErrorKind.MAY_HAVE_RUN, "it is not known whether the call ran")
            if settled.HasField("answer"):
                return self._reader.store_answer(claim, settled.answer)
            if settled.state == CallState.NOT_STARTED.value:
                not_started_nonce = claim.record.nonce
                continue
            self._check_may_wait(keyed_call, settled)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask_agents(self, keyed_call: KeyedCall, error: RefusedError) -> ServiceAnswer:
        give_up_s = time.monotonic() + SILENT_AGENT_TIMEOUT_S
        while True:
            links = self._list_links(keyed_call)
            replies = await asyncio.gather(*(self._ask(link, keyed_call) for link in links))
            known = [reply for reply in replies if reply is not None]
            for reply in known:
                if reply.HasField("answer"):
                    return read_answer(reply.answer)
            states = {CallState(reply.state) for reply in known}
            if CallState.RUNNING in states:
                running = next(r for r in known if r.state == CallState.RUNNING.value)
                self._check_may_wait(keyed_call, running)
            elif time.monotonic() >= give_up_s or not any(
                _may_reply(link)
                for link, reply in zip(links, replies, strict=True)
                if reply is None
            ):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        if (
            len(known) < len(replies)
            or not self._knows_all_agents()
            or states - {CallState.NOT_STARTED}
        ):
            raise refuse(
                ErrorKind.MAY_HAVE_RUN, "it is not known whether an earlier call with this key ran"
            )
        raise error

    def _knows_all_agents(self) -> bool:
        hosts = self._reader.hosts
        return bool(self._reader.links()) and hosts is not None and hosts.are_linked()

    def _list_links(self, keyed_call: KeyedCall) -> list[AgentLink]:
        hosts = self._reader.hosts
        return [
            link
            for link in self._reader.links()
            if link.may_run_service(keyed_call.call.service)
            or hosts is None
            or hosts.may_have_run(link)
        ]

    async def _ask(self, link: AgentLink, keyed_call: KeyedCall) -> wire.CallSettled | None:
        if not link.is_up:
            return _build_not_started() if link.is_gone(GONE_AGENT_WINDOW_S) else None
        if time.monotonic() - link.restarted_s < GONE_AGENT_WINDOW_S:
            return None
        number = link.next_call_number()
        question = wire.FindCall(call=number, key=build_key(keyed_call))
        try:
            reply = await link.ask(number, wire.EntryMessage(find_call=question), REPLY_TIMEOUT_S)
        except LinkLostError:
            return None
        return reply if isinstance(reply, wire.CallSettled) else None

    def _check_may_wait(self, keyed_call: KeyedCall, settled: wire.CallSettled) -> None:
        if settled.state == CallState.RAN.value:
            raise refuse(ErrorKind.OUTCOME_LOST, "the call ran, but its answer is not available")
        if time.monotonic() > keyed_call.call.deadline_s + keyed_call.call.contract.timeout_s:
            raise refuse(ErrorKind.IN_PROGRESS, "the call is still running")


def build_key(keyed_call: KeyedCall) -> str:
    """:return: key that identifies a call across claims."""
    identity = keyed_call.identity
    return build_path(identity.workspace, identity.caller, identity.idempotency_key)


def _may_reply(link: AgentLink) -> bool:
    """:return: whether an agent that did not reply may do so soon."""
    now = time.monotonic()
    if now - link.restarted_s < GONE_AGENT_WINDOW_S:
        return False
    return link.is_up or now - link.connection_changed_s < SILENT_AGENT_TIMEOUT_S


def _build_not_started() -> wire.CallSettled:
    return wire.CallSettled(state=CallState.NOT_STARTED.value)


__all__ = ["EarlierSendCheck", "build_key"]
