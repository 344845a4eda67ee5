"""Access of the commands to the platform's table and host list."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated, TypeVar

import typer

from basilroad.backing.hosts import HostListError
from basilroad.cli.exits import Exit, fail
from basilroad.coordination.table import TableError
from basilroad.settings.tables import ClosableTable

if TYPE_CHECKING:
    from basilroad.backing.hosts import ListedHost

TIMEOUT_S = 5.0
"""Time limit of each request to the platform, in seconds."""

Platform = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="BASILROAD_PLATFORM",
        help="Base URL of the platform, with an IP address.",
    ),
]

T = TypeVar("T")


def open_table(url: str) -> ClosableTable:
    """:return: the table of the platform at this URL."""
    from basilroad.backing.table import HttpTable

    return HttpTable(url, TIMEOUT_S)


async def read_hosts(url: str) -> tuple[ListedHost, ...]:
    """Read the list of hosts from the platform.

    :param url: base URL of the platform
    :return: the listed hosts
    :raises HostListError: the list could not be read
    """
    from basilroad.backing.hosts import HttpHostList

    hosts = HttpHostList(url, TIMEOUT_S)
    try:
        return await hosts.read()
    finally:
        await hosts.close()


def query_table(url: str, query: Callable[[ClosableTable], Awaitable[T]]) -> T:
    """Run a query on the table; exits if the platform is unavailable.

    :param url: base URL of the platform
    :param query: called with the open table; returns an awaitable
    :return: result of the query
    """

    async def run_query() -> T:
        table = open_table(url)
        try:
            return await query(table)
        finally:
            await table.close()

    try:
        return asyncio.run(run_query())
    except (HostListError, TableError, TimeoutError) as error:
        fail(Exit.UNAVAILABLE, f"the platform is unavailable: {error}")


__all__ = ["TIMEOUT_S", "Platform", "open_table", "query_table", "read_hosts"]
