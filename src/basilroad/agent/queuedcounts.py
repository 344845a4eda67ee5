"""How many requests wait at all entries, by model and region."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from basilroad.coordination.fairpolicy import Flow
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink


class WaitingCounts:
    """Sums up what the entries report of their queues."""

    def __init__(self) -> None:
        self._by_link: dict[EntryLink, dict[str, dict[Flow, int]]] = {}
        self._total: Counter[tuple[str, str]] = Counter()

    def report(self, link: EntryLink, demand: wire.Demand) -> bool:
        """Take what waits at an entry.

        :param link: stream to the entry
        :param demand: its backlogs of one model, all or those that changed
        :return: whether a model waits now that did not before, or the other way round
        """
        flows = self._by_link.setdefault(link, {}).setdefault(demand.model, {})
        before = sum(flows.values())
        if demand.whole:
            flows.clear()
        for backlog in demand.backlogs:
            flows[Flow(backlog.rank, backlog.workspace, backlog.caller)] = backlog.waiting
            if not backlog.waiting:
                del flows[Flow(backlog.rank, backlog.workspace, backlog.caller)]
        return self._add(demand.model, link, sum(flows.values()) - before)

    def drop_link(self, link: EntryLink) -> None:
        """Forget a lost entry.

        :param link: the stream that ended
        """
        for model, flows in self._by_link.pop(link, {}).items():
            self._add(model, link, -sum(flows.values()))

    def list_waiting(self) -> list[wire.Waiting]:
        """:return: the sums that are not 0."""
        return [
            wire.Waiting(model=model, region=region, requests=count)
            for (model, region), count in sorted(self._total.items())
        ]

    def _add(self, model: str, link: EntryLink, count: int) -> bool:
        key = model, link.hello.region
        known = key in self._total
        self._total[key] += count
        if self._total[key] <= 0:
            del self._total[key]
        return known != (key in self._total)


__all__ = ["WaitingCounts"]
