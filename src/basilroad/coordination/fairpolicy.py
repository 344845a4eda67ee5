"""Fair scheduling policy across ranks, workspaces and callers."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from basilroad.coordination.virtualtime import VirtualTime

DEFAULT_WEIGHT = 1.0


@attrs.frozen(cache_hash=True)
class Flow:
    """Requests of one caller at one rank.

    :param rank: urgency, 0 for the most urgent
    :param workspace: workspace whose share is charged
    :param caller: sender of the requests
    """

    rank: int
    workspace: str
    caller: str


@attrs.frozen
class FairSettings:
    """Settings of the fair scheduling.

    :param floor: minimum share of the tokens for each rank with a backlog
    :param floors: overrides of ``floor`` by rank
    :param weights: weight by workspace; 1 if not given
    :param idle_limit: maximum idle workspaces remembered per rank, and idle callers per
        workspace
    """

    floor: float = 0.1
    floors: Mapping[int, float] = attrs.field(factory=dict)
    weights: Mapping[str, float] = attrs.field(factory=dict)
    idle_limit: int = 256

    def floor_of(self, rank: int) -> float:
        """:return: minimum share of the tokens for a rank with a backlog."""
        return self.floors.get(rank, self.floor)

    def reserved_slots(self, rank: int, total: int) -> int:
        """Compute the slots of a rank that are protected from preemption.

        :param rank: the rank
        :param total: number of slots of the endpoint
        :return: the rank's floor times the slots, rounded up: at least one unless the floor is 0
        """
        return math.ceil(self.floor_of(rank) * total)


class RankShare:
    """Fair sharing within one rank, and the balance of the rank against its floor.

    :param settings: settings of the fair scheduling
    :param floor: minimum share of the tokens while the rank has a backlog
    """

    def __init__(self, settings: FairSettings, floor: float) -> None:
        self._settings = settings
        self._floor = floor
        self._workspaces = VirtualTime(settings.idle_limit, self._evict)
        self._callers: dict[str, VirtualTime] = {}
        self._balance = 0.0

    def __len__(self) -> int:
        """:return: number of callers with state."""
        return sum(len(callers) for callers in self._callers.values())

    def has_waiting(self) -> bool:
        """:return: whether any flow of the rank has queued items."""
        return self._workspaces.has_waiting()

    def activate(self, flow: Flow) -> None:
        """Mark a flow as waiting for service."""
        self._callers_of(flow.workspace).activate(flow.caller)
        self._workspaces.activate(flow.workspace)

    def deactivate(self, flow: Flow) -> None:
        """Mark a flow as idle."""
        callers = self._callers.get(flow.workspace)
        if callers is None:
            return
        callers.deactivate(flow.caller)
        if not callers.has_waiting():
            self._workspaces.deactivate(flow.workspace)
        if not self.has_waiting():
            self._balance = min(self._balance, 0.0)

    def head(self, rank: int) -> Flow | None:
        """:return: the next flow to serve within the rank."""
        workspace = self._workspaces.head()
        if workspace is None:
            return None
        caller = self._callers[workspace].head()
        assert caller is not None
        return Flow(rank, workspace, caller)

    def serve(self, flow: Flow, tokens: float) -> None:
        """Charge a waiting flow at the start of service."""
        self._workspaces.serve(flow.workspace, tokens / self._weight(flow.workspace))
        self._callers[flow.workspace].serve(flow.caller, tokens)

    def adjust(self, flow: Flow, tokens: float) -> None:
        """Adjust the charge of a flow."""
        self._callers_of(flow.workspace).adjust(flow.caller, tokens)
        self._workspaces.adjust(flow.workspace, tokens / self._weight(flow.workspace))

    def count(self, tokens: float, *, own: bool) -> None:
        """Update the rank's balance against its floor.

        :param tokens: tokens served; negative for a correction
        :param own: whether this rank was served
        """
        if self.has_waiting():
            self._balance += self._floor * tokens
        if not own:
            return
        if tokens >= 0:
            # Capped at one item: a larger debt would suspend the floor after a burst of this rank.
            self._balance = max(self._balance - tokens, min(self._balance, -tokens))
        else:
            self._balance = min(max(self._balance, 0.0), self._balance - tokens)

    def count_sharers(self, flow: Flow) -> int:
        """:return: number of parts into which the rank's service is divided while a flow waits."""
        workspaces = self._workspaces.waiting + (not self._workspaces.is_waiting(flow.workspace))
        callers = self._callers.get(flow.workspace)
        if callers is None:
            return workspaces
        return workspaces * (callers.waiting + (not callers.is_waiting(flow.caller)))

    def configure(self, settings: FairSettings, floor: float) -> None:
        """Apply new settings; past service still counts.

        :param settings: settings of the fair scheduling
        :param floor: minimum share of the tokens while the rank has a backlog
        """
        self._settings = settings
        self._floor = floor

    def deficit(self) -> float:
        """:return: tokens by which the rank is below its floor."""
        return self._balance

    def _callers_of(self, workspace: str) -> VirtualTime:
        callers = self._callers.get(workspace)
        if callers is None:
            callers = VirtualTime(self._settings.idle_limit)
            self._callers[workspace] = callers
        return callers

    def _weight(self, workspace: str) -> float:
        return self._settings.weights.get(workspace, DEFAULT_WEIGHT)

    def _evict(self, workspace: str) -> None:
        self._callers.pop(workspace, None)


