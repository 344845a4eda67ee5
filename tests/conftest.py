"""Fixtures shared by all tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from support.background import Background
from support.fleet import Fleet

pytest_plugins = [
    "pytester",
    "support.known_red",
    "support.steps.answers",
    "support.steps.fleets",
    "support.steps.orders",
    "support.steps.settings",
    "support.steps.leaving",
    "support.steps.order_faults",
    "support.steps.poison",
]


@pytest.fixture(scope="session")
def background() -> Iterator[Background]:
    """:return: an event loop in a background thread."""
    background = Background()
    yield background
    background.close()


@pytest.fixture
def fleet(tmp_path: Path, background: Background) -> Iterator[Fleet]:
    """:return: an empty fleet, closed at the end of the test."""
    fleet = Fleet(tmp_path, background)
    yield fleet
    fleet.close()
