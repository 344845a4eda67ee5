"""Division of the limits that endpoints name among gateways.

Each limit has a grantor, the gateway that rendezvous hashing chooses for the endpoint among those
that receive each other's messages, in the endpoint's region if possible. The others ask it for a
permit before each request. If it does not reply, they ask the second one, which gives a smaller
rate; both together stay below what endpoints tolerate. A gateway may be wrong about who the
grantors are if it receives messages of less than half of those that it knows, has not read which
are registered, or has just started. It gives a small share of the limit to itself, and only while
it can ask no other.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING

import attrs
import msgspec

from basilroad.coordination.permits import MAX_WAIT_S, PermitSource
from basilroad.coordination.rendezvous import choose_hosts
from basilroad.gateway.exchange.state import Count, StartTime
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Source

if TYPE_CHECKING:
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.peers.address import Address

GRANTED_SHARES = (0.9, 0.3)
"""Share of a limit that the first and the second grantor give out. Endpoints tolerate one and a
half times their limit, and both are asked while gateways disagree about who is reached."""

ALONE_SHARE = 0.3
"""Share of a limit that all gateways together give themselves while they can ask no other."""

MIN_HOSTS = 10
"""Smallest number of gateways among which that share is divided: those that start while the store
is away know none of the others."""

ASK_TIMEOUT_S = 0.06
"""Time limit of a reply beyond the round trip; calls wait meanwhile."""

SILENT_S = 1.0
"""Time for which a gateway that did not reply is not asked again."""

RETRY_S = 0.5
"""Time after which a gateway asks again that could ask no other."""

MIN_ESTABLISHED_S = 3.0
"""Time after its start from which a gateway grants permits; by then it knows the others."""

MAX_ESTABLISHED_S = 10.0
"""Upper limit of that time in large fleets, in which it takes longer."""

QUICK_START_PEERS = 6
"""Number of other gateways up to which the shortest time is enough."""

MAX_SOURCES = 256
"""Endpoints whose permits are given out; limits are named by few at a time."""

_LOGGER = logging.getLogger(__name__)

MilliPerSecond = Count
"""Requests per 1000 seconds; 0 if no limit was named."""


class LimitReport(msgspec.Struct, array_like=True):
    """What a gateway knows of the limit of an endpoint.

    :param milli_per_s: requests per 1000 seconds; 0 if the newest response named no limit
    :param age_ms: milliseconds since the request of that response was sent
    """

    milli_per_s: MilliPerSecond
    age_ms: Count


class PermitRequest(msgspec.Struct, array_like=True, tag="permit request"):
    """Request for a permit.

    :param host: name of the gateway
    :param number: number of the request in its process
    :param endpoint: id of the endpoint
    :param started_ms: its start time
    :param limit: what the gateway knows of the limit
    """

    host: str
    number: Count
    endpoint: str
    started_ms: StartTime
    limit: LimitReport


class PermitReply(msgspec.Struct, array_like=True, tag="permit"):
    """Reply to a request for a permit.

    :param number: number of the request
    :param wait_ms: milliseconds until the next permit; 0 if one is granted
    :param limit: what the grantor knows of the limit
    :param grantor: name of the gateway to ask in its place; empty if the sender gives permits
    """

    number: Count
    wait_ms: Count
    limit: LimitReport
    grantor: str = ""


@attrs.frozen
class Peer:
    """Another gateway whose messages arrive.

    :param address: its listening address
    :param data_centre: its data centre
    """

    address: Address
    data_centre: str


@attrs.define(eq=False)
class PermitExchange:
    """Asks for permits, and grants them.

    :param host: name of this gateway
    :param place: its location
    :param directory: known endpoints
    :param address: listening address of this gateway
    :param list_peers: returns the other gateways whose messages arrive, by name
    :param list_known: returns the addresses of all other gateways that are known
    :param has_roster: returns whether the registered gateways have been read
    :param send: sends a message to a gateway
    :param generator: random number generator
    :param clock: monotonic seconds
    """

    host: str
    place: Locality
    directory: Directory
    address: Address | None = None
    list_peers: Callable[[], Mapping[str, Peer]] = dict
    list_known: Callable[[], Collection[Address]] = tuple
    has_roster: Callable[[], bool] = lambda: True
    send: Callable[[PermitRequest | PermitReply, Address], None] = lambda _message, _peer: None
    generator: random.Random = attrs.field(factory=random.Random)
    clock: Callable[[], float] = time.monotonic
    _started_at: float = attrs.field()
    _number: int = 0
    _pending: dict[int, asyncio.Future[PermitReply]] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)
    _granted: OrderedDict[tuple[str, int], PermitSource] = attrs.field(factory=OrderedDict)
    _alone: OrderedDict[tuple[str, int], PermitSource] = attrs.field(factory=OrderedDict)

    @_started_at.default
    def _(self) -> float:
        return self.clock()

    # roles

    @property
    def is_established(self) -> bool:
        """:return: whether this gateway knows the others well enough to grant permits."""
        if not self.has_roster():
            return False
        known = {self.address, *self.list_known()}
        needed_s = MIN_ESTABLISHED_S * max(1.0, (len(known) - 1) / QUICK_START_PEERS)
        if self.clock() - self._started_at < min(MAX_ESTABLISHED_S, needed_s):
            return False
        reachable = {self.address, *(peer.address for peer in self.list_peers().values())} & known
        if 2 * len(reachable) == len(known):
            # of two halves of a partition one grants permits
            return min(known, key=str) in reachable
        return 2 * len(reachable) > len(known)

    def rank_grantors(self, endpoint: Endpoint) -> list[str]:
        """Rank the gateways that grant permits for an endpoint.

        :param endpoint: the endpoint
        :return: their names, the first one first
        """
        hosts = {host: peer.data_centre for host, peer in self.list_peers().items()}
        if self.is_established:
            hosts[self.host] = self.place.data_centre
        regions = self.place.regions
        region = regions.get(endpoint.entry.data_centre)
        near = [host for host, at in hosts.items() if regions.get(at) == region]
        return choose_hosts(endpoint.id, near or hosts, len(GRANTED_SHARES))

    # asking

    async def acquire(self, endpoint: Endpoint) -> bool:
        """Ask for a permit for one request to an endpoint, which keeps it.

        :param endpoint: the endpoint, which has named a limit
        :return: whether it was granted
        """
        limit, now = endpoint.notices.limit, self.clock()
        for host in self.rank_grantors(endpoint):
            if host == self.host:
                wait_s: float | None = self._grant(endpoint, self.host)
            elif now < self._silent_until.get(host, -math.inf):
                continue
            else:
                wait_s = await self._ask(endpoint, host)
            if wait_s is not None:
                break
        else:
            wait_s = self._take_alone(endpoint)
        now = self.clock()
        if wait_s == 0:
            limit.add_permit(now)
            return True
        limit.record_refused(wait_s, now)
        _LOGGER.debug(
            "permit refused",
            extra={"endpoint": endpoint.id, "wait_ms": round(1000 * wait_s)},
        )
        return False

    async def _ask(self, endpoint: Endpoint, host: str) -> float | None:
        reply = await self._exchange(endpoint, host)
        if reply is not None and reply.grantor not in ("", host, self.host):
            # the other knows more gateways than this one, or fewer
            host = reply.grantor
            reply = await self._exchange(endpoint, host) if host in self.list_peers() else None
        if reply is None or reply.grantor:
            return None
        return min(MAX_WAIT_S, reply.wait_ms / 1000)

    async def _exchange(self, endpoint: Endpoint, host: str) -> PermitReply | None:
        peer = self.list_peers().get(host)
        if peer is None:
            return None
        self._number += 1
        number, entry = self._number, endpoint.entry
        reply: asyncio.Future[PermitReply] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        report = self._build_report(endpoint)
        request = PermitRequest(self.host, number, entry.id, entry.started_ms, report)
        timeout_s = ASK_TIMEOUT_S + 2 * self.place.distance_s(peer.data_centre)
        try:
            self.send(request, peer.address)
            async with asyncio.timeout(timeout_s):
                received = await reply
        except TimeoutError:
            self._silent_until[host] = self.clock() + SILENT_S
            _LOGGER.info("grantor silent", extra={"peer": host, "endpoint": endpoint.id})
            return None
        finally:
            del self._pending[number]
        self._apply(endpoint, received.limit)
        return received

    def take_reply(self, reply: PermitReply) -> None:
        """Give a reply to the request that waits for it.

        :param reply: the reply
        """
        pending = self._pending.get(reply.number)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    # granting

    def take_request(self, request: PermitRequest, address: Address) -> None:
        """Reply to another gateway.

        :param request: the request
        :param address: address of the gateway
        """
        endpoint = self.directory.get(request.endpoint)
        if endpoint is None or endpoint.entry.started_ms != request.started_ms:
            # it is not listed here yet, or no longer
            wait_ms = round(1000 * RETRY_S)
            self.send(PermitReply(request.number, wait_ms, request.limit), address)
            return
        self._apply(endpoint, request.limit)
        report = self._build_report(endpoint)
        wait_s = self._grant(endpoint, request.host)
        if wait_s is None:
            ranked = self.rank_grantors(endpoint)
            others = (h for h in ranked if h not in (self.host, request.host))
            self.send(PermitReply(request.number, 0, report, next(others, request.host)), address)
            return
        self.send(PermitReply(request.number, math.ceil(1000 * wait_s), report), address)

    def _grant(self, endpoint: Endpoint, host: str) -> float | None:
        """:return: seconds until the next permit; ``None`` if this gateway grants none."""
        ranked = self.rank_grantors(endpoint)
        if self.host not in ranked:
            return None
        per_s = endpoint.notices.limit.per_s
        if math.isinf(per_s):
            # responses to later requests named no limit, as the reply reports
            return 0.0
        share = GRANTED_SHARES[ranked.index(self.host)]
        return self._find_source(self._granted, endpoint, 1.0).take(host, share * per_s)

    def _take_alone(self, endpoint: Endpoint) -> float:
        hosts = max(MIN_HOSTS, 1 + len(self.list_known()))
        source = self._find_source(self._alone, endpoint, 0.0)
        per_s = ALONE_SHARE * endpoint.notices.limit.per_s / hosts
        return min(RETRY_S, source.take(self.host, per_s))

    def _find_source(
        self,
        sources: OrderedDict[tuple[str, int], PermitSource],
        endpoint: Endpoint,
        initial: float,
    ) -> PermitSource:
        key = endpoint.id, endpoint.entry.started_ms
        if key not in sources:
            sources[key] = PermitSource(self.clock, self.generator, initial)
        sources.move_to_end(key)
        while len(sources) > MAX_SOURCES:
            sources.popitem(last=False)
        return sources[key]

    # knowledge

    def _build_report(self, endpoint: Endpoint) -> LimitReport:
        return build_limit_report(endpoint.notices.limit.named, self.clock())

    def _apply(self, endpoint: Endpoint, report: LimitReport) -> None:
        now = self.clock()
        endpoint.notices.record_limit(read_limit_report(report, now), Source.GOSSIP, now)


def build_limit_report(named: NamedLimit, now: float) -> LimitReport:
    """:return: what is known of a limit, as sent between gateways."""
    milli = max(1, round(1000 * named.per_s)) if math.isfinite(named.per_s) else 0
    age_s = named.age_s(now)
    return LimitReport(milli, round(1000 * age_s) if math.isfinite(age_s) else 2**40)


def read_limit_report(report: LimitReport, now: float) -> NamedLimit:
    """:return: what another gateway knows of a limit."""
    per_s = report.milli_per_s / 1000 if report.milli_per_s else math.inf
    return NamedLimit(per_s, now - report.age_ms / 1000)


__all__ = [
    "ALONE_SHARE",
    "GRANTED_SHARES",
    "LimitReport",
    "Peer",
    "PermitExchange",
    "PermitReply",
    "PermitRequest",
    "build_limit_report",
    "read_limit_report",
]
