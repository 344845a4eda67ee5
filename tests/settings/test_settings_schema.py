"""Check operators' settings at their paths."""

from __future__ import annotations

import pytest

from basilroad.settings.objects import Owners
from basilroad.settings.problem import SettingsError
from basilroad.settings.schema import parse_path, parse_setting
from basilroad.world.link import Link
from basilroad.world.model import Model, ReplicaBounds
from basilroad.world.rank import Rank


def test_object_takes_its_name_from_the_path() -> None:
    assert parse_setting("settings/ranks/gold", '{"order": 3}') == Rank(name="gold", order=3)
    owners = parse_setting("settings/owners/models/spec-llm", '{"authors": ["ml"]}')
    assert owners == Owners(name="models/spec-llm", authors=("ml",))


def test_model_keeps_replica_bounds_by_region() -> None:
    model = parse_setting("settings/models/m", '{"replicas": {"riga": {"min": 2, "max": 4}}}')
    assert isinstance(model, Model)
    assert model.replicas == {"riga": ReplicaBounds(min=2, max=4)}


def test_link_provides_its_regions_and_its_byte_rate() -> None:
    link = parse_setting("settings/links/kurzeme--riga", '{"share": 0.5}')
    assert isinstance(link, Link)
    assert link.regions == ("kurzeme", "riga")
    assert link.bytes_per_s == 15_000_000 * 0.5 / 8


@pytest.mark.parametrize(
    "path",
    [
        "status/ranks/gold",
        "settings/ranks",
        "settings/ranks/",
        "settings/ranks/a/b",
        "settings/ranks/a b",
        "settings/colours/red",
        "settings/owners/colours",
        "settings/owners/models//m",
        "settings/links/riga",
        "settings/links/riga--kurzeme",
        "settings/links/riga--riga",
    ],
)
def test_path_is_refused(path: str) -> None:
    with pytest.raises(ValueError):
        parse_path(path)


@pytest.mark.parametrize(
    ("path", "text", "cause"),
    [
        ("settings/ranks/a", "{", "JSON"),
        ("settings/ranks/a", "[]", "expected a mapping, found a list"),
        ("settings/ranks/a", "null", "expected a mapping, found nothing"),
        ("settings/ranks/a", '{"order": 0, "name": "b"}', "unknown key"),
        ("settings/ranks/a", '{"order": 1.0}', "expected a whole number, found a number"),
        ("settings/ranks/a", '{"order": 1, "floor_share": 1.1}', "from 0 to 1"),
        ("settings/workspaces/a", '{"tokens": ["secret"]}', "no SHA-256"),
        ("settings/models/a", '{"max_tokens_default": 9, "max_tokens_limit": 8}', "not be above"),
        ("settings/models/a", '{"replicas": {"riga": {"min": 3, "max": 2}}}', "above max"),
        ("settings/services/a", '{"calls": [{"path": "x", "idempotent": true}]}', "no pattern"),
        ("settings/services/a", '{"calls": [{"path": "/x"}]}', "required key is missing"),
        ("settings/services/a", '{"hedge_after_s": 31}', "below timeout_s"),
        ("settings/owners/ranks", '{"authors": []}', "must not be empty"),
        ("settings/drains/a", '{"limit_s": 0}', "above 0"),
        ("settings/limits/default", '{"preemption": "off"}', "true or false"),
    ],
)
def test_value_is_refused(path: str, text: str, cause: str) -> None:
    with pytest.raises(SettingsError, match=cause):
        parse_setting(path, text)


def test_refused_token_is_not_shown() -> None:
    with pytest.raises(SettingsError) as caught:
        parse_setting("settings/workspaces/a", '{"tokens": ["hunter2"]}')
    assert "hunter2" not in str(caught.value)
