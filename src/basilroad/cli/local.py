"""The whole system on loopback, in one process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

import attrs
import typer
from mode import Service

from basilroad.agent.service import AgentService
from basilroad.backing.hosts import ListedHost
from basilroad.cli.daemon import run_services
from basilroad.entry.service import EntryService
from basilroad.logs import configure_logs
from basilroad.settings.daemon import (
    AgentSettings,
    DaemonSettings,
    EndpointSettings,
    EntrySettings,
)
from basilroad.standin.engine import EngineStandin
from basilroad.standin.plainservice import PlainStandin
from basilroad.standin.platform import PlatformStandin
from basilroad.standin.settings import (
    EngineStandinSettings,
    PlainStandinSettings,
    PlatformStandinSettings,
)

if TYPE_CHECKING:
    from mode.types import ServiceT

MODEL = "spec-llm"
"""Model that the stand-in engines run."""

SERVICE = "order-app"
"""Plain service that the stand-ins run."""

SLOTS = 8
"""Generations that one stand-in engine runs at once."""

TOKEN_INTERVAL_S = 0.02
"""Seconds between two tokens of one generation."""

PORTS_OFFSET = 10
"""Ports after the first entry's from which the other parts take theirs."""

DRAIN_S = 3.0
"""Seconds that a stop waits for what is in flight."""


@attrs.frozen
class Site:
    """One data centre at reduced size.

    :param region: its region
    :param data_centre: its name
    :param engines: engines in it
    :param has_entry: whether callers enter here
    """

    region: str
    data_centre: str
    engines: int
    has_entry: bool


SITES = (
    Site("riga", "riga-a", 2, True),
    Site("riga", "riga-b", 1, False),
    Site("kurzeme", "kurzeme-a", 1, True),
)
"""The data centres of Ozolkoks with a fifth of their engines."""


class LocalSystem(Service):
    """Stand-ins, agents and entries side by side.

    :param address: IP number to serve on
    :param port: port of the first entry; the next ones follow
    """

    def __init__(self, address: str, port: int) -> None:
        super().__init__()
        self.address = address
        self.entries: list[str] = []
        self._standins: list[ServiceT] = []
        self._agents: list[ServiceT] = []
        self._doors: list[ServiceT] = []
        self._next_port = port + PORTS_OFFSET
        self._entry_port = port
        self._listed: list[ListedHost] = []
        self._platform = self._take_address()
        for site in SITES:
            self._add_site(site)
        settings = PlatformStandinSettings(listen=self._platform, hosts=tuple(self._listed))
        self._standins.insert(0, PlatformStandin(settings, embedded=True))

    async def on_start(self) -> None:
        """Start the parts, those first that others need."""
        for part in (*self._standins, *self._agents, *self._doors):
            await self.add_runtime_dependency(part)

    async def on_started(self) -> None:
        """Tell where to send a first request."""
        first = self.entries[0]
        typer.echo(f"basilroad is ready: {', '.join(f'http://{entry}' for entry in self.entries)}")
        typer.echo("Try:")
        typer.echo(
            f"  curl -N http://{first}/v1/completions -H 'Content-Type: application/json' "
            f'-d \'{{"model": "{MODEL}", "prompt": "Check the taper", '
            f'"max_tokens": 40, "stream": true}}\''
        )
        typer.echo(
            f"  curl http://{first}/v1/services/{SERVICE}/orders "
            "-H 'Idempotency-Key: order-1' -d '{\"bungs\": 12}'"
        )
        sys.stdout.flush()

    def _add_site(self, site: Site) -> None:
        for number in range(1, site.engines + 1):
            name = f"{site.data_centre}-engine-{number}"
            settings = EngineStandinSettings(
                name=name,
                listen=self._take_address(),
                model=MODEL,
                slots=SLOTS,
                token_interval_s=TOKEN_INTERVAL_S,
                seed=number,
            )
            self._standins.append(EngineStandin(settings, embedded=True))
            self._add_agent(site, name, "engine", MODEL, settings.listen)
        name = f"{site.data_centre}-app"
        plain = PlainStandinSettings(name=name, listen=self._take_address())
        self._standins.append(PlainStandin(plain, embedded=True))
        self._add_agent(site, name, "service", SERVICE, plain.listen)
        if site.has_entry:
            self._add_entry(site)

    def _add_agent(self, site: Site, name: str, kind: str, service: str, endpoint: str) -> None:
        listen = self._take_address()
        beside = EndpointSettings(
            name=name,
            kind="engine" if kind == "engine" else "service",
            service=service,
            url=f"http://{endpoint}",
            slots=SLOTS,
        )
        agent = AgentSettings(listen=listen, endpoints=(beside,), drain_limit_s=DRAIN_S)
        settings = attrs.evolve(self._describe(site, f"{name}-host"), agent=agent, entry=None)
        self._agents.append(AgentService(settings))
        self._listed.append(
            ListedHost(settings.host, "agent", site.region, site.data_centre, listen)
        )

    def _add_entry(self, site: Site) -> None:
        listen = f"{self.address}:{self._entry_port}"
        self._entry_port += 1
        settings = self._describe(site, f"{site.data_centre}-entry")
        entry = EntrySettings(listen=listen, drain_limit_s=DRAIN_S)
        self._doors.append(EntryService(attrs.evolve(settings, entry=entry)))
        self.entries.append(listen)

    def _describe(self, site: Site, host: str) -> DaemonSettings:
        return DaemonSettings(
            host=host,
            address=self.address,
            region=site.region,
            data_centre=site.data_centre,
            platform=f"http://{self._platform}",
            entry=EntrySettings(listen=f"{self.address}:1"),
        )

    def _take_address(self) -> str:
        self._next_port += 1
        return f"{self.address}:{self._next_port}"


def run_local(address: str, port: int) -> NoReturn:
    """Run the whole system until a signal asks for a stop.

    :param address: IP number to serve on
    :param port: port of the first entry
    """
    configure_logs("local", "warning")
    run_services(LocalSystem(address, port))


__all__ = ["LocalSystem", "Site", "run_local"]
