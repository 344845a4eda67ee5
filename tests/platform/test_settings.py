"""Settings file that the platform provides for each process."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from basilroad.platform.run import PlatformService
from basilroad.platform.settings import ProcessSettingsError, load_process_settings

SETTINGS = {
    "node": "edge-1",
    "role": "gateway",
    "ip": "10.1.0.40",
    "zone": "riga-a",
    "region": "riga",
    "zones": {"riga-a": "riga", "kurzeme-a": "kurzeme"},
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "internalPorts": [7340, 7355],
    "bounds": {
        "drainMs": 2500,
        "contactMs": 4000,
        "graceS": 8,
        "configApplyMs": 2500,
        "strictRevoke": True,
        "revokeMs": 5000,
        "retryBudgetRatio": 0.8,
        "budgetWindowS": 10,
        "retrySlack": 150,
    },
    "platform": {"address": "10.200.1.7:8223", "form": "table"},
    "anythingNew": [1, 2],
}


def write_settings(path: Path, document: object) -> Path:
    file = path / "local.yaml"
    file.write_text(yaml.safe_dump(document), encoding="utf-8")
    return file


def test_fields_get_their_units_and_unknown_ones_are_ignored(tmp_path: Path) -> None:
    settings = load_process_settings(write_settings(tmp_path, SETTINGS))
    assert (settings.host, str(settings.front)) == ("edge-1", "10.1.0.40:8227")
    assert (settings.bounds.drain_s, settings.bounds.grace_s) == (2.5, 8.0)
    assert (settings.bounds.revoke_s, settings.bounds.contact_s) == (5.0, 4.0)
    assert str(settings.peers) == "10.1.0.40:7340"
    assert settings.place.distance_s("kurzeme-a") > settings.place.distance_s("riga-a") == 0.0


def test_revocation_that_is_not_strict_has_no_limit(tmp_path: Path) -> None:
    bounds = {**SETTINGS["bounds"], "strictRevoke": False}
    settings = load_process_settings(write_settings(tmp_path, {**SETTINGS, "bounds": bounds}))
    assert settings.bounds.revoke_s is None


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"node": 3}, "node: expected text, found 3"),
        ({"listen": {"ready": "10.1.0.40:8220"}}, "listen.front: expected text, found None"),
        ({"platform": {"address": "10.1.0.40"}}, "platform.address: '10.1.0.40' is not ip:port"),
        ({"zones": []}, "zones: expected a table"),
        ({"bounds": {}}, "bounds.drainMs: expected a number, found None"),
    ],
)
def test_an_invalid_field_is_named(tmp_path: Path, change: dict[str, object], message: str) -> None:
    with pytest.raises(ProcessSettingsError, match=r"local\.yaml: ") as caught:
        load_process_settings(write_settings(tmp_path, {**SETTINGS, **change}))
    assert message in str(caught.value)


def test_a_file_that_is_absent_or_holds_no_table_is_named(tmp_path: Path) -> None:
    with pytest.raises(ProcessSettingsError, match="can't be read"):
        load_process_settings(tmp_path / "absent.yaml")
    with pytest.raises(ProcessSettingsError, match="expected a table"):
        load_process_settings(write_settings(tmp_path, [1]))


def test_a_changed_file_is_reloaded_and_an_invalid_one_refused(tmp_path: Path) -> None:
    path = write_settings(tmp_path, SETTINGS)
    service = PlatformService(load_process_settings(path), path)
    service.reload_if_changed()
    assert service.gateway.settings.grace_s == 8.0
    write_settings(tmp_path, {**SETTINGS, "bounds": {**SETTINGS["bounds"], "graceS": 12.5}})
    service.reload_if_changed()
    assert service.gateway.settings.grace_s == 12.5
    write_settings(tmp_path, {**SETTINGS, "node": 1})
    service.reload_if_changed()
    assert service.gateway.settings.grace_s == 12.5
