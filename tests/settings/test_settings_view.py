"""Check the defaults of settings that are not set."""

from __future__ import annotations

import pytest

from basilroad.coordination.table import Row
from basilroad.settings.store import SettingsStore
from basilroad.settings.view import SettingsView

TOKEN = "a" * 64


def test_defaults_make_a_working_system() -> None:
    view = SettingsView()
    assert [rank.name for rank in view.ranks] == ["urgent", "standard", "batch"]
    assert view.rank_of("anyone").name == "standard"
    assert view.model("any").name == "any"
    assert not view.service("any").is_idempotent("GET", "/")
    assert view.link("riga", "kurzeme").regions == ("kurzeme", "riga")
    assert not view.requires_token
    assert view.limits("any").preemption


@pytest.mark.parametrize(("order", "name"), [(0, "urgent"), (2, "batch"), (9, "batch")])
def test_rank_is_found_by_order(order: int, name: str) -> None:
    assert SettingsView().rank_by_order(order).name == name


def test_floors_that_sum_up_to_more_than_1_are_scaled() -> None:
    store = SettingsStore()
    store.apply([Row("settings/ranks/urgent", '{"order": 0, "floor_share": 1}', 1)])
    assert sum(rank.floor_share for rank in store.view.ranks) == pytest.approx(1)
    assert store.view.ranks[0].floor_share == pytest.approx(1 / 1.2)


def test_workspace_is_found_by_token_and_by_first_name() -> None:
    store = SettingsStore()
    for revision, name in enumerate(("b", "a"), 1):
        store.apply([Row(f"settings/workspaces/{name}", f'{{"tokens": ["{TOKEN}"]}}', revision)])
    found = store.view.workspace_by_token(TOKEN)
    assert found is not None
    assert found.name == "a"
    assert TOKEN not in repr(found)
    assert store.view.requires_token
    assert store.view.workspace_by_token("b" * 64) is None


def test_limits_fall_back_to_those_of_default() -> None:
    store = SettingsStore()
    store.apply([Row("settings/limits/default", '{"queue_length": 7}', 1)])
    assert store.view.limits("any").queue_length == 7
    store.apply([Row("settings/limits/any", '{"queue_length": 8}', 2)])
    assert store.view.limits("any").queue_length == 8
