"""Check loading of a daemon's settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from basilroad.settings.daemon import DaemonSettings
from basilroad.settings.load import Problem, SettingsError, load_settings, parse_settings

ENTRY = """\
host: entry-1
address: 10.0.0.1
region: riga
data_centre: riga-a
platform: http://10.0.0.9:8600
seeds: ["10.0.1.1:7000"]
entry:
  listen: 10.0.0.1:8080
"""
AGENT = """\
host: spec-1
address: 10.0.1.1
region: riga
data_centre: riga-a
agent:
  listen: 10.0.1.1:7000
  keep_s: 90
  endpoints:
    - {name: spec-1, kind: engine, service: spec-llm, url: "http://10.0.1.1:9000"}
"""


def collect_problems(text: str) -> list[tuple[int, str, str]]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, DaemonSettings, "a.yaml")
    return [(problem.line, problem.path, problem.cause) for problem in caught.value.problems]


def test_entry_file_loads(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY)
    settings = load_settings(path, DaemonSettings)
    assert settings.entry is not None
    assert settings.entry.listen == "10.0.0.1:8080"
    assert settings.seeds == ("10.0.1.1:7000",)


def test_agent_file_loads_with_whole_numbers_for_seconds() -> None:
    settings = parse_settings(AGENT, DaemonSettings)
    assert settings.agent is not None
    assert settings.agent.keep_s == 90.0
    assert settings.agent.endpoints[0].slots == 16


def test_every_problem_is_reported_with_its_line() -> None:
    text = AGENT.replace("10.0.1.1\n", "spec.example\n", 1).replace("keep_s: 90", "keep: 90")
    text = text.replace("kind: engine", "kind: motor").replace("region: riga", "region: 7")
    assert [(line, path) for line, path, _ in collect_problems(text)] == [
        (2, "address"),
        (3, "region"),
        (7, "agent.keep"),
        (9, "agent.endpoints[0].kind"),
    ]


@pytest.mark.parametrize(
    ("old", "new", "line", "path", "cause"),
    [
        ("10.0.0.1:8080", "10.0.0.1:0", 8, "entry.listen", "no ip:port"),
        ("10.0.0.1:8080", "host:80", 8, "entry.listen", "no IP number"),
        ("http://10.0.0.9:8600", "http://table:8600", 5, "platform", "no IP number"),
        ('["10.0.1.1:7000"]', '"10.0.1.1:7000"', 6, "seeds", "expected a list, found text"),
        ('["10.0.1.1:7000"]', '["10.0.1.1:7", "10.0.1.1:7"]', 6, "seeds", "stands twice"),
        ("8080\n", "8080\n  keep_s: 0\n", 9, "entry.keep_s", "above 0"),
        ("8080\n", "8080\n  keep_s: .nan\n", 9, "entry.keep_s", "must be finite"),
        ("8080\n", "8080\n  agents_limit: 4294967296\n", 9, "entry.agents_limit", "not be above"),
        ("http://10.0.0.9:8600", "http://u:p@10.0.0.9", 5, "platform", "no user or password"),
        ("http://10.0.0.9:8600", "ftp://10.0.0.9", 5, "platform", "no http://"),
        ("8080\n", "8080\n  max_body_bytes: '9'\n", 9, "entry.max_body_bytes", "whole number"),
        ("8080\n", "8080\n  max_body_bytes: true\n", 9, "entry.max_body_bytes", "whole number"),
        ("8080\n", "8080\n  dead_after_s: 0.1\n", 7, "entry", "above heartbeat_s"),
        ("host: entry-1\n", "", 1, "host", "required key is missing"),
        ("region: riga", "region: riga\nregion: ege", 4, "region", "key stands twice"),
        ("entry:\n  listen: 10.0.0.1:8080\n", "", 1, "", "exactly one of entry and agent"),
        ("entry:", "entry: ]", 7, "", "not YAML"),
        ("region: riga", "region: 2026-13-45", 1, "", "not YAML"),
        ("region: riga", "region: &a [*a]", 1, "", "nested too deeply"),
        ("region: riga", "? [a]\n: 1", 3, "", "not YAML"),
        ("region: riga", "region: \x00", 1, "", "not YAML"),
    ],
)
def test_invalid_file_is_refused(old: str, new: str, line: int, path: str, cause: str) -> None:
    [(found_line, found_path, found_cause)] = collect_problems(ENTRY.replace(old, new, 1))
    assert (found_line, found_path) == (line, path)
    assert cause in found_cause


def test_duplicate_endpoint_is_refused() -> None:
    duplicated = AGENT + AGENT.splitlines()[-1] + "\n"
    [(line, path, cause)] = collect_problems(duplicated)
    assert (line, path) == (8, "agent.endpoints")
    assert "endpoint name stands twice: spec-1" in cause


def test_missing_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings(tmp_path / "none.yaml", DaemonSettings)


def test_problem_shows_file_line_path_and_cause() -> None:
    assert str(Problem("a.yaml", 3, "entry.listen", "bad")) == "a.yaml:3: entry.listen: bad"
