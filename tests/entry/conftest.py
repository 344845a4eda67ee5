"""Fixtures of the entry tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from support.background import Background
from support.fleet import Fleet, Process

MODEL = "spec-llm"


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory, background: Background) -> Iterator[Fleet]:
    """:return: a platform, an engine, a plain service and an entry, shared by a module's tests."""
    fleet = Fleet(tmp_path_factory.mktemp("shared"), background)
    try:
        yield _start(fleet)
    finally:
        fleet.close()


@pytest.fixture
def entry(shared: Fleet) -> Process:
    """:return: the entry of the shared fleet."""
    return shared.entries[0]


def _start(fleet: Fleet) -> Fleet:
    fleet.add_platform()
    fleet.add_engine("engine", model=MODEL, slots=8, token_interval_s=0.005)
    fleet.add_service("orders", "order-app")
    fleet.add_entry("entry", max_body_bytes=1024 * 1024)
    fleet.wait_ready()
    return fleet
