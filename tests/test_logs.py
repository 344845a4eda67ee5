"""Check the JSON log lines and the fields that they omit."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Iterator
from datetime import datetime, timedelta

import pytest

from basilroad.logs import (
    FORBIDDEN_FIELDS,
    Candidate,
    Decision,
    configure_logs,
    log_decision,
)

LOGGER = logging.getLogger("basilroad.test")


@pytest.fixture(autouse=True)
def _root_logger() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def read_line(capsys: pytest.CaptureFixture[str]) -> dict[str, object]:
    (line,) = capsys.readouterr().err.splitlines()
    return json.loads(line)


def test_line_has_its_fields(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("riga-a-1", "info")
    LOGGER.warning("lost %s", "peer", extra={"peer": "riga-a-2"})
    line = read_line(capsys)
    time = datetime.fromisoformat(str(line.pop("time")))
    assert time.utcoffset() == timedelta(0)
    assert line == {
        "host": "riga-a-1",
        "level": "WARNING",
        "logger": "basilroad.test",
        "message": "lost peer",
        "peer": "riga-a-2",
    }


def test_lines_below_the_level_are_not_written(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("h", "warning")
    LOGGER.info("quiet")
    log_decision(LOGGER, Decision("route"))
    assert capsys.readouterr().err == ""


def test_unknown_level_is_refused() -> None:
    with pytest.raises(ValueError):
        configure_logs("h", "loud")


@pytest.mark.parametrize("name", sorted(FORBIDDEN_FIELDS))
@pytest.mark.parametrize("wrap", [lambda f: f, lambda f: {"call": [{"in": f}]}])
def test_forbidden_field_is_dropped(
    capsys: pytest.CaptureFixture[str], name: str, wrap: object
) -> None:
    configure_logs("h", "info")
    assert callable(wrap)
    LOGGER.info("x", extra=wrap({name: "oak secret", "kept": 1}))
    LOGGER.info("y", extra={"outer": {name.upper().replace("_", "-"): "oak secret"}})
    text = capsys.readouterr().err
    assert "oak secret" not in text
    assert '"kept":1' in text


def test_decision_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("h", "info")
    candidates = (Candidate("e1", 0.5, {"wait": 0.5}), Candidate("e2", math.inf))
    log_decision(LOGGER, Decision("route", "k", "g", 1, "e1", candidates, "least score"))
    assert read_line(capsys)["decision"] == {
        "what": "route",
        "request": "k",
        "generation": "g",
        "attempt": 1,
        "chosen": "e1",
        "candidates": [
            {"endpoint": "e1", "score": 0.5, "parts": {"wait": 0.5}},
            {"endpoint": "e2", "score": None, "parts": {}},
        ],
        "reason": "least score",
    }
