"""Tests of the whole system in one process."""

from __future__ import annotations

import asyncio
import re
import shlex
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from threading import Event
from typing import Any

import attrs
import msgspec
import pytest

from basilroad.cli.local import (
    DRAIN_LIMIT_S,
    MODEL,
    SERVICE,
    TOKEN_INTERVAL_S,
    LocalSystem,
)
from basilroad.stopsignal import StopSignal
from soak.rundelay import RunLimit
from support.addresses import find_free_port

IDLE_STOP_S = 1.0
"""Seconds for a stop with nothing in flight."""

END_S = 20.0
"""Seconds after which a process has hung."""

POLL_S = 0.005
IDLE_S = 1.0
EXAMPLES = 2


@attrs.define(eq=False)
class LocalProcess:
    """`basilroad local` as a process.

    :param child: the process
    :param port: port of its first entry
    """

    child: subprocess.Popen[str]
    port: int

    def wait_ready(self) -> None:
        assert self.child.stdout is not None
        assert self.child.stdout.readline().startswith("basilroad is ready")

    def read_examples(self) -> list[str]:
        """:return: the requests that it prints, as commands for curl."""
        assert self.child.stdout is not None
        assert self.child.stdout.readline() == "Try:\n"
        return [self.child.stdout.readline() for _ in range(EXAMPLES)]

    def send(self, command: str) -> str:
        """Send a request that it has printed.

        :param command: command for curl
        :return: what the entry answers
        """
        words = shlex.split(command.replace("curl -N", "curl"))
        assert (words[0], words[2], words[4]) == ("curl", "-H", "-d")
        path = words[1].removeprefix(f"http://127.0.0.1:{self.port}")
        return self.ask(path, msgspec.json.decode(words[5]), words[3])

    def wait_ended(self, limit_s: float) -> str:
        """:return: what it wrote to its standard error."""
        limit = RunLimit(limit_s, lambda: [self.child.pid])
        while self.child.poll() is None:
            assert not limit.is_over(), f"still running after {limit_s:g} s, {limit.describe()}"
            time.sleep(POLL_S)
        return self.child.communicate()[1]

    def ask(
        self, path: str, body: dict[str, Any], *headers: str, begun: Event | None = None
    ) -> str:
        """Send a request to the first entry.

        :param begun: set once its answer has begun
        :return: what the entry answers
        """
        names = dict(header.split(": ", 1) for header in headers)
        connection = HTTPConnection("127.0.0.1", self.port, timeout=END_S)
        try:
            connection.request("POST", path, msgspec.json.encode(body), names)
            response = connection.getresponse()
            if begun is not None:
                begun.set()
            return response.read().decode()
        finally:
            connection.close()


@pytest.fixture
def local() -> Iterator[LocalProcess]:
    port = find_free_port()
    argv = [sys.executable, "-m", "basilroad", "local", "--port", str(port)]
    child = subprocess.Popen(argv, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        yield LocalProcess(child, port)
    finally:
        child.kill()
        child.communicate()


# fault: each agent waited 1 s for streams of entries that were gone, one agent after the other
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_idle_system_ends_at_once(local: LocalProcess, number: signal.Signals) -> None:
    local.wait_ready()
    time.sleep(IDLE_S)
    local.child.send_signal(number)
    assert local.wait_ended(IDLE_STOP_S) == ""
    assert local.child.returncode == 0


# fault: the system called itself ready before its entries knew an agent, and refused the example
# that it had printed
def test_a_system_that_is_ready_serves_its_example(local: LocalProcess) -> None:
    local.wait_ready()
    body = {"model": MODEL, "prompt": "Check the taper", "max_tokens": 4}
    answer = local.ask("/v1/completions", body, "Content-Type: application/json")
    assert '"choices"' in answer, answer


# fault: the answer to the printed order named no order
def test_the_printed_requests_are_served_and_the_system_ends_at_once(local: LocalProcess) -> None:
    local.wait_ready()
    completion, order = (local.send(command) for command in local.read_examples())
    assert completion.rstrip().endswith("data: [DONE]"), completion[-300:]
    assert msgspec.json.decode(order)["order"] == "order-1", order
    local.child.send_signal(signal.SIGINT)
    assert local.wait_ended(IDLE_STOP_S) == ""
    assert local.child.returncode == 0


def test_a_second_signal_changes_nothing(local: LocalProcess) -> None:
    local.wait_ready()
    local.child.send_signal(signal.SIGINT)
    time.sleep(POLL_S)
    local.child.send_signal(signal.SIGINT)
    assert local.wait_ended(IDLE_STOP_S) == ""
    assert local.child.returncode == 0


def test_what_is_in_flight_is_finished_within_the_limit(local: LocalProcess) -> None:
    local.wait_ready()
    tokens = int(DRAIN_LIMIT_S / 2 / TOKEN_INTERVAL_S)
    body = {"model": MODEL, "prompt": "Check the taper", "max_tokens": tokens, "stream": True}
    order = f"/v1/services/{SERVICE}/orders"
    begun = Event()
    with ThreadPoolExecutor() as callers:
        header = "Content-Type: application/json"
        answer = callers.submit(local.ask, "/v1/completions", body, header, begun=begun)
        placed = callers.submit(local.ask, order, {"bungs": 12}, "Idempotency-Key: order-1")
        assert begun.wait(END_S)
        local.child.send_signal(signal.SIGINT)
        # both entries and all agents share the limit; what is left is the stop of an idle system
        errors = local.wait_ended(DRAIN_LIMIT_S + IDLE_STOP_S)
        assert answer.result().rstrip().endswith("data: [DONE]"), answer.result()[-300:]
        # tokens that arrive together are one event, whose id ends with the number of all until then
        assert re.findall(r"^id: .*:(\d+)$", answer.result(), re.M)[-1] == str(tokens)
        assert "error" not in placed.result(), placed.result()
    assert errors == ""
    assert local.child.returncode == 0


def test_the_parts_of_a_system_share_the_limit_of_a_stop(local: LocalProcess) -> None:
    local.wait_ready()
    tokens = int(3 * DRAIN_LIMIT_S / TOKEN_INTERVAL_S)
    body = {"model": MODEL, "prompt": "Check the taper", "max_tokens": tokens, "stream": True}
    begun = Event()
    with ThreadPoolExecutor() as callers:
        header = "Content-Type: application/json"
        answer = callers.submit(local.ask, "/v1/completions", body, header, begun=begun)
        assert begun.wait(END_S)
        local.child.send_signal(signal.SIGINT)
        local.wait_ended(DRAIN_LIMIT_S + IDLE_STOP_S)
        assert "error" in answer.result().splitlines()[-2], answer.result()[-300:]
    assert local.child.returncode == 0


# fault: a system that was stopped during its start went on to start the rest of its components
async def test_a_stop_during_the_start_starts_no_further_component() -> None:
    system = LocalSystem("127.0.0.1", find_free_port(), StopSignal())
    starting = asyncio.create_task(system.start())
    while not any(part.started for part in system.list_parts()):
        await asyncio.sleep(0)
    async with asyncio.timeout(END_S):
        await system.stop()
        await asyncio.gather(starting, return_exceptions=True)
    assert not all(part.started for part in system.list_parts())
    assert all(part.should_stop for part in system.list_parts() if part.started)
