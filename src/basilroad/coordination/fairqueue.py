"""Queue with fair scheduling across ranks, workspaces and callers."""

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
"""Maximum flows in the change log; a reader further behind gets all flows."""


@attrs.frozen
class Backlog:
    """Queued items of one flow.

    :param flow: the flow
    :param waiting: number of queued items
    :param head_cost: estimated tokens of the first item
    """

    flow: Flow
    waiting: int
    head_cost: float


@attrs.frozen
class BacklogChanges:
    """Backlogs that changed.

    :param serial: position to read from next time
    :param whole: whether these are all flows with queued items
    :param backlogs: current backlog of each flow, possibly empty
    """

    serial: int
    whole: bool
    backlogs: tuple[Backlog, ...]


class _FlowQueue(Generic[Item]):
    __slots__ = ("cost", "items")

    def __init__(self) -> None:
        self.items: OrderedDict[Item, float] = OrderedDict()
        self.cost = 0.0


class FairQueue(Generic[Item]):
    """Queue of items in the order of the fair policy; FIFO within a flow.

    :param settings: settings of the fair scheduling
    """

    def __init__(self, settings: FairSettings) -> None:
        self.policy = FairPolicy(settings)
        self._flow_queues: dict[Flow, _FlowQueue[Item]] = {}
        self._lengths: dict[int, KeyedHeap[Flow]] = {}
        self._counts: dict[int, int] = {}
        self._flows: dict[Item, Flow] = {}
        self._costs: dict[int, float] = {}
        self._change_log: ChangeLog[Flow] = ChangeLog(CHANGES_LIMIT)

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, item: object) -> bool:
        return item in self._flows

    def push(self, item: Item, flow: Flow, cost: float) -> None:
        """Append an item to its flow.

        :param item: item to queue; hashable, in the queue at most once
        :param flow: flow to charge
        :param cost: estimated tokens
        :raises ValueError: the item is already queued, or the cost is negative or not a number
        """
        self._check(item, cost)
        queue = self._flow_queues.get(flow)
        if queue is None:
            queue = _FlowQueue()
            self._flow_queues[flow] = queue
            self.policy.activate(flow)
        queue.items[item] = cost
        self._flows[item] = flow
        self._record_change(flow, queue, 1, cost)

    def push_front(self, item: Item, flow: Flow, cost: float) -> None:
        """Prepend an item to its flow, for a request that is resumed.

        Call :meth:`settle` for the unserved part first, or the flow is charged twice.

        :param item: item to queue; hashable, in the queue at most once
        :param flow: flow to charge
        :param cost: estimated tokens remaining
        :raises ValueError: the item is already queued, or the cost is negative or not a number
        """
        self.push(item, flow, cost)
        self._flow_queues[flow].items.move_to_end(item, last=False)

    def pop(self) -> Item | None:
        """Remove the next item and charge its flow.

        :return: the item; ``None`` if the queue is empty
        """
        flow = self.policy.head()
        if flow is None:
            return None
        return self.pop_flow(flow)

    def peek(self) -> Item | None:
        """:return: the item that :meth:`pop` would return; ``None`` if the queue is empty."""
        flow = self.policy.head()
        return next(iter(self._flow_queues[flow].items)) if flow is not None else None

    def pop_flow(self, flow: Flow) -> Item | None:
        """Remove the first item of a flow and charge the flow.

        :param flow: the flow
        :return: the item; ``None`` if the flow is empty
        """
        queue = self._flow_queues.get(flow)
        if queue is None:
            return None
        item, cost = next(iter(queue.items.items()))
        self.policy.serve(flow, cost)
        self._remove(item, flow)
        return item

    def pop_rank(self, rank: int) -> Item | None:
        """Remove the next item of a rank and charge its flow.

        :param rank: the rank
        :return: the item; ``None`` if the rank has none
        """
        flow = self.policy.head_of(rank)
        return self.pop_flow(flow) if flow is not None else None

    def remove(self, item: Item) -> bool:
        """Remove an item without charging its flow.

        :param item: item to remove
        :return: whether it was queued
        """
        flow = self._flows.get(item)
        if flow is None:
            return False
        self._remove(item, flow)
        return True

    def settle(self, flow: Flow, estimated: float, actual: float) -> None:
        """Correct the charge of an item by its actual tokens.

        :param flow: the flow that was charged
        :param estimated: tokens that were charged
        :param actual: tokens that were served
        """
        self.policy.adjust(flow, actual - estimated)

    def items(self) -> list[Item]:
        """:return: all queued items, in order of their arrival."""
        return list(self._flows)

    def backlogs(self) -> list[Backlog]:
        """:return: backlog of each flow that has one."""
        return [self._build_backlog(flow) for flow in self._flow_queues]

    def changes(self, since: int) -> BacklogChanges:
        """Return the changes since a reader's last read.

        :param since: serial of the reader's last read; 0 for the first read
        :return: the flows that changed, or all flows
        """
        changed = self._change_log.read(since)
        if changed.keys is None:
            return BacklogChanges(changed.serial, True, tuple(self.backlogs()))
        backlogs = tuple(self._build_backlog(flow) for flow in changed.keys)
        return BacklogChanges(changed.serial, False, backlogs)

    def waiting_cost(self, rank: int) -> float:
        """:return: estimated tokens queued at a rank."""
        return self._costs.get(rank, 0.0)

    def count(self, rank: int) -> int:
        """:return: number of items queued at a rank."""
        return self._counts.get(rank, 0)

    def count_flow(self, flow: Flow) -> int:
        """:return: number of items queued in a flow."""
        queue = self._flow_queues.get(flow)
        return len(queue.items) if queue is not None else 0

    def ranks(self) -> list[int]:
        """:return: ranks with queued items, most urgent first."""
        return sorted(rank for rank, count in self._counts.items() if count)

    def longest(self, rank: int) -> Flow | None:
        """:return: the flow of a rank with the most queued items."""
        lengths = self._lengths.get(rank)
        return lengths.head() if lengths is not None else None

    def last(self, flow: Flow) -> Item | None:
        """:return: the last item of a flow."""
        queue = self._flow_queues.get(flow)
        return next(reversed(queue.items)) if queue is not None else None

    def cost_ahead(self, flow: Flow, cost: float) -> float:
        """Estimate the tokens of the same rank served ahead of a new item of a flow.

        :param flow: the flow
        :param cost: estimated tokens of the item
        :return: tokens; the backlog of larger flows beyond their fair share does not count
        """
        queue = self._flow_queues.get(flow)
        own = cost + (queue.cost if queue is not None else 0.0)
        return min(self.waiting_cost(flow.rank), own * self.policy.count_sharers(flow))

    def mark_changed(self, flow: Flow) -> None:
        """Report a flow as changed to the readers of the changes.

        :param flow: the flow
        """
        self._change_log.mark_changed(flow)

    def _build_backlog(self, flow: Flow) -> Backlog:
        queue = self._flow_queues.get(flow)
        if queue is None:
            return Backlog(flow, 0, 0.0)
        return Backlog(flow, len(queue.items), next(iter(queue.items.values())))

    def _check(self, item: Item, cost: float) -> None:
        if item in self._flows:
            raise ValueError(f"item is already queued: {item!r}")
        if not cost >= 0:
            raise ValueError(f"cost must be at least 0: got {cost}")

    def _remove(self, item: Item, flow: Flow) -> None:
        queue = self._flow_queues[flow]
        cost = queue.items.pop(item)
        del self._flows[item]
        self._record_change(flow, queue, -1, -cost)
        if queue.items:
            return
        del self._flow_queues[flow]
        self.policy.deactivate(flow)

    def _record_change(self, flow: Flow, queue: _FlowQueue[Item], count: int, cost: float) -> None:
        rank = flow.rank
        queue.cost += cost
        self._costs[rank] = self._costs.get(rank, 0.0) + cost
        self._counts[rank] = self._counts.get(rank, 0) + count
        lengths = self._lengths.setdefault(rank, KeyedHeap())
        if queue.items:
            lengths.put(flow, -float(len(queue.items)))
        else:
            lengths.pop(flow)
        self._change_log.mark_changed(flow)


__all__ = ["Backlog", "BacklogChanges", "FairQueue"]
