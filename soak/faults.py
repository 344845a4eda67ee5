"""Brings faults about."""

from __future__ import annotations

import asyncio
import time
from functools import singledispatch

from soak.link import Link
from soak.records import Happening
from soak.schedule import (
    STORE_LINK,
    CrashEndpoint,
    DelayLink,
    DrainEndpoint,
    Fault,
    ForgetHistory,
    HoldLink,
    KillGateway,
    MoveRoute,
    PauseGateway,
    ReloadGateway,
    ResetLink,
    SpoilAnswers,
    StopGateway,
    StoreOutage,
    TakeKey,
)
from soak.world import World

DELAY_S = 0.15
"""Seconds by which bytes of a slow link come later; most of the time in which an engine has to
answer a probe."""


async def run_fault(world: World, fault: Fault) -> None:
    """Bring a fault about and note when it took place.

    :param world: the deployment
    :param fault: what happens
    """
    began = time.monotonic()
    try:
        await inject(fault, world)
    finally:
        world.record.happenings.append(Happening(fault, began, time.monotonic()))


@singledispatch
async def inject(fault: Fault, world: World) -> None:
    """Bring a fault about, until it has ended.

    :param fault: what happens
    :param world: the deployment
    """
    raise TypeError(f"no way to bring about {fault!r} in {world!r}")


@inject.register
async def _(fault: KillGateway, world: World) -> None:
    await world.gateways[fault.target].kill(fault.for_s)


@inject.register
async def _(fault: PauseGateway, world: World) -> None:
    await world.gateways[fault.target].pause(fault.for_s)


@inject.register
async def _(fault: StopGateway, world: World) -> None:
    world.record.stops_s.append(await world.gateways[fault.target].stop())


@inject.register
async def _(fault: ReloadGateway, world: World) -> None:
    world.gateways[fault.target].reload()


@inject.register
async def _(fault: DelayLink, world: World) -> None:
    link = _find_link(world, fault.link, fault.target)
    link.delay_s = DELAY_S
    await asyncio.sleep(fault.for_s)
    link.delay_s = 0.0


@inject.register
async def _(fault: HoldLink, world: World) -> None:
    link = _find_link(world, fault.link, fault.target)
    link.holds_requests |= fault.to_target
    link.holds_answers |= fault.from_target
    await asyncio.sleep(fault.for_s)
    link.heal()


@inject.register
async def _(fault: ResetLink, world: World) -> None:
    _find_link(world, fault.link, fault.target).reset()


@inject.register
async def _(fault: StoreOutage, world: World) -> None:
    world.store.silent |= fault.silent
    world.store.refusing = 0 if fault.silent else 503
    await asyncio.sleep(fault.for_s)
    world.store.silent, world.store.refusing = False, 0


@inject.register
async def _(_fault: ForgetHistory, world: World) -> None:
    world.store.history_from = world.store.revision + 1


@inject.register
async def _(fault: CrashEndpoint, world: World) -> None:
    await world.crash(fault.target, fault.for_s)


@inject.register
async def _(fault: DrainEndpoint, world: World) -> None:
    await world.drain(fault.target)


@inject.register
async def _(fault: SpoilAnswers, world: World) -> None:
    world.endpoints[fault.target].server.schedule_faults(fault.faults)


@inject.register
async def _(fault: TakeKey, world: World) -> None:
    world.take_key(fault.target)


@inject.register
async def _(_fault: MoveRoute, world: World) -> None:
    world.move_route()


def _find_link(world: World, kind: str, number: int) -> Link:
    return world.store_links[number] if kind == STORE_LINK else world.endpoints[number].link


__all__ = ["inject", "run_fault"]
