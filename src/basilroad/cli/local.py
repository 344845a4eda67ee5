"""Runs the whole system on loopback in one process."""

from __future__ import annotations

import asyncio
import logging
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
from basilroad.stopsignal import StopSignal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mode.types import ServiceT

MODEL = "spec-llm"
"""Model served by the stand-in engines."""

SERVICE = "order-app"
"""Plain service served by the stand-in services."""

SLOTS = 8
"""Concurrent generations of a stand-in engine, or calls of a stand-in service."""

TOKEN_INTERVAL_S = 0.02
"""Seconds between two tokens of one generation."""

PORTS_OFFSET = 10
"""Offset from the first entry's port after which the ports of the other components begin."""

DRAIN_LIMIT_S = 3.0
"""Seconds that a stop waits for requests in flight."""

READY_TIMEOUT_S = 10.0
"""Seconds to wait for the entries to connect to their agents."""

READY_POLL_S = 0.02
"""Seconds between checks whether the entries are ready."""

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class DataCentreLayout:
    """Size and roles of one simulated data centre.

    :param region: name of its region
    :param data_centre: name of the data centre
    :param engines: number of engines
    :param has_entry: whether it runs an entry
    """

    region: str
    data_centre: str
    engines: int
    has_entry: bool


DATA_CENTRES = (
    DataCentreLayout("riga", "riga-a", 2, True),
    DataCentreLayout("riga", "riga-b", 1, False),
    DataCentreLayout("kurzeme", "kurzeme-a", 1, True),
)
"""Data centres of the Ozolkoks deployment, with a fifth of its engines."""


class LocalSystem(Service):
    """Stand-ins, agents and entries in one process.

    :param address: IP address to listen on
    :param port: port of the first entry; further entries use the ports after it
    :param stop_signal: signal that requests a planned stop
    """

    def __init__(self, address: str, port: int, stop_signal: StopSignal) -> None:
        super().__init__()
        self._stop_signal = stop_signal
        self.address = address
        self.entries: list[str] = []
        self._standins: list[ServiceT] = []
        self._agents: list[ServiceT] = []
        self._entries: list[EntryService] = []
        self._next_port = port + PORTS_OFFSET
        self._entry_port = port
        self._listed_hosts: list[ListedHost] = []
        self._platform = self._allocate_address()
        for layout in DATA_CENTRES:
            self._add_data_centre(layout)
        settings = PlatformStandinSettings(listen=self._platform, hosts=tuple(self._listed_hosts))
        self._standins.insert(0, PlatformStandin(settings, embedded=True))

    def list_parts(self) -> list[ServiceT]:
        """:return: the components, each one after those that it depends on."""
        return [*self._standins, *self._agents, *self._entries]

    async def on_start(self) -> None:
        """Start the components in order of their dependencies."""
        for part in self.list_parts():
            if self.should_stop:
                return
            await self.add_runtime_dependency(part)

    async def on_started(self) -> None:
        """Print the URLs and example requests once the entries serve them."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not (self.should_stop or all(entry.is_ready for entry in self._entries)):
                    await asyncio.sleep(READY_POLL_S)
        except TimeoutError:
            _LOGGER.warning("an entry is not ready in time")
        if self.should_stop:
            return
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

    async def on_stop(self) -> None:
        """Stop the components in order of their dependencies, all of a kind at once.

        Agents finish the work of the entries; all of them together have one limit.
        """
        self._stop_signal.record()
        kinds: tuple[Sequence[ServiceT], ...] = (self._entries, self._agents, self._standins)
        for parts in kinds:
            stops = [part.stop() for part in parts if part.started]
            for result in await asyncio.gather(*stops, return_exceptions=True):
                if isinstance(result, BaseException):
                    _LOGGER.error("a component was not stopped", exc_info=result)

    def _add_data_centre(self, layout: DataCentreLayout) -> None:
        for number in range(1, layout.engines + 1):
            name = f"{layout.data_centre}-engine-{number}"
            settings = EngineStandinSettings(
                name=name,
                listen=self._allocate_address(),
                model=MODEL,
                slots=SLOTS,
                token_interval_s=TOKEN_INTERVAL_S,
                seed=number,
            )
            self._standins.append(EngineStandin(settings, embedded=True))
            self._add_agent(layout, name, "engine", MODEL, settings.listen)
        name = f"{layout.data_centre}-app"
        service_settings = PlainStandinSettings(name=name, listen=self._allocate_address())
        self._standins.append(PlainStandin(service_settings, embedded=True))
        self._add_agent(layout, name, "service", SERVICE, service_settings.listen)
        if layout.has_entry:
            self._add_entry(layout)

    def _add_agent(
        self, layout: DataCentreLayout, name: str, kind: str, service: str, endpoint: str
    ) -> None:
        listen = self._allocate_address()
        endpoint_settings = EndpointSettings(
            name=name,
            kind="engine" if kind == "engine" else "service",
            service=service,
            url=f"http://{endpoint}",
            slots=SLOTS,
        )
        agent = AgentSettings(
            listen=listen, endpoints=(endpoint_settings,), drain_limit_s=DRAIN_LIMIT_S
        )
        settings = attrs.evolve(
            self._build_settings(layout, f"{name}-host"), agent=agent, entry=None
        )
        self._agents.append(AgentService(settings, self._stop_signal))
        self._listed_hosts.append(
            ListedHost(settings.host, "agent", layout.region, layout.data_centre, listen)
        )

    def _add_entry(self, layout: DataCentreLayout) -> None:
        listen = f"{self.address}:{self._entry_port}"
        self._entry_port += 1
        settings = self._build_settings(layout, f"{layout.data_centre}-entry")
        entry = EntrySettings(listen=listen, drain_limit_s=DRAIN_LIMIT_S)
        self._entries.append(EntryService(attrs.evolve(settings, entry=entry), self._stop_signal))
        self.entries.append(listen)

    def _build_settings(self, layout: DataCentreLayout, host: str) -> DaemonSettings:
        return DaemonSettings(
            host=host,
            address=self.address,
            region=layout.region,
            data_centre=layout.data_centre,
            platform=f"http://{self._platform}",
            entry=EntrySettings(listen=f"{self.address}:1"),
        )

    def _allocate_address(self) -> str:
        self._next_port += 1
        return f"{self.address}:{self._next_port}"


def run_local(address: str, port: int) -> NoReturn:
    """Run the whole system until a signal requests a stop.

    :param address: IP address to listen on
    :param port: port of the first entry
    """
    configure_logs("local", "warning")
    stop_signal = StopSignal()
    run_services(LocalSystem(address, port, stop_signal), stop_signal=stop_signal)


__all__ = ["DataCentreLayout", "LocalSystem", "run_local"]
