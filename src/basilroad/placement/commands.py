"""Commands of the planner to the agents."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from basilroad.entry.links.link import LinkLostError
from basilroad.errors import ErrorKind
from basilroad.logs import Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.coordination.lease import Lease
    from basilroad.entry.links.link import EndpointView
    from basilroad.placement.plan import Change

REPLY_TIMEOUT_S = 2.0
"""Seconds to wait for the reply to a command."""

LEASE_NOT_HELD = "the lease is not held"

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class CommandResult:
    """Result of a command.

    :param accepted: whether the agent accepted it
    :param reason: why not; empty if accepted
    """

    accepted: bool
    reason: str = ""


class CommandSender:
    """Sends commands while the planner's lease is held.

    :param lease: lease of the planner
    """

    def __init__(self, lease: Lease) -> None:
        self._lease = lease

    async def announce(self, view: EndpointView) -> CommandResult:
        """Send the fencing number to an agent, so that it refuses former planners from now on.

        :param view: the engine
        :return: whether the agent accepted the number
        """
        return await self._send(view, wire.PlaceModel(action="fence"))

    async def change(self, view: EndpointView, change: Change) -> CommandResult:
        """Send the command for one change.

        :param view: the engine
        :param change: what it is to load
        :return: whether its agent accepted it
        """
        command = wire.PlaceModel(action=change.action.value)
        if change.target is not None:
            command.model = change.target.model
            command.adapter = change.target.adapter
            command.version = change.target.version
        result = await self._send(view, command)
        outcome = "taken" if result.accepted else result.reason
        reason = f"{change.action.value} {change.target}: {change.reason}: {outcome}"
        log_decision(_LOGGER, Decision(what="place", chosen=view.name, reason=reason))
        return result

    async def _send(self, view: EndpointView, command: wire.PlaceModel) -> CommandResult:
        link = view.link
        command.call = link.next_call_number()
        command.endpoint = view.name
        # read last, since the process may have been suspended at any earlier step
        fence = self._lease.fence()
        if fence is None:
            return CommandResult(False, LEASE_NOT_HELD)
        command.fence = fence
        try:
            reply = await link.ask(command.call, wire.EntryMessage(place=command), REPLY_TIMEOUT_S)
        except LinkLostError as error:
            return CommandResult(False, str(error))
        assert isinstance(reply, wire.ModelPlaced)
        if reply.kind == ErrorKind.STALE_ORDER.value:
            _LOGGER.warning(
                "command refused: fencing number is outdated",
                extra={"endpoint": view.name, "fence": fence, "newer": reply.fence},
            )
        return CommandResult(not reply.kind, reply.kind)


__all__ = ["LEASE_NOT_HELD", "CommandResult", "CommandSender"]
