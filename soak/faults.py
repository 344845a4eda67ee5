"""Injection of faults into the deployment."""

from __future__ import annotations

import asyncio
import time
from functools import singledispatch

from basilroad.standin.appserver import WireFault
from soak.link import Link
from soak.records import InjectedFault
from soak.releaseschedule import (
    KillAllGateways,
    ReleaseEndpoint,
    RestartEndpoint,
    SilenceEndpoint,
)
from soak.schedule import (
    STORE_LINK,
    AskForPause,
    CorruptResponses,
    CrashEndpoint,
    DelayLink,
    DrainEndpoint,
    DropStoreHistory,
    Fault,
    HoldLink,
    KillGateway,
    LeaveUnlisted,
    MoveRoute,
    NameLimit,
    PauseGateway,
    ReloadGateway,
    ResetLink,
    RestoreStore,
    RevokeKey,
    StopGateway,
    StoreOutage,
)
from soak.world import World

LINK_DELAY_S = 0.15
"""Seconds by which a slow link delays bytes in each direction; equal to ``PROBE_TIMEOUT_S``."""


async def run_fault(world: World, fault: Fault) -> None:
    """Inject a fault and record when it took place.

    :param world: the deployment
    :param fault: the fault to inject
    """
    began = time.monotonic()
    try:
        await inject(fault, world)
    finally:
        world.record.injected_faults.append(InjectedFault(fault, began, time.monotonic()))


@singledispatch
async def inject(fault: Fault, world: World) -> None:
    """Inject a fault and return when it has ended.

    :param fault: the fault to inject
    :param world: the deployment
    """
    raise TypeError(f"no injector for fault {fault!r} in {world!r}")


@inject.register
async def _(fault: KillGateway, world: World) -> None:
    await world.gateways[fault.target].kill(fault.duration_s)


@inject.register
async def _(fault: KillAllGateways, world: World) -> None:
    await asyncio.gather(*(one.kill_at_once(fault.duration_s) for one in world.gateways))


@inject.register
async def _(fault: PauseGateway, world: World) -> None:
    await world.gateways[fault.target].pause(fault.duration_s)


@inject.register
async def _(fault: StopGateway, world: World) -> None:
    world.record.stops.append(await world.gateways[fault.target].stop())


@inject.register
async def _(fault: ReloadGateway, world: World) -> None:
    world.gateways[fault.target].reload()


@inject.register
async def _(fault: DelayLink, world: World) -> None:
    link = _find_link(world, fault.link, fault.target)
    link.delay_s = LINK_DELAY_S
    await asyncio.sleep(fault.duration_s)
    link.delay_s = 0.0


@inject.register
async def _(fault: HoldLink, world: World) -> None:
    link = _find_link(world, fault.link, fault.target)
    link.holds_requests |= fault.to_target
    link.holds_answers |= fault.from_target
    await asyncio.sleep(fault.duration_s)
    link.heal()


@inject.register
async def _(fault: ResetLink, world: World) -> None:
    _find_link(world, fault.link, fault.target).reset()


@inject.register
async def _(fault: StoreOutage, world: World) -> None:
    world.store.silent |= fault.silent
    world.store.refusing = 0 if fault.silent else 503
    await asyncio.sleep(fault.duration_s)
    world.store.silent, world.store.refusing = False, 0


@inject.register
async def _(fault: RestoreStore, world: World) -> None:
    await world.writer.restore(
        fault.duration_s, fault.copy_age_s, fault.config_after_s, silent=fault.silent
    )


@inject.register
async def _(_fault: DropStoreHistory, world: World) -> None:
    world.store.history_from = world.store.revision + 1


@inject.register
async def _(fault: CrashEndpoint, world: World) -> None:
    await world.crash(fault.target, fault.duration_s)


@inject.register
async def _(fault: DrainEndpoint, world: World) -> None:
    await world.drain(fault.target)


@inject.register
async def _(fault: ReleaseEndpoint, world: World) -> None:
    await world.drain(fault.target, fault.version)


@inject.register
async def _(fault: RestartEndpoint, world: World) -> None:
    await world.crash(fault.target, fault.duration_s, fault.version, keeps_name=fault.keeps_name)


@inject.register
async def _(fault: SilenceEndpoint, world: World) -> None:
    await world.endpoints[fault.target].server.fall_silent(fault.duration_s)


@inject.register
async def _(fault: CorruptResponses, world: World) -> None:
    world.endpoints[fault.target].server.schedule_faults(fault.faults)


@inject.register
async def _(fault: LeaveUnlisted, world: World) -> None:
    await world.leave(fault.target)


@inject.register
async def _(fault: AskForPause, world: World) -> None:
    server = world.endpoints[fault.target].server
    server.retry_after = f"{fault.duration_s:g}"
    server.schedule_faults([WireFault.PAUSE] * fault.count)
    await asyncio.sleep(fault.duration_s)


@inject.register
async def _(fault: NameLimit, world: World) -> None:
    await world.name_limit(fault.target, fault.per_s, fault.duration_s)


@inject.register
async def _(fault: RevokeKey, world: World) -> None:
    await world.revoke_key(fault.target)


@inject.register
async def _(_fault: MoveRoute, world: World) -> None:
    world.move_route()


def _find_link(world: World, kind: str, number: int) -> Link:
    return world.store_links[number] if kind == STORE_LINK else world.endpoints[number].link


__all__ = ["inject", "run_fault"]
