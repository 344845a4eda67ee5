"""Check how entries of KNOWN-RED.txt change the outcome of a run."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

TESTS = """
import pytest

@pytest.fixture
def broken():
    raise ValueError

def test_red(): assert False
def test_green(): pass
def test_setup(broken): pass
@pytest.mark.parametrize("n", [0, 1])
def test_case(n): assert n
"""

NOTES = "\n  command: pytest -k red, seed 7\n  seen: token 9 twice\n  issue: 12\n"


@pytest.fixture(params=["0", "2"], ids=["alone", "xdist"])
def workers(request: pytest.FixtureRequest) -> str:
    return str(request.param)


@pytest.fixture(autouse=True)
def _suite(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> None:
    tests = str(Path(__file__).parents[1])
    monkeypatch.setenv("PYTHONPATH", tests + os.pathsep + os.environ.get("PYTHONPATH", ""))
    pytester.makeini("[pytest]")
    pytester.makeconftest("pytest_plugins = ['support.known_red']")
    pytester.makepyfile(test_it=TESTS)


def run(
    pytester: pytest.Pytester, workers: str, *listed: str, select: str = ""
) -> pytest.RunResult:
    if listed:
        entries = "".join(f"test_it.py::{name}{NOTES}" for name in listed)
        (pytester.path / "KNOWN-RED.txt").write_text(f"# comment\n\n{entries}")
    return pytester.runpytest_subprocess("-n", workers, "-k", select)


def test_without_entries_nothing_changes(pytester: pytest.Pytester, workers: str) -> None:
    result = run(pytester, workers)
    result.assert_outcomes(failed=2, passed=2, errors=1)
    result.stdout.no_fnmatch_line("*known red*")


def test_listed_failures_are_expected_and_printed(pytester: pytest.Pytester, workers: str) -> None:
    result = run(pytester, workers, "test_red", "test_setup", "test_case[0]")
    result.assert_outcomes(xfailed=3, passed=2)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "*known red: 3*",
            "test_it.py::test_case[[]0]",
            "*seed 7*",
            "*token 9 twice*",
            "*issue: 12*",
        ]
    )


def test_listed_pass_fails_the_run(pytester: pytest.Pytester, workers: str) -> None:
    result = run(pytester, workers, "test_green", select="green")
    result.assert_outcomes(failed=1)
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*remove its entry*"])


def test_a_test_that_fails_at_times_may_pass_but_no_other(
    pytester: pytest.Pytester, workers: str
) -> None:
    notes = f"{NOTES}  at times\n"
    entries = "".join(f"test_it.py::{name}{notes}" for name in ("test_green", "test_red"))
    (pytester.path / "KNOWN-RED.txt").write_text(entries)
    result = pytester.runpytest_subprocess("-n", workers, "-k", "green or red or case")
    result.assert_outcomes(failed=1, passed=2, xfailed=1)
    result.stdout.fnmatch_lines(["*test_it.py::test_red*", "*at times*"])


def test_other_failures_still_fail(pytester: pytest.Pytester, workers: str) -> None:
    result = run(pytester, workers, "test_red", select="red or case")
    result.assert_outcomes(xfailed=1, failed=1, passed=1)
    assert result.ret == 1


@pytest.mark.parametrize("text", ["test_it.py::test_red\n", f"test_gone.py::test_red{NOTES}"])
def test_bad_entry_is_reported(pytester: pytest.Pytester, text: str) -> None:
    (pytester.path / "KNOWN-RED.txt").write_text(text)
    result = pytester.runpytest_subprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*no notes, or no such file*"])


# fault: a listed test fails for another reason than its entry names, and no message says so
def test_what_failed_this_time_is_printed(pytester: pytest.Pytester, workers: str) -> None:
    result = run(pytester, workers, "test_red", "test_setup", select="red or setup")
    result.stdout.fnmatch_lines(["*test_it.py::test_red", "*E * assert False*"])
    result.stdout.fnmatch_lines(["*test_it.py::test_setup", "*E * ValueError*"])
