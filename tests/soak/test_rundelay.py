"""Time limits that leave out the time in which the machine keeps processes from running."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from soak.rundelay import RunLimit, ThreadTimes, read_run_delay, read_threads

LIMIT_S = 10.0
OTHER = 7
START_TIMEOUT_S = 60.0


class Machine:
    """Clock and waits for a processor that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.delays_s = {os.getpid(): 50.0, OTHER: 5.0}
        self.pids = [OTHER]
        self.ran_s = 0.0
        self.is_ready = False
        self.limit = RunLimit(LIMIT_S, lambda: self.pids, self._read, lambda: self.now_s)

    def _read(self, pid: int) -> dict[int, ThreadTimes]:
        is_other = pid == OTHER
        times = ThreadTimes(self.delays_s[pid], is_other * self.ran_s, is_other and self.is_ready)
        return {1: times}

    def pass_time(self, length_s: float, **delays_s: float) -> bool:
        """:return: whether the limit is over after a while, with waits of "own" and "other"."""
        self.now_s += length_s
        self.delays_s[os.getpid()] += delays_s.get("own", 0.0)
        self.delays_s[OTHER] += delays_s.get("other", 0.0)
        return self.limit.is_over()


# fault: a limit never ended once a process had waited for a processor
def test_all_time_counts_while_no_process_waits() -> None:
    machine = Machine()
    assert not machine.pass_time(1.0, own=1.0)
    assert not machine.pass_time(LIMIT_S - 0.1)
    assert machine.pass_time(0.2)


# fault: a wait ended because the machine had not let the awaited process run
@pytest.mark.parametrize("waiting", ["own", "other"])
def test_time_in_which_a_process_waits_does_not_count(waiting: str) -> None:
    machine = Machine()
    assert not machine.pass_time(2 * LIMIT_S, **{waiting: 1.9 * LIMIT_S})
    assert machine.pass_time(LIMIT_S)


# fault: processes that wait at once gave a limit more time than had passed
def test_waits_of_several_processes_count_once() -> None:
    machine = Machine()
    assert not machine.pass_time(5.0, own=5.0, other=5.0)
    assert machine.pass_time(LIMIT_S + 0.1)


def test_the_time_that_did_not_count_is_measured() -> None:
    machine = Machine()
    machine.pass_time(5.0, own=1.0)
    machine.now_s += 3.0
    machine.delays_s[OTHER] += 2.0
    assert machine.limit.measure_lost() == pytest.approx(3.0)
    assert not machine.pass_time(LIMIT_S - 5.1)
    assert machine.pass_time(0.2)


# fault: the waits of a process that was started anew counted against its former one
def test_a_process_that_was_started_since_then_has_waited_since_its_start() -> None:
    machine = Machine()
    machine.pids.append(8)
    machine.delays_s[8] = 3.0
    assert not machine.pass_time(LIMIT_S + 2.0)
    assert machine.pass_time(2.0)


# fault: of a wait that the kernel added at its end only the time since the last check was left out
def test_a_wait_that_began_before_the_last_check_does_not_count() -> None:
    machine = Machine()
    for _ in range(60):
        assert not machine.pass_time(0.1)
    machine.pass_time(0.1, other=5.0)
    assert machine.limit.measure_lost() == pytest.approx(5.0)
    assert not machine.pass_time(LIMIT_S - 1.2)
    assert machine.pass_time(0.2)


# fault: a wait was given back beyond its length, or beyond the time in which it was
def test_time_that_did_not_count_is_given_back_once() -> None:
    machine = Machine()
    machine.pass_time(1.0)
    machine.pass_time(1.0, own=1.0)
    machine.pass_time(1.0, other=2.0)
    assert machine.limit.measure_lost() == pytest.approx(2.0)
    machine.pass_time(1.0, other=9.0)
    assert machine.limit.measure_lost() == pytest.approx(4.0)
    assert not machine.pass_time(LIMIT_S - 0.1)
    assert machine.pass_time(0.2)


# fault: a wait ended during the one long wait of a process that the machine did not let run
def test_a_wait_that_has_not_ended_does_not_count() -> None:
    machine = Machine()
    machine.is_ready = True
    for _ in range(300):
        assert not machine.pass_time(0.1)
    assert machine.limit.measure_lost() == pytest.approx(29.9)
    machine.pass_time(0.1, other=30.05)
    assert machine.limit.measure_lost() == pytest.approx(30.05)
    machine.is_ready = False
    assert not machine.pass_time(LIMIT_S - 0.1)
    assert machine.pass_time(0.2)


# fault: a process that runs without an end passed for one that waits
def test_a_process_that_runs_does_not_wait() -> None:
    machine = Machine()
    machine.is_ready = True
    for _ in range(99):
        machine.ran_s += 0.01
        assert not machine.pass_time(0.1)
    machine.ran_s += 0.01
    assert machine.pass_time(0.2)


@pytest.fixture
def sleeper() -> Iterator[subprocess.Popen[bytes]]:
    command = [sys.executable, "-c", "import signal; print(flush=True); signal.pause()"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    process.stdout.readline()
    yield process
    process.kill()
    process.wait()
    process.stdout.close()


# fault: a process that hangs or is suspended looked like one that the machine keeps from running
def test_a_process_that_sleeps_or_is_suspended_waits_for_no_processor(
    sleeper: subprocess.Popen[bytes],
) -> None:
    for number in (signal.SIGSTOP, signal.SIGCONT):
        before_s = read_run_delay(sleeper.pid)
        sleeper.send_signal(number)
        with pytest.raises(subprocess.TimeoutExpired):
            sleeper.wait(0.5)
        assert read_run_delay(sleeper.pid) - before_s < 0.25


# fault: a process that runs without an end was taken for one that waits for a processor
def test_a_process_that_runs_is_ready_and_has_run() -> None:
    with subprocess.Popen([sys.executable, "-c", "while True: pass"]) as process:
        before = read_threads(process.pid)[process.pid]
        until = time.monotonic() + START_TIMEOUT_S
        while (now := read_threads(process.pid)[process.pid]).ran_s < before.ran_s + 0.5:
            assert time.monotonic() < until
            time.sleep(0.05)
        process.kill()
    assert now.is_ready


def test_a_process_that_has_ended_waits_for_no_processor(sleeper: subprocess.Popen[bytes]) -> None:
    # fault: a wait for a process that ended meanwhile failed for its missing statistics
    sleeper.kill()
    sleeper.wait()
    assert read_run_delay(sleeper.pid) == 0.0
