"""Measure what the locations of prompts cost each gateway of a large fleet, on a virtual clock."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import time
import tracemalloc

import attrs
import msgspec
import typer
from gateway.builders import build_entry

from basilroad.gateway.calls.call import CACHE_KEY_BYTES
from basilroad.gateway.dispatch.promptlocations import RETENTION_S, PromptLocations
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.exchange.gossip import MAX_SENT_BYTES_PER_S
from basilroad.gateway.exchange.peertable import FANOUT, PeerState
from basilroad.gateway.exchange.promptexchange import (
    PromptExchange,
)
from basilroad.gateway.exchange.state import MAX_DATAGRAM_BYTES, StateMessage
from basilroad.gateway.registry.endpoint import Endpoint
from bench.promptfleet import (
    DATA_CENTRES,
    DEADLINE_S,
    ENGINES,
    PROMPT_TOKENS,
    STREAM_S,
    STREAMS_PER_S,
    Figures,
    Fleet,
    build_address,
)
from support.virtualloop import VirtualLoop

GRACE_S = 3.0
START_S, FILL_S, REST_S, ROLL_S = 5, 25, 15, 20
OLD_CACHE_S = 6.0
KEY_DIGITS = 9
MILLISECONDS = 1e3
KILOBYTE = 1000
MICROSECONDS = 1e6
CHANGES = 10

_PLACE = Locality("centre-0", "region-0", DATA_CENTRES)


def _print_figures(label: str, figures: Figures, size: int) -> None:
    gateway_s = size * figures.seconds
    kinds = [kind for kind in figures.messages if kind != "state"]
    messages = sum(figures.messages[kind] for kind in kinds) / gateway_s
    sent = sum(figures.sent[kind] for kind in kinds) / gateway_s
    state = figures.sent["state"] / gateway_s
    core = sum(figures.cpu_s.values()) / gateway_s
    waits = sorted(figures.waits)
    p50, p99 = waits[len(waits) // 2], waits[len(waits) * 99 // 100]
    print(
        f"{label}, {figures.seconds:.0f} s: {100 * core:.2f}% of a core, {messages:.1f} messages "
        f"and {sent:.0f} bytes a second for each gateway, {state:.0f} bytes of gossip beside them; "
        f"{figures.found} of {figures.take_ups} take-ups found "
        f"({100 * figures.found / max(1, figures.take_ups):.1f}%); streams waited "
        f"{MILLISECONDS * p50:.0f} ms (p50), {MILLISECONDS * p99:.0f} (p99)"
    )
    parts = ", ".join(
        f"{part} {100 * cpu_s / gateway_s:.3f}%"
        for part, cpu_s in sorted(figures.cpu_s.items(), key=lambda item: -item[1])
    )
    print(f"  processor: {parts}")
    sizes = ", ".join(
        f"{kind} {figures.sent[kind] / figures.messages[kind]:.0f} x "
        f"{figures.messages[kind] / gateway_s:.1f}/s"
        for kind in kinds
    )
    print(f"  bytes: {sizes}")


async def _measure(fleet: Fleet, label: str, seconds: float) -> None:
    fleet.meter.figures = figures = Figures(seconds)
    await asyncio.sleep(seconds)
    _print_figures(label, figures, fleet.size)
    kept = [len(list(process.prompts.locations)) for process in fleet.processes]
    print(f"  locations: {sum(kept) / len(kept):.0f} a gateway, {max(kept)} at most")


async def measure_fleet(size: int) -> None:
    """Measure the exchange from the start of all gateways on, at rest, and while they stop.

    :param size: number of gateways
    """
    fleet = Fleet(size, asyncio.get_running_loop())
    fleet.start(fleet.send_streams())
    await _measure(fleet, "start of all", START_S)
    await _measure(fleet, "after the start", FILL_S)
    await _measure(fleet, "at rest", REST_S)
    fleet.start(fleet.replace_each_second(range(ROLL_S), GRACE_S))
    await _measure(fleet, "one stops and one starts each second", ROLL_S)
    fleet.start(fleet.replace_each_second(range(ROLL_S, 2 * ROLL_S), 0.0))
    await _measure(fleet, "one is killed and one starts each second", ROLL_S)


def _build_state(number: int) -> PeerState:
    data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
    return PeerState(1, 1, 0.0, {}, build_address(number), data_centre)


def measure_memory() -> None:
    """Measure the memory of the locations that one gateway keeps."""
    own = round(STREAMS_PER_S * (STREAM_S + RETENTION_S))
    engines = [Endpoint(build_entry(f"engine-{n:03}")) for n in range(ENGINES)]
    states = {f"host-{n:03}": _build_state(n) for n in range(1, FANOUT)}
    reported = PromptLocations()
    for _ in range(2 * own):
        key = random.randbytes(CACHE_KEY_BYTES)
        reported.begin(key, random.choice(engines), DEADLINE_S)
    tracemalloc.start()
    prompts = PromptExchange("host", _PLACE, PromptLocations(), list_states=lambda: states)
    for _ in range(own):
        with prompts.record(random.randbytes(CACHE_KEY_BYTES), random.choice(engines), DEADLINE_S):
            pass
    prompts.tick()
    for key in reported:
        location = reported.find(key)
        assert location is not None
        prompts.locations.merge(key, attrs.evolve(location))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"memory: {3 * own} locations in {size / KILOBYTE:.0f} KB")


def measure_changes(size: int) -> None:
    """Measure the processor time of a gateway at rest, and when another one starts.

    :param size: number of gateways
    """
    states = {f"host-{n:03}": _build_state(n) for n in range(1, size - CHANGES)}
    prompts = PromptExchange("host-000", _PLACE, PromptLocations(), list_states=lambda: states)
    own = round(STREAMS_PER_S * (STREAM_S + RETENTION_S))
    with contextlib.ExitStack() as runs:
        for _ in range(own):
            key = random.randbytes(CACHE_KEY_BYTES)
            runs.enter_context(prompts.record(key, Endpoint(build_entry()), DEADLINE_S))
        prompts.tick()
        started = time.thread_time()
        for _ in range(CHANGES):
            prompts.tick()
        rest_s = time.thread_time() - started
        started = time.thread_time()
        for number in range(size - CHANGES, size):
            states[f"host-{number:03}"] = _build_state(number)
            prompts.tick()
        change_s = time.thread_time() - started
    print(
        f"{own} prompts, {size} gateways: {MICROSECONDS * rest_s / CHANGES:.0f} us a check, "
        f"{MICROSECONDS * change_s / CHANGES:.0f} us with one that starts"
    )


def measure_gossip(size: int) -> None:
    """Measure a datagram of gossip that names all streams of a gateway in place of the exchange.

    :param size: number of gateways
    """
    loads = {
        f"engine-{n:03}": (1, PROMPT_TOKENS, 0) for n in range(round(STREAMS_PER_S * STREAM_S))
    }
    peers = [str(build_address(number)) for number in range(FANOUT)]

    def encode(streams: int) -> int:
        runs = [(f"prompt-{n:0{KEY_DIGITS}}", f"engine-{n:03}") for n in range(streams)]
        message = StateMessage("host-000", 1 << 40, 1, peers[0], loads, {}, peers, runs, "centre-0")
        return len(msgspec.msgpack.encode(message))

    one = (encode(100) - encode(0)) / 100
    once = STREAMS_PER_S * (size - 1) * one
    print(f"gossip: {one:.0f} bytes a stream, {once:.0f} bytes a second to tell each peer once")
    for label, kept_s in (("6 s", OLD_CACHE_S), ("run and retention", STREAM_S + RETENTION_S)):
        streams = round(STREAMS_PER_S * kept_s)
        told_s = (size - 1) * encode(streams) / MAX_SENT_BYTES_PER_S
        print(
            f"gossip of streams for {label}: {streams} streams, {encode(streams)} bytes a datagram "
            f"({encode(0)} without, limit {MAX_DATAGRAM_BYTES}), all peers told after "
            f"{told_s:.0f} s, half after {told_s / 2:.0f} s"
        )


def main(size: int = 410, seed: int = 1) -> None:
    """Print the figures.

    :param size: number of gateways
    :param seed: seed of the streams
    """
    logging.disable(logging.WARNING)
    random.seed(seed)
    print(f"load average {os.getloadavg()[0]:.1f}")
    measure_gossip(size)
    measure_memory()
    measure_changes(size)
    # collections would be of all gateways at once
    gc.disable()
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(measure_fleet(size))
    print(f"load average {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    typer.run(main)
