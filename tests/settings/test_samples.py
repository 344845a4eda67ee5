"""Check the sample settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from basilroad.coordination.table import Row
from basilroad.settings.consistency import list_inconsistencies
from basilroad.settings.file import check_file, read_settings_file
from basilroad.settings.store import SettingsStore

SAMPLES = Path(__file__).parents[2] / "samples"
FILES = sorted(SAMPLES.glob("*/*.yaml"))


def test_all_samples_are_found() -> None:
    assert len(FILES) == 8


@pytest.mark.parametrize("path", FILES, ids=lambda path: f"{path.parent.name}/{path.name}")
def test_sample_is_valid(path: Path) -> None:
    check_file(path)


@pytest.mark.parametrize(
    ("team", "model", "service", "lookup", "order", "regions"),
    [
        ("ozolkoks", "spec-llm", "order-app", "/stock/oak", "/orders", ("riga", "kurzeme")),
        ("kovan", "bal-model", "siparis", "/stok/kasa", "/siparis/7", ("ege", "karadeniz")),
    ],
)
def test_settings_meet_the_needs_of_the_team(
    team: str, model: str, service: str, lookup: str, order: str, regions: tuple[str, str]
) -> None:
    file_settings = read_settings_file(SAMPLES / team / "settings.yaml")
    store = SettingsStore()
    store.apply(Row(each.path, each.text, 1, "ops") for each in file_settings)
    view = store.view
    assert store.refusals == ()
    assert list_inconsistencies(view) == ()
    assert len(view.workspaces) == 10
    assert set(view.model(model).replicas) == set(regions)
    assert view.service(service).is_idempotent("GET", lookup)
    assert not view.service(service).is_idempotent("POST", order)
    assert view.link(*regions).bandwidth_bits_per_s == 15_000_000
    assert view.link(*regions).name in view.links
