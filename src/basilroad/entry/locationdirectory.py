"""Where requests run, kept softly by two agents for each key."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.ring import HashRing
from basilroad.entry.link import LinkLostError
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.context import EntryContext
    from basilroad.entry.flight import Flight
    from basilroad.entry.link import AgentLink, EndpointView

COPIES = 2
"""Agents that keep the location of one key."""

ASK_S = 0.5
"""Seconds to wait for one agent's reply."""

SETTLE_S = 5.0
"""Seconds after which every entry is expected to have reached a new agent."""

RETIRED_S = 60.0
"""Seconds that the location of an ended, keyed generation is announced to new agents."""

RETIRED_MAX = 10_000
"""Locations of ended generations that are remembered."""

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _Kept:
    location: wire.Location
    agents: tuple[str, ...]
    retired_s: float | None = None


class LocationDirectory:
    """Writes and reads locations at the agents that keep them.

    The agents of a key are the first two by consistent hashing of those that are up. While
    an agent is new, not every entry has reached it: until it has settled, the choice
    without it is asked and written as well. When agents come or go, each entry announces
    again what it drives.

    :param entry: the process
    """

    def __init__(self, entry: EntryContext) -> None:
        self.entry = entry
        self._kept: OrderedDict[bytes, _Kept] = OrderedDict()
        self._up: dict[str, AgentLink] = {}
        self._all = HashRing(())
        self._settled = self._all
        self._fresh_until_s = 0.0

    async def claim(self, flight: Flight) -> wire.Location | None:
        """Record a request that nobody runs yet.

        :param flight: the request
        :return: where it runs already, or ``None`` if it is this entry's to run
        """
        location = self._build_location(flight, "", 0)
        for link in self._choose_links(flight.key):
            found = await self._register(link, location, expected=0)
            if found is not None and not found.done:
                # agents asked before this one took a record of a request that won't run
                self.write(found.location)
                return found.location
        self._keep(location)
        return None

    async def replace(self, flight: Flight, lost: wire.Location) -> bool:
        """Take over a request whose entry and agent are lost.

        :param flight: a new generation of the request
        :param lost: the record of the lost one
        :return: whether it is this entry's to run now
        """
        flight.skip_attempts(lost.attempt)
        location = self._build_location(flight, "", lost.attempt + 1)
        return await self.exchange(location, expected=lost.attempt)

    async def move(
        self, flight: Flight, start: wire.StartGeneration, view: EndpointView
    ) -> wire.Location | None:
        """Record where the next attempt runs.

        After a loss another entry may want to move the same generation, so that the first
        to write wins.

        :param flight: the request
        :param start: the attempt
        :param view: the endpoint
        :return: where another entry has moved it, or ``None`` if it is this entry's to run
        """
        location = self._build_location(flight, str(view.link.address), start.attempt)
        if flight.interrupted_s is not None:
            found = await self._exchange(location, start.attempt - 1)
            if found is not None and not found.done:
                return found.location
        self._keep(location)
        self.write(location)
        return None

    async def exchange(self, location: wire.Location, *, expected: int) -> bool:
        """Write a record if it is as expected.

        :param location: the new record
        :param expected: number of the attempt that must stand there; 0 for no record
        :return: whether it was written
        """
        found = await self._exchange(location, expected)
        if found is not None and not found.done:
            return False
        self.write(location)
        return True

    def write(self, location: wire.Location) -> None:
        """Write a record unless a later one stands there.

        :param location: the record
        """
        for link in self._choose_links(location.key):
            self._write_at(link, location)

    async def find(self, key: bytes) -> wire.Found | None:
        """Look a request up.

        :param key: of the request
        :return: the newest record, or ``None`` if no agent has one
        """
        links = self._choose_links(key)
        replies = await asyncio.gather(*(self._find(link, key) for link in links))
        known = [reply for reply in replies if reply is not None and reply.done]
        return max(known, key=lambda found: found.location.attempt, default=None)

    def announce(self) -> None:
        """Write the locations that this entry knows to agents that are new to their keys.

        To be called whenever an agent has come or gone.
        """
        self._fresh_until_s = 0.0
        for key, kept in list(self._kept.items()):
            links = self._choose_links(key)
            for link in links:
                if _name(link) not in kept.agents:
                    self._write_at(link, kept.location)
            agents = tuple(_name(link) for link in links)
            self._kept[key] = attrs.evolve(kept, agents=agents)

    def retire(self, flight: Flight) -> None:
        """Note that a generation has ended here.

        :param flight: the generation
        """
        kept = self._kept.pop(flight.key, None)
        if kept is None or flight.identity.key_generated:
            return
        self._kept[flight.key] = attrs.evolve(kept, retired_s=time.monotonic())

    def expire(self) -> None:
        """Forget the locations of generations that ended long ago."""
        limit = time.monotonic() - RETIRED_S
        retired = [key for key, kept in self._kept.items() if kept.retired_s is not None]
        excess = max(0, len(retired) - RETIRED_MAX)
        for number, key in enumerate(retired):
            if number < excess or (self._kept[key].retired_s or limit) < limit:
                del self._kept[key]

    def _keep(self, location: wire.Location) -> None:
        agents = tuple(_name(link) for link in self._choose_links(location.key))
        self._kept[location.key] = _Kept(location, agents)

    def _choose_links(self, key: bytes) -> list[AgentLink]:
        self._refresh_rings()
        chosen = self._settled.choose(key.hex(), COPIES)
        if self._settled is not self._all:
            chosen += self._all.choose(key.hex(), COPIES)
        return [self._up[name] for name in dict.fromkeys(chosen)]

    def _refresh_rings(self) -> None:
        now = time.monotonic()
        if now < self._fresh_until_s:
            return
        links = [link for link in self.entry.links.values() if link.is_up]
        self._up = {str(link.address): link for link in links}
        new = [link for link in links if link.up_s > now - SETTLE_S]
        self._all = HashRing(self._up)
        settled = self._up.keys() - {str(link.address) for link in new}
        self._settled = HashRing(settled) if new else self._all
        self._fresh_until_s = min((link.up_s + SETTLE_S for link in new), default=math.inf)

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
        order = wire.Register(call=call, location=location, expected_attempt=expected)
        return await self._ask(link, call, wire.EntryMessage(register=order))

    async def _find(self, link: AgentLink, key: bytes) -> wire.Found | None:
        call = link.next_call_number()
        return await self._ask(link, call, wire.EntryMessage(find=wire.Find(call=call, key=key)))

    async def _ask(
        self, link: AgentLink, call: int, message: wire.EntryMessage
    ) -> wire.Found | None:
        try:
            reply = await link.ask(call, message, ASK_S)
        except LinkLostError as error:
            _LOGGER.info("directory agent %s: %s", link.address, error)
            return None
        return reply if isinstance(reply, wire.Found) else None

    def _write_at(self, link: AgentLink, location: wire.Location) -> None:
        order = wire.Register(location=location, forced=True)
        link.send(wire.EntryMessage(register=order), urgent=False)


def _name(link: AgentLink) -> str:
    # a restarted agent at the same address holds none of the records
    return f"{link.address}/{link.incarnation}"


__all__ = ["COPIES", "LocationDirectory"]
