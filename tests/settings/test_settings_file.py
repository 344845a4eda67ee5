"""Check files of operators' settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from basilroad.settings.file import check_file, parse_settings_file, read_object_file
from basilroad.settings.problem import SettingsError
from basilroad.world.rank import Rank

GOOD = """\
settings/ranks/urgent:
  order: 0
---
settings/drains/riga-a-1: {}
"""


def test_documents_hold_objects_by_path() -> None:
    rank, drain = parse_settings_file(GOOD, "a.yaml")
    assert (rank.path, rank.text) == ("settings/ranks/urgent", '{"order":0}')
    assert rank.setting == Rank(name="urgent", order=0)
    assert drain.text == "{}"


def test_every_problem_is_reported_with_its_line() -> None:
    text = GOOD.replace("order: 0", "order: zero").replace("drains", "drain")
    text += "settings/ranks/a:\n  order: 1\n  color: red\n---\n- 1\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings_file(text, "a.yaml")
    assert str(caught.value).splitlines() == [
        "a.yaml:2: settings/ranks/urgent: order: expected a whole number, found text",
        "a.yaml:4: settings/drain/riga-a-1: unknown kind 'drain'; known are ranks, workspaces, "
        "services, models, links, owners, drains, limits",
        "a.yaml:7: settings/ranks/a: color: unknown key; known are order, floor_share, "
        "first_token_target_s, max_wait_s",
        "a.yaml:9: expected a mapping from path to object",
    ]


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ("", "holds no settings"),
        (GOOD + "---\nsettings/drains/riga-a-1: {}\n", "path stands twice"),
        ("settings/drains/a: null\n", "expected a mapping, found nothing"),
        ("settings/ranks/a: {order: &x 1, floor_share: *y}\n", "not YAML"),
    ],
)
def test_file_is_refused(text: str, cause: str) -> None:
    with pytest.raises(SettingsError, match=cause):
        parse_settings_file(text, "a.yaml")


def test_object_file_holds_one_setting(tmp_path: Path) -> None:
    path = tmp_path / "urgent.yaml"
    path.write_text("order: 3\n")
    assert read_object_file("settings/ranks/urgent", path).setting == Rank(name="urgent", order=3)
    with pytest.raises(SettingsError, match="unknown kind"):
        read_object_file("settings/rank/urgent", path)


def test_check_describes_the_content_of_a_file(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    path.write_text(GOOD)
    assert check_file(path) == "2 operators' settings"
    path.write_text("host: a\n")
    with pytest.raises(SettingsError, match="address: required key is missing"):
        check_file(path)
