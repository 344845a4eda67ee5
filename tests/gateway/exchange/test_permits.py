"""Permits for endpoints that named a limit, divided among gateways; no network.

Pattern: an endpoint takes one request a second of a fleet. A bucket of one request for each of 28
hosts is over that limit at once, and an equal share is one request in half a minute for a host
whose callers need more.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest

from basilroad.coordination.permits import MAX_WAIT_S
from basilroad.gateway.exchange.permits import (
    LimitReport,
    Peer,
    PermitExchange,
    PermitReply,
    PermitRequest,
)
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.gateway.registry.limits import RETURN_SPREAD_S, NamedLimit
from basilroad.gateway.registry.notices import NoticeRegister, Source
from basilroad.peers.address import Address
from builders import PLACE, build_entry

WINDOW_S = 4.0
STEP_S = 0.02
SILENT_PEER_S = 3.0
"""Time after which a silent peer is dropped."""


def count_allowed(per_s: float) -> float:
    """:return: requests that an endpoint with this limit tolerates in a window."""
    return 1.5 * per_s * WINDOW_S + 5


class Host:
    """One gateway.

    :param fleet: its fleet
    :param number: its number
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"g{number:02d}"
        self.address = Address("10.0.0.1", 9000 + number)
        self.start()

    def start(self) -> None:
        """Start anew, without knowledge of anything."""
        fleet = self.fleet
        self.started_at, self.up = fleet.now, True
        self.received_at: dict[int, float] = {}
        register = NoticeRegister(random.Random(self.number), clock=lambda: fleet.now)
        directory = Directory(lambda: fleet.now, register)
        directory.put(build_entry("e1"))
        endpoint = directory.get("e1")
        assert endpoint is not None
        self.endpoint: Endpoint = endpoint
        self.permits = PermitExchange(
            self.name,
            PLACE,
            directory,
            self.address,
            list_peers=self.list_peers,
            list_known=lambda: [host.address for host in fleet.hosts if host is not self],
            send=lambda message, address: fleet.deliver(self, address.port - 9000, message),
            generator=random.Random(self.number),
            clock=lambda: fleet.now,
        )

    def list_peers(self) -> dict[str, Peer]:
        hosts = self.fleet.hosts
        return {
            hosts[number].name: Peer(hosts[number].address, "riga-a")
            for number, at in self.received_at.items()
            if self.fleet.now - at < SILENT_PEER_S
        }


