"""Probes of engines by other gateways, for one that gets nothing from an engine itself."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

from basilroad.gateway.exchange.state import Count, StartTime
from basilroad.gateway.registry.endpoint import MAX_NAME_CHARS
from basilroad.gateway.registry.reports import REPORT_TIMEOUT_S

if TYPE_CHECKING:
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.exchange.peertable import PeerState
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.peers.address import Address

PROBERS = 3
"""Gateways that are asked for one engine; some of them may have lost it too."""

REPLY_MARGIN_S = 0.03
"""Time limit of a reply beyond the report of the engine and the way to the gateway."""

MAX_RUNNING = 32
"""Probes that a gateway runs for others at once; further ones are answered as failed."""

_LOGGER = logging.getLogger(__name__)


class EngineProbe(msgspec.Struct, array_like=True, tag="engine probe"):
    """Request to probe an engine.

    :param number: number of the request in the process that asks
    :param endpoint: id of the engine
    :param started_ms: its start time
    """

    number: Count
    endpoint: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
    started_ms: StartTime


class EngineProbeReply(msgspec.Struct, array_like=True, tag="engine probed"):
    """Result of a probe.

    :param number: number of the request
    :param alive: whether the engine runs since that start
    """

    number: Count
    alive: bool


ProbeMessage = EngineProbe | EngineProbeReply


@attrs.define(eq=False)
class _Question:
    """A request that waits for replies.

    :param expected: replies that are still to come
    :param alive: the result
    """

    expected: int
    alive: asyncio.Future[bool]

    def take(self, *, alive: bool) -> None:
        self.expected -= 1
        if not self.alive.done() and (alive or self.expected <= 0):
            self.alive.set_result(alive)


@attrs.define(eq=False)
class EngineProbes:
    """Asks other gateways to probe engines, and probes engines for them.

    :param place: location of this gateway
    :param directory: known endpoints
    :param probe: probes an engine from this gateway
    :param list_states: returns the state of the other gateways that send gossip, by name
    :param send: sends a message to a gateway
    :param generator: random number generator
    """

    place: Locality
    directory: Directory
    probe: Callable[[Endpoint], Awaitable[bool]]
    list_states: Callable[[], Mapping[str, PeerState]] = dict
    send: Callable[[ProbeMessage, Address], None] = lambda _message, _peer: None
    generator: random.Random = attrs.field(factory=random.Random)
    _number: int = 0
    _questions: dict[int, _Question] = attrs.field(factory=dict)
    _running: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def ask(self, endpoint: Endpoint) -> bool:
        """Ask a few gateways whether they reach an engine.

        :param endpoint: the engine
        :return: whether one of them does; false if none answers in time
        """
        peers = self._choose(endpoint)
        if not peers:
            return False
        self._number += 1
        number = self._number
        alive: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._questions[number] = _Question(len(peers), alive)
        distance_s = max(self.place.distance_s(peer.data_centre) for peer in peers)
        request = EngineProbe(number, endpoint.id, endpoint.entry.started_ms)
        for peer in peers:
            self.send(request, peer.address)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S + REPLY_MARGIN_S + distance_s):
                return await alive
        except TimeoutError:
            _LOGGER.info("engine not probed", extra={"endpoint": endpoint.id})
            return False
        finally:
            del self._questions[number]

    def _choose(self, endpoint: Endpoint) -> list[PeerState]:
        states = list(self.list_states().values())
        self.generator.shuffle(states)
        region = self._find_region(endpoint.entry.data_centre)
        # those that have calls there hear from it, and those near it have its report soon
        states.sort(
            key=lambda state: (
                state.stopping,
                endpoint.id not in state.loads,
                self._find_region(state.data_centre) != region,
            )
        )
        return states[:PROBERS]

    def _find_region(self, data_centre: str) -> str:
        return self.place.regions.get(data_centre, data_centre)

    def take_probe(self, message: EngineProbe, address: Address) -> None:
        """Probe an engine for another gateway.

        :param message: the request
        :param address: address of the gateway
        """
        endpoint = self.directory.get(message.endpoint)
        is_listed = endpoint is not None and endpoint.entry.started_ms == message.started_ms
        if endpoint is None or not is_listed or len(self._running) >= MAX_RUNNING:
            self.send(EngineProbeReply(message.number, alive=False), address)
            return
        task = asyncio.ensure_future(self._probe(endpoint, message.number, address))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _probe(self, endpoint: Endpoint, number: int, address: Address) -> None:
        try:
            alive = await self.probe(endpoint)
        except Exception:
            _LOGGER.error("probe failed", extra={"endpoint": endpoint.id}, exc_info=True)
            alive = False
        self.send(EngineProbeReply(number, alive=alive), address)

    def take_reply(self, message: EngineProbeReply) -> None:
        """Give a result to the request that waits for it.

        :param message: the result
        """
        question = self._questions.get(message.number)
        if question is not None:
            question.take(alive=message.alive)

    async def close(self) -> None:
        """Cancel the probes for other gateways."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


__all__ = ["PROBERS", "EngineProbe", "EngineProbeReply", "EngineProbes", "ProbeMessage"]
