"""Measure the time in which a gateway chooses an endpoint for a call, by number of endpoints."""

from __future__ import annotations

import random
import time

from basilroad.gateway.calls.call import Call, PromptSize
from basilroad.gateway.dispatch.selection import Chooser, Locality
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import EndpointEntry
from basilroad.gateway.route import EngineLimits, Route, WeightedService
from basilroad.peers.address import Address

SERVICE = "spec-llm"
PLACE = Locality("riga-a", "riga", {"riga-a": "riga", "riga-b": "riga", "kurzeme-a": "kurzeme"})
ENGINE = EngineLimits(slots=48, memory_tokens=88_000)
ENDPOINTS = (9, 52, 600)
ROUNDS = 7
CHOICES = 200
MICROSECONDS = 1e6


def build_directory(endpoints: int) -> Directory:
    """:return: a directory of engines in all data centres."""
    directory = Directory()
    centres = sorted(PLACE.regions)
    for number in range(endpoints):
        address = Address(f"127.1.{number // 250}.{number % 250 + 1}", 8090)
        centre = centres[number % len(centres)]
        directory.put(EndpointEntry(f"e{number}", SERVICE, address, centre, 48, started_ms=1))
    return directory


def build_call() -> Call:
    """:return: a generation."""
    route = Route("r", "h.example", "/s/", (WeightedService(SERVICE, 1),), streams=True)
    now = time.monotonic()
    size = PromptSize(8000, 1000)
    return Call("c", "POST", "/s/1", (), b"", route, SERVICE, "w", 1, now, now + 25.0, size)


def measure_choice(directory: Directory) -> float:
    """:return: microseconds of one choice, the least of several rounds."""
    chooser, call = Chooser(PLACE, random.Random(1)), build_call()
    best_s = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(CHOICES):
            endpoints = directory.list_by_service(SERVICE)
            chooser.choose(endpoints, call, ENGINE, time.monotonic())
        best_s = min(best_s, (time.perf_counter() - started) / CHOICES)
    return best_s * MICROSECONDS


def run() -> None:
    """Run the measurement."""
    for endpoints in ENDPOINTS:
        print(f"endpoints={endpoints} choice_us={measure_choice(build_directory(endpoints)):.0f}")


if __name__ == "__main__":
    run()

__all__ = ["run"]
