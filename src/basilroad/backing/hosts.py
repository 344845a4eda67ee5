"""Client of the platform's host list."""

from __future__ import annotations

from typing import Protocol

import attrs

from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.http.client import HttpClient, HttpError, HttpRequest

OK = 200


class HostListError(Exception):
    """The host list could not be read."""


@attrs.frozen
class ListedHost:
    """One host in the platform's list.

    :param name: name of the host
    :param role: ``entry`` or ``agent``
    :param region: region of the host
    :param data_centre: data centre of the host
    :param address: ``ip:port``; the peer port of an agent, the HTTP port of an entry
    :param leaving: whether the host is about to be removed
    """

    name: str
    role: str
    region: str
    data_centre: str
    address: str
    leaving: bool = False


@attrs.frozen
class HostsAnswer:
    """Response with the list of hosts.

    :param revision: increases with each change of the list
    :param hosts: the hosts
    """

    revision: int
    hosts: tuple[ListedHost, ...]


class HostList(Protocol):
    """List of live and leaving hosts; may be out of date."""

    async def read(self) -> tuple[ListedHost, ...]:
        """:return: the listed hosts.

        :raises HostListError: the list could not be read
        """


class HttpHostList:
    """Client of the host list over HTTP.

    :param url: base URL of the platform
    :param timeout_s: timeout of each request in seconds
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def read(self) -> tuple[ListedHost, ...]:
        """:return: the listed hosts.

        :raises HostListError: the list could not be read
        """
        try:
            response = await self._client.send(HttpRequest("GET", "/hosts"))
        except HttpError as error:
            raise HostListError(str(error)) from error
        if response.status != OK:
            raise HostListError(f"answered {response.status}")
        try:
            return decode_json(response.body, HostsAnswer).hosts
        except DecodeError as error:
            raise HostListError(f"invalid response: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


__all__ = ["HostList", "HostListError", "HostsAnswer", "HttpHostList", "ListedHost"]
