"""Plugin that treats failures of the tests listed in KNOWN-RED.txt as expected.

An entry starts with the node id of a test; indented lines below it give the command and the seed,
what was seen, and the issue. Lines that start with ``#`` are comments. A flaky test has the note
``at times`` and may pass; a pass of any other listed test is a failure.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"

AT_TIMES = "at times"
"""Note of a test that fails only in some runs."""

_REASON = "known red"
_FAILURE_MARK = "E "
"""Start of the lines of a report that say what failed."""

_ENTRIES = pytest.StashKey[dict[str, list[str]]]()


def read_entries(path: Path) -> dict[str, list[str]]:
    """Read the list of tests that are known to fail.

    :param path: file, may be missing
    :return: notes by node id
    :raises pytest.UsageError: an entry has no notes, or names a file that does not exist
    """
    entries: dict[str, list[str]] = {}
    notes: list[str] | None = None
    for line in path.read_text().splitlines() if path.exists() else ():
        if not line.strip() or line.startswith("#"):
            continue
        if not line[0].isspace():
            notes = entries.setdefault(line.strip(), [])
        elif notes is not None:
            notes.append(line.strip())
    for test, found in entries.items():
        if not found or not (path.parent / test.partition("::")[0]).is_file():
            raise pytest.UsageError(f"{path.name}: {test}: no notes, or no such file")
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Read the entries once per run.

    :param config: of this run
    """
    config.stash[_ENTRIES] = read_entries(config.rootpath / FILE_NAME)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as expected, and its pass as a failure.

    :param item: the test
    :return: its report, changed if the test is listed
    """
    report = yield
    notes = item.config.stash[_ENTRIES].get(item.nodeid)
    if notes is None or hasattr(report, "wasxfail"):
        return report
    if report.failed and report.when != "teardown":
        report.outcome = "skipped"
        report.wasxfail = _REASON
    elif report.passed and report.when == "call" and AT_TIMES not in notes:
        report.outcome = "failed"
        report.longrepr = f"passes, yet {FILE_NAME} lists it: remove its entry"
    return report


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    """Print the entry of each listed test that failed, and how it failed this time.

    :param terminalreporter: prints the section and holds the reports
    :param config: of this run
    """
    reports = terminalreporter.stats.get("xfailed", ())
    failures = {r.nodeid: r.longreprtext for r in reports if r.wasxfail == _REASON}
    red = sorted(failures)
    if red:
        terminalreporter.section(f"{_REASON}: {len(red)}")
    for test in red:
        terminalreporter.line(test)
        for note in config.stash[_ENTRIES][test]:
            terminalreporter.line(f"  {note}")
        for line in failures[test].splitlines():
            if line.startswith(_FAILURE_MARK):
                terminalreporter.line(f"  {line}")


__all__ = ["FILE_NAME", "read_entries"]
