"""Queue that is fair between ranks, workspaces and callers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from basilroad.coordination.changelog import ChangeLog
from basilroad.coordination.fairpolicy import FairPolicy, FairSettings, Flow
from basilroad.coordination.keyedheap import KeyedHeap

Item = TypeVar("Item", bound=Hashable)

CHANGES_LIMIT = 4096
"""Flows whose last change is remembered; a reader that lags behind gets them all."""


@attrs.frozen
class Backlog:
    """What waits in one flow.

    :param flow: the flow
    :param waiting: number of items
    :param head_cost: estimated tokens of the first one
    """

    flow: Flow
    waiting: int
    head_cost: float


@attrs.frozen
class BacklogChanges:
    """Flows whose backlog changed.

    :param serial: what to ask from next time
    :param whole: whether these are all flows in which anything waits
    :param backlogs: what waits in each now, which may be nothing
    """

    serial: int
    whole: bool
    backlogs: tuple[Backlog, ...]


class _Line(Generic[Item]):
    __slots__ = ("cost", "items")

    def __init__(self) -> None:
        self.items: OrderedDict[Item, float] = OrderedDict()
        self.cost = 0.0


class FairQueue(Generic[Item]):
    """Items in the order of the fair policy; first in, first out within a flow.

    :param settings: settings of the fair order
    """

    def __init__(self, settings: FairSettings) -> None:
        self.policy = FairPolicy(settings)
        self._lines: dict[Flow, _Line[Item]] = {}
        self._lengths: dict[int, KeyedHeap[Flow]] = {}
        self._counts: dict[int, int] = {}
        self._flows: dict[Item, Flow] = {}
        self._costs: dict[int, float] = {}
        self._log: ChangeLog[Flow] = ChangeLog(CHANGES_LIMIT)

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, item: object) -> bool:
        return item in self._flows

    def push(self, item: Item, flow: Flow, cost: float) -> None:
        """Add an item at the end of its flow.

        :param item: what waits; hashable and in the queue only once
        :param flow: the flow that is charged
        :param cost: estimated tokens
        :raises ValueError: the item waits already, or the cost is below zero
        """
        self._check(item, cost)
        line = self._lines.get(flow)
        if line is None:
            line = _Line()
            self._lines[flow] = line
            self.policy.wake(flow)
        line.items[item] = cost
        self._flows[item] = flow
        self._note_change(flow, line, 1, cost)

    def push_front(self, item: Item, flow: Flow, cost: float) -> None:
        """Add an item before the others of its flow, for work that is resumed.

        Settle the part that was not served first, so that the flow is not charged twice.

        :param item: what waits; hashable and in the queue only once
        :param flow: the flow that is charged
        :param cost: estimated tokens that are left
        :raises ValueError: the item waits already, or the cost is below zero
        """
        self.push(item, flow, cost)
        self._lines[flow].items.move_to_end(item, last=False)

    def pop(self) -> Item | None:
        """Take the next item and charge its flow.

        :return: the item; ``None`` when nothing waits
        """
        flow = self.policy.head()
        if flow is None:
            return None
        return self.pop_flow(flow)

    def peek(self) -> Item | None:
        """:return: the item that :meth:`pop` would take; ``None`` when nothing waits."""
        flow = self.policy.head()
        return next(iter(self._lines[flow].items)) if flow is not None else None

    def pop_flow(self, flow: Flow) -> Item | None:
        """Take the first item of one flow and charge the flow.

        :param flow: the flow
        :return: the item; ``None`` when the flow is empty
        """
        line = self._lines.get(flow)
        if line is None:
            return None
        item, cost = next(iter(line.items.items()))
        self.policy.serve(flow, cost)
        self._take(item, flow)
        return item

    def pop_rank(self, rank: int) -> Item | None:
        """Take the next item of one rank and charge its flow.

        :param rank: the rank
        :return: the item; ``None`` when nothing of the rank waits
        """
        flow = self.policy.head_of(rank)
        return self.pop_flow(flow) if flow is not None else None

    def remove(self, item: Item) -> bool:
        """Take an item out without charge.

        :param item: what waits
        :return: whether it was there
        """
        flow = self._flows.get(item)
        if flow is None:
            return False
        self._take(item, flow)
        return True

    def settle(self, flow: Flow, estimated: float, actual: float) -> None:
        """Correct the charge of an item by its true count.

        :param flow: the flow that was charged
        :param estimated: tokens that were charged
        :param actual: tokens that were served
        """
        self.policy.adjust(flow, actual - estimated)

    def backlogs(self) -> list[Backlog]:
        """:return: what waits in each flow."""
        return [self._describe(flow) for flow in self._lines]

    def changes(self, since: int) -> BacklogChanges:
        """Tell what changed, for a reader that knows the rest.

        :param since: serial of the reader's last look; 0 for a first look
        :return: the flows that changed, or all of them
        """
        changed = self._log.read(since)
        if changed.keys is None:
            return BacklogChanges(changed.serial, True, tuple(self.backlogs()))
        backlogs = tuple(self._describe(flow) for flow in changed.keys)
        return BacklogChanges(changed.serial, False, backlogs)

    def waiting_cost(self, rank: int) -> float:
        """:return: estimated tokens that wait at a rank."""
        return self._costs.get(rank, 0.0)

    def count(self, rank: int) -> int:
        """:return: items that wait at a rank."""
        return self._counts.get(rank, 0)

    def count_flow(self, flow: Flow) -> int:
        """:return: items that wait in a flow."""
        line = self._lines.get(flow)
        return len(line.items) if line is not None else 0

    def ranks(self) -> list[int]:
        """:return: ranks at which anything waits, the most urgent first."""
        return sorted(rank for rank, count in self._counts.items() if count)

    def longest(self, rank: int) -> Flow | None:
        """:return: the flow of a rank in which most items wait."""
        lengths = self._lengths.get(rank)
        return lengths.head() if lengths is not None else None

    def last(self, flow: Flow) -> Item | None:
        """:return: the last item of a flow."""
        line = self._lines.get(flow)
        return next(reversed(line.items)) if line is not None else None

    def cost_ahead(self, flow: Flow, cost: float) -> float:
        """Estimate the tokens of the same rank that are served before a new item of a flow.

        :param flow: the flow
        :param cost: estimated tokens of the item
        :return: tokens; what larger flows have waiting beyond the fair share does not count
        """
        line = self._lines.get(flow)
        own = cost + (line.cost if line is not None else 0.0)
        return min(self.waiting_cost(flow.rank), own * self.policy.count_sharers(flow))

    def mark_changed(self, flow: Flow) -> None:
        """Have a flow told again to who reads the changes.

        :param flow: the flow
        """
        self._log.mark_changed(flow)

    def _describe(self, flow: Flow) -> Backlog:
        line = self._lines.get(flow)
        if line is None:
            return Backlog(flow, 0, 0.0)
        return Backlog(flow, len(line.items), next(iter(line.items.values())))

    def _check(self, item: Item, cost: float) -> None:
        if item in self._flows:
            raise ValueError("the item waits already")
        if not cost >= 0:
            raise ValueError("the cost must not be below zero")

    def _take(self, item: Item, flow: Flow) -> None:
        line = self._lines[flow]
        cost = line.items.pop(item)
        del self._flows[item]
        self._note_change(flow, line, -1, -cost)
        if line.items:
            return
        del self._lines[flow]
        self.policy.rest(flow)

    def _note_change(self, flow: Flow, line: _Line[Item], count: int, cost: float) -> None:
        rank = flow.rank
        line.cost += cost
        self._costs[rank] = self._costs.get(rank, 0.0) + cost
        self._counts[rank] = self._counts.get(rank, 0) + count
        lengths = self._lengths.setdefault(rank, KeyedHeap())
        if line.items:
            lengths.put(flow, -float(len(line.items)))
        else:
            lengths.pop(flow)
        self._log.mark_changed(flow)


__all__ = ["Backlog", "BacklogChanges", "FairQueue"]
