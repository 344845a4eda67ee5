"""Slots of one endpoint: who runs, who may start, who is preempted."""

from __future__ import annotations

import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.fairpicker import FairPicker, Pick
from basilroad.coordination.fairpolicy import EQUAL_WEIGHT, FairSettings, Flow
from basilroad.coordination.fairqueue import Backlog
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink
    from basilroad.agent.run import Run

CREDIT_S = 0.5
"""Seconds within which an entry must use a credit."""

RANKS_MAX = 8
"""Ranks that are told apart."""


@attrs.frozen
class SlotSettings:
    """What operators set about the slots of one endpoint.

    :param fairness: settings of the fair order
    :param preemption: whether urgent work may take the slot of less urgent work
    """

    fairness: FairSettings = attrs.field(factory=FairSettings)
    preemption: bool = True


@attrs.define
class _Credit:
    link: EntryLink
    pick: Pick
    expires_s: float


class Slots:
    """Hands out the slots of one endpoint.

    :param endpoint: name of the endpoint
    :param total: how many generations it runs at once
    :param settings: what operators set
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
        """:return: slots promised to entries."""
        return len(self._credits)

    @property
    def alone(self) -> bool:
        """:return: whether a request runs that must have no neighbour."""
        return any(run.start.alone for run in self.running)

    @property
    def free(self) -> int:
        """:return: slots neither used nor promised; none beside a request that runs alone."""
        if self.alone:
            return 0
        return self.total - len(self.running) - len(self._credits)

    def configure(self, settings: SlotSettings) -> None:
        """Take new settings.

        :param settings: what operators set
        """
        self._settings = settings
        self._picker.policy.configure(settings.fairness)

    def count_by_rank(self) -> list[int]:
        """:return: running generations by rank, the most urgent first."""
        counts = [0] * RANKS_MAX
        for run in self.running:
            counts[min(run.start.rank, RANKS_MAX - 1)] += 1
        return counts

    def use_credit(self, credit: str) -> bool:
        """Take the slot that a credit promised.

        :param credit: what the entry was given
        :return: whether it still stands
        """
        return self._credits.pop(credit, None) is not None

    def may_start(self, rank: int) -> bool:
        """Tell whether work without a credit may start.

        :param rank: rank of the work
        :return: whether a slot is free that nobody waits for who comes first
        """
        return self.free > 0 and self._picker.policy.may_bypass(rank)

    def count_starting(self) -> list[int]:
        """:return: runs that a smaller caller may replace, by rank."""
        counts = [0] * RANKS_MAX
        for run in self.running:
            counts[min(run.start.rank, RANKS_MAX - 1)] += _is_starting(run)
        return counts

    def find_victim(self, start: wire.StartGeneration) -> Run | None:
        """Choose the run that makes room for more urgent work, or for a smaller caller.

        :param start: the work that has no slot
        :return: the newest run of the least urgent rank above its floor, or else of a larger
            caller if no token of it has come yet
        """
        if not self._settings.preemption:
            return None
        return self._find_lower(start.rank) or self._find_larger(start)

    def _find_lower(self, rank: int) -> Run | None:
        counts = self.count_by_rank()
        for lower in range(RANKS_MAX - 1, rank, -1):
            if counts[lower] > self._settings.fairness.reserved_slots(lower, self.total):
                return next(r for r in reversed(self.running) if r.start.rank == lower)
        return None

    def _find_larger(self, start: wire.StartGeneration) -> Run | None:
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
        share = (counts[other] + 1) / weights.get(other, EQUAL_WEIGHT)
        return (counts[one] - 1) / weights.get(one, EQUAL_WEIGHT) >= share

    def occupy(self, run: Run, *, credited: bool) -> None:
        """Use a slot.

        :param run: what runs in it
        :param credited: whether the flow was charged with the credit
        """
        self.running[run] = None
        if not credited:
            self._picker.charge(_read_flow(run), _read_cost(run))

    def leave(self, run: Run) -> None:
        """Give a slot back and correct what its flow was charged.

        :param run: what ran in it
        """
        if run not in self.running:
            return
        del self.running[run]
        self._picker.charge(_read_flow(run), run.decoded - _read_cost(run))

    def report(self, link: EntryLink, demand: wire.Demand, model: str) -> None:
        """Note what an entry has waiting.

        :param link: stream to the entry
        :param demand: its backlogs
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
        """Forget what a lost entry had waiting and was promised.

        :param link: the stream that ended
        """
        self._picker.forget(link.name)
        self._links.pop(link.name, None)
        for name in [n for n, credit in self._credits.items() if credit.link is link]:
            self.return_credit(name)

    def forget_demand(self) -> None:
        """Forget what all entries had waiting, since another model is loaded."""
        for name in self._links:
            self._picker.forget(name)

    def return_credit(self, name: str) -> bool:
        """Take a promise back.

        :param name: what the entry was given
        :return: whether it still stood
        """
        credit = self._credits.pop(name, None)
        if credit is None:
            return False
        self._picker.charge(credit.pick.flow, -credit.pick.cost)
        return True

    def expire(self) -> bool:
        """Take back the promises that no entry used in time.

        :return: whether there were any
        """
        now = time.monotonic()
        expired = [name for name, credit in self._credits.items() if credit.expires_s < now]
        for name in expired:
            self.return_credit(name)
        return bool(expired)

    def grant(self) -> None:
        """Promise the free slots to the flows that come next."""
        while self.free > 0:
            pick = self._picker.pick()
            if pick is None:
                return
            self._promise(pick)

    def _promise(self, pick: Pick) -> None:
        link = self._links[pick.entry]
        name = uuid.uuid4().hex
        self._credits[name] = _Credit(link, pick, time.monotonic() + CREDIT_S)
        credit = wire.Credit(
            credit=name,
            endpoint=self.endpoint,
            rank=pick.flow.rank,
            workspace=pick.flow.workspace,
            caller=pick.flow.caller,
        )
        link.send(wire.AgentMessage(credit=credit))


def _is_starting(run: Run) -> bool:
    # its caller sees no gap when it starts anew, and each generation is replaced only once
    return not run.decoded and run.start.attempt <= 1 and not run.start.prior


def _read_flow(run: Run) -> Flow:
    return Flow(run.start.rank, run.start.workspace, run.start.caller)


def _read_cost(run: Run) -> float:
    return float(run.start.cost or run.start.max_tokens)


__all__ = ["CREDIT_S", "RANKS_MAX", "SlotSettings", "Slots"]
