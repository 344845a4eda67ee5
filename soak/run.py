"""One run: traffic, faults, calm, and what was found."""

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
from soak.faults import run_fault
from soak.promises import PROMISES
from soak.records import Happening, Record
from soak.schedule import Fault, Schedule
from soak.settings import CONTACT_S, SoakSettings
from soak.world import World

READY_S = 20.0
"""Seconds for all gateways to be ready; a start takes about one."""

CALM_S = CONTACT_S + 2.0
"""Seconds of traffic after the last fault."""

WATCH_S = 0.2


@attrs.frozen
class Result:
    """What a run showed.

    :param settings: the run
    :param breaches: by name of the promise
    :param requests: how many were sent
    :param served: how many had a whole success
    :param folder: logs of the gateways, kept if a promise was broken
    """

    settings: SoakSettings
    breaches: dict[str, list[str]]
    requests: int
    served: int
    folder: Path


class GatewaysNotReadyError(Exception):
    """The gateways did not become ready."""


async def run_soak(settings: SoakSettings) -> Result:
    """Play one run.

    :param settings: the run
    :return: what it showed
    :raises GatewaysNotReadyError: there was nothing to ask
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{settings.seed}-"))
    world = World(settings, folder)
    await world.start()
    try:
        await _wait_ready(world)
        await _play(world, Schedule(settings).draw())
    finally:
        await world.close()
    result = _judge(settings, world.record, folder)
    if not result.breaches:
        shutil.rmtree(folder)
    return result


async def _play(world: World, faults: list[Fault]) -> None:
    stop = asyncio.Event()
    seeds = random.Random(world.settings.seed + 1)
    callers = [Caller(world, random.Random(seeds.random())) for _ in range(world.settings.callers)]
    asking = [asyncio.ensure_future(caller.run(stop)) for caller in callers]
    watching = asyncio.ensure_future(_watch(world))
    try:
        await _run_faults(world, faults)
        await _wait_ready(world)
        await asyncio.sleep(CALM_S)
        stop.set()
        await asyncio.gather(*asking)
    finally:
        watching.cancel()
        for task in asking:
            task.cancel()


async def _run_faults(world: World, faults: list[Fault]) -> None:
    started = time.monotonic()
    running = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        running.append(asyncio.ensure_future(run_fault(world, fault)))
    await asyncio.gather(*running)
    world.heal()
    # the starts that the last faults caused are part of them
    await _wait_ready(world)
    now = time.monotonic()
    world.record.happenings += [Happening(fault, now, now) for fault in faults[-1:]]


async def _wait_ready(world: World) -> None:
    until = time.monotonic() + READY_S
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        for gateway in world.gateways:
            while not await _is_ready(session, gateway.readiness):
                if time.monotonic() > until:
                    raise GatewaysNotReadyError(f"see {gateway.log}")
                await asyncio.sleep(0.05)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def _watch(world: World) -> None:
    while True:
        await asyncio.sleep(WATCH_S)
        for gateway in world.gateways:
            if gateway.has_ended and gateway.number not in world.record.ended:
                world.record.ended.append(gateway.number)


def _judge(settings: SoakSettings, record: Record, folder: Path) -> Result:
    found = {promise.name: list(promise.find_breaches(record)) for promise in PROMISES}
    return Result(
        settings,
        {name: lines for name, lines in found.items() if lines},
        len(record.requests),
        sum(r.whole and r.status == 200 for r in record.requests.values()),
        folder,
    )


__all__ = ["GatewaysNotReadyError", "Result", "run_soak"]
