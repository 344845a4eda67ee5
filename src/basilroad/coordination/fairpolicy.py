"""Order of service between ranks, workspaces and callers."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from basilroad.coordination.virtualtime import VirtualTime

EQUAL_WEIGHT = 1.0


@attrs.frozen(cache_hash=True)
class Flow:
    """Work of one caller at one rank.

    :param rank: urgency, 0 for the most urgent
    :param workspace: whose share the work uses
    :param caller: who sent it
    """

    rank: int
    workspace: str
    caller: str


@attrs.frozen
class FairSettings:
    """Settings of the fair order.

    :param floor: share of the tokens that each rank gets while it has a backlog
    :param floors: shares of single ranks, in place of ``floor``
    :param weights: weight of each workspace; 1 for those not named
    :param idle_limit: most idle workspaces of a rank, and callers of a workspace, that are
        remembered
    """

    floor: float = 0.1
    floors: Mapping[int, float] = attrs.field(factory=dict)
    weights: Mapping[str, float] = attrs.field(factory=dict)
    idle_limit: int = 256

    def floor_of(self, rank: int) -> float:
        """:return: share of the tokens that a rank gets while it has a backlog."""
        return self.floors.get(rank, self.floor)

    def reserved_slots(self, rank: int, total: int) -> int:
        """Count the slots that preemption leaves to a rank.

        :param rank: the rank
        :param total: slots of the endpoint
        :return: its floor of the slots, at least one unless the floor is 0
        """
        return math.ceil(self.floor_of(rank) * total)


class RankShare:
    """Fair sharing within one rank, and what the rank had of all service.

    :param settings: settings of the fair order
    :param floor: share of the tokens that the rank gets while it has a backlog
    """

    def __init__(self, settings: FairSettings, floor: float) -> None:
        self._settings = settings
        self._floor = floor
        self._workspaces = VirtualTime(settings.idle_limit, self._forget)
        self._callers: dict[str, VirtualTime] = {}
        self._balance = 0.0

    def __len__(self) -> int:
        """:return: callers of which anything is kept."""
        return sum(len(callers) for callers in self._callers.values())

    def has_waiting(self) -> bool:
        """:return: whether any flow of the rank waits."""
        return self._workspaces.has_waiting()

    def wake(self, flow: Flow) -> None:
        """Let a flow wait for service."""
        self._callers_of(flow.workspace).wake(flow.caller)
        self._workspaces.wake(flow.workspace)

    def rest(self, flow: Flow) -> None:
        """Let a flow wait no more."""
        callers = self._callers.get(flow.workspace)
        if callers is None:
            return
        callers.rest(flow.caller)
        if not callers.has_waiting():
            self._workspaces.rest(flow.workspace)
        if not self.has_waiting():
            self._balance = min(self._balance, 0.0)

    def head(self, rank: int) -> Flow | None:
        """:return: the flow that is served next within the rank."""
        workspace = self._workspaces.head()
        if workspace is None:
            return None
        caller = self._callers[workspace].head()
        assert caller is not None
        return Flow(rank, workspace, caller)

    def serve(self, flow: Flow, tokens: float) -> None:
        """Charge a waiting flow for service that begins."""
        self._workspaces.serve(flow.workspace, tokens / self._weight(flow.workspace))
        self._callers[flow.workspace].serve(flow.caller, tokens)

    def adjust(self, flow: Flow, tokens: float) -> None:
        """Correct what a flow was charged."""
        self._callers_of(flow.workspace).adjust(flow.caller, tokens)
        self._workspaces.adjust(flow.workspace, tokens / self._weight(flow.workspace))

    def count(self, tokens: float, *, own: bool) -> None:
        """Count service for the rank's floor.

        :param tokens: how much, negative for a correction
        :param own: whether this rank had it
        """
        if self.has_waiting():
            self._balance += self._floor * tokens
        if not own:
            return
        if tokens >= 0:
            # a debt of more than one item would undo the floor after a flood of this rank
            self._balance = max(self._balance - tokens, min(self._balance, -tokens))
        else:
            self._balance = min(max(self._balance, 0.0), self._balance - tokens)

    def count_sharers(self, flow: Flow) -> int:
        """:return: into how many parts the rank's service is shared while a flow waits."""
        workspaces = self._workspaces.waiting + (not self._workspaces.is_waiting(flow.workspace))
        callers = self._callers.get(flow.workspace)
        if callers is None:
            return workspaces
        return workspaces * (callers.waiting + (not callers.is_waiting(flow.caller)))

    def configure(self, settings: FairSettings, floor: float) -> None:
        """Take new settings; what was served before still counts.

        :param settings: settings of the fair order
        :param floor: share of the tokens that the rank gets while it has a backlog
        """
        self._settings = settings
        self._floor = floor

    def deficit(self) -> float:
        """:return: tokens that the rank is short of its floor."""
        return self._balance

    def _callers_of(self, workspace: str) -> VirtualTime:
        callers = self._callers.get(workspace)
        if callers is None:
            callers = VirtualTime(self._settings.idle_limit)
            self._callers[workspace] = callers
        return callers

    def _weight(self, workspace: str) -> float:
        return self._settings.weights.get(workspace, EQUAL_WEIGHT)

    def _forget(self, workspace: str) -> None:
        self._callers.pop(workspace, None)


