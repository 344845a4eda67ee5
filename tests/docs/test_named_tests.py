"""The tests that the page on unanswered requests names exist."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "explanation" / "unanswered-requests.md"
FOLDERS = ("platform", "http", "entry")

NAME = re.compile(r"`((?!basilroad_)[a-z0-9]+(?:_[a-z0-9]+){3,}(?:_\.\.\.)?)`")
"""Test names without their prefix; long ones are cut, and end with an ellipsis."""


def list_tests() -> set[str]:
    """:return: names of the tests in the folders that the page covers, without their prefix."""
    files = (path for folder in FOLDERS for path in (ROOT / "tests" / folder).glob("test_*.py"))
    return {name for path in files for name in re.findall(r"def test_(\w+)", path.read_text())}


# fault: a test is renamed or removed, and the page still says that it shows an answer
def test_each_test_that_the_page_names_exists() -> None:
    tests, named = list_tests(), NAME.findall(PAGE.read_text())
    assert len(named) > 40
    missing = [
        name
        for name in named
        if name not in tests
        and not (name.endswith("_...") and any(t.startswith(name[:-3]) for t in tests))
    ]
    assert missing == []
