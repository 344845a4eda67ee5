"""Attaches to generations that other entries began, and takes over from lost ones."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Protocol

from basilroad.entry.flight import Flight, FlightContext
from basilroad.entry.identity import Identity
from basilroad.entry.link import LinkLostError
from basilroad.entry.request import CompletionRequest
from basilroad.errors import ErrorKind, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.link import AgentLink
    from basilroad.entry.locationdirectory import LocationDirectory

ATTACH_S = 1.0
"""Seconds to wait for an agent that is to hand over a generation."""

RETRY_S = 0.2
"""Seconds between looks at a record whose agent does not have the generation."""

OWNER_SILENT_S = 3.0
"""Age of a record at which its owner is taken for lost."""

_LOGGER = logging.getLogger(__name__)


class TakeoverContext(FlightContext, Protocol):
    """What taking over needs of its entry.

    :param flights: generations that it drives, by key
    """

    flights: dict[bytes, Flight]

    @property
    def locations(self) -> LocationDirectory:
        """:return: where generations run."""

    def launch(self, flight: Flight, *, location: wire.Location | None = None) -> None:
        """Drive a generation, perhaps one that runs already."""


class Takeover:
    """Opens generations by key, wherever they run.

    :param entry: the process
    """

    def __init__(self, entry: TakeoverContext) -> None:
        self.entry = entry

    async def open_keyed(self, flight: Flight) -> Flight:
        """Begin a keyed generation, or attach to the one that runs.

        :param flight: the generation, not begun
        :return: it, or the one that runs already
        :raises RefusedError: the key was used with another body
        """
        while True:
            location = await self.entry.locations.claim(flight)
            running = self.entry.flights.get(flight.key)
            if running is not None:
                return self._check_body(running, flight)
            if location is None:
                self.entry.launch(flight)
                return flight
            if location.body_hash != flight.request.body_hash:
                raise refuse(ErrorKind.KEY_REUSED, "the key was used with another body")
            attached = await self._attach_at(location)
            if attached is not None:
                return attached
            if await self._take_lost(flight, location):
                return flight
            await asyncio.sleep(RETRY_S)

    async def attach(self, key: bytes, generation: str) -> Flight:
        """Attach to a generation by its identifier.

        :param key: of the request
        :param generation: identifier that the caller was told
        :return: the generation
        :raises RefusedError: nobody has it
        """
        deadline = asyncio.get_running_loop().time() + OWNER_SILENT_S
        while True:
            found = await self.entry.locations.find(key)
            if found is None or found.location.generation != generation:
                raise refuse(ErrorKind.UNKNOWN_GENERATION, "no such generation")
            attached = await self._attach_at(found.location)
            if attached is not None:
                return attached
            if asyncio.get_running_loop().time() > deadline:
                raise refuse(ErrorKind.GENERATION_LOST, "its output was lost with its hosts")
            await asyncio.sleep(RETRY_S)

    async def join(self, flight: Flight, location: wire.Location) -> bool:
        """Follow a generation that another entry has moved.

        :param flight: driven here until now
        :param location: where it runs
        :return: whether its agent has it
        """
        link = await self._reach(location.agent)
        if link is None:
            return False
        flight.prepare_follow(link, location.attempt)
        if await self._ask(link, flight) is not None:
            return True
        if flight.attempt is not None:
            flight.attempt.close()
        await asyncio.sleep(RETRY_S)
        return False

    async def _attach_at(self, location: wire.Location) -> Flight | None:
        if not location.agent:
            return None
        link = await self._reach(location.agent)
        if link is None:
            return None
        running = self.entry.flights.get(location.key)
        if running is not None:
            return running
        flight = _build_follower(self.entry, location)
        flight.prepare_follow(link, location.attempt)
        start = await self._ask(link, flight)
        if start is None:
            if flight.attempt is not None:
                flight.attempt.close()
            return None
        flight.adopt(start)
        self.entry.launch(flight, location=location)
        self._log_attach(flight, location)
        return flight

    async def _ask(self, link: AgentLink, flight: Flight) -> wire.StartGeneration | None:
        call = link.next_call_number()
        order = wire.AttachGeneration(call=call, generation=flight.generation, offset=0)
        try:
            reply = await link.ask(call, wire.EntryMessage(attach=order), ATTACH_S)
        except LinkLostError:
            return None
        if not isinstance(reply, wire.Attached) or not reply.found:
            return None
        return reply.start

    async def _reach(self, agent: str) -> AgentLink | None:
        link = await self.entry.connect(parse_address(agent))
        try:
            async with asyncio.timeout(ATTACH_S):
                await link.up.wait()
        except TimeoutError:
            return None
        return link

    async def _take_lost(self, flight: Flight, location: wire.Location) -> bool:
        found = await self.entry.locations.find(flight.key)
        if found is None or found.age < OWNER_SILENT_S:
            return False
        return await self.entry.locations.replace(flight, location)

    def _check_body(self, running: Flight, flight: Flight) -> Flight:
        if running.request.body_hash != flight.request.body_hash:
            raise refuse(ErrorKind.KEY_REUSED, "the key was used with another body")
        return running

    def _log_attach(self, flight: Flight, location: wire.Location) -> None:
        decision = Decision(
            what="attach",
            request=flight.key.hex(),
            generation=flight.generation,
            attempt=location.attempt,
            chosen=location.agent,
            reason="found by key",
        )
        log_decision(_LOGGER, decision)


def _build_follower(entry: TakeoverContext, location: wire.Location) -> Flight:
    request = CompletionRequest(
        model="",
        adapter="",
        prompt="",
        max_tokens=0,
        temperature=0.0,
        seed=None,
        stop=(),
        stream=True,
        include_usage=False,
        chat=False,
        body_hash=location.body_hash,
        fingerprint="",
    )
    identity = Identity("", "", 0, uuid.uuid4().hex, False)
    flight = Flight(entry, request, identity, location.generation)
    flight.key = location.key
    return flight


__all__ = ["Takeover"]
