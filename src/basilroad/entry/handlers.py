"""Handlers for the messages of agents."""

from __future__ import annotations

import logging
from functools import singledispatch
from typing import TYPE_CHECKING, Any, Protocol

from basilroad.entry.context import EntryContext
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.dispatch.dispatch import Dispatcher
    from basilroad.entry.links.link import AgentLink
    from basilroad.peers.exchange import SettingsExchange

_LOGGER = logging.getLogger(__name__)


class MessageContext(EntryContext, Protocol):
    """What the message handlers need from the entry process.

    :param exchange: merges settings received from agents
    """

    exchange: SettingsExchange

    @property
    def dispatcher(self) -> Dispatcher:
        """:return: receives endpoint states and credits."""


@singledispatch
def handle_message(body: Any, entry: MessageContext, link: AgentLink) -> None:
    """Handle one message.

    :param body: the message
    :param entry: the entry process
    :param link: stream that it was received on
    """
    del entry, link
    _LOGGER.warning("ignored a message of unknown type %s", type(body).__name__)


@handle_message.register(wire.AgentHello)
def _(body: wire.AgentHello, entry: MessageContext, link: AgentLink) -> None:
    del entry
    _LOGGER.info("agent connected", extra={"agent": body.host, "endpoints": len(link.endpoints)})


@handle_message.register(wire.EndpointState)
def _(body: wire.EndpointState, entry: MessageContext, link: AgentLink) -> None:
    view = link.update_endpoint(body)
    if link.region == entry.settings.region:
        entry.link_costs.set_entry_count(body.entries)
    if not body.alive:
        entry.dispatcher.prefixes.reset(body.endpoint)
    entry.dispatcher.on_endpoint(view)


@handle_message.register(wire.Finished)
def _(body: wire.Finished, entry: MessageContext, link: AgentLink) -> None:
    del entry
    _end_attempt(body, link)


@handle_message.register(wire.Failed)
def _(body: wire.Failed, entry: MessageContext, link: AgentLink) -> None:
    del entry
    _end_attempt(body, link)


def _end_attempt(body: wire.Finished | wire.Failed, link: AgentLink) -> None:
    attempt = link.attempts.get(body.generation)
    if attempt is not None:
        attempt.end(body)


@handle_message.register(wire.Attached)
@handle_message.register(wire.Found)
@handle_message.register(wire.CallAnswer)
@handle_message.register(wire.CallSettled)
@handle_message.register(wire.ModelPlaced)
def _(body: Any, entry: MessageContext, link: AgentLink) -> None:
    del entry
    link.resolve(body)


@handle_message.register(wire.Credit)
def _(body: wire.Credit, entry: MessageContext, link: AgentLink) -> None:
    entry.dispatcher.on_credit(link, body)


@handle_message.register(wire.Heartbeat)
def _(body: wire.Heartbeat, entry: MessageContext, link: AgentLink) -> None:
    link.sync.record_remote_revision(body.settings_revision, body.settings_digest)
    entry.exchange.send_missing(link)


@handle_message.register(wire.SettingsChanges)
def _(body: wire.SettingsChanges, entry: MessageContext, link: AgentLink) -> None:
    del link
    entry.exchange.merge_remote(body)


@handle_message.register(wire.PoisonMarks)
def _(body: wire.PoisonMarks, entry: MessageContext, link: AgentLink) -> None:
    del link
    entry.containment.merge_remote(body)


@handle_message.register(wire.CacheChange)
def _(body: wire.CacheChange, entry: MessageContext, link: AgentLink) -> None:
    del link
    prefixes = entry.dispatcher.prefixes
    if body.reset:
        prefixes.reset(body.endpoint)
    prefixes.drop(body.endpoint, body.dropped)
    prefixes.add(body.endpoint, body.added)


__all__ = ["handle_message"]
