"""Fair scheduling of the backlogs reported by several entries."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from basilroad.coordination.fairpolicy import FairPolicy, FairSettings, Flow
from basilroad.coordination.fairqueue import Backlog


@attrs.frozen
class Pick:
    """The choice for a free slot.

    :param entry: entry that reported the work
    :param flow: the flow that is charged
    :param cost: estimated tokens charged to the flow
    """

    entry: str
    flow: Flow
    cost: float


@attrs.define
class _Demand:
    waiting: int
    head_cost: float


class FairPicker:
    """Picks a flow for each free slot; a flow gets one share however many entries report it.

    :param settings: settings of the fair scheduling
    """

    def __init__(self, settings: FairSettings) -> None:
        self.policy = FairPolicy(settings)
        self._reports: dict[str, set[Flow]] = {}
        self._demands: dict[Flow, OrderedDict[str, _Demand]] = {}

    def report(self, entry: str, backlogs: Iterable[Backlog]) -> None:
        """Replace the last report of an entry by its complete backlog.

        :param entry: reporting entry
        :param backlogs: one for each flow with queued items
        """
        current = {backlog.flow: backlog for backlog in backlogs if backlog.waiting > 0}
        for flow in self._reports.get(entry, set()) - current.keys():
            self._remove(entry, flow)
        for backlog in current.values():
            self._store(entry, backlog)

    def update(self, entry: str, backlogs: Iterable[Backlog]) -> None:
        """Apply the changes at an entry since its last report or update.

        :param entry: reporting entry
        :param backlogs: one for each flow that changed, including those that are empty now
        """
        for backlog in backlogs:
            if backlog.waiting > 0:
                self._store(entry, backlog)
            elif backlog.flow in self._reports.get(entry, ()):
                self._remove(entry, backlog.flow)

    def forget(self, entry: str) -> None:
        """Remove everything that an entry reported.

        :param entry: entry to remove
        """
        self.report(entry, ())

    def pick(self) -> Pick | None:
        """Pick a flow for a free slot and charge it; the entries of a flow are served round-robin.

        :return: the choice; ``None`` if nothing is queued
        """
        flow = self.policy.head()
        if flow is None:
            return None
        demands = self._demands[flow]
        entry, demand = next(iter(demands.items()))
        self.policy.serve(flow, demand.head_cost)
        demands.move_to_end(entry)
        demand.waiting -= 1
        if demand.waiting == 0:
            self._remove(entry, flow)
        return Pick(entry, flow, demand.head_cost)

    def charge(self, flow: Flow, tokens: float) -> None:
        """Adjust the charge of a pick.

        :param flow: the flow
        :param tokens: actual tokens minus the pick's cost; negative for a refund, such as for an
            unused slot
        """
        self.policy.adjust(flow, tokens)

    def _store(self, entry: str, backlog: Backlog) -> None:
        self._reports.setdefault(entry, set()).add(backlog.flow)
        demands = self._demands.get(backlog.flow)
        if demands is None:
            demands = OrderedDict()
            self._demands[backlog.flow] = demands
            self.policy.activate(backlog.flow)
        demands[entry] = _Demand(backlog.waiting, backlog.head_cost)

    def _remove(self, entry: str, flow: Flow) -> None:
        flows = self._reports[entry]
        flows.discard(flow)
        if not flows:
            del self._reports[entry]
        demands = self._demands[flow]
        del demands[entry]
        if demands:
            return
        del self._demands[flow]
        self.policy.deactivate(flow)


__all__ = ["FairPicker", "Pick"]
