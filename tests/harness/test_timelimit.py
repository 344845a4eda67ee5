"""Time limits of tests leave out waits for a processor, and nothing else."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Future
from functools import partial

import pytest

from soak.rundelay import RunLimit, ThreadTimes
from support.timelimit import TimeLimit, limit_time, list_started

LIMIT_S = 0.3
END_LIMIT_S = 5.0
MARGIN_S = 0.5
WAITED_SHARE = 0.75
LATE_S = LIMIT_S + 0.5
"""Time after which something happens that a machine without other load would do in time."""


@pytest.fixture
def busy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let this process spend most of its time waiting for a processor."""

    def read(pid: int) -> dict[int, ThreadTimes]:
        waited_s = WAITED_SHARE * time.monotonic()
        return {0: ThreadTimes(waited_s)} if pid == os.getpid() else {}

    monkeypatch.setattr("support.timelimit.read_threads", read)


@pytest.fixture
def shell() -> Iterator[subprocess.Popen[bytes]]:
    """:return: a process that has started another one."""
    code = "import subprocess, sys; subprocess.run([sys.executable, '-c', 'input()'])"
    with subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE) as process:
        yield process
        assert process.stdin is not None
        process.stdin.close()


# fault: the clocks of tests counted the time in which the machine kept these from running
@pytest.mark.usefixtures("busy")
async def test_waits_for_a_processor_do_not_count() -> None:
    async with limit_time(LIMIT_S):
        await asyncio.sleep(LATE_S)


@pytest.mark.usefixtures("busy")
def test_waits_for_a_processor_do_not_count_in_a_thread() -> None:
    began_at = time.monotonic()
    TimeLimit(LIMIT_S).wait_until(lambda: time.monotonic() - began_at > LATE_S, "no time passed")


# fault: a limit that leaves out waits never ended on a busy machine
@pytest.mark.usefixtures("busy")
async def test_what_never_happens_is_reported_by_a_busy_machine() -> None:
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with limit_time(LIMIT_S):
            await asyncio.Event().wait()
    assert time.monotonic() - began_at >= LIMIT_S / (1 - WAITED_SHARE)


async def test_a_limit_ends_a_wait_in_time() -> None:
    began_at, lost = time.monotonic(), TimeLimit(LIMIT_S)
    with pytest.raises(TimeoutError):
        async with limit_time(LIMIT_S):
            await asyncio.Event().wait()
    took_s = time.monotonic() - began_at
    assert LIMIT_S <= took_s < LIMIT_S + MARGIN_S + lost.measure_lost()


async def test_an_error_and_a_result_pass_a_limit() -> None:
    with pytest.raises(ZeroDivisionError):
        async with limit_time(LIMIT_S):
            raise ZeroDivisionError
    async with limit_time(LIMIT_S):
        assert await asyncio.sleep(0, "result") == "result"


async def wait_without_statistics(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_limit: RunLimit) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    async with limit_time(LIMIT_S):
        monkeypatch.setattr(RunLimit, "_read_all", fail)
        await asyncio.Event().wait()


# fault: a limit whose statistics could not be read any more never ended
async def test_a_limit_that_cannot_be_checked_ends(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async with asyncio.timeout(END_LIMIT_S):
        with pytest.raises(TimeoutError):
            await wait_without_statistics(monkeypatch)
    assert "a time limit can't be checked, and ends" in caplog.messages


def test_a_wait_that_is_late_is_cancelled_and_says_what_it_waited_for() -> None:
    never: Future[None] = Future()
    with pytest.raises(TimeoutError, match=r"no answer within 0\.3 s, besides"):
        TimeLimit(LIMIT_S).wait_done(never, "no answer")
    assert never.cancelled()


# fault: a suspended process passed for one that waits for a processor
def test_a_suspended_process_counts(shell: subprocess.Popen[bytes]) -> None:
    os.kill(shell.pid, signal.SIGSTOP)
    limit = TimeLimit(LIMIT_S)
    with pytest.raises(TimeoutError):
        limit.wait_until(lambda: False, "no end")
    os.kill(shell.pid, signal.SIGCONT)


def test_processes_of_started_processes_are_listed(shell: subprocess.Popen[bytes]) -> None:
    limit = TimeLimit(10.0)
    limit.wait_until(partial(list_started, shell.pid), "no process")
    assert {shell.pid, *list_started(shell.pid)} <= set(list_started())


@pytest.mark.by_turns
async def test_a_limit_by_turns_goes_by_the_clock_of_the_event_loop() -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    with pytest.raises(TimeoutError):
        async with limit_time(LIMIT_S):
            await asyncio.Event().wait()
    assert LIMIT_S <= loop.time() - began_s < LIMIT_S + MARGIN_S
