"""Slots of one endpoint: allocation, slot credits and preemption."""

from __future__ import annotations

import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.fairpicker import FairPicker, Pick
from basilroad.coordination.fairpolicy import DEFAULT_WEIGHT, FairSettings, Flow
from basilroad.coordination.fairqueue import Backlog
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink
    from basilroad.agent.run import Run

CREDIT_TIMEOUT_S = 0.5
"""Seconds after which an unused slot credit expires."""

RANKS_MAX = 8
"""Number of ranks counted separately; higher ranks count as the last one."""


@attrs.frozen
class SlotSettings:
    """Operator settings for the slots of one endpoint.

    :param fairness: settings of fair scheduling
    :param preemption: whether a request may preempt a less urgent one or one of a larger caller
    """

    fairness: FairSettings = attrs.field(factory=FairSettings)
    preemption: bool = True


@attrs.define
class _Credit:
    link: EntryLink
    pick: Pick
    expires_s: float


class Slots:
    """Allocates the slots of one endpoint.

    :param endpoint: name of the endpoint
    :param total: number of generations it runs concurrently
    :param settings: operator settings
    """

    def __init__(self, endpoint: str, total: int, settings: SlotSettings) -> None:
        self.endpoint = endpoint
        self.total = total
        self.running: dict[Run, None] = {}
        self._credits: dict[str, _Credit] = {}
        self._links: dict[str, EntryLink] = {}
        self._settings = settings
        self._picker = FairPicker(settings.fairness)

    @property
    def reserved(self) -> int:
        """:return: slots held by outstanding credits."""
        return len(self._credits)

    @property
    def alone(self) -> bool:
        """:return: whether a request that requires isolation is running."""
        return any(run.start.alone for run in self.running)

    @property
    def free(self) -> int:
        """:return: slots neither used nor held by a credit; 0 while an isolated request runs."""
        if self.alone:
            return 0
        return self.total - len(self.running) - len(self._credits)

    def configure(self, settings: SlotSettings) -> None:
        """Apply new settings.

        :param settings: operator settings
        """
        self._settings = settings
        self._picker.policy.configure(settings.fairness)

    def count_by_rank(self) -> list[int]:
        """:return: number of running generations by rank, the most urgent first."""
        counts = [0] * RANKS_MAX
        for run in self.running:
            counts[min(run.start.rank, RANKS_MAX - 1)] += 1
        return counts

    def use_credit(self, credit: str) -> bool:
        """Redeem a credit.

        :param credit: identifier of the credit
        :return: whether it was still valid
        """
        return self._credits.pop(credit, None) is not None

    def may_start(self, rank: int) -> bool:
        """Check whether a request without a credit may start.

        :param rank: rank of the request
        :return: whether a slot is free and no queued request takes precedence
        """
        return self.free > 0 and self._picker.policy.may_bypass(rank)

    def count_starting(self) -> list[int]:
        """:return: number of runs that a smaller caller may preempt, by rank."""
        counts = [0] * RANKS_MAX
        for run in self.running:
            counts[min(run.start.rank, RANKS_MAX - 1)] += _is_starting(run)
        return counts

    def find_victim(self, start: wire.StartGeneration) -> Run | None:
        """Choose the run to preempt for a more urgent request or for a smaller caller.

        :param start: the request that has no slot
        :return: the newest run of the least urgent rank above its floor, or else the newest
            run of a larger caller that has produced no token yet
        """
        if not self._settings.preemption:
            return None
        return self._find_less_urgent(start.rank) or self._find_larger_caller(start)

    def _find_less_urgent(self, rank: int) -> Run | None:
        counts = self.count_by_rank()
        for lower in range(RANKS_MAX - 1, rank, -1):
            if counts[lower] > self._settings.fairness.reserved_slots(lower, self.total):
                return next(r for r in reversed(self.running) if r.start.rank == lower)
        return None

    def _find_larger_caller(self, start: wire.StartGeneration) -> Run | None:
        workspaces = Counter(run.start.workspace for run in self.running)
        callers = Counter((run.start.workspace, run.start.caller) for run in self.running)
        own = callers[start.workspace, start.caller]
        for run in reversed(self.running):
            if run.start.rank != start.rank or not _is_starting(run):
                continue
            if run.start.workspace == start.workspace:
                larger = callers[run.start.workspace, run.start.caller] > own + 1
            else:
                larger = self._is_larger(workspaces, run.start.workspace, start.workspace)
            if larger:
                return run
        return None

    def _is_larger(self, counts: Counter[str], one: str, other: str) -> bool:
        weights = self._settings.fairness.weights
        share = (counts[other] + 1) / weights.get(other, DEFAULT_WEIGHT)
        return (counts[one] - 1) / weights.get(one, DEFAULT_WEIGHT) >= share

    def occupy(self, run: Run, *, credited: bool) -> None:
        """Occupy a slot.

        :param run: the run that occupies it
        :param credited: whether the flow was already charged when the credit was granted
        """
        self.running[run] = None
        if not credited:
            self._picker.charge(_read_flow(run), _read_cost(run))

    def release(self, run: Run) -> None:
        """Release a slot and correct the charge of its flow to the tokens decoded.

        :param run: the run that occupied it
        """
        if run not in self.running:
            return
        del self.running[run]
        self._picker.charge(_read_flow(run), run.decoded - _read_cost(run))

    def report(self, link: EntryLink, demand: wire.Demand, model: str) -> None:
        """Record the queued requests of an entry.

        :param link: stream to the entry
        :param demand: its backlogs; ignored if for another model
        :param model: model that this endpoint runs
        """
        if demand.model != model:
            return
        self._links[link.name] = link
        backlogs = [
            Backlog(Flow(b.rank, b.workspace, b.caller), b.waiting, float(b.tokens))
            for b in demand.backlogs
        ]
        if demand.whole:
            self._picker.report(link.name, backlogs)
        else:
            self._picker.update(link.name, backlogs)

    def drop_link(self, link: EntryLink) -> None:
        """Remove the backlogs and credits of a disconnected entry.

        :param link: the stream that ended
        """
        self._picker.forget(link.name)
        self._links.pop(link.name, None)
        for name in [n for n, credit in self._credits.items() if credit.link is link]:
            self.return_credit(name)

    def clear_demand(self) -> None:
        """Remove the backlogs of all entries, for use when another model is loaded."""
        for name in self._links:
            self._picker.forget(name)

    def return_credit(self, name: str) -> bool:
        """Revoke a credit and refund its flow.

        :param name: identifier of the credit
        :return: whether it was still valid
        """
        credit = self._credits.pop(name, None)
        if credit is None:
            return False
        self._picker.charge(credit.pick.flow, -credit.pick.cost)
        return True

    def expire(self) -> bool:
        """Revoke the credits that have expired.

        :return: whether there were any
        """
        now = time.monotonic()
        expired = [name for name, credit in self._credits.items() if credit.expires_s < now]
        for name in expired:
            self.return_credit(name)
        return bool(expired)

    def grant(self) -> None:
        """Send credits for the free slots to the flows that are next in fair order."""
        while self.free > 0:
            pick = self._picker.pick()
            if pick is None:
                return
            self._send_credit(pick)

    def _send_credit(self, pick: Pick) -> None:
        link = self._links[pick.entry]
        name = uuid.uuid4().hex
        self._credits[name] = _Credit(link, pick, time.monotonic() + CREDIT_TIMEOUT_S)
        credit = wire.Credit(
            credit=name,
            endpoint=self.endpoint,
            rank=pick.flow.rank,
            workspace=pick.flow.workspace,
            caller=pick.flow.caller,
        )
        link.send(wire.AgentMessage(credit=credit))


def _is_starting(run: Run) -> bool:
    # without a token the caller sees no gap; limited to first attempts, so that a generation is
    # preempted in this way at most once
    return not run.decoded and run.start.attempt <= 1 and not run.start.prior


def _read_flow(run: Run) -> Flow:
    return Flow(run.start.rank, run.start.workspace, run.start.caller)


def _read_cost(run: Run) -> float:
    return float(run.start.cost or run.start.max_tokens)


__all__ = ["CREDIT_TIMEOUT_S", "RANKS_MAX", "SlotSettings", "Slots"]
