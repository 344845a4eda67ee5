"""Runs a gateway on the users' platform."""

from __future__ import annotations

import logging
import os
from pathlib import Path
from typing import NoReturn

from basilroad import VERSION
from basilroad.cli.daemon import fail, run_services
from basilroad.logs import configure_logs
from basilroad.logwriter import LogWriter
from basilroad.platform.run import PlatformService
from basilroad.platform.settings import (
    SETTINGS_VARIABLE,
    ProcessSettingsError,
    load_process_settings,
)
from basilroad.stopsignal import StopSignal

_LOGGER = logging.getLogger(__name__)


def run_gateway(path: Path | None) -> NoReturn:
    """Run a gateway.

    :param path: settings file of the process; by default the path in the environment variable
    """
    if path is None:
        name = os.environ.get(SETTINGS_VARIABLE, "")
        if not name:
            fail(f"environment variable {SETTINGS_VARIABLE} is not set")
        path = Path(name)
    try:
        machine = load_process_settings(path)
    except ProcessSettingsError as error:
        fail(str(error))
    configure_logs(machine.host, logging.INFO, LogWriter())
    _LOGGER.info(
        "start",
        extra={
            "version": VERSION,
            "role": machine.role,
            "front": str(machine.front),
            "data_centre": machine.place.data_centre,
            "store": str(machine.store.address),
        },
    )
    stop_signal = StopSignal()
    run_services(PlatformService(machine, path, stop_signal), stop_signal=stop_signal)


__all__ = ["run_gateway"]
