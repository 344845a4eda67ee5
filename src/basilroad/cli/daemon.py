"""Runs a daemon until it receives a signal to stop."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn, TypeVar

from mode import Worker

from basilroad.logs import configure_logs
from basilroad.stopsignal import StopSignal

if TYPE_CHECKING:
    from mode import Service

T = TypeVar("T")

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings."""


STOP_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
"""Signals that change nothing once the services have stopped."""


class ImmediateExitWorker(Worker):
    """Worker that exits as soon as its services have stopped.

    :param services: services to run concurrently
    :param stop_signal: records when a planned stop was requested
    """

    def __init__(self, *services: Service, stop_signal: StopSignal) -> None:
        super().__init__(*services, redirect_stdouts=False, override_logging=False, quiet=True)
        self._stop_signal = stop_signal

    def install_signal_handlers(self) -> None:
        """Handle signals in the event loop, and record when they arrive."""
        super().install_signal_handlers()
        self._stop_signal.watch()

    async def _sentinel_task(self) -> None:
        # The base class sleeps for one second here, which can exceed the grace period of a stop.
        _ignore_signals(self.loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    # a loop that is closed restores their default actions, which would end the process by a signal
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


def run_entry(path: Path) -> NoReturn:
    """Run an entry.

    :param path: settings file
    """
    from basilroad.settings.daemon import DaemonSettings

    settings = read_settings(path, DaemonSettings)
    if settings.entry is None:
        fail(f"{path}: entry: required key is missing")
    from basilroad.entry.service import EntryService

    configure_logs(settings.host, settings.log_level)
    stop_signal = StopSignal()
    run_services(EntryService(settings, stop_signal), stop_signal=stop_signal)


def run_agent(path: Path) -> NoReturn:
    """Run an agent.

    :param path: settings file
    """
    from basilroad.settings.daemon import DaemonSettings

    settings = read_settings(path, DaemonSettings)
    if settings.agent is None:
        fail(f"{path}: agent: required key is missing")
    from basilroad.agent.service import AgentService

    configure_logs(settings.host, settings.log_level)
    stop_signal = StopSignal()
    run_services(AgentService(settings, stop_signal), stop_signal=stop_signal)


def read_settings(path: Path, cls: type[T]) -> T:
    """Read a settings file, or print its error and exit.

    :param path: settings file
    :param cls: class of the settings
    :return: the settings
    """
    from basilroad.settings.load import load_settings
    from basilroad.settings.problem import SettingsError

    try:
        return load_settings(path, cls)
    except SettingsError as error:
        fail(str(error))


def fail(message: str) -> NoReturn:
    """Exit because of invalid settings.

    :param message: error with file, line, path and cause
    """
    print(message, file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def run_services(*services: Service, stop_signal: StopSignal | None = None) -> NoReturn:
    """Run services until a signal requests a planned stop, then exit.

    :param services: services to run concurrently
    :param stop_signal: records when the stop was requested
    """
    worker = ImmediateExitWorker(*services, stop_signal=stop_signal or StopSignal())
    try:
        worker.execute_from_commandline()
    except SystemExit as end:
        exit_at_once(0 if end.code is None else int(end.code))


def exit_at_once(status: int) -> NoReturn:
    """Write all output and exit without the teardown of the interpreter.

    The teardown waits for threads, such as a name lookup without answer, and takes processor time
    of its own; the grace period of a stop has room for neither.

    :param status: exit code
    """
    try:
        logging.shutdown()
        for stream in (sys.stdout, sys.stderr):
            stream.flush()
    finally:
        # an error of a closed output has no other output to be reported to
        os._exit(status)


__all__ = ["exit_at_once", "fail", "read_settings", "run_agent", "run_entry", "run_services"]
