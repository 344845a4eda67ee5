"""Handlers of the messages that entries send to an agent."""

from __future__ import annotations

import logging
from functools import singledispatch
from typing import TYPE_CHECKING, Any, Protocol

from basilroad.agent.enginedriver import EngineDriver
from basilroad.agent.plaindriver import PlainDriver
from basilroad.agent.run import Run
from basilroad.logs import Decision, log_decision
from basilroad.peers.copykey import read_copies_key
from basilroad.peers.failreason import FailReason
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.copyguard import CopyGuard
    from basilroad.agent.directory import GenerationDirectory
    from basilroad.agent.drains import Drains
    from basilroad.agent.link import EntryLink
    from basilroad.agent.runstore import RunStore
    from basilroad.peers.exchange import SettingsExchange

_LOGGER = logging.getLogger(__name__)


class AgentContext(Protocol):
    """Interface of the agent that the message handlers use.

    :param drivers: drivers of its endpoints, by endpoint name
    :param runs: running and retained generations
    :param directory: locations of generations
    :param copies: copies of suspect contents
    :param exchange: merges and sends settings
    :param drains: drains of its endpoints
    """

    drivers: dict[str, EngineDriver | PlainDriver]
    runs: RunStore
    directory: GenerationDirectory
    copies: CopyGuard
    exchange: SettingsExchange
    drains: Drains

    def send_hello(self, link: EntryLink) -> None:
        """Send a new entry this agent's identity and state."""

    def find_engine(self, name: str) -> EngineDriver | None:
        """:return: the engine of that name on this host."""

    def cancel(self, run: Run, reason: FailReason) -> None:
        """End a run early."""

    def settle(self, request: wire.SettleCall) -> wire.CallSettled:
        """:return: the state of a claimed call, which is settled by this."""

    def find_call(self, request: wire.FindCall) -> wire.CallSettled:
        """:return: the state of a keyed call on this host."""

    def merge_poison_marks(self, message: wire.PoisonMarks, link: EntryLink | None) -> None:
        """Merge poison marks and forward them if any is new."""


@singledispatch
def handle_message(body: Any, agent: AgentContext, link: EntryLink) -> None:
    """Handle one message.

    :param body: the message
    :param agent: the agent
    :param link: stream on which it arrived
    """
    del agent, link
    _LOGGER.warning("unknown message %s", type(body).__name__)


@handle_message.register(wire.EntryHello)
def _(body: wire.EntryHello, agent: AgentContext, link: EntryLink) -> None:
    link.record_hello(body)
    agent.send_hello(link)


@handle_message.register(wire.StartGeneration)
def _(body: wire.StartGeneration, agent: AgentContext, link: EntryLink) -> None:
    if not body.credit:
        link.seen[body.endpoint] += 1
    link.record_work()
    reason = _begin(body, agent, link)
    if reason is None:
        return
    failed = wire.Failed(generation=body.generation, attempt=body.attempt, reason=reason.value)
    link.send_end(failed)
    decision = Decision(
        what="refuse",
        request=body.key.hex(),
        generation=body.generation,
        attempt=body.attempt,
        chosen=body.endpoint,
        reason=reason.value,
    )
    log_decision(_LOGGER, decision)


def _begin(start: wire.StartGeneration, agent: AgentContext, link: EntryLink) -> FailReason | None:
    driver = agent.find_engine(start.endpoint)
    if driver is None:
        return FailReason.UNKNOWN_ENDPOINT
    earlier = agent.runs.get(start.generation)
    if earlier is not None and earlier.start.attempt >= start.attempt:
        return FailReason.STALE
    if earlier is not None and earlier.end is None:
        agent.cancel(earlier, FailReason.STALE)
    if not agent.copies.may_start(start.fingerprint, link.known_deaths):
        return FailReason.BUSY
    reason = driver.refuse(start)
    if reason is not None:
        return reason
    run = Run(start, list(start.prior))
    agent.runs.put(run)
    run.follow(link, len(run.tokens))
    driver.begin(run)
    return None


