"""Draining of a host's endpoints."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from basilroad.agent.enginedriver import EngineDriver
from basilroad.agent.plaindriver import PlainDriver
from basilroad.logs import Decision, log_decision
from basilroad.peers.failreason import FailReason

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilroad.agent.link import EntryLink
    from basilroad.settings.daemon import AgentSettings, DaemonSettings
    from basilroad.settings.store import SettingsStore

_LOGGER = logging.getLogger(__name__)


class DrainContext(Protocol):
    """Interface of the agent that drains use.

    :param settings: the daemon's settings
    :param options: agent section of these settings
    :param store: settings in force
    :param drivers: drivers of the endpoints, by endpoint name
    """

    settings: DaemonSettings
    options: AgentSettings
    store: SettingsStore
    drivers: dict[str, EngineDriver | PlainDriver]

    @property
    def links(self) -> Iterable[EntryLink]:
        """:return: streams to the entries."""

    def announce(self) -> None:
        """Send the endpoints' state to all entries."""


class Drains:
    """Drains endpoints named by the settings, or all if the host is draining or the agent stops.

    :param agent: the agent
    """

    def __init__(self, agent: DrainContext) -> None:
        self._agent = agent
        self._stopping = False
        self._numbers: Counter[str] = Counter()

    def apply(self) -> None:
        """Start and end drains to match the settings and the host's state."""
        drains = self._agent.store.view.drains
        host_drains = self._stopping or self._agent.settings.host in drains
        host_drains = host_drains or any(link.host_leaving for link in self._agent.links)
        for name, driver in self._agent.drivers.items():
            leaving = host_drains or name in drains
            if leaving != driver.draining:
                self._set_draining(name, leaving)

    def drain_all(self) -> None:
        """Drain all endpoints before the process stops."""
        self._stopping = True
        self.apply()

    def _set_draining(self, name: str, leaving: bool) -> None:
        driver = self._agent.drivers[name]
        driver.draining = leaving
        self._numbers[name] += leaving
        decision = Decision(what="drain", chosen=name, reason="leaving" if leaving else "back")
        log_decision(_LOGGER, decision)
        self._agent.announce()
        if leaving and isinstance(driver, EngineDriver):
            driver.add_future(self._move_after_limit(driver, self._numbers[name]))
        elif isinstance(driver, EngineDriver):
            driver.grant()

    async def _move_after_limit(self, driver: EngineDriver, number: int) -> None:
        name = driver.settings.name
        await asyncio.sleep(self._read_limit(name))
        # a later drain has a limit of its own
        if not driver.draining or self._numbers[name] != number:
            return
        for run in list(driver.slots.running):
            driver.cancel(run, FailReason.MOVED)

    def _read_limit(self, name: str) -> float:
        drains = self._agent.store.view.drains
        drain = drains.get(name) or drains.get(self._agent.settings.host)
        return drain.limit_s if drain is not None else self._agent.options.drain_limit_s


__all__ = ["Drains"]
