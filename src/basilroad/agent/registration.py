"""Registration of an agent before it runs claimed calls."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from mode import Service

from basilroad.agent.keymemory import RETAIN_S
from basilroad.coordination.hostrecords import HostRecords
from basilroad.coordination.table import TableError

RETRY_INTERVAL_S = 0.5
"""Seconds between attempts while the table does not answer."""

_LOGGER = logging.getLogger(__name__)


class AgentRegistration(Service):
    """Records the host, and reports whether an earlier agent there may have run calls.

    :param records: records of all hosts; ``None`` without a table, where calls are not claimed
    :param host: name of this host
    :param incarnation: identifies this run of the process
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        records: HostRecords | None,
        host: str,
        incarnation: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.tried = asyncio.Event()
        """Set after the first attempt."""
        self._records = records
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._started_s = clock()
        self._registered = asyncio.Event()
        self._is_first = False

    @property
    def knows_all_calls(self) -> bool:
        """:return: whether no earlier agent of this host ran a call within ``RETAIN_S``."""
        return self._is_first or self._clock() - self._started_s >= RETAIN_S

    async def await_registered(self, timeout_s: float) -> bool:
        """Wait until claimed calls may run.

        :param timeout_s: timeout in seconds
        :return: whether they may
        """
        if self._records is None or self._registered.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._registered.wait()
        except TimeoutError:
            return False
        return True

    async def register(self) -> bool:
        """Try to record the host once.

        :return: whether it is recorded
        """
        assert self._records is not None
        try:
            self._is_first = await self._records.add(self._host, self._incarnation)
        except TableError as error:
            _LOGGER.info("host not recorded yet: %s", error)
            return False
        finally:
            self.tried.set()
        self._registered.set()
        return True

    @Service.task
    async def _run(self) -> None:
        if self._records is None:
            self.tried.set()
            return
        while not self.should_stop and not await self.register():
            await self.sleep(RETRY_INTERVAL_S)


__all__ = ["AgentRegistration"]
