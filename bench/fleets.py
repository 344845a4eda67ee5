"""Fleets of real processes for benchmarks."""

from __future__ import annotations

import contextlib
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from support.background import Background
from support.fleet import Fleet


@contextlib.contextmanager
def open_fleet() -> Iterator[tuple[Fleet, Background]]:
    """Open an empty fleet, and stop all its processes afterwards.

    :return: the fleet and the event loop of its callers
    """
    background = Background()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), background)
        try:
            yield fleet, background
        finally:
            fleet.close()
            background.close()


__all__ = ["open_fleet"]
