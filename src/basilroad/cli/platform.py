"""Ask the platform's table from a command."""

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
"""Seconds for each request to the platform."""

Platform = Annotated[
    str,
    typer.Option(
        "--platform", envvar="BASILROAD_PLATFORM", help="Base URL of the platform, by IP number."
    ),
]

T = TypeVar("T")


def open_table(url: str) -> ClosableTable:
    """:return: the table of the platform at a URL."""
    from basilroad.backing.table import HttpTable

    return HttpTable(url, TIMEOUT_S)


async def read_hosts(url: str) -> tuple[ListedHost, ...]:
    """Ask the platform which hosts there are.

    :param url: base URL of the platform
    :return: the hosts that are listed
    :raises HostListError: the list could not be read
    """
    from basilroad.backing.hosts import HttpHostList

    hosts = HttpHostList(url, TIMEOUT_S)
    try:
        return await hosts.read()
    finally:
        await hosts.close()


def ask_table(url: str, question: Callable[[ClosableTable], Awaitable[T]]) -> T:
    """Ask the table, or tell that it is unavailable and exit.

    :param url: base URL of the platform
    :param question: asks what is wanted of an open table
    :return: its answer
    """

    async def ask() -> T:
        table = open_table(url)
        try:
            return await question(table)
        finally:
            await table.close()

    try:
        return asyncio.run(ask())
    except (HostListError, TableError, TimeoutError) as error:
        fail(Exit.UNAVAILABLE, f"the platform is unavailable: {error}")


__all__ = ["TIMEOUT_S", "Platform", "ask_table", "open_table", "read_hosts"]
