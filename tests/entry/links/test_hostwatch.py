"""Tests of agent discovery from the platform's host list."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace

from basilroad.backing.hosts import HostListError, ListedHost
from basilroad.entry.links.hostwatch import HostWatch
from basilroad.peers.address import Address, parse_address


class Listing:
    """A host list that can be made unavailable."""

    def __init__(self, *hosts: ListedHost) -> None:
        self.hosts = hosts
        self.unavailable = False

    async def read(self) -> tuple[ListedHost, ...]:
        if self.unavailable:
            raise HostListError("unavailable")
        return self.hosts


def list_host(name: str, role: str, port: int, leaving: bool = False) -> ListedHost:
    return ListedHost(name, role, "baltic", "riga-a", f"127.0.0.1:{port}", leaving)


def build_link(
    mark_leaving: Callable[[bool], None] = lambda _: None,
    mark_listed: Callable[[bool], None] = lambda _: None,
) -> SimpleNamespace:
    return SimpleNamespace(mark_leaving=mark_leaving, mark_listed=mark_listed)


async def test_new_agents_are_connected_and_leaving_ones_marked() -> None:
    marked: list[bool] = []
    links = {parse_address("127.0.0.1:1"): build_link(marked.append)}
    connected: list[Address] = []

    async def connect(address: Address) -> None:
        connected.append(address)

    listing = Listing(
        list_host("a", "agent", 1, leaving=True),
        list_host("b", "agent", 2),
        list_host("c", "agent", 3, leaving=True),
        list_host("d", "entry", 4),
    )
    watch = HostWatch(listing, links, connect)
    await watch.read()
    assert connected == [parse_address("127.0.0.1:2")]
    assert marked == [True]
    listing.unavailable = True
    await watch.read()
    assert marked == [True]


async def test_agents_are_marked_that_are_no_longer_listed() -> None:
    marked: list[bool] = []
    links = {parse_address("127.0.0.1:1"): build_link(mark_listed=marked.append)}

    async def connect(_: Address) -> None:
        """Connect to nothing."""

    listing = Listing(list_host("a", "agent", 1))
    watch = HostWatch(listing, links, connect)
    await watch.read()
    listing.hosts = (list_host("a", "entry", 1),)
    await watch.read()
    listing.unavailable = True
    await watch.read()
    assert marked == [True, False]
