"""What the parts of an entry share, without knowing its whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.backing.table import HttpTable
    from basilroad.entry.containment import Containment
    from basilroad.entry.link import AgentLink, EndpointView
    from basilroad.entry.linkcost import LinkCosts
    from basilroad.entry.servicecall import ServiceCall
    from basilroad.peers.address import Address
    from basilroad.peers.traffic import LinkMeter
    from basilroad.peers.wire import peer_pb2 as wire
    from basilroad.settings.daemon import DaemonSettings, EntrySettings
    from basilroad.settings.store import SettingsStore


class EntryContext(Protocol):
    """State of an entry that decisions read; nothing of fronts and of single generations.

    :param settings: the daemon's settings
    :param options: their entry part
    :param incarnation: names this life of the process
    :param meter: counts bytes between regions
    :param store: settings in force
    :param table: the platform's table, if there is one
    :param links: streams to agents
    :param containment: requests that took endpoints down
    :param link_costs: what work in other regions costs
    :param stopping: whether it leaves
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
    calls_running: int

    @property
    def is_ready(self) -> bool:
        """:return: whether callers are to be sent here."""

    async def connect(self, address: Address) -> AgentLink:
        """Keep a link to an agent.

        :param address: where it listens
        :return: the link
        """

    def may_know(self, model: str) -> bool:
        """:return: whether a model may be served, though no agent in reach runs it."""

    def list_models(self) -> Sequence[str]:
        """:return: names of the models that callers may ask for."""


class CallSender(Protocol):
    """Sends calls of plain services to endpoints."""

    @property
    def entry(self) -> EntryContext:
        """:return: the process."""

    async def choose(self, call: ServiceCall, avoided: set[str]) -> EndpointView:
        """Choose an endpoint.

        :param call: what is to run
        :param avoided: endpoints that won't do
        :return: the endpoint
        :raises RefusedError: there is none in time
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
        """Send a call to one endpoint, once.

        :param view: the endpoint
        :param call: what is to run
        :param claim: nonce of its claim, if it must not run twice
        :param incarnation: agent process that the claim names
        :param key: names the order, whichever claim it runs under
        :return: the agent's answer
        :raises LinkLostError: the agent was lost before it answered
        """

    def choose_other(self, call: ServiceCall, avoided: set[str]) -> EndpointView | None:
        """:return: a further endpoint of the service, if there is one."""


__all__ = ["CallSender", "EntryContext"]
