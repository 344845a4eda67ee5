"""One run: traffic with faults, a fault-free period, and the check of all promises."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
import time
from pathlib import Path

import aiohttp
import attrs

from soak.callers import Caller
from soak.faultfree import wait_fault_free
from soak.faults import run_fault
from soak.promises import PROMISES
from soak.promptreads import PromptReads
from soak.records import InjectedFault, Kind, Record
from soak.releaseschedule import draw_faults
from soak.rundelay import RunLimit
from soak.schedule import Fault
from soak.settings import SoakSettings
from soak.stalls import StallWatch
from soak.streampromises import TakeUps
from soak.world import World

READY_TIMEOUT_S = 20.0
"""Seconds for all gateways to become ready; a start takes about 1 s. Time in which the machine
keeps them or the soak from running doesn't count."""

MONITOR_INTERVAL_S = 0.2


@attrs.frozen
class Result:
    """Result of a run.

    :param settings: settings of the run
    :param breaches: one line for each violation, by name of the promise
    :param unjudged: why the run says nothing about a promise, by name of the promise
    :param requests: number of requests sent
    :param served: number of complete responses with status 200
    :param take_ups: streams that callers took up
    :param prompt_reads: their prompts
    :param longest_stall_s: longest time for which the soak's own event loop stood still
    :param folder: directory of the gateway logs, kept unless all promises were
    """

    settings: SoakSettings
    breaches: dict[str, list[str]]
    unjudged: dict[str, str]
    requests: int
    served: int
    take_ups: TakeUps
    prompt_reads: PromptReads
    longest_stall_s: float
    folder: Path

    @property
    def is_kept(self) -> bool:
        """:return: whether all promises were judged and kept."""
        return not (self.breaches or self.unjudged)

    @property
    def state(self) -> str:
        """:return: the state of all promises, as reports name it."""
        if self.breaches:
            return "broken"
        return "not judged" if self.unjudged else "kept"


class GatewaysNotReadyError(Exception):
    """A gateway did not become ready in time."""


async def run_soak(settings: SoakSettings) -> Result:
    """Execute one run.

    :param settings: settings of the run
    :return: result of the run
    :raises GatewaysNotReadyError: a gateway did not become ready in time
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{settings.seed}-"))
    world = World(settings, folder)
    await world.start()
    try:
        await _wait_ready(world)
        await _drive(world, draw_faults(settings))
    finally:
        await world.close()
    result = _evaluate(settings, world.record, folder)
    if result.is_kept:
        shutil.rmtree(folder)
    return result


async def _drive(world: World, faults: list[Fault]) -> None:
    stop = asyncio.Event()
    seeds = random.Random(world.settings.seed + 1)
    callers = [Caller(world, random.Random(seeds.random())) for _ in range(world.settings.callers)]
    callers += [
        Caller(world, random.Random(seeds.random()), (Kind.STREAM,))
        for _ in range(world.settings.stream_callers)
    ]
    caller_tasks = [asyncio.ensure_future(caller.run(stop)) for caller in callers]
    stalls = StallWatch(world.record, lambda: [gateway.pid for gateway in world.gateways])
    monitor_task = asyncio.ensure_future(_monitor_gateways(world, stalls))
    try:
        await _run_faults(world, faults)
        await _wait_ready(world)
        await wait_fault_free(world.record, stalls)
        stop.set()
        await asyncio.gather(*caller_tasks)
    finally:
        monitor_task.cancel()
        for task in caller_tasks:
            task.cancel()


async def _run_faults(world: World, faults: list[Fault]) -> None:
    started = time.monotonic()
    running = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        running.append(asyncio.ensure_future(run_fault(world, fault)))
    await asyncio.gather(*running)
    world.heal()
    # Record the last fault again at the time when all gateways are ready, so that restarts that the
    # faults caused count as part of the faulty period.
    await _wait_ready(world)
    now = time.monotonic()
    world.record.injected_faults += [InjectedFault(fault, now, now) for fault in faults[-1:]]


async def _wait_ready(world: World) -> None:
    limit = RunLimit(READY_TIMEOUT_S, lambda: [gateway.pid for gateway in world.gateways])
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        for gateway in world.gateways:
            while not await _is_ready(session, gateway.readiness):
                if limit.is_over():
                    raise GatewaysNotReadyError(
                        f"gateway {gateway.number} not ready within {READY_TIMEOUT_S:g} s, "
                        f"{limit.describe()}; see {gateway.log}"
                    )
                await asyncio.sleep(0.05)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def _monitor_gateways(world: World, stalls: StallWatch) -> None:
    while True:
        due = time.monotonic() + MONITOR_INTERVAL_S
        await asyncio.sleep(MONITOR_INTERVAL_S)
        world.record.longest_stall_s = max(world.record.longest_stall_s, time.monotonic() - due)
        stalls.check()
        for gateway in world.gateways:
            if gateway.has_exited and gateway.number not in world.record.exited_gateways:
                world.record.exited_gateways.append(gateway.number)


def _evaluate(settings: SoakSettings, record: Record, folder: Path) -> Result:
    found = {promise.name: list(promise.find_breaches(record)) for promise in PROMISES}
    unjudged = {promise.name: promise.explain_unjudged(record) for promise in PROMISES}
    return Result(
        settings,
        {name: lines for name, lines in found.items() if lines},
        {name: reason for name, reason in unjudged.items() if reason},
        len(record.requests),
        sum(r.whole and r.status == 200 for r in record.requests.values()),
        TakeUps.measure(record),
        PromptReads.measure(record),
        record.longest_stall_s,
        folder,
    )


__all__ = ["GatewaysNotReadyError", "Result", "run_soak"]
