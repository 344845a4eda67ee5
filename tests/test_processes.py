"""Check that no command starts another process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import psutil
import pytest

from support.fleet import Fleet

# Audit hook that makes a command exit with 99 as soon as it starts a process.
GUARD = """
import sys, traceback
FORBIDDEN = ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system")
def refuse(event, args):
    if event in FORBIDDEN:
        traceback.print_stack()
        print("forbidden:", event, args[:2], file=sys.stderr, flush=True)
        __import__("os")._exit(99)
sys.addaudithook(refuse)
from basilroad.run import run
run()
"""


@pytest.mark.parametrize(
    "words", [["version"], ["--help"], ["entry", "--help"], ["standin", "engine", "--help"]]
)
def test_command_starts_no_process(words: list[str]) -> None:
    completed = subprocess.run(
        [sys.executable, "-c", GUARD, *words], capture_output=True, text=True
    )
    assert completed.returncode == 0, completed.stderr


def test_guard_detects_a_process(tmp_path: Path) -> None:
    code = GUARD.partition("from basilroad")[0] + "import subprocess; subprocess.run(['true'])"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, cwd=tmp_path)
    assert completed.returncode == 99


def test_daemons_have_no_children(fleet: Fleet) -> None:
    fleet.add_platform()
    fleet.add_engine("engine", model="spec-llm")
    fleet.add_service("orders", "order-app")
    fleet.add_entry("entry")
    fleet.wait_ready()
    for process in fleet.processes.values():
        assert psutil.Process(process.pid).children(recursive=True) == [], process.name