class FairPolicy:
    """Decides which waiting flow is served next.

    The most urgent rank goes first, unless a rank with a backlog is short of its floor. Within
    a rank the workspaces share by weight, and within a workspace the callers share evenly.

    :param settings: settings of the fair order
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._ranks: dict[int, RankShare] = {}

    def __len__(self) -> int:
        """:return: flows of which anything is kept."""
        return sum(len(share) for share in self._ranks.values())

    def configure(self, settings: FairSettings) -> None:
        """Take new floors and weights; what was served before still counts.

        :param settings: settings of the fair order
        """
        self._settings = settings
        for rank, share in self._ranks.items():
            share.configure(settings, settings.floor_of(rank))

    def wake(self, flow: Flow) -> None:
        """Let a flow wait for service.

        :param flow: the flow, which may wait already
        """
        self._share(flow.rank).wake(flow)

    def rest(self, flow: Flow) -> None:
        """Let a flow wait no more.

        :param flow: the flow, which need not wait
        """
        self._share(flow.rank).rest(flow)

    def head(self) -> Flow | None:
        """:return: the flow that is served next; ``None`` if none waits."""
        waiting = sorted(rank for rank, share in self._ranks.items() if share.has_waiting())
        if not waiting:
            return None
        rank = max(waiting, key=lambda rank: max(0.0, self._ranks[rank].deficit()))
        return self._ranks[rank].head(rank)

    def head_of(self, rank: int) -> Flow | None:
        """:return: the flow that is served next within a rank; ``None`` if none waits."""
        share = self._ranks.get(rank)
        return share.head(rank) if share is not None else None

    def count_sharers(self, flow: Flow) -> int:
        """Count who shares the service of a flow's rank.

        :param flow: the flow, which need not wait
        :return: waiting workspaces times waiting callers of its workspace, itself included
        """
        return self._share(flow.rank).count_sharers(flow)

    def floor_of(self, rank: int) -> float:
        """:return: share of the tokens that a rank gets while it has a backlog."""
        return self._settings.floor_of(rank)

    def may_bypass(self, rank: int) -> bool:
        """Tell whether work that does not wait may be served before all that waits.

        :param rank: rank of the work
        :return: whether nothing as urgent waits, and no waiting rank is short of its floor
        """
        waiting = [(order, share) for order, share in self._ranks.items() if share.has_waiting()]
        return all(rank < order and share.deficit() <= 0 for order, share in waiting)

    def serve(self, flow: Flow, tokens: float) -> None:
        """Charge a waiting flow for service that begins.

        :param flow: the flow
        :param tokens: estimated tokens
        :raises KeyError: the flow does not wait
        """
        self._share(flow.rank).serve(flow, tokens)
        self._count(flow.rank, tokens)

    def adjust(self, flow: Flow, tokens: float) -> None:
        """Correct what a flow was charged, whether it waits or not.

        :param flow: the flow
        :param tokens: tokens to charge besides; negative to give back
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
