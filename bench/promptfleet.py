"""Gateways that exchange the locations of prompts on a virtual clock, without a network."""

from __future__ import annotations

import asyncio
import math
import random
import time
import types
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Generator, Iterable, Iterator
from typing import Any, TypeVar, cast

import attrs
import msgspec
from gateway.builders import build_entry

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.gateway.calls.call import CACHE_KEY_BYTES
from basilroad.gateway.dispatch.promptlocations import PromptLocations
from basilroad.gateway.dispatch.selection import DATA_CENTRE_COST_S, REGION_COST_S, Locality
from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S, Gossip
from basilroad.gateway.exchange.loans import RetryLoans
from basilroad.gateway.exchange.promptexchange import (
    PromptExchange,
)
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.exchange.state import StateMessage
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.gateway.registry.load import Load
from basilroad.peers.address import Address

ENGINES = 600
STREAMS_PER_S = 2.4
STREAM_S = 6.0
DEADLINE_S = 25.0
PROMPT_TOKENS = 8000
CUT_SHARE = 0.1
RETURN_S = (0.25, 2.0)
DATA_CENTRES = {f"centre-{number}": f"region-{number // 2}" for number in range(6)}
TRANSIT_S = {0.0: 0.0005, DATA_CENTRE_COST_S: 0.001, REGION_COST_S: 0.02}
RESTART_S = 1.0
FIRST_PORT = 20_000
CLOCK_START_S = 1000.0
MAX_TAG_BYTES = 0x1F

ResultT = TypeVar("ResultT")


@attrs.define
class Figures:
    """What all gateways did in one phase.

    :param seconds: length of the phase
    :param cpu_s: processor seconds by part
    :param messages: datagrams by kind
    :param sent: their bytes by kind
    :param take_ups: cut streams that were taken up
    :param found: those whose location was found
    :param waits: seconds in which each stream waited for the keepers of its prompt
    """

    seconds: float = 0.0
    cpu_s: defaultdict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    messages: Counter[str] = attrs.field(factory=Counter)
    sent: Counter[str] = attrs.field(factory=Counter)
    take_ups: int = 0
    found: int = 0
    waits: list[float] = attrs.field(factory=list)


class Meter:
    """Adds up the processor time of parts, without that of the bench itself."""

    def __init__(self) -> None:
        self.figures = Figures()
        self._excluded_s = 0.0

    def run(self, part: str, function: Callable[..., ResultT], *args: object) -> ResultT:
        """Run a function whose processor time counts.

        :return: its result
        """
        started, excluded = time.thread_time(), self._excluded_s
        try:
            return function(*args)
        finally:
            spent_s = time.thread_time() - started - (self._excluded_s - excluded)
            self.figures.cpu_s[part] += spent_s

    def exclude(self, function: Callable[[], object]) -> None:
        """Run a function of the bench, whose processor time does not count."""
        started = time.thread_time()
        function()
        self._excluded_s += time.thread_time() - started

    @types.coroutine
    def step(
        self, part: str, coroutine: Coroutine[Any, Any, ResultT]
    ) -> Generator[Any, Any, ResultT]:
        """Run a coroutine whose processor time counts.

        :return: its result
        """
        resume: Callable[[Any], Any] = coroutine.send
        argument: object = None
        while True:
            try:
                awaited = self.run(part, resume, argument)
            except StopIteration as result:
                return cast("ResultT", result.value)
            try:
                yield awaited
                resume, argument = coroutine.send, None
            except BaseException as error:
                resume, argument = coroutine.throw, error


class MeteredExchange(PromptExchange):
    """Exchange of locations whose reports are metered."""

    meter: Meter

    def tick(self) -> None:
        """Report locations."""
        self.meter.run("reporting", super().tick)


@attrs.define
class EngineUse:
    """Load of one gateway at an engine."""

    id: str
    load: Load = attrs.field(factory=Load)
    last_failed_at: float = -math.inf
    last_received_at: float = -math.inf


