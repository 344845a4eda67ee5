"""Commands of the program; each loads only what it needs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from basilroad import VERSION
from basilroad.cli import settings as settings_commands
from basilroad.cli.explain import explain

SettingsFile = Annotated[
    Path, typer.Option("--settings", help="YAML settings file of this process.", dir_okay=False)
]

app = typer.Typer(
    name="basilroad",
    help="Serve long generations on engines that fail.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
standin = typer.Typer(help="Small stand-ins for the systems around, for trials and tests.")
app.add_typer(standin, name="standin")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


@app.command()
def entry(settings: SettingsFile) -> None:
    """Run an entry: takes requests from callers over HTTP.

    Exits 0 after a planned stop (SIGTERM), 2 on bad settings, 1 on a failure.
    """
    from basilroad.cli.daemon import run_entry

    run_entry(settings)


@app.command()
def agent(settings: SettingsFile) -> None:
    """Run an agent: drives the endpoints of one host.

    Exits 0 after a planned stop (SIGTERM), 2 on bad settings, 1 on a failure.
    """
    from basilroad.cli.daemon import run_agent

    run_agent(settings)


@app.command()
def gateway(
    settings: Annotated[
        Path | None,
        typer.Option("--settings", help="Settings file of the machine.", dir_okay=False),
    ] = None,
) -> None:
    """Run a gateway on the users' platform: drives servers directly.

    Without a file the environment names it. Exits 0 after a planned stop (SIGTERM), 2 on bad
    settings, 1 on a failure.
    """
    from basilroad.cli.gateway import run_gateway

    run_gateway(settings)


@app.command()
def local(
    address: Annotated[str, typer.Option(help="IP number on which to serve.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port of the first entry.")] = 8080,
) -> None:
    """Run the whole system on loopback, in this one process."""
    from basilroad.cli.local import run_local

    run_local(address, port)


app.command()(explain)
app.command("check")(settings_commands.check)
app.add_typer(settings_commands.app, name="settings")


@standin.command("engine")
def run_engine(settings: SettingsFile) -> None:
    """Run a stand-in for a model engine."""
    from basilroad.cli.standin import run_standin
    from basilroad.standin.engine import EngineStandin
    from basilroad.standin.settings import EngineStandinSettings

    run_standin(settings, EngineStandinSettings, EngineStandin)


@standin.command("service")
def run_service(settings: SettingsFile) -> None:
    """Run a stand-in for a plain service that counts what it ran."""
    from basilroad.cli.standin import run_standin
    from basilroad.standin.plainservice import PlainStandin
    from basilroad.standin.settings import PlainStandinSettings

    run_standin(settings, PlainStandinSettings, PlainStandin)


@standin.command("platform")
def run_platform(settings: SettingsFile) -> None:
    """Run a stand-in for the platform: table, objects, host list and weights."""
    from basilroad.cli.standin import run_standin
    from basilroad.standin.platform import PlatformStandin
    from basilroad.standin.settings import PlatformStandinSettings

    run_standin(settings, PlatformStandinSettings, PlatformStandin)


__all__ = ["app"]
