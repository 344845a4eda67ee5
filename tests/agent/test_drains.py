"""Limits of drains."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

from basilroad.agent.drains import Drains
from basilroad.agent.enginedriver import EngineDriver
from basilroad.peers.failreason import FailReason
from support.timelimit import limit_time

LIMIT_S = 0.5


def build_driver() -> Mock:
    """:return: driver of an engine with one run."""
    driver = Mock(spec=EngineDriver)
    driver.draining = False
    driver.settings = SimpleNamespace(name="e")
    driver.slots = SimpleNamespace(running=["run"])
    driver.add_future = asyncio.ensure_future
    return driver


def build_agent(driver: Mock, drains: dict[str, object]) -> SimpleNamespace:
    """:return: what drains use of an agent."""
    return SimpleNamespace(
        settings=SimpleNamespace(host="h"),
        options=SimpleNamespace(drain_limit_s=LIMIT_S),
        store=SimpleNamespace(view=SimpleNamespace(drains=drains)),
        drivers={"e": driver},
        links=(),
        announce=lambda: None,
    )


# fault: the timer of a drain that had ended moved the runs of the next one before its limit
async def test_a_second_drain_has_its_own_limit() -> None:
    driver = build_driver()
    in_force: dict[str, object] = {"e": SimpleNamespace(limit_s=LIMIT_S)}
    drains = Drains(build_agent(driver, in_force))
    drains.apply()
    await asyncio.sleep(0.6 * LIMIT_S)
    in_force.clear()
    drains.apply()
    in_force["e"] = SimpleNamespace(limit_s=20 * LIMIT_S)
    drains.apply()
    await asyncio.sleep(2 * LIMIT_S)
    driver.cancel.assert_not_called()


# guards against a limit that no drain keeps
async def test_the_runs_of_a_drain_are_moved_at_its_limit() -> None:
    driver = build_driver()
    Drains(build_agent(driver, {})).drain_all()
    async with limit_time(20 * LIMIT_S):
        while not driver.cancel.called:
            await asyncio.sleep(0.01)
    driver.cancel.assert_called_once_with("run", FailReason.MOVED)
