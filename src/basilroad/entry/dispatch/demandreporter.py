"""Reports the backlog of an entry to the agents."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from basilroad.coordination.fairqueue import BacklogChanges
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from basilroad.entry.dispatch.engineindex import EngineIndex
    from basilroad.entry.dispatch.modelqueue import ModelQueue
    from basilroad.entry.links.link import AgentLink, EndpointView

DEMAND_DELAY_S = 0.01
"""Delay within which changes of the queues are batched into one report."""

REMOTE_DEMAND_INTERVAL_S = 0.1
"""Interval between backlog reports to the agents of other regions."""

REMOTE_FLOWS_MAX = 64
"""Maximum number of backlogs in one report to an agent of another region."""


class DemandReporter:
    """Reports changed flows of each model's queue to the agents that run the model.

    :param model_queues: queue of each model
    :param index: engines that this entry uses
    :param is_wanted: whether requests of a rank may go to an endpoint, given the link cost
    :param is_remote: whether an agent is in another region
    :param links: all agents, which receive the backlog of models without an engine
    """

    def __init__(
        self,
        model_queues: Mapping[str, ModelQueue],
        index: EngineIndex,
        is_wanted: Callable[[ModelQueue, int, EndpointView], bool],
        is_remote: Callable[[AgentLink], bool],
        links: Callable[[], Iterable[AgentLink]],
    ) -> None:
        self._model_queues = model_queues
        self._index = index
        self._is_wanted = is_wanted
        self._is_remote = is_remote
        self._links = links
        self._remote_due_s = 0.0
        self._remote_reported: set[tuple[str, AgentLink]] = set()
        self._reported_serials: dict[str, dict[AgentLink, int]] = {}
        self._send_scheduled = False

    def schedule_send(self) -> None:
        """Schedule one report of all changes within the batching delay."""
        if not self._send_scheduled:
            self._send_scheduled = True
            asyncio.get_running_loop().call_later(DEMAND_DELAY_S, self._send)

    def forget(self, link: AgentLink) -> None:
        """Forget what was reported to an agent.

        :param link: stream to the agent, which was lost or is new
        """
        for serials in self._reported_serials.values():
            serials.pop(link, None)
        self._remote_reported = {pair for pair in self._remote_reported if pair[1] is not link}

    def forget_all(self) -> None:
        """Make the next report to each agent a full one."""
        for serials in self._reported_serials.values():
            serials.update(dict.fromkeys(serials, 0))

    def _send(self) -> None:
        self._send_scheduled = False
        now = time.monotonic()
        remote_due = now >= self._remote_due_s
        for model, model_queue in self._model_queues.items():
            self._send_local(model, model_queue)
            if remote_due:
                self._send_remote(model, model_queue)
        if remote_due:
            self._remote_due_s = now + REMOTE_DEMAND_INTERVAL_S
        elif self._remote_reported or any(
            len(model_queue.queue) for model_queue in self._model_queues.values()
        ):
            asyncio.get_running_loop().call_later(self._remote_due_s - now, self.schedule_send)

    def _send_remote(self, model: str, model_queue: ModelQueue) -> None:
        """Report the full backlog offered to other regions; it changes as requests wait longer."""
        views = [view for view in self._index.find(model) if self._is_remote(view.link)]
        for link in {view.link: None for view in views}:
            link_views = [view for view in views if view.link is link]
            ranks = {
                rank
                for rank in model_queue.queue.ranks()
                if any(self._is_wanted(model_queue, rank, view) for view in link_views)
            }
            backlogs = (
                [b for b in model_queue.queue.backlogs() if b.flow.rank in ranks] if ranks else []
            )
            if backlogs or (model, link) in self._remote_reported:
                offered = BacklogChanges(0, True, tuple(backlogs[:REMOTE_FLOWS_MAX]))
                link.send(_build_demand(model, offered))
            if backlogs:
                self._remote_reported.add((model, link))
            else:
                self._remote_reported.discard((model, link))

    def _send_local(self, model: str, model_queue: ModelQueue) -> None:
        reported = self._reported_serials.setdefault(model, {})
        model_links = {view.link: None for view in self._index.find(model)} or self._links()
        links = [link for link in model_links if not self._is_remote(link)]
        for link in [link for link in reported if link not in links]:
            link.send(_build_demand(model, None))
            del reported[link]
        messages: dict[int, wire.EntryMessage | None] = {}
        serial = 0
        for link in links:
            if link not in reported and not len(model_queue.queue):
                continue
            since = reported.get(link, 0)
            if since not in messages:
                changes = model_queue.queue.changes(since)
                serial = changes.serial
                has_changes = changes.whole or changes.backlogs
                messages[since] = _build_demand(model, changes) if has_changes else None
            message = messages[since]
            if message is not None:
                link.send(message)
            reported[link] = serial


def _build_demand(model: str, changes: BacklogChanges | None) -> wire.EntryMessage:
    backlogs = [
        wire.Backlog(
            rank=backlog.flow.rank,
            workspace=backlog.flow.workspace,
            caller=backlog.flow.caller,
            waiting=backlog.waiting,
            tokens=int(backlog.head_cost),
        )
        for backlog in (changes.backlogs if changes is not None else ())
    ]
    whole = changes is None or changes.whole
    demand = wire.Demand(model=model, whole=whole, backlogs=backlogs)
    return wire.EntryMessage(demand=demand)


__all__ = ["DemandReporter"]
