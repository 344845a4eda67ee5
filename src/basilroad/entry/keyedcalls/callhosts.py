"""Hosts whose agents may have run keyed calls, as recorded in the table."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from basilroad.coordination.table import TableError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from basilroad.coordination.hostrecords import HostRecords
    from basilroad.entry.links.link import AgentLink

CALL_HOSTS_READ_INTERVAL_S = 30.0
"""Seconds between reads of the recorded hosts."""

GONE_AGENT_WINDOW_S = 600.0
"""Seconds for which an agent that can't be asked may have run an earlier call."""

_LOGGER = logging.getLogger(__name__)


class CallHosts:
    """Finds which hosts may have run a keyed call, beside those that are linked.

    :param records: records of all hosts
    :param list_links: returns the links to all known agents
    """

    def __init__(
        self, records: HostRecords, list_links: Callable[[], Collection[AgentLink]]
    ) -> None:
        self.tried = asyncio.Event()
        """Set after the first read."""
        self._records = records
        self._list_links = list_links
        # monotonic time of the first read that contained a host
        self._found_s: dict[str, float] | None = None

    async def read(self) -> None:
        """Read the records once."""
        try:
            hosts = await self._records.list_hosts()
        except TableError as error:
            _LOGGER.info("could not read which hosts ran calls: %s", error)
        else:
            now = time.monotonic()
            found_s = self._found_s or {}
            self._found_s = {host: found_s.get(host, now) for host in hosts}
        finally:
            self.tried.set()

    def may_have_run(self, link: AgentLink) -> bool:
        """:return: whether a linked agent, or an earlier one of its host, may have run calls."""
        if time.monotonic() - link.restarted_s < GONE_AGENT_WINDOW_S:
            return True
        return link.hello is None or link.hello.host in (self._found_s or {})

    def are_linked(self) -> bool:
        """:return: whether there is a link to each host that may have run a call lately."""
        if self._found_s is None:
            return False
        linked = {link.hello.host for link in self._list_links() if link.hello is not None}
        since_s = time.monotonic() - GONE_AGENT_WINDOW_S
        return all(host in linked or found_s <= since_s for host, found_s in self._found_s.items())


__all__ = ["CALL_HOSTS_READ_INTERVAL_S", "GONE_AGENT_WINDOW_S", "CallHosts"]
