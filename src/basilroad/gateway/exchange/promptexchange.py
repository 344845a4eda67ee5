"""Exchange of the locations of prompts between gateways.

Each location is kept by two gateways, its keepers, which rendezvous hashing chooses for the key of
the prompt, in two regions if possible. The gateway that runs the prompt reports the location to
them when the run begins, and again to those that become keepers while it lasts, because others stop
or have started. A gateway that stops does the same for all locations that it keeps. A gateway to
which a caller comes with a prompt asks the keeper of its region, and both if the prompt was run
before. As gateways may differ in who they are, one that doesn't have the location passes the
request on to those that it takes for them.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

import attrs

from basilroad.clocks import read_boot_clock
from basilroad.coordination.budget import TokenBucket
from basilroad.gateway.dispatch.promptlocations import PromptLocation, PromptLocations
from basilroad.gateway.exchange.promptkeepers import PromptKeepers
from basilroad.gateway.exchange.promptmessages import (
    MAX_RECORDS,
    PromptMessage,
    PromptRecord,
    PromptRecords,
    PromptReply,
    PromptRequest,
)
from basilroad.gateway.exchange.promptsearch import PromptSearch
from basilroad.peers.address import Address, parse_remote_address

if TYPE_CHECKING:
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.exchange.peertable import PeerState
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.notices import Lifetime

ASK_TIMEOUT_S = 0.05
"""Time limit of the replies beyond two round trips; a call waits meanwhile."""

SILENT_S = 1.0
"""Time for which a gateway that did not reply is not asked again."""

FIRST_PEER_WAIT_S = 0.3
"""Time after its start for which a gateway that knows no other one lets callers wait that resume a
stream; the others send it messages several times a second."""

FIRST_PEER_POLL_S = 0.01
"""Interval of checks for the first message."""

EXPIRY_INTERVAL_S = 1.0
"""Interval at which expired locations are removed."""

HAND_OVER_BURST = 64
"""Locations that a gateway hands over at once when it stops; more than the streams that it runs."""

HAND_OVER_PER_S = 100.0
"""Locations that it hands over in a second after these: about half of the limit of control traffic,
as gossip needs the rest."""

_LOGGER = logging.getLogger(__name__)

_Lifetime = tuple[str, int]
"""Name of a gateway and its start time in Unix milliseconds."""


@attrs.define(eq=False)
class PromptRun:
    """A run of a prompt by this gateway.

    :param record_begun: records its endpoint as the location of the prompt, and returns the
        lifetime of the endpoint
    :param was_unread: whether the endpoint has not run it, or had not begun it when it was left
    """

    record_begun: Callable[[], Lifetime] | None = None
    was_unread: bool = False
    _lifetime: Lifetime | None = None

    @property
    def lifetime(self) -> Lifetime | None:
        """:return: lifetime of the endpoint; ``None`` before the location is recorded."""
        return self._lifetime

    def record_location(self) -> None:
        """Record that the endpoint has the prompt; repeated calls change nothing."""
        if self._lifetime is None and self.record_begun is not None:
            self._lifetime = self.record_begun()


@attrs.define(eq=False)
class PromptExchange:
    """Reports the locations of prompts to their keepers, and asks them.

    :param host: name of this gateway
    :param place: its location
    :param locations: the locations that it knows
    :param address: its listening address; ``None`` without other gateways
    :param list_states: returns the state of the other gateways that send gossip, by name
    :param is_stopping: whether the shutdown of this gateway was requested
    :param knows: whether an address is that of a known gateway
    :param send: sends a message to a gateway
    :param clock: seconds of the boot clock
    """

    host: str
    place: Locality
    locations: PromptLocations
    address: Address | None = None
    list_states: Callable[[], Mapping[str, PeerState]] = dict
    is_stopping: Callable[[], bool] = lambda: False
    knows: Callable[[Address], bool] = lambda _address: False
    send: Callable[[PromptMessage, Address], None] = lambda _message, _peer: None
    clock: Callable[[], float] = read_boot_clock
    _started_at: float = attrs.field()
    _keepers: PromptKeepers = attrs.field()
    _hand_over: TokenBucket = attrs.field()
    _number: int = 0
    _searches: dict[int, PromptSearch] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)
    _reported: dict[bytes, frozenset[_Lifetime]] = attrs.field(factory=dict)
    _waiting: dict[bytes, None] = attrs.field(factory=dict)
    _next_expiry_at: float = -math.inf
    _members: tuple[list[str], list[int], list[bool]] = ([], [], [])
    _hands_over: bool = False

    @_started_at.default
    def _(self) -> float:
        return self.clock()

    @_keepers.default
    def _(self) -> PromptKeepers:
        return PromptKeepers(
            self.host, self.place, lambda: self.list_states(), lambda: self.is_stopping()
        )

    def apply_limits(self, limits: Mapping[str, float]) -> None:
        """Apply the time limits of a configuration.

        :param limits: longest time limit of streams in seconds, by service
        """
        self.locations.limit_runs(max(limits.values(), default=0.0))

    @_hand_over.default
    def _(self) -> TokenBucket:
        return TokenBucket(HAND_OVER_PER_S, HAND_OVER_BURST, self.clock)

    # keeping

    def choose_keepers(self, key: bytes) -> list[str]:
        """Choose the gateways that keep a location.

        :param key: key of the prompt
        :return: their names, in two regions if possible; those that stop only if there are too few
            others
        """
        return self._keepers.choose(key)

    @contextlib.contextmanager
    def record(self, key: bytes, endpoint: Endpoint, time_left_s: float) -> Iterator[PromptRun]:
        """Record where this gateway runs a prompt, for its keepers too.

        :param key: key of the prompt; not recorded if empty
        :param endpoint: the endpoint
        :param time_left_s: seconds until the deadline of the run
        :return: context manager for the time of the run
        """
        until = self.clock() + time_left_s

        def record_begun() -> Lifetime:
            self._reported[key] = frozenset()
            return self.locations.begin(key, endpoint, until - self.clock())

        run = PromptRun(record_begun if key else None)
        if self.locations.find(key) is None:
            run.record_location()
        # an endpoint that has the prompt stays its location until this one has it too
        try:
            yield run
        finally:
            if run.lifetime is not None and run.was_unread:
                self.locations.withdraw(key, run.lifetime)
            elif run.lifetime is not None:
                self.locations.end(key, run.lifetime)

    def tick(self) -> None:
        """Report new locations, and known ones to those that have become their keepers."""
        states = self.list_states()
        self._expire()
        # lists compare in a fraction of the time of a set of tuples, at each tick
        members = (
            list(states),
            [state.started_ms for state in states.values()],
            [state.stopping for state in states.values()],
        )
        hands_over = self.is_stopping()
        if (members, hands_over) == (self._members, self._hands_over):
            new = [key for key, reported in self._reported.items() if not reported]
            self._waiting = {key: None for key in new if key not in self._waiting} | self._waiting
        else:
            self._members, self._hands_over = members, hands_over
            self._keepers.update()
            if hands_over:
                self._reported |= {
                    key: frozenset() for key in self.locations if key not in self._reported
                }
            self._waiting = dict.fromkeys(self._reported)
            if hands_over:
                self._waiting = dict.fromkeys(sorted(self._waiting, key=self._rank_urgency))
        self._report(is_paced=hands_over)

    def finish(self) -> None:
        """Hand over at once what is left when the process exits after a stop."""
        if self.is_stopping():
            self.tick()
            self._report(is_paced=False)

    def _rank_urgency(self, key: bytes) -> float:
        # runs that go on expire last, and may be cut
        location = self.locations.find(key)
        return math.inf if location is None else -location.expires_at

    def _expire(self) -> None:
        now = self.clock()
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        self.locations.expire()
        for key in [key for key in self._reported if self.locations.find(key) is None]:
            self._forget(key)

    def _forget(self, key: bytes) -> None:
        del self._reported[key]
        self._waiting.pop(key, None)
        self._keepers.forget(key)

    def _report(self, *, is_paced: bool) -> None:
        states = self.list_states()
        batches: dict[str, list[PromptRecord]] = {}
        for key in list(self._waiting):
            location = self.locations.find(key)
            if location is None:
                self._forget(key)
                continue
            keepers = {
                host: (host, 0 if host == self.host else states[host].started_ms)
                for host in self._keepers.find(key)
            }
            reported = self._reported[key]
            told = [h for h, life in keepers.items() if h != self.host and life not in reported]
            if is_paced and told and not self._hand_over.take(len(told)):
                break
            for host in told:
                batches.setdefault(host, []).append(self._pack(key, location))
            self._reported[key] = reported.union(keepers.values())
            del self._waiting[key]
        for host, records in batches.items():
            for start in range(0, len(records), MAX_RECORDS):
                message = PromptRecords(records[start : start + MAX_RECORDS])
                self.send(message, states[host].address)

    def take_records(self, message: PromptRecords) -> None:
        """Keep the locations that another gateway reports.

        :param message: the locations
        """
        for record in message.records:
            self._merge(record)

    # asking

    async def find(self, key: bytes, *, is_repeated: bool) -> PromptLocation | None:
        """Find the location of a prompt, asking its keepers.

        :param key: key of the prompt
        :param is_repeated: whether the prompt was certainly run before
        :return: the location; ``None`` if it isn't known
        """
        if key and self.address is not None:
            if is_repeated:
                await self._wait_for_peers()
            await self._ask(key, self.address, is_repeated=is_repeated)
        return self.locations.find(key)

    async def _wait_for_peers(self) -> None:
        until = self._started_at + FIRST_PEER_WAIT_S
        while not self.list_states() and self.clock() < until:
            await asyncio.sleep(FIRST_PEER_POLL_S)

    async def _ask(self, key: bytes, address: Address, *, is_repeated: bool) -> None:
        states, now = self.list_states(), self.clock()
        keepers = self._keepers.choose_others(key)
        # most prompts are new, and the way to another region takes tens of milliseconds
        asked = keepers if is_repeated else self._keepers.list_near(keepers)
        hosts = [host for host in asked if now >= self._silent_until.get(host, -math.inf)]
        if not hosts:
            return
        self._number += 1
        number = self._number
        found: asyncio.Future[PromptRecord | None] = asyncio.get_running_loop().create_future()
        search = self._searches[number] = PromptSearch(len(hosts), found, set(hosts))
        distance_s = max(self.place.distance_s(states[host].data_centre) for host in hosts)
        request = PromptRequest(self.host, str(address), number, key, keepers)
        for host in hosts:
            self.send(request, states[host].address)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S + distance_s):
                record = await found
        except TimeoutError:
            self._silent_until.update(dict.fromkeys(search.silent, now + SILENT_S))
            _LOGGER.info("keepers silent", extra={"peers": sorted(search.silent)})
            return
        finally:
            del self._searches[number]
        if record is not None:
            self._merge(record)

    def take_request(self, request: PromptRequest, sender: Address) -> None:
        """Reply to another gateway, or pass its request on.

        :param request: the request
        :param sender: address from which it came
        :raises ValueError: the address of the gateway that asks can't be read
        """
        asks = self._find_asking(request, sender)
        if asks is None:
            _LOGGER.warning("prompt request skipped", extra={"peer": str(sender)})
            return
        location = self.locations.find(request.key)
        if location is not None:
            record = self._pack(request.key, location)
            self.send(PromptReply(self.host, request.number, record), asks)
            return
        others = self._list_others(request)
        self.send(PromptReply(self.host, request.number, None, len(others)), asks)
        passed = PromptRequest(request.host, str(asks), request.number, request.key)
        for other in others:
            self.send(passed, other)

    def _find_asking(self, request: PromptRequest, sender: Address) -> Address | None:
        """:return: address of the gateway that asks; ``None`` if no known one vouches for it."""
        if request.keepers:
            return sender
        # it was passed on; those that ask may have just started, and be known to few
        named = parse_remote_address(request.address)
        return named if self.knows(sender) or self.knows(named) else None

    def _list_others(self, request: PromptRequest) -> list[Address]:
        if not request.keepers:
            return []
        skipped = {self.host, request.host, *request.keepers}
        keepers = self.choose_keepers(request.key)
        states = self.list_states()
        return [states[host].address for host in keepers if host not in skipped]

    def take_reply(self, reply: PromptReply) -> None:
        """Give a reply to the request that waits for it.

        :param reply: the reply
        """
        search = self._searches.get(reply.number)
        if search is not None:
            search.take(reply)

    # records

    def _pack(self, key: bytes, location: PromptLocation) -> PromptRecord:
        now = self.clock()
        return PromptRecord(
            key,
            location.endpoint_id,
            location.started_ms,
            max(0, round(1000 * (now - location.began_at))),
            max(0, round(1000 * (location.expires_at - now))),
        )

    def _merge(self, record: PromptRecord) -> None:
        now = self.clock()
        location = PromptLocation(
            record.endpoint,
            record.started_ms,
            now - record.age_ms / 1000,
            now + record.left_ms / 1000,
        )
        self.locations.merge(record.key, location)


__all__ = ["PromptExchange", "PromptRun"]
