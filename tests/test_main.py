"""Check the start by ``python -m``."""

from __future__ import annotations

import importlib
import signal
import sys
from collections.abc import Iterator

import pytest


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