class FairPolicy:
    """Selects the waiting flow to serve next.

    The most urgent rank is served first, unless a rank with a backlog is below its floor. Within
    a rank, workspaces share by weight; within a workspace, callers share equally.

    :param settings: settings of the fair scheduling
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._ranks: dict[int, RankShare] = {}

    def __len__(self) -> int:
        """:return: number of flows with state."""
        return sum(len(share) for share in self._ranks.values())

    def configure(self, settings: FairSettings) -> None:
        """Apply new floors and weights; past service still counts.

        :param settings: settings of the fair scheduling
        """
        self._settings = settings
        for rank, share in self._ranks.items():
            share.configure(settings, settings.floor_of(rank))

    def activate(self, flow: Flow) -> None:
        """Mark a flow as waiting for service.

        :param flow: the flow, which may be waiting already
        """
        self._share(flow.rank).activate(flow)

    def deactivate(self, flow: Flow) -> None:
        """Mark a flow as idle.

        :param flow: the flow, which need not be waiting
        """
        self._share(flow.rank).deactivate(flow)

    def head(self) -> Flow | None:
        """:return: the next flow to serve; ``None`` if none is waiting."""
        waiting = sorted(rank for rank, share in self._ranks.items() if share.has_waiting())
        if not waiting:
            return None
        rank = max(waiting, key=lambda rank: max(0.0, self._ranks[rank].deficit()))
        return self._ranks[rank].head(rank)

    def head_of(self, rank: int) -> Flow | None:
        """:return: the next flow to serve within a rank; ``None`` if none is waiting."""
        share = self._ranks.get(rank)
        return share.head(rank) if share is not None else None

    def count_sharers(self, flow: Flow) -> int:
        """Count the parts into which the service of a flow's rank is divided.

        :param flow: the flow, which need not be waiting
        :return: waiting workspaces times waiting callers of its workspace, itself included
        """
        return self._share(flow.rank).count_sharers(flow)

    def floor_of(self, rank: int) -> float:
        """:return: minimum share of the tokens for a rank with a backlog."""
        return self._settings.floor_of(rank)

    def may_bypass(self, rank: int) -> bool:
        """Decide whether a new request may be served ahead of all waiting flows.

        :param rank: rank of the request
        :return: whether all waiting flows are less urgent and no waiting rank is below its floor
        """
        waiting = [(other, share) for other, share in self._ranks.items() if share.has_waiting()]
        return all(rank < other and share.deficit() <= 0 for other, share in waiting)

    def serve(self, flow: Flow, tokens: float) -> None:
        """Charge a waiting flow at the start of service.

        :param flow: the flow
        :param tokens: estimated tokens
        :raises KeyError: the flow is not waiting
        """
        self._share(flow.rank).serve(flow, tokens)
        self._count(flow.rank, tokens)

    def adjust(self, flow: Flow, tokens: float) -> None:
        """Adjust the charge of a flow, waiting or idle.

        :param flow: the flow
        :param tokens: additional tokens to charge; negative for a refund
        """
        if tokens == 0:
            return
        self._share(flow.rank).adjust(flow, tokens)
        self._count(flow.rank, tokens)

    def _count(self, served: int, tokens: float) -> None:
        for rank, share in self._ranks.items():
            share.count(tokens, own=rank == served)

    def _share(self, rank: int) -> RankShare:
        share = self._ranks.get(rank)
        if share is None:
            share = RankShare(self._settings, self._settings.floor_of(rank))
            self._ranks[rank] = share
        return share


__all__ = ["FairPolicy", "FairSettings", "Flow"]
