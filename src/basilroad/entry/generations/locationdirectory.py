"""Directory of where requests run, replicated in the memory of two agents per key."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

import attrs

from basilroad.coordination.ring import HashRing
from basilroad.entry.context import EntryContext
from basilroad.entry.links.link import LinkLostError
from basilroad.peers.copykey import build_copies_key
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import AgentLink, EndpointView

REPLICA_COUNT = 2
"""Agents that store the location of one key."""

FREE = 0
"""Attempt in the record of a key that no request has claimed."""

FIRST_ATTEMPT = 1
"""Attempt in the record of a request that waits for its first endpoint."""

REPLY_TIMEOUT_S = 0.5
"""Seconds to wait for one agent's reply."""

CLAIM_LIMIT_S = 3.0
"""Seconds after which a key is taken as free though no agent has replied. An agent that is silent
counts as lost by then, and those that take its place have been asked."""

CLAIM_RETRY_INTERVAL_S = 0.1
"""Interval between claims of a key to which no agent has replied."""

NEW_AGENT_S = 5.0
"""Seconds after which every entry is expected to be connected to a new agent."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which the records of keyed requests that wait for an endpoint are written again, so
that their age tells other entries whether this one is gone."""

RECORD_REFRESH_S = 60.0
"""Age from which the record of a running generation is written again; agents keep it for ten times
as long."""

ENDED_TTL_S = 60.0
"""Seconds for which the location of an ended, keyed generation is sent to new agents."""

ENDED_MAX = 10_000
"""Maximum number of ended generations whose locations are kept."""

_LOGGER = logging.getLogger(__name__)


class LocationsContext(EntryContext, Protocol):
    """What the directory needs from the entry process.

    :param flights: generations that this entry runs, by key
    """

    flights: dict[bytes, Flight]


@attrs.frozen
class _AnnouncedLocation:
    location: wire.Location
    agents: tuple[str, ...]
    written_s: float
    ended_s: float | None = None


