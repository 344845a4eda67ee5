"""Protocols that the components of an entry share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.backing.table import HttpTable
    from basilroad.entry.calls.servicecall import ServiceCall
    from basilroad.entry.generations.containment import Containment
    from basilroad.entry.links.link import AgentLink, EndpointView
    from basilroad.entry.links.linkcost import LinkCosts
    from basilroad.peers.address import Address
    from basilroad.peers.traffic import LinkMeter
    from basilroad.peers.wire import peer_pb2 as wire
    from basilroad.settings.daemon import DaemonSettings, EntrySettings
    from basilroad.settings.store import SettingsStore


class EntryContext(Protocol):
    """State of an entry that its components share, except HTTP servers and generations.

    :param settings: the daemon's settings
    :param options: their entry section
    :param incarnation: identifier of this run of the process
    :param meter: counts bytes between regions
    :param store: current settings
    :param table: the platform's table; ``None`` without one
    :param links: streams to agents
    :param containment: tracks requests that were running when endpoints failed
    :param link_costs: cost of sending work to other regions
    :param stopping: whether it is draining
    :param work_ends_at: time at which a planned stop ends what is in flight
    :param calls_running: calls of plain services in flight
    """

    settings: DaemonSettings
    options: EntrySettings
    incarnation: str
    meter: LinkMeter
    store: SettingsStore
    table: HttpTable | None
    links: dict[Address, AgentLink]
    containment: Containment
    link_costs: LinkCosts
    stopping: bool
    work_ends_at: float
    calls_running: int

    @property
    def is_ready(self) -> bool:
        """:return: whether requests should be routed to this entry."""

    def read_stop_clock(self) -> float:
        """:return: the time by which a planned stop goes, as ``work_ends_at``."""

    async def connect(self, address: Address) -> AgentLink:
        """Maintain a connection to an agent.

        :param address: listen address of the agent
        :return: the link
        """

    def may_serve_model(self, model: str) -> bool:
        """:return: whether a model may be served, even if no connected agent runs it."""

    def list_models(self) -> Sequence[str]:
        """:return: names of the models that callers may request."""


class CallSender(Protocol):
    """Sends calls of plain services to endpoints."""

    @property
    def entry(self) -> EntryContext:
        """:return: the entry process."""

    async def choose(self, call: ServiceCall, avoided: set[str]) -> EndpointView:
        """Choose an endpoint.

        :param call: the call
        :param avoided: names of endpoints to exclude
        :return: the endpoint
        :raises RefusedError: no endpoint was available in time
        """

    async def send(
        self,
        view: EndpointView,
        call: ServiceCall,
        *,
        claim: str = "",
        incarnation: str = "",
        key: str = "",
    ) -> wire.CallAnswer:
        """Send a call to one endpoint, without retries.

        :param view: the endpoint
        :param call: the call
        :param claim: ticket of its claim, if it must not run twice
        :param incarnation: agent incarnation that the claim names
        :param key: key of the keyed call, independent of the claim
        :return: the agent's answer
        :raises LinkLostError: the agent was lost before it answered
        """

    def choose_other(self, call: ServiceCall, avoided: set[str]) -> EndpointView | None:
        """:return: another endpoint of the service; ``None`` if there is none."""


__all__ = ["CallSender", "EntryContext"]