class UsedEngines(Directory):
    """Directory that lists the engines at which a gateway has streams and no others."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self._used: dict[str, EngineUse] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(cast("list[Endpoint]", list(self._used.values())))

    def begin(self, endpoint: Endpoint) -> None:
        """Count a stream that begins."""
        load = self._used.setdefault(endpoint.id, EngineUse(endpoint.id)).load
        load.calls += 1
        load.memory_tokens += PROMPT_TOKENS

    def end(self, endpoint: Endpoint) -> None:
        """Count a stream that ends."""
        load = self._used[endpoint.id].load
        load.calls -= 1
        load.memory_tokens -= PROMPT_TOKENS
        if not load.calls:
            del self._used[endpoint.id]


class GatewayProcess(asyncio.DatagramTransport):
    """One gateway from its start to its end, and its datagram transport.

    :param fleet: its fleet
    :param number: number of its host
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        super().__init__()
        self.number = number
        self.data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
        self.address = build_address(number)
        self.is_stopping = False
        self.ended = fleet.loop.create_future()
        self.directory = UsedEngines(fleet.clock)
        self._fleet = fleet
        host = f"host-{number:03}"
        self.place = Locality(self.data_centre, DATA_CENTRES[self.data_centre], DATA_CENTRES)
        self.prompts = MeteredExchange(
            host,
            self.place,
            PromptLocations(fleet.clock),
            is_stopping=lambda: self.is_stopping,
            clock=fleet.clock,
        )
        self.prompts.meter = fleet.meter
        self.gossip = Gossip(
            host,
            self.data_centre,
            self.address,
            self.directory,
            Relay(host, fleet.clock, fleet.clock),
            RetryLoans(host, lambda _: RetryBudget(RetrySettings())),
            fleet.clock,
            prompts=self.prompts,
            is_stopping=lambda: self.is_stopping,
        )
        self.gossip.connection_made(self)
        self.gossip.add_peers(build_address(other) for other in range(fleet.size))
        fleet.loop.call_later(random.random() * GOSSIP_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        if not self.ended.done():
            self.gossip.tick()
            self._fleet.loop.call_later(GOSSIP_INTERVAL_S, self._tick)

    def end(self) -> None:
        """End with all streams."""
        if not self.ended.done():
            self.ended.set_result(None)

    def is_closing(self) -> bool:
        """:return: whether the gateway has ended."""
        return self.ended.done()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Pass a datagram to the fleet."""
        self._fleet.meter.exclude(lambda: self._fleet.send(data, self, addr[1]))


class Fleet:
    """Gateways between which the bench delivers datagrams.

    :param size: number of gateways
    :param loop: event loop with a virtual clock
    """

    def __init__(self, size: int, loop: asyncio.AbstractEventLoop) -> None:
        self.size = size
        self.loop = loop
        self.meter = Meter()
        self.engines = [Endpoint(build_entry(f"engine-{n:03}")) for n in range(ENGINES)]
        self._last_state: tuple[bytes, StateMessage] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.processes = [GatewayProcess(self, number) for number in range(size)]

    def clock(self) -> float:
        """:return: virtual seconds."""
        return CLOCK_START_S + self.loop.time()

    # datagrams

    def send(self, data: bytes, sender: GatewayProcess, port: int) -> None:
        """Deliver a datagram after the transit time."""
        kind = _read_kind(data)
        self.meter.figures.messages[kind] += 1
        self.meter.figures.sent[kind] += len(data)
        receiver = self.processes[port - FIRST_PORT]
        delay_s = TRANSIT_S[sender.place.distance_s(receiver.data_centre)]
        self.loop.call_later(delay_s, self._deliver, kind, data, sender, receiver.number)

    def _deliver(self, kind: str, data: bytes, sender: GatewayProcess, number: int) -> None:
        receiver = self.processes[number]
        if receiver.ended.done():
            return
        if kind == "state":
            receiver.gossip.take(self._decode_state(data), sender.address, [])
            return
        address = (sender.address.ip, sender.address.port)
        self.meter.run(f"receiving {kind}", receiver.gossip.datagram_received, data, address)

    def _decode_state(self, data: bytes) -> StateMessage:
        # one object for all receivers, without what this measurement does not use
        if self._last_state is None or self._last_state[0] is not data:
            message = msgspec.msgpack.decode(data, type=StateMessage)
            message.loads = {}
            self._last_state = data, message
        return self._last_state[1]

    # streams

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the others."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def choose(self) -> GatewayProcess:
        """:return: a gateway that takes callers."""
        while True:
            process = random.choice(self.processes)
            if not process.is_stopping and not process.ended.done():
                return process

    async def send_streams(self) -> None:
        """Start streams for ever, some of which are cut and taken up elsewhere."""
        while True:
            await asyncio.sleep(random.expovariate(self.size * STREAMS_PER_S))
            cut_s = random.uniform(0.5, STREAM_S) if random.random() < CUT_SHARE else None
            self.start(self._run_stream(random.randbytes(CACHE_KEY_BYTES), cut_s))

    async def _run_stream(
        self, key: bytes, cut_s: float | None, previous: Endpoint | None = None
    ) -> None:
        process, figures = self.choose(), self.meter.figures
        asked_at = self.loop.time()
        finding = process.prompts.find(key, is_repeated=previous is not None)
        location = await self.meter.step("asking", finding)
        figures.waits.append(self.loop.time() - asked_at)
        endpoint = random.choice(self.engines)
        if previous is not None:
            figures.take_ups += 1
            figures.found += location is not None and location.endpoint_id == previous.id
        run = process.prompts.record(key, endpoint, DEADLINE_S)
        self.meter.run("recording", run.__enter__)
        process.directory.begin(endpoint)
        ended, _ = await asyncio.wait([process.ended], timeout=cut_s or STREAM_S)
        process.directory.end(endpoint)
        self.meter.run("recording", run.__exit__, None, None, None)
        if ended or cut_s is not None:
            await asyncio.sleep(random.uniform(*RETURN_S))
            await self._run_stream(key, None, endpoint)

    # phases

    async def replace(self, number: int, grace_s: float) -> None:
        """Stop a gateway, and start it again.

        :param number: number of its host
        :param grace_s: time for which it goes on after the request to stop
        """
        process = self.processes[number]
        process.is_stopping = grace_s > 0
        await asyncio.sleep(grace_s)
        process.end()
        await asyncio.sleep(RESTART_S)
        self.processes[number] = GatewayProcess(self, number)

    async def replace_each_second(self, numbers: Iterable[int], grace_s: float) -> None:
        """Replace one gateway after another, one a second."""
        for number in numbers:
            self.start(self.replace(number % self.size, grace_s))
            await asyncio.sleep(1.0)


def build_address(number: int) -> Address:
    """:return: address of a gateway."""
    return Address("127.0.0.1", FIRST_PORT + number)


def _read_kind(data: bytes) -> str:
    # the second byte of an encoded message is the type and length of its tag
    return data[2 : 2 + (data[1] & MAX_TAG_BYTES)].decode()


__all__ = [
    "DATA_CENTRES",
    "DEADLINE_S",
    "ENGINES",
    "PROMPT_TOKENS",
    "STREAMS_PER_S",
    "STREAM_S",
    "Figures",
    "Fleet",
    "build_address",
]