class Fleet:
    """Gateways that receive gossip of each other unless a link is cut, and send to one endpoint.

    :param hosts: number of gateways
    :param per_s: limit of the endpoint
    """

    def __init__(self, hosts: int, per_s: float) -> None:
        self.now, self.per_s = 1000.0, per_s
        self.random = random.Random(hosts)
        self.is_cut: Callable[[int, int], bool] = lambda _a, _b: False
        self.arrivals: list[float] = []
        self.messages = 0
        self.hosts: list[Host] = []
        self.hosts += [Host(self, number) for number in range(hosts)]
        self.now += 12.0
        self.exchange_gossip()

    def exchange_gossip(self) -> None:
        """Deliver gossip among all hosts; those that are up also get the limit."""
        for host in self.hosts:
            others = (n for n in range(len(self.hosts)) if n != host.number)
            reachable = [n for n in others if self.hosts[n].up and not self.is_cut(n, host.number)]
            host.received_at.update(dict.fromkeys(reachable, self.now))
            named = NamedLimit(self.per_s, self.now)
            host.endpoint.notices.record_limit(named, Source.ANSWER, self.now)

    def deliver(self, sender: Host, number: int, message: PermitRequest | PermitReply) -> None:
        self.messages += 1
        receiver = self.hosts[number]
        if not receiver.up or not sender.up or self.is_cut(sender.number, number):
            return
        if isinstance(message, PermitReply):
            receiver.permits.take_reply(message)
        else:
            receiver.permits.take_request(message, sender.address)

    async def run(self, seconds: float, demand: Callable[[], int | None]) -> None:
        """Let hosts send what they may.

        :param seconds: length of the run
        :param demand: returns the host that has a call in this step, if any
        """
        received_at = self.now
        for _ in range(round(seconds / STEP_S)):
            if self.now - received_at >= 0.5:
                self.exchange_gossip()
                received_at = self.now
            number = demand()
            if number is not None and self.hosts[number].up:
                await self.send(self.hosts[number])
            self.now += STEP_S

    async def send(self, host: Host) -> None:
        limit = host.endpoint.notices.limit
        if not limit.is_in_force(self.now) or limit.is_refused(self.now):
            # a host that doesn't know of the limit yet sends what it has, which counts elsewhere
            return
        if limit.has_permit(self.now) or await host.permits.acquire(host.endpoint):
            assert limit.take_permit(self.now)
            self.arrivals.append(self.now)

    def find_most(self) -> int:
        """:return: most requests that the endpoint got in some window."""
        most, first = 0, 0
        for last, at in enumerate(self.arrivals):
            while self.arrivals[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most


LIMITS = pytest.mark.parametrize("per_s", [0.3, 1.0, 10.0])


# fault: each host has a bucket of its own, and all together send far more than was named
@LIMITS
@pytest.mark.parametrize("hosts", [1, 4, 28, 68])
async def test_all_hosts_together_stay_within_a_limit_and_use_it(hosts: int, per_s: float) -> None:
    fleet = Fleet(hosts, per_s)
    await fleet.run(20.0, lambda: fleet.random.randrange(hosts))
    assert fleet.find_most() <= count_allowed(per_s)
    assert len(fleet.arrivals) >= 0.7 * per_s * 20.0


# fault: an equal share for each host leaves the limit unused while one of them needs all of it
@LIMITS
async def test_one_host_gets_what_the_others_do_not_need(per_s: float) -> None:
    fleet = Fleet(28, per_s)
    await fleet.run(20.0, lambda: 7)
    assert 0.7 * per_s * 20.0 <= len(fleet.arrivals)
    assert fleet.find_most() <= count_allowed(per_s)


# fault: the host that divides the limit is lost, or starts anew, and two divide it at once
@LIMITS
@pytest.mark.parametrize("hosts", [4, 28])
async def test_a_limit_holds_while_its_grantor_restarts(hosts: int, per_s: float) -> None:
    fleet = Fleet(hosts, per_s)
    for _ in range(3):
        names = fleet.hosts[0].permits.rank_grantors(fleet.hosts[0].endpoint)
        grantor = next(host for host in fleet.hosts if host.name == names[0])
        await fleet.run(3.0, lambda: fleet.random.randrange(hosts))
        grantor.up = False
        known = len(fleet.arrivals)
        await fleet.run(3.0, lambda: fleet.random.randrange(hosts))
        assert len(fleet.arrivals) - known >= 0.15 * per_s * 3.0 - 1
        grantor.start()
        await fleet.run(3.0, lambda: fleet.random.randrange(hosts))
    assert fleet.find_most() <= count_allowed(per_s)


# fault: isolated hosts take themselves for all that there are
@LIMITS
@pytest.mark.parametrize("apart", [1, 2, 14])
async def test_a_limit_holds_during_a_partition_of_the_hosts(apart: int, per_s: float) -> None:
    fleet = Fleet(28, per_s)
    await fleet.run(4.0, lambda: fleet.random.randrange(28))
    fleet.is_cut = lambda a, b: (a < apart) is not (b < apart)
    await fleet.run(10.0, lambda: fleet.random.randrange(28))
    fleet.is_cut = lambda _a, _b: False
    await fleet.run(6.0, lambda: fleet.random.randrange(28))
    assert fleet.find_most() <= count_allowed(per_s)
    assert len(fleet.arrivals) >= 0.3 * per_s * 20.0


# fault: hosts that started while the store was away know no other one, and each takes the limit
@pytest.mark.parametrize("is_known", [True, False])
async def test_a_limit_holds_while_all_hosts_are_isolated(is_known: bool) -> None:
    fleet = Fleet(28, 1.0)
    fleet.is_cut = lambda _a, _b: True
    if not is_known:
        for host in fleet.hosts:
            host.permits.list_known, host.permits.has_roster = tuple, lambda: False
    await fleet.run(20.0, lambda: fleet.random.randrange(28))
    assert fleet.find_most() <= count_allowed(1.0)


# fault: a fleet that has just started has no view of who divides the limit
async def test_a_limit_holds_after_all_hosts_have_restarted() -> None:
    fleet = Fleet(28, 1.0)
    await fleet.run(4.0, lambda: fleet.random.randrange(28))
    for host in fleet.hosts:
        host.start()
    await fleet.run(16.0, lambda: fleet.random.randrange(28))
    assert fleet.find_most() <= count_allowed(1.0)
    later = [at for at in fleet.arrivals if at > fleet.now - 4.0]
    assert len(later) >= 2


# fault: each call of each host asks, and the messages take more than the limit of control traffic
async def test_refused_hosts_ask_about_as_often_as_there_are_permits() -> None:
    fleet = Fleet(28, 1.0)
    await fleet.run(20.0, lambda: fleet.random.randrange(28))
    assert fleet.messages <= 20 * 20


# fault: a reply with an absurd wait takes the endpoint from a host for good
async def test_a_reply_with_an_absurd_wait_is_believed_for_some_seconds_only() -> None:
    fleet = Fleet(4, 1.0)
    first = fleet.hosts[0].permits.rank_grantors(fleet.hosts[0].endpoint)[0]
    asker = next(host for host in fleet.hosts if host.name != first)
    report = LimitReport(1000, 0)
    asker.permits.send = lambda request, _: asker.permits.take_reply(
        PermitReply(request.number, 2**40, report)
    )
    assert not await asker.permits.acquire(asker.endpoint)
    assert not asker.endpoint.notices.limit.is_refused(fleet.now + MAX_WAIT_S)


# fault: a host continues to ask for permits after the limit has ended, as others know
async def test_a_grantor_reports_the_end_of_a_limit() -> None:
    fleet = Fleet(4, 1.0)
    first = fleet.hosts[0].permits.rank_grantors(fleet.hosts[0].endpoint)[0]
    asker = next(host for host in fleet.hosts if host.name != first)
    for host in fleet.hosts:
        if host is not asker:
            ended = NamedLimit(math.inf, fleet.now + 1.0)
            host.endpoint.notices.record_limit(ended, Source.ANSWER, fleet.now)
    fleet.now += 2.0
    assert asker.endpoint.notices.limit.is_in_force(fleet.now + 3600.0)
    assert await asker.permits.acquire(asker.endpoint)
    assert not asker.endpoint.notices.limit.is_in_force(fleet.now + RETURN_SPREAD_S)
