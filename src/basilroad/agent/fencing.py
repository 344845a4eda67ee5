"""Highest fencing number that a host knows for the orders to one engine."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fence import FenceGuard
from basilroad.coordination.leaserow import read_lease
from basilroad.coordination.table import ABSENT, Table, TableError

if TYPE_CHECKING:
    from basilroad.settings.daemon import EndpointSettings

PLANNER_LEASE = "leases/placement"
"""Row of the table that holds the planner's lease."""

_LOGGER = logging.getLogger(__name__)


class FenceSource(Protocol):
    """Tells the planner's fencing number after a start."""

    async def read(self) -> int | None:
        """:return: a number that no later order may be below; ``None`` if it can't be told."""


class LeaseFence:
    """Reads the planner's fencing number from its lease.

    :param table: the platform's table; ``None`` if there is none
    """

    def __init__(self, table: Table | None) -> None:
        self._table = table

    async def read(self) -> int | None:
        """:return: a number that no later order may be below; ``None`` if it can't be told."""
        if self._table is None:
            return None
        try:
            lease = read_lease(await self._table.read(PLANNER_LEASE))
            if lease is not None:
                return lease.fence
            # a lease without a row begins above the table's revision
            return (await self._table.changes(PLANNER_LEASE, ABSENT)).revision
        except TableError as error:
            _LOGGER.info("fencing number not read: %s", error)
            return None


class EngineFence:
    """Refuses orders of former planners to one engine; refuses all until a number is known.

    :param settings: the endpoint
    :param source: asked until it tells a number
    """

    def __init__(self, settings: EndpointSettings, source: FenceSource) -> None:
        self._settings = settings
        self._source = source
        self._guard = FenceGuard()
        self.known = False

    @property
    def highest(self) -> int:
        """:return: the highest number known; 0 while none is."""
        return self._guard.highest(self._settings.name) if self.known else 0

    def admit(self, number: int) -> bool:
        """Check the number of an order.

        :param number: fencing number of who gives it
        :return: whether it may be obeyed
        """
        return self.known and self._guard.admit(self._settings.name, number)

    def hear(self, number: int) -> None:
        """Take the number that the engine itself has kept.

        :param number: as its health tells; 0 if it knows none
        """
        if self._settings.checks_fence and number:
            self._guard.admit(self._settings.name, number)
            self.known = True

    async def learn(self) -> bool:
        """Ask for the number, if none is known.

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
