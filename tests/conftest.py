"""Fixtures shared by all tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from support.background import Background
from support.fleet import Fleet
from support.turnclock import TurnLoop, install_clocks

# before any module of the project is imported, as some hold a clock as a default
install_clocks()

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


def pytest_asyncio_loop_factories(
    item: pytest.Item,
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """:return: the event loop of a test, by name."""
    if item.get_closest_marker("by_turns"):
        return {"turns": TurnLoop}
    return {"default": asyncio.new_event_loop}


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
