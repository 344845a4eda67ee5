"""Attaches to generations that other entries started, and takes over from lost entries."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Protocol

from basilroad.entry.generations.flight import Flight, FlightContext
from basilroad.entry.generations.request import CompletionRequest
from basilroad.entry.identity import Identity
from basilroad.entry.links.link import LinkLostError
from basilroad.errors import ErrorKind, refuse
from basilroad.logs import Decision, log_decision
from basilroad.peers.address import parse_address
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.entry.generations.locationdirectory import LocationDirectory
    from basilroad.entry.links.link import AgentLink

ATTACH_TIMEOUT_S = 1.0
"""Timeout for connecting to an agent or attaching to a generation on it."""

RETRY_INTERVAL_S = 0.2
"""Interval between retries while the recorded agent does not have the generation."""

OWNER_TIMEOUT_S = 3.0
"""Age of a location record at which its owner is considered lost."""

_LOGGER = logging.getLogger(__name__)


class TakeoverContext(FlightContext, Protocol):
    """What takeover needs from the entry process.

    :param flights: generations that this entry runs, by key
    """

    flights: dict[bytes, Flight]

    @property
    def locations(self) -> LocationDirectory:
        """:return: directory of where generations run."""

    def launch(self, flight: Flight, *, location: wire.Location | None = None) -> None:
        """Run a generation, which may already have a running attempt."""


class Takeover:
    """Opens generations by key, regardless of the entry that runs them.

    :param entry: the entry process
    """

    def __init__(self, entry: TakeoverContext) -> None:
        self.entry = entry

    async def open_keyed(self, flight: Flight) -> Flight:
        """Start a keyed generation, or attach to the running one.

        :param flight: the generation, not yet started
        :return: this generation, or the one that is already running
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
            if await self._replace_lost_record(flight, location):
                self.entry.launch(flight)
                return flight
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def attach(self, key: bytes, generation: str) -> Flight:
        """Attach to a generation by its identifier.

        :param key: key of the request
        :param generation: identifier that the caller received
        :return: the generation
        :raises RefusedError: no agent has it
        """
        deadline = asyncio.get_running_loop().time() + OWNER_TIMEOUT_S
        while True:
            found = await self.entry.locations.find(key)
            if found is None or found.location.generation != generation:
                raise refuse(ErrorKind.UNKNOWN_GENERATION, "no such generation")
            attached = await self._attach_at(found.location)
            if attached is not None:
                return attached
            if asyncio.get_running_loop().time() > deadline:
                raise refuse(
                    ErrorKind.GENERATION_LOST, "the output was lost together with its host"
                )
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def join(self, flight: Flight, location: wire.Location) -> bool:
        """Follow a generation that another entry has moved.

        :param flight: generation that this entry ran until now
        :param location: new location of the generation
        :return: whether the agent there has it
        """
        link = await self._connect_agent(location.agent)
        if link is None:
            return False
        flight.prepare_follow(link, location.attempt)
        if await self._request_attach(link, flight) is not None:
            return True
        if flight.attempt is not None:
            flight.attempt.close()
        await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _attach_at(self, location: wire.Location) -> Flight | None:
        if not location.agent:
            return None
        link = await self._connect_agent(location.agent)
        if link is None:
            return None
        running = self.entry.flights.get(location.key)
        if running is not None:
            return running
        flight = _build_attached_flight(self.entry, location)
        flight.prepare_follow(link, location.attempt)
        start = await self._request_attach(link, flight)
        if start is None:
            if flight.attempt is not None:
                flight.attempt.close()
            return None
        flight.adopt(start)
        self.entry.launch(flight, location=location)
        self._log_attach(flight, location)
        return flight

    async def _request_attach(self, link: AgentLink, flight: Flight) -> wire.StartGeneration | None:
        call = link.next_call_number()
        request = wire.AttachGeneration(call=call, generation=flight.generation, offset=0)
        try:
            reply = await link.ask(call, wire.EntryMessage(attach=request), ATTACH_TIMEOUT_S)
        except LinkLostError:
            return None
        if not isinstance(reply, wire.Attached) or not reply.found:
            return None
        return reply.start

    async def _connect_agent(self, agent: str) -> AgentLink | None:
        link = await self.entry.connect(parse_address(agent))
        try:
            async with asyncio.timeout(ATTACH_TIMEOUT_S):
                await link.up.wait()
        except TimeoutError:
            return None
        return link

    async def _replace_lost_record(self, flight: Flight, location: wire.Location) -> bool:
        found = await self.entry.locations.find(flight.key)
        if found is None or found.age < OWNER_TIMEOUT_S:
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


def _build_attached_flight(entry: TakeoverContext, location: wire.Location) -> Flight:
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
