"""Orders of the planner to the agents."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from basilroad.entry.link import LinkLostError
from basilroad.errors import ErrorKind
from basilroad.logs import Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.coordination.lease import Lease
    from basilroad.entry.link import EndpointView
    from basilroad.placement.plan import Change

REPLY_S = 2.0
"""Seconds to wait for the reply to an order."""

NOT_HELD = "the lease is not held"

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class CommandResult:
    """What became of an order.

    :param taken: whether the agent will carry it out
    :param reason: why not
    """

    taken: bool
    reason: str = ""


class CommandSender:
    """Gives orders under a lease.

    :param lease: of the planner
    """

    def __init__(self, lease: Lease) -> None:
        self._lease = lease

    async def announce(self, view: EndpointView) -> CommandResult:
        """Tell an agent the fencing number, so that it refuses former planners from now on.

        :param view: the engine
        :return: whether the agent has taken the number
        """
        return await self._give(view, wire.PlaceModel(action="fence"))

    async def change(self, view: EndpointView, change: Change) -> CommandResult:
        """Order one change.

        :param view: the engine
        :param change: what it is to load
        :return: whether its agent will carry it out
        """
        order = wire.PlaceModel(action=change.action.value)
        if change.target is not None:
            order.model = change.target.model
            order.adapter = change.target.adapter
            order.version = change.target.version
        result = await self._give(view, order)
        outcome = "taken" if result.taken else result.reason
        reason = f"{change.action.value} {change.target}: {change.reason}: {outcome}"
        log_decision(_LOGGER, Decision(what="place", chosen=view.name, reason=reason))
        return result

    async def _give(self, view: EndpointView, order: wire.PlaceModel) -> CommandResult:
        link = view.link
        order.call = link.next_call_number()
        order.endpoint = view.name
        # asked last, since any step before may have been a pause
        fence = self._lease.fence()
        if fence is None:
            return CommandResult(False, NOT_HELD)
        order.fence = fence
        try:
            reply = await link.ask(order.call, wire.EntryMessage(place=order), REPLY_S)
        except LinkLostError as error:
            return CommandResult(False, str(error))
        assert isinstance(reply, wire.ModelPlaced)
        if reply.kind == ErrorKind.STALE_ORDER.value:
            _LOGGER.warning(
                "order refused",
                extra={"endpoint": view.name, "fence": fence, "newer": reply.fence},
            )
        return CommandResult(not reply.kind, reply.kind)


__all__ = ["NOT_HELD", "CommandResult", "CommandSender"]
