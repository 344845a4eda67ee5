"""Runs a stand-in until it receives a signal to stop."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

from basilroad.cli.daemon import read_settings, run_services
from basilroad.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from mode import Service


def run_standin(path: Path, cls: type[Any], build: Callable[[Any], Service]) -> NoReturn:
    """Run a stand-in.

    :param path: settings file
    :param cls: class of the settings
    :param build: creates the service from the settings
    """
    settings = read_settings(path, cls)
    configure_logs(getattr(settings, "name", "platform"), "warning")
    run_services(build(settings))


__all__ = ["run_standin"]
