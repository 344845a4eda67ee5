"""Check the start by ``python -m``."""

from __future__ import annotations

import importlib
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest

from basilroad.run import EXIT_INTERRUPTED

EXIT_ABORTED = 1
"""Exit code of the command line after an interrupt of a command."""


@pytest.fixture
def reload_signal() -> Iterator[None]:
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)
    sys.modules.pop("basilroad.__main__", None)


@pytest.mark.parametrize(
    ("command", "handler"), [("gateway", signal.SIG_IGN), ("explain", signal.SIG_DFL)]
)
@pytest.mark.usefixtures("reload_signal")
def test_a_reload_does_not_end_a_gateway_that_is_still_importing(
    monkeypatch: pytest.MonkeyPatch, command: str, handler: signal.Handlers
) -> None:
    # Failure: a reload after a settings change ends a gateway that restarts after a kill.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    monkeypatch.setattr(sys, "argv", ["basilroad", command])
    importlib.import_module("basilroad.__main__")
    assert signal.getsignal(signal.SIGHUP) == handler


INTERRUPTED = """
import os, signal, sys

# a process in the background of a shell inherits that the signal is ignored
signal.signal(signal.SIGINT, signal.default_int_handler)

class Interrupter:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGINT)

sys.meta_path.insert(0, Interrupter)
sys.argv = ["basilroad", "local"]
from basilroad.run import run
run()
"""
"""The program, which gets SIGINT when it imports a module."""


# fault: an interrupt while the program was loading ended it with a traceback
@pytest.mark.parametrize(
    "module", ["typer", "basilroad.cli.app", "basilroad.cli.local", "basilroad.agent.service"]
)
def test_an_interrupt_of_the_program_that_is_loading_prints_no_traceback(module: str) -> None:
    program = INTERRUPTED.format(module=module)
    ended = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=False
    )
    assert "Traceback" not in ended.stderr
    assert ended.returncode in (EXIT_ABORTED, EXIT_INTERRUPTED)
