"""Signals to a gateway process, observed by callers whose requests are under way."""

from __future__ import annotations

import asyncio
import itertools
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from basilroad.platform.settings import METRICS_PORT
from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from soak.process import FRONT_PORT, PEER_PORT, READY_PORT, GatewayProcess
from support.addresses import name_ip
from support.gatewayrig import build_config, build_order
from support.timelimit import TimeLimit, limit_time
from support.tries import TryEnd, read_end

IP_NUMBER = 90
START_LIMIT_S = 30.0
EXIT_LIMIT_S = 15.0
CALLERS = 4


class ProcessRig:
    """One gateway process with its store and a server, all on loopback."""

    def __init__(self, folder: Path) -> None:
        self.store = RowStoreStandin()
        self.app = AppServerStandin("i-app")
        self._folder = folder
        self._ids = itertools.count()

    async def start(self, program: str = "") -> None:
        """Start all.

        :param program: code that runs the gateway; by default its command
        """
        await self.store.start()
        await self.app.start()
        self.store.put("servers", self.app.id, self.app.build_entry("app"))
        self.store.put("op", "config", build_config(1, "key"))
        link = SimpleNamespace(ip="127.0.0.1", port=self.store.port)
        self.process = GatewayProcess(1, name_ip(IP_NUMBER), self._folder, cast("Any", link))
        if program:
            self.process.arguments = ("-c", program)
        self.process.start()

    @property
    def has_exited(self) -> bool:
        child = self.process._process
        return child is not None and child.poll() is not None

    def signal(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            self.process._signal(number)

    async def exchange(self) -> TryEnd:
        """:return: how the try of an order on a connection of its own ends."""
        request = build_order(f"order-{next(self._ids)}")
        try:
            reader, writer = await asyncio.open_connection(self.process.ip, FRONT_PORT)
        except OSError:
            return TryEnd.NO_CONNECTION
        try:
            writer.write(request)
            async with limit_time(EXIT_LIMIT_S):
                return read_end(await reader.read(65536))
        except ConnectionError:
            return TryEnd.NO_ANSWER
        finally:
            writer.close()

    async def wait_until_served(self) -> None:
        async with limit_time(START_LIMIT_S):
            while await self.exchange() is not TryEnd.ANSWERED:
                await asyncio.sleep(0.01)

    async def wait_exit(self) -> int:
        """:return: exit code of the process."""
        child = self.process._process
        assert child is not None
        async with limit_time(EXIT_LIMIT_S):
            while child.poll() is None:
                await asyncio.sleep(0.01)
        return cast("int", child.returncode)

    async def stop(self) -> None:
        await self.process.end()
        await self.app.stop()
        await self.store.stop()


FAILING = """
import asyncio, os
from basilroad.cli.gateway import run_gateway
from basilroad.platform.crasharchive import CrashArchive

async def fail(_):
    while not os.path.exists({mark!r}):
        await asyncio.sleep(0.01)
    raise RuntimeError("unexpected")

CrashArchive._read = fail
run_gateway(None)
"""
"""A gateway one of whose services fails once a file exists."""


@pytest.fixture
async def rig(tmp_path: Path) -> AsyncIterator[ProcessRig]:
    rig = ProcessRig(tmp_path)
    await rig.start()
    yield rig
    await rig.stop()


# fault: a change of the listen address ends the listener, and the requests on its connections
async def test_a_reload_with_another_address_leaves_the_listener(rig: ProcessRig) -> None:
    await rig.wait_until_served()
    rig.app.response_delay_s = 0.2
    calls = [asyncio.ensure_future(rig.exchange()) for _ in range(CALLERS)]
    path = rig.process.folder / "gateway-1.yaml"
    path.write_text(path.read_text().replace(str(FRONT_PORT), str(FRONT_PORT + 1)))
    rig.signal(signal.SIGHUP)
    async with limit_time(START_LIMIT_S):
        while '"message":"reload"' not in rig.process.log.read_text():
            await asyncio.sleep(0.01)
    calls += [asyncio.ensure_future(rig.exchange()) for _ in range(CALLERS)]
    assert set(await asyncio.gather(*calls)) == {TryEnd.ANSWERED}


# fault: a service that fails ends the process, and the calls in flight with it
@pytest.mark.holds_stop
async def test_an_unexpected_end_of_a_service_answers_the_calls_in_flight(tmp_path: Path) -> None:
    rig, mark = ProcessRig(tmp_path), tmp_path / "fail"
    await rig.start(FAILING.format(mark=str(mark)))
    await rig.wait_until_served()
    rig.app.response_delay_s = 0.5
    callers = [asyncio.ensure_future(call_until_exit(rig)) for _ in range(CALLERS)]
    ran = len(rig.app.ran)
    while len(rig.app.ran) < ran + CALLERS:
        await asyncio.sleep(0.01)
    mark.touch()
    assert await rig.wait_exit() == 1
    ends = sum(await asyncio.gather(*callers), Counter[TryEnd]())
    await rig.stop()
    assert ends[TryEnd.NO_ANSWER] == 0, ends
    assert ends[TryEnd.ANSWERED] >= CALLERS
    assert "Crashed reason" in rig.process.log.read_text()


async def call_until_exit(rig: ProcessRig) -> Counter[TryEnd]:
    """Send orders one after another until the process has exited.

    :param rig: the gateway
    :return: how the tries ended
    """
    ends: Counter[TryEnd] = Counter()
    while not rig.has_exited:
        ends[await rig.exchange()] += 1
        await asyncio.sleep(0.001)
    return ends


# fault: a process whose start failed had taken connections of callers, which its end cuts off
@pytest.mark.holds_stop
@pytest.mark.parametrize(
    ("kind", "port"),
    [
        (socket.SOCK_STREAM, READY_PORT),
        (socket.SOCK_STREAM, METRICS_PORT),
        (socket.SOCK_STREAM, PEER_PORT),
        (socket.SOCK_DGRAM, PEER_PORT),
    ],
    ids=["readiness", "metrics", "config exchange", "gossip"],
)
async def test_a_start_that_fails_accepts_no_connection(
    tmp_path: Path, kind: socket.SocketKind, port: int
) -> None:
    rig = ProcessRig(tmp_path)
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((name_ip(IP_NUMBER), port))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        await rig.start()
        callers = [asyncio.ensure_future(call_until_exit(rig)) for _ in range(CALLERS)]
        code = await rig.wait_exit()
        ends = sum(await asyncio.gather(*callers), Counter[TryEnd]())
    await rig.stop()
    assert code == 1
    assert set(ends) == {TryEnd.NO_CONNECTION}, ends


# fault: a stop that is requested while the process starts cuts off the requests that it then reads
@pytest.mark.holds_stop
@pytest.mark.parametrize("listens", [False, True])
async def test_a_stop_during_the_start_answers_each_request(rig: ProcessRig, listens: bool) -> None:
    callers = [asyncio.ensure_future(call_until_exit(rig)) for _ in range(CALLERS)]
    async with limit_time(START_LIMIT_S):
        if listens:
            while await rig.exchange() is TryEnd.NO_CONNECTION:
                await asyncio.sleep(0)
        else:
            while "start" not in rig.process.log.read_text():
                await asyncio.sleep(0.001)
    rig.signal(signal.SIGTERM)
    # before the process handles signals, it ends at once; it doesn't listen yet then
    assert await rig.wait_exit() in ((0,) if listens else (0, -signal.SIGTERM))
    ends = sum(await asyncio.gather(*callers), Counter[TryEnd]())
    assert ends[TryEnd.NO_ANSWER] == 0, ends


# fault: a signal between the end of the services and the exit ended the process by that signal
@pytest.mark.holds_stop
async def test_signals_until_the_exit_leave_its_status(rig: ProcessRig) -> None:
    await rig.wait_until_served()
    limit = TimeLimit(EXIT_LIMIT_S)
    while not rig.has_exited and not limit.is_over():
        rig.signal(signal.SIGTERM)
        await asyncio.sleep(0.001)
    assert await rig.wait_exit() == 0


# fault: a second SIGTERM, or a SIGHUP beside it, ends the process at once
@pytest.mark.holds_stop
async def test_further_signals_during_a_stop_cut_off_no_request(rig: ProcessRig) -> None:
    await rig.wait_until_served()
    rig.app.response_delay_s = 0.5
    callers = [asyncio.ensure_future(call_until_exit(rig)) for _ in range(CALLERS)]
    ran = len(rig.app.ran)
    while len(rig.app.ran) < ran + CALLERS:
        await asyncio.sleep(0.01)
    rig.signal(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
    limit = TimeLimit(EXIT_LIMIT_S)
    while not rig.has_exited and not limit.is_over():
        rig.signal(signal.SIGTERM, signal.SIGHUP)
        await asyncio.sleep(0.1)
    assert await rig.wait_exit() == 0
    ends = sum(await asyncio.gather(*callers), Counter[TryEnd]())
    assert ends[TryEnd.NO_ANSWER] == 0, ends
    assert ends[TryEnd.ANSWERED] >= CALLERS
