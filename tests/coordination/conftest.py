"""Fixtures for the tests of the coordination primitives."""

from __future__ import annotations

import pytest

from coordination.faketable import FakeClock, FakeTable


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def table() -> FakeTable:
    return FakeTable()
