"""Tests of the exit of a daemon whose services have ended."""

from __future__ import annotations

import subprocess
import sys

import pytest

EXIT_LIMIT_S = 10.0
THREAD_S = 30

SCRIPT = """
import asyncio, logging, os, signal, sys, time
from mode import Service
from basilroad.cli.daemon import run_services
from basilroad.logs import configure_logs
from basilroad.logwriter import LogWriter

class Stopping(Service):
    async def on_started(self):
        {action}

    async def on_stop(self):
        print("last output")
        logging.getLogger("stopping").info("last line")

configure_logs("host", logging.INFO, LogWriter())
run_services(Stopping())
"""
STOP = "os.kill(os.getpid(), signal.SIGTERM)"
THREAD = f"asyncio.get_running_loop().run_in_executor(None, time.sleep, {THREAD_S}); "


def run(action: str) -> subprocess.CompletedProcess[str]:
    argv = [sys.executable, "-c", SCRIPT.format(action=action)]
    return subprocess.run(argv, capture_output=True, text=True, timeout=EXIT_LIMIT_S, check=False)


# fault: a thread that waits, such as a name lookup without answer, delays the exit past the grace
@pytest.mark.parametrize("action", [STOP, THREAD + STOP], ids=["no thread", "thread"])
def test_a_stop_does_not_wait_for_threads_and_loses_no_output(action: str) -> None:
    ended = run(action)
    assert ended.returncode == 0, ended.stderr
    assert "last output" in ended.stdout
    assert '"message":"last line"' in ended.stdout


# fault: an exit without teardown hides the failure of a service
def test_a_failed_service_ends_the_process_with_1_and_is_logged() -> None:
    ended = run("raise RuntimeError('broken service')")
    assert ended.returncode == 1
    assert "broken service" in ended.stdout
