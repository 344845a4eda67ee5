"""Check what tests ask the processes of a fleet."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from soak.rundelay import RunLimit, ThreadTimes
from support.background import Background, close_server
from support.fleet import ENDPOINT_PORT, PROBE_TIMEOUT_S, Fleet, Process, _reserve_network

END_S = 1.0
"""Time after which a process ends."""

END_LIMIT_S = 0.3
FLEET_NUMBER = 5000
"""Number of a fleet beyond those of other tests of this process."""

WAITED_SHARE = 0.9
"""Share of the time that a busy machine keeps the test from running."""


async def respond_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(PROBE_TIMEOUT_S + 0.3)
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{"s1-0": 1}')
    writer.close()


# fault: a test of orders failed with a time-out when the machine delayed the count of runs
def test_a_late_count_is_waited_for(background: Background, tmp_path: Path) -> None:
    server = background.run(asyncio.start_server(respond_late, "127.0.0.1", 0))
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    process = Process("orders-0", ("service",), {}, address, "", tmp_path)
    assert process.ask("GET", "/control/counts") == {"s1-0": 1}
    background.run(close_server(server))


def start_process(folder: Path, program: str) -> Process:
    process = Process("ending", (), {}, "", "", folder)
    process._child = subprocess.Popen([sys.executable, "-c", program])
    return process


@pytest.fixture
def ending(tmp_path: Path) -> Iterator[Process]:
    process = start_process(tmp_path, f"import time; time.sleep({END_S})")
    yield process
    process.kill()


@pytest.fixture
def endless(tmp_path: Path) -> Iterator[Process]:
    process = start_process(tmp_path, "import signal; signal.pause()")
    yield process
    process.kill()


# fault: a process that the machine kept from running had not ended in time
def test_waits_for_a_processor_do_not_count_for_an_end(
    ending: Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    # all of its time is spent waiting for a processor
    limit = partial(RunLimit, read=lambda _pid: {0: ThreadTimes(time.monotonic())})
    monkeypatch.setattr("support.fleet.RunLimit", limit)
    assert ending.wait_ended(END_LIMIT_S) == 0


def test_a_process_that_does_not_end_is_reported(endless: Process) -> None:
    with pytest.raises(RuntimeError, match="ending is still running"):
        endless.wait_ended(END_LIMIT_S)


# fault: a process passed for one that ends when the machine kept the test from running
def test_a_process_that_does_not_end_is_reported_by_a_busy_machine(
    endless: Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    def read(pid: int) -> dict[int, ThreadTimes]:
        waited_s = WAITED_SHARE * time.monotonic()
        return {0: ThreadTimes(waited_s)} if pid == os.getpid() else {}

    monkeypatch.setattr("support.fleet.RunLimit", partial(RunLimit, read=read))
    with pytest.raises(RuntimeError, match="ending is still running"):
        endless.wait_ended(END_LIMIT_S)


# fault: a stand-in found its address in use, by a process that a killed test process had left
def test_a_fleet_uses_no_address_of_a_process_that_was_left_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("support.fleet._counter", itertools.count(FLEET_NUMBER))
    reservation, network = _reserve_network()
    reservation.close()
    monkeypatch.setattr("support.fleet._counter", itertools.count(FLEET_NUMBER))
    with socket.create_server((f"{network}.3", ENDPOINT_PORT)):
        reservation, other = _reserve_network()
        reservation.close()
    assert other != network


# fault: a process that a fault restarted at the end of its test was left behind
def test_a_process_of_a_closed_fleet_is_not_started(fleet: Fleet) -> None:
    platform = fleet.add_platform()
    fleet.close()
    with pytest.raises(RuntimeError, match="platform is closed"):
        platform.restart()
    assert not platform.running
