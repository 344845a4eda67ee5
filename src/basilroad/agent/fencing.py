"""Fencing of placement commands to one engine."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fence import FenceGuard
from basilroad.coordination.leaserow import read_lease
from basilroad.coordination.table import ABSENT, Table, TableError

if TYPE_CHECKING:
    from basilroad.settings.daemon import EndpointSettings

PLANNER_LEASE = "leases/placement"
"""Key of the table row that holds the planner's lease."""

_LOGGER = logging.getLogger(__name__)


class FenceSource(Protocol):
    """Provides the planner's fencing number after an agent start."""

    async def read(self) -> int | None:
        """:return: lower bound for the fence of later commands; ``None`` if it can't be read."""


class LeaseFence:
    """Reads the planner's fencing number from its lease.

    :param table: the platform's table; ``None`` if no platform is configured
    """

    def __init__(self, table: Table | None) -> None:
        self._table = table

    async def read(self) -> int | None:
        """:return: lower bound for the fence of later commands; ``None`` if it can't be read."""
        if self._table is None:
            return None
        try:
            lease = read_lease(await self._table.read(PLANNER_LEASE))
            if lease is not None:
                return lease.fence
            # without a row, the next lease gets a fence above the table's current revision
            return (await self._table.changes(PLANNER_LEASE, ABSENT)).revision
        except TableError as error:
            _LOGGER.info("fencing number not read: %s", error)
            return None


class EngineFence:
    """Refuses commands of former planners to one engine; refuses all until a number is known.

    :param settings: the endpoint
    :param source: read until it provides a number
    """

    def __init__(self, settings: EndpointSettings, source: FenceSource) -> None:
        self._settings = settings
        self._source = source
        self._guard = FenceGuard()
        self.known = False

    @property
    def highest(self) -> int:
        """:return: the highest known number; 0 if none is known."""
        return self._guard.highest(self._settings.name) if self.known else 0

    def admit(self, number: int) -> bool:
        """Check the fencing number of a command.

        :param number: fencing number of the planner that sent it
        :return: whether it may be executed
        """
        return self.known and self._guard.admit(self._settings.name, number)

    def record_reported_fence(self, number: int) -> None:
        """Record the number that the engine reports, if the engine checks fences.

        :param number: from its health response; 0 if it has none
        """
        if self._settings.checks_fence and number:
            self._guard.admit(self._settings.name, number)
            self.known = True

    async def fetch_fence(self) -> bool:
        """Read the number from the source, if none is known.

        :return: whether one has become known
        """
        if self.known:
            return False
        number = await self._source.read()
        if number is None:
            return False
        self._guard.admit(self._settings.name, number)
        self.known = True
        return True


__all__ = ["PLANNER_LEASE", "EngineFence", "FenceSource", "LeaseFence"]
