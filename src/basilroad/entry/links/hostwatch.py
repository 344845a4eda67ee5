"""Agent discovery from the platform's host list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from basilroad.backing.hosts import HostListError
from basilroad.peers.address import parse_remote_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from basilroad.backing.hosts import HostList
    from basilroad.entry.links.link import AgentLink
    from basilroad.peers.address import Address

HOSTS_READ_INTERVAL_S = 1.0
"""Interval between reads of the platform's host list."""

_LOGGER = logging.getLogger(__name__)


class HostWatch:
    """Connects to newly listed agents and marks those that are leaving.

    :param hosts: the platform's host list
    :param links: streams to agents
    :param connect: opens and maintains a stream to an agent
    """

    def __init__(
        self,
        hosts: HostList,
        links: Mapping[Address, AgentLink],
        connect: Callable[[Address], Awaitable[AgentLink]],
    ) -> None:
        self._hosts = hosts
        self._links = links
        self._connect = connect

    async def read(self) -> None:
        """Read the list once."""
        try:
            listed = await self._hosts.read()
        except HostListError as error:
            _LOGGER.info("could not read the host list: %s", error)
            return
        addresses: set[Address] = set()
        for host in listed:
            if host.role != "agent":
                continue
            try:
                address = parse_remote_address(host.address)
            except ValueError as error:
                _LOGGER.warning("host skipped", extra={"host": host.name, "detail": str(error)})
                continue
            addresses.add(address)
            if address in self._links:
                self._links[address].mark_leaving(host.leaving)
            elif not host.leaving:
                await self._connect(address)
        for address, link in self._links.items():
            link.mark_listed(address in addresses)


__all__ = ["HOSTS_READ_INTERVAL_S", "HostWatch"]
