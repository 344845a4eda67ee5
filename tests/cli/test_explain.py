"""Check the explanation of the routing of a request."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import typer
from typer.testing import CliRunner

from basilroad.cli.explain import explain


def make_line(time: str, **decision: object) -> str:
    return json.dumps({"time": time, "host": "h1", "level": "INFO", "decision": decision})


LINES = [
    make_line("T2", what="resume", generation="g", attempt=1, chosen="e2", reason="e1 died"),
    'not json, yet names "decision"',
    make_line(
        "T1",
        what="route",
        request="k",
        generation="g",
        chosen="e1",
        reason="least score",
        candidates=[
            {"endpoint": "e1", "score": 0.5, "parts": {"wait": 0.25, "prefill": 0.25}},
            {"endpoint": "e2", "score": None, "parts": {}},
        ],
    ),
    make_line("T1", what="route", request="other", generation="g2", chosen="e3"),
    make_line("T3", what="refuse", request="third", reason="overloaded"),
]

EXPECTED = """\
T1 h1: route, attempt 0 -> e1: least score
  * e1 0.500 (wait 0.250, prefill 0.250)
    e2 - ()
T2 h1: resume, attempt 1 -> e2: e1 died
"""


@pytest.fixture
def app() -> typer.Typer:
    app = typer.Typer()
    app.command()(explain)
    return app


@pytest.mark.parametrize("name", ["k", "g"])
def test_files_of_several_hosts_are_joined(app: typer.Typer, tmp_path: Path, name: str) -> None:
    (tmp_path / "a").write_text("\n".join(LINES[:2]))
    (tmp_path / "b").write_text("\n".join(LINES[2:]))
    result = CliRunner().invoke(app, [name, str(tmp_path / "a"), str(tmp_path / "b")])
    assert (result.exit_code, result.stdout) == (0, EXPECTED)


@pytest.mark.parametrize("files", [[], ["-"]])
def test_standard_input_is_read(app: typer.Typer, files: list[str]) -> None:
    result = CliRunner().invoke(app, ["third", *files], input="\n".join(LINES))
    assert result.stdout == "T3 h1: refuse, attempt 0: overloaded\n"


def test_unknown_request_fails(app: typer.Typer) -> None:
    assert CliRunner().invoke(app, ["nobody"], input="\n".join(LINES)).exit_code == 1


def test_missing_file_is_named(
    app: typer.Typer, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The message is wrapped at the terminal width, which a long path would exceed.
    monkeypatch.chdir(tmp_path)
    result = CliRunner().invoke(app, ["k", "none"])
    assert result.exit_code == 2
    assert "none: No such file" in result.output


def test_lines_of_several_gateways_are_merged(tmp_path: Path) -> None:
    lines = [
        '{"time": "T3", "host": "g2", "message": "refuse", "request": "r1", "kind": "draining"}',
        '12.5 g1 {"time": "T1", "host": "g1", "message": "attempt", "level": "INFO", '
        '"request": "r1", "endpoint": "i-1", "outcome": "not_run"}',
        '{"time": "T2", "host": "g1", "message": "attempt", "request": "r2"}',
        '{"time": "T2", "host": "g1", "message": "r1 torn',
    ]
    file = tmp_path / "log"
    file.write_text("\n".join(lines))
    app = typer.Typer()
    app.command()(explain)
    result = CliRunner().invoke(app, ["r1", str(file)])
    assert result.output == (
        "T1 g1: attempt: endpoint i-1, outcome not_run\nT3 g2: refuse: kind draining\n"
    )
