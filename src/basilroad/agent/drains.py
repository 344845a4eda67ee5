"""Which endpoints of a host get no new work, and what becomes of the work there."""

from __future__ import annotations

import asyncio
import logging
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
    """What drains need of their agent.

    :param settings: the daemon's settings
    :param options: their agent part
    :param store: settings in force
    :param drivers: the endpoints, by name
    """

    settings: DaemonSettings
    options: AgentSettings
    store: SettingsStore
    drivers: dict[str, EngineDriver | PlainDriver]

    @property
    def links(self) -> Iterable[EntryLink]:
        """:return: streams of the entries."""

    def announce(self) -> None:
        """Send the endpoints' state to all entries."""


class Drains:
    """Drains what the settings, the platform's list of hosts or a planned stop tell.

    :param agent: the process
    """

    def __init__(self, agent: DrainContext) -> None:
        self._agent = agent
        self._stopping = False

    def apply(self) -> None:
        """Drain what is to leave now, and nothing else."""
        drains = self._agent.store.view.drains
        host_leaves = self._stopping or self._agent.settings.host in drains
        host_leaves = host_leaves or any(link.host_leaving for link in self._agent.links)
        for name, driver in self._agent.drivers.items():
            leaving = host_leaves or name in drains
            if leaving != driver.draining:
                self._set(name, leaving)

    def leave(self) -> None:
        """Drain all endpoints, since the process stops."""
        self._stopping = True
        self.apply()

    def _set(self, name: str, leaving: bool) -> None:
        driver = self._agent.drivers[name]
        driver.draining = leaving
        decision = Decision(what="drain", chosen=name, reason="leaving" if leaving else "back")
        log_decision(_LOGGER, decision)
        self._agent.announce()
        if leaving and isinstance(driver, EngineDriver):
            driver.add_future(self._move_after_limit(driver))
        elif isinstance(driver, EngineDriver):
            driver.grant()

    async def _move_after_limit(self, driver: EngineDriver) -> None:
        await asyncio.sleep(self._read_limit(driver.settings.name))
        if not driver.draining:
            return
        for run in list(driver.slots.running):
            driver.cancel(run, FailReason.MOVED)

    def _read_limit(self, name: str) -> float:
        drains = self._agent.store.view.drains
        drain = drains.get(name) or drains.get(self._agent.settings.host)
        return drain.limit_s if drain is not None else self._agent.options.drain_limit_s


__all__ = ["Drains"]
