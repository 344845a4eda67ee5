"""Tells agents what waits at an entry."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from basilroad.coordination.fairqueue import BacklogChanges
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from basilroad.entry.engineindex import EngineIndex
    from basilroad.entry.link import AgentLink, EndpointView
    from basilroad.entry.modelqueue import ModelQueue

DEMAND_S = 0.01
"""Seconds within which changes of the queues are told to the agents."""

REMOTE_DEMAND_S = 0.1
"""Seconds between two messages about the queues to the agents of another region."""

REMOTE_FLOWS_MAX = 64
"""Backlogs told to an agent of another region in one message."""


class DemandTeller:
    """Tells the agents of a model which flows of its queue have changed.

    :param lanes: queue of each model
    :param index: engines that this entry works with
    :param is_wanted: whether work of a rank may go to an endpoint, also over a paid link
    :param is_remote: whether an agent is in another region
    :param links: all agents, which are told of work that no engine serves
    """

    def __init__(
        self,
        model_queues: Mapping[str, ModelQueue],
        index: EngineIndex,
        is_wanted: Callable[[ModelQueue, int, EndpointView], bool],
        is_remote: Callable[[AgentLink], bool],
        links: Callable[[], Iterable[AgentLink]],
    ) -> None:
        self._lanes = model_queues
        self._index = index
        self._is_wanted = is_wanted
        self._is_remote = is_remote
        self._links = links
        self._remote_due_s = 0.0
        self._remote_told: set[tuple[str, AgentLink]] = set()
        self._told: dict[str, dict[AgentLink, int]] = {}
        self._waiting = False

    def tell(self) -> None:
        """Tell the agents what changed, soon and once."""
        if not self._waiting:
            self._waiting = True
            asyncio.get_running_loop().call_later(DEMAND_S, self._send)

    def forget(self, link: AgentLink) -> None:
        """Take note that an agent knows nothing.

        :param link: stream to it, which was lost or is new
        """
        for told in self._told.values():
            told.pop(link, None)
        self._remote_told = {pair for pair in self._remote_told if pair[1] is not link}

    def forget_all(self) -> None:
        """Have all agents told everything again."""
        for told in self._told.values():
            told.update(dict.fromkeys(told, 0))

    def _send(self) -> None:
        self._waiting = False
        now = time.monotonic()
        tells_remotely = now >= self._remote_due_s
        for model, model_queue in self._lanes.items():
            self._send_lane(model, model_queue)
            if tells_remotely:
                self._send_remotely(model, model_queue)
        if tells_remotely:
            self._remote_due_s = now + REMOTE_DEMAND_S
        elif self._remote_told or any(
            len(model_queue.queue) for model_queue in self._lanes.values()
        ):
            asyncio.get_running_loop().call_later(self._remote_due_s - now, self.tell)

    def _send_remotely(self, model: str, model_queue: ModelQueue) -> None:
        """Tell the agents of other regions all that is offered to them; it changes with age."""
        views = [view for view in self._index.find(model) if self._is_remote(view.link)]
        for link in {view.link: None for view in views}:
            own = [view for view in views if view.link is link]
            ranks = {
                rank
                for rank in model_queue.queue.ranks()
                if any(self._is_wanted(model_queue, rank, view) for view in own)
            }
            backlogs = (
                [b for b in model_queue.queue.backlogs() if b.flow.rank in ranks] if ranks else []
            )
            if backlogs or (model, link) in self._remote_told:
                offered = BacklogChanges(0, True, tuple(backlogs[:REMOTE_FLOWS_MAX]))
                link.send(_build_demand(model, offered))
            if backlogs:
                self._remote_told.add((model, link))
            else:
                self._remote_told.discard((model, link))

    def _send_lane(self, model: str, model_queue: ModelQueue) -> None:
        told = self._told.setdefault(model, {})
        found = {view.link: None for view in self._index.find(model)} or self._links()
        links = [link for link in found if not self._is_remote(link)]
        for link in [link for link in told if link not in links]:
            link.send(_build_demand(model, None))
            del told[link]
        messages: dict[int, wire.EntryMessage | None] = {}
        serial = 0
        for link in links:
            if link not in told and not len(model_queue.queue):
                continue
            since = told.get(link, 0)
            if since not in messages:
                changes = model_queue.queue.changes(since)
                serial = changes.serial
                news = changes.whole or changes.backlogs
                messages[since] = _build_demand(model, changes) if news else None
            message = messages[since]
            if message is not None:
                link.send(message)
            told[link] = serial


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


__all__ = ["DemandTeller"]