@handle_message.register(wire.CancelGeneration)
def _(body: wire.CancelGeneration, agent: AgentContext, link: EntryLink) -> None:
    run = agent.runs.get(body.generation)
    if run is None or run.start.attempt != body.attempt:
        return
    run.unfollow(link)
    if run.end is None and not run.readers:
        agent.cancel(run, FailReason.CANCELLED)


@handle_message.register(wire.AttachGeneration)
def _(body: wire.AttachGeneration, agent: AgentContext, link: EntryLink) -> None:
    link.record_work()
    run = agent.runs.get(body.generation)
    start = run.start if run is not None else None
    attached = wire.Attached(call=body.call, found=run is not None, start=start)
    link.send(wire.AgentMessage(attached=attached))
    if run is not None:
        run.follow(link, body.offset)


@handle_message.register(wire.RunCall)
def _(body: wire.RunCall, agent: AgentContext, link: EntryLink) -> None:
    link.record_work()
    link.seen[body.endpoint] += 1
    driver = agent.drivers.get(body.endpoint)
    if isinstance(driver, PlainDriver):
        driver.add_future(driver.run_call(link, body))
        return
    answer = wire.CallAnswer(call=body.call, kind="no_endpoint", detail="no such endpoint here")
    link.send(wire.AgentMessage(answer=answer))


@handle_message.register(wire.SettleCall)
def _(body: wire.SettleCall, agent: AgentContext, link: EntryLink) -> None:
    link.send(wire.AgentMessage(settled=agent.settle(body)))


@handle_message.register(wire.FindCall)
def _(body: wire.FindCall, agent: AgentContext, link: EntryLink) -> None:
    link.send(wire.AgentMessage(settled=agent.find_call(body)))


@handle_message.register(wire.HostLeaving)
def _(body: wire.HostLeaving, agent: AgentContext, link: EntryLink) -> None:
    link.host_leaving = body.leaving
    agent.drains.apply()


@handle_message.register(wire.Register)
def _(body: wire.Register, agent: AgentContext, link: EntryLink) -> None:
    found = agent.directory.register(body)
    if body.call:
        link.send(wire.AgentMessage(found=found))


@handle_message.register(wire.Find)
def _(body: wire.Find, agent: AgentContext, link: EntryLink) -> None:
    if read_copies_key(body.key):
        found = agent.copies.find(body, link.known_deaths)
    else:
        found = agent.directory.find(body)
    link.send(wire.AgentMessage(found=found))


@handle_message.register(wire.Demand)
def _(body: wire.Demand, agent: AgentContext, link: EntryLink) -> None:
    link.record_work()
    for driver in agent.drivers.values():
        if isinstance(driver, EngineDriver):
            driver.report(link, body)


@handle_message.register(wire.ReturnCredit)
def _(body: wire.ReturnCredit, agent: AgentContext, link: EntryLink) -> None:
    del link
    driver = agent.find_engine(body.endpoint)
    if driver is not None:
        driver.return_credit(body.credit)


@handle_message.register(wire.PlaceModel)
def _(body: wire.PlaceModel, agent: AgentContext, link: EntryLink) -> None:
    driver = agent.find_engine(body.endpoint)
    if driver is None:
        placed = wire.ModelPlaced(call=body.call, kind="no_endpoint", detail="no such engine here")
    else:
        placed = driver.loads.place(body)
        # sent first, so that the planner has the new state before it plans again
        link.send(wire.AgentMessage(endpoint=driver.build_state()))
    link.send(wire.AgentMessage(placed=placed))


@handle_message.register(wire.Heartbeat)
def _(body: wire.Heartbeat, agent: AgentContext, link: EntryLink) -> None:
    link.sync.record_remote_revision(body.settings_revision, body.settings_digest)
    agent.exchange.send_missing(link)


@handle_message.register(wire.SettingsChanges)
def _(body: wire.SettingsChanges, agent: AgentContext, link: EntryLink) -> None:
    del link
    agent.exchange.merge_remote(body)


@handle_message.register(wire.PoisonMarks)
def _(body: wire.PoisonMarks, agent: AgentContext, link: EntryLink) -> None:
    agent.merge_poison_marks(body, link)


__all__ = ["handle_message"]
