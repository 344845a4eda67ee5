"""Pools of connections, with those that are idle."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from basilroad.http.channels import POOL_IDLE_LIMIT_S, Channel
from basilroad.http.messages import ConnectError
from basilroad.timelimit import TimeLimit

if TYPE_CHECKING:
    from basilroad.peers.address import Address

CONNECT_TIMEOUT_S = 0.35
"""Connect timeout: several round trips of 40 ms between regions, and less than the longest gap
allowed in a stream."""


class IdleChannels:
    """Idle connections to one server."""

    def __init__(self) -> None:
        self._channels: list[Channel] = []

    def take(self, idle_limit_s: float, request_id: str | None = None) -> Channel | None:
        """Take a connection for the next request.

        :param idle_limit_s: longest idle time of the connection in seconds
        :param request_id: id of the request, which the connection must not have carried before;
            ``None`` if a late response to an earlier one does no harm
        :return: a connection without a request in progress; ``None`` if there is none
        """
        now = time.monotonic()
        for channel in reversed(self._channels.copy()):
            idle_s = now - channel.idle_since
            if not channel.usable or idle_s >= channel.idle_limit_s:
                self._channels.remove(channel)
                channel.close()
            elif idle_s >= idle_limit_s:
                return None
            elif request_id is None or not channel.has_carried(request_id):
                self._channels.remove(channel)
                return channel
        return None

    def keep(self, channel: Channel) -> None:
        """Return a connection after its response was read completely.

        :param channel: the connection
        """
        if channel.usable:
            self._channels.append(channel)

    def close(self) -> None:
        """Abort all idle connections."""
        channels, self._channels = self._channels, []
        for channel in channels:
            channel.close()


class ChannelPool:
    """Connections to one endpoint.

    :param address: address of the endpoint
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle = IdleChannels()
        self.opened = 0

    async def open(
        self, idle_limit_s: float = POOL_IDLE_LIMIT_S, request_id: str | None = None
    ) -> Channel:
        """Reuse an idle connection or open a new one.

        :param idle_limit_s: longest idle time of a reused connection in seconds; 0 for a new one
        :param request_id: id of the request, which the connection must not have carried before;
            ``None`` if a late response to an earlier one does no harm
        :return: a connection without a request in progress
        :raises ConnectError: no connection could be opened
        """
        channel = self._idle.take(idle_limit_s, request_id)
        if channel is not None:
            return channel
        return await self._connect()

    def keep(self, channel: Channel) -> None:
        """Return a connection to the pool after its response was read completely.

        :param channel: the connection
        """
        self._idle.keep(channel)

    def close(self) -> None:
        """Abort all idle connections."""
        self._idle.close()

    async def _connect(self) -> Channel:
        loop = asyncio.get_running_loop()
        try:
            async with TimeLimit(CONNECT_TIMEOUT_S):
                _, channel = await loop.create_connection(
                    Channel, self._address.ip, self._address.port
                )
        except Exception as error:
            # for a connection that can't be opened, asyncio raises others than OSError too
            raise ConnectError(repr(error)) from error
        self.opened += 1
        return channel


__all__ = ["CONNECT_TIMEOUT_S", "ChannelPool", "IdleChannels"]
