"""Run the documentation examples."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

from basilroad.coordination import CallLedger, CallLedgerSettings, StoredOutcome
from coordination.faketable import FakeTable

EXAMPLES = Path(__file__).parents[2] / "docs" / "examples"


@pytest.fixture
def example() -> ModuleType:
    spec = importlib.util.spec_from_file_location("example", EXAMPLES / "coordination.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_output_is_whole_and_the_order_fair(example) -> None:
    assert example.join_output() == "Oak bungs are tapered"
    assert example.order_work() == ["urgent", "large-0", "small", "large-1", "large-2"]
    assert len(set(example.place_key())) == 2


async def test_order_is_placed_once(example) -> None:
    table, ledger = FakeTable(), CallLedger("i1", CallLedgerSettings())
    assert await example.lead_once(table) == 1
    assert await example.lead_once(table) is None
    first = await example.place_order(table, ledger, "k")
    assert first == StoredOutcome(201, body=b"order placed")
    assert await example.place_order(table, ledger, "k") == first
    assert len(ledger) == 1


async def test_all_examples_run(example, capsys) -> None:
    await example.run(FakeTable())
    assert capsys.readouterr().out.count("\n") == 5