class LocationDirectory:
    """Reads and writes locations at the agents that store them.

    The agents of a key are the first two by consistent hashing of the connected ones. Entries
    connect to a new agent at different times, so for its first ``NEW_AGENT_S`` seconds the
    agents chosen without it are read and written as well. When agents join or leave, each
    entry sends the locations of its own generations again.

    :param entry: state of the entry process
    """

    def __init__(self, entry: LocationsContext) -> None:
        self.entry = entry
        self._announced: OrderedDict[bytes, _AnnouncedLocation] = OrderedDict()
        self._up: dict[str, AgentLink] = {}
        self._ring_all = HashRing(())
        self._ring_settled = self._ring_all
        self._rings_valid_until_s = 0.0

    async def claim(self, flight: Flight) -> wire.Location | None:
        """Record a request unless it runs already.

        :param flight: the request
        :return: where it runs already, or ``None`` if this entry is to run it
        """
        location = self._build_location(flight, "", FIRST_ATTEMPT)
        until = time.monotonic() + CLAIM_LIMIT_S
        while True:
            replied = False
            written: list[AgentLink] = []
            for link in self._choose_links(flight.key):
                found = await self._register(link, location, expected=FREE)
                replied = replied or found is not None
                if found is not None and not _has_claimed(found, location):
                    # this request won't run; agents that have the record keep its age
                    for earlier in written:
                        self._write_at(earlier, found.location)
                    return found.location
                written.append(link)
            if replied or time.monotonic() >= until:
                break
            # silence doesn't tell whether the request runs already
            await asyncio.sleep(CLAIM_RETRY_INTERVAL_S)
        if not replied:
            _LOGGER.warning("key claimed without a reply", extra={"request": flight.key.hex()})
        self._remember(location)
        return None

    async def replace(self, flight: Flight, lost: wire.Location) -> bool:
        """Take over a request whose entry and agent are lost.

        :param flight: a new generation of the request
        :param lost: the record of the lost generation
        :return: whether this entry is to run it now
        """
        location = self._build_location(flight, "", lost.attempt + 1)
        if not await self.exchange(location, expected=lost.attempt):
            return False
        flight.skip_attempts(lost.attempt)
        self._remember(location)
        return True

    async def move(
        self, flight: Flight, start: wire.StartGeneration, view: EndpointView
    ) -> wire.Location | None:
        """Record where the next attempt runs.

        After a loss several entries may try to resume the same generation; the first one
        to write its record wins.

        :param flight: the request
        :param start: the attempt
        :param view: the endpoint
        :return: where another entry resumed it, or ``None`` if this entry is to run it
        """
        location = self._build_location(flight, str(view.link.address), start.attempt)
        if flight.interrupted_s is not None:
            found = await self._exchange(location, start.attempt - 1)
            if found is not None and not found.done:
                return found.location
        self._remember(location)
        self.write(location)
        return None

    async def exchange(self, location: wire.Location, *, expected: int) -> bool:
        """Write a record if the stored one is as expected (compare and swap).

        :param location: the new record
        :param expected: number of the stored attempt; 0 for no record
        :return: whether it was written
        """
        found = await self._exchange(location, expected)
        if found is not None and not found.done:
            return False
        self.write(location)
        return True

    def write(self, location: wire.Location) -> None:
        """Write a record unless a later one is stored.

        :param location: the record
        """
        for link in self._choose_links(location.key):
            self._write_at(link, location)

    async def find(self, key: bytes) -> wire.Found | None:
        """Look up a request.

        :param key: key of the request
        :return: the newest record, or ``None`` if no agent has one
        """
        links = self._choose_links(key)
        replies = await asyncio.gather(*(self._find(link, key) for link in links))
        known = [reply for reply in replies if reply is not None and reply.done]
        return max(known, key=lambda found: found.location.attempt, default=None)

    async def find_copy(self, flight: Flight) -> bool:
        """Look for a running copy of a request's content at the agents that may run one.

        An agent that does not reply before its link would count as lost is taken to run none.

        :param flight: the request, whose own earlier attempts are no copies
        :return: whether one runs that may still crash its endpoint
        """
        key = build_copies_key(flight.request.fingerprint)
        timeout_s = self.entry.options.dead_after_s
        links = [
            link
            for link in self.entry.links.values()
            if any(view.state.service == flight.request.model for view in link.endpoints.values())
        ]
        replies = await asyncio.gather(*(self._find(link, key, timeout_s) for link in links))
        return any(
            reply is not None and reply.done and reply.location.generation != flight.generation
            for reply in replies
        )

    def announce(self) -> None:
        """Write this entry's locations to agents that have newly become responsible for their keys.

        To be called whenever an agent has joined or left.
        """
        self._rings_valid_until_s = 0.0
        for key, announced in list(self._announced.items()):
            links = self._choose_links(key)
            for link in links:
                if _build_agent_id(link) not in announced.agents:
                    self._write_at(link, announced.location)
            agents = tuple(_build_agent_id(link) for link in links)
            self._announced[key] = attrs.evolve(announced, agents=agents)

    def refresh(self) -> None:
        """Write the records again that agents would lose, and those whose age others watch.

        The latter are those of keyed requests that run at no endpoint at the moment.
        """
        now = time.monotonic()
        for key, announced in list(self._announced.items()):
            if announced.ended_s is not None:
                continue
            flight = self.entry.flights.get(key)
            if _is_waiting(flight) or now - announced.written_s >= RECORD_REFRESH_S:
                self.write(announced.location)
                self._announced[key] = attrs.evolve(announced, written_s=now)

    def retire(self, flight: Flight) -> None:
        """Record that a generation has ended at this entry.

        :param flight: the generation
        """
        announced = self._announced.pop(flight.key, None)
        if announced is None or flight.identity.key_generated:
            return
        if announced.location.agent:
            self._announced[flight.key] = attrs.evolve(announced, ended_s=time.monotonic())
        else:
            self._free(announced.location)

    def expire(self) -> None:
        """Remove the locations of generations that ended long ago."""
        limit = time.monotonic() - ENDED_TTL_S
        ended = [key for key, announced in self._announced.items() if announced.ended_s is not None]
        excess = max(0, len(ended) - ENDED_MAX)
        for number, key in enumerate(ended):
            if number < excess or (self._announced[key].ended_s or limit) < limit:
                del self._announced[key]

    def _free(self, location: wire.Location) -> None:
        """Let another request with the key begin at once, as this one never ran."""
        free = wire.Location(key=location.key, attempt=FREE)
        message = wire.Register(location=free, expected_attempt=location.attempt)
        for link in self._choose_links(location.key):
            link.send(wire.EntryMessage(register=message), urgent=False)

    def _remember(self, location: wire.Location) -> None:
        agents = tuple(_build_agent_id(link) for link in self._choose_links(location.key))
        self._announced[location.key] = _AnnouncedLocation(location, agents, time.monotonic())

    def _choose_links(self, key: bytes) -> list[AgentLink]:
        self._refresh_rings()
        chosen = self._ring_settled.choose(key.hex(), REPLICA_COUNT)
        if self._ring_settled is not self._ring_all:
            chosen += self._ring_all.choose(key.hex(), REPLICA_COUNT)
        return [self._up[name] for name in dict.fromkeys(chosen)]

    def _refresh_rings(self) -> None:
        now = time.monotonic()
        if now < self._rings_valid_until_s:
            return
        links = [link for link in self.entry.links.values() if link.is_up]
        self._up = {str(link.address): link for link in links}
        new = [link for link in links if link.up_s > now - NEW_AGENT_S]
        self._ring_all = HashRing(self._up)
        settled = self._up.keys() - {str(link.address) for link in new}
        self._ring_settled = HashRing(settled) if new else self._ring_all
        self._rings_valid_until_s = min((link.up_s + NEW_AGENT_S for link in new), default=math.inf)

    def _build_location(self, flight: Flight, agent: str, attempt: int) -> wire.Location:
        return wire.Location(
            key=flight.key,
            generation=flight.generation,
            body_hash=flight.request.body_hash,
            agent=agent,
            attempt=attempt,
            owner=self.entry.incarnation,
        )

    async def _exchange(self, location: wire.Location, expected: int) -> wire.Found | None:
        for link in self._choose_links(location.key):
            found = await self._register(link, location, expected=expected)
            if found is not None:
                return found
        return None

    async def _register(
        self, link: AgentLink, location: wire.Location, *, expected: int
    ) -> wire.Found | None:
        call = link.next_call_number()
        message = wire.Register(call=call, location=location, expected_attempt=expected)
        return await self._ask(link, call, wire.EntryMessage(register=message))

    async def _find(
        self, link: AgentLink, key: bytes, timeout_s: float = REPLY_TIMEOUT_S
    ) -> wire.Found | None:
        call = link.next_call_number()
        message = wire.EntryMessage(find=wire.Find(call=call, key=key))
        return await self._ask(link, call, message, timeout_s)

    async def _ask(
        self,
        link: AgentLink,
        call: int,
        message: wire.EntryMessage,
        timeout_s: float = REPLY_TIMEOUT_S,
    ) -> wire.Found | None:
        try:
            reply = await link.ask(call, message, timeout_s)
        except LinkLostError as error:
            _LOGGER.info("directory agent %s: %s", link.address, error)
            return None
        return reply if isinstance(reply, wire.Found) else None

    def _write_at(self, link: AgentLink, location: wire.Location) -> None:
        message = wire.Register(location=location, forced=True)
        link.send(wire.EntryMessage(register=message), urgent=False)


def _has_claimed(found: wire.Found, location: wire.Location) -> bool:
    """:return: whether a key is claimed by a location, maybe by a call whose reply was lost."""
    return found.done or found.location.generation == location.generation


def _is_waiting(flight: Flight | None) -> bool:
    if flight is None or flight.identity.key_generated:
        return False
    return not flight.endpoint


def _build_agent_id(link: AgentLink) -> str:
    # a restarted agent at the same address has lost all records
    return f"{link.address}/{link.incarnation}"


__all__ = ["ENDED_TTL_S", "REFRESH_INTERVAL_S", "REPLICA_COUNT", "LocationDirectory"]
