"""Measure the cost of settings in one node at the size of the planned fleet."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

import msgspec

from basilroad.coordination.table import Changes, Row
from basilroad.settings.status import EndpointLoad, HostState, HostStatus, encode_status
from basilroad.settings.store import SettingsStore

WORKSPACES = 240
MODELS = 19
SERVICES = 19
REGIONS = ("north", "south", "west")
ROUNDS = 200
MICROSECONDS = 1_000_000


def make_rows() -> list[Row]:
    """:return: table rows with the settings of the whole fleet."""
    texts = {f"workspaces/w{n}": '{"rank": "batch", "weight": 2}' for n in range(WORKSPACES)}
    replicas = ", ".join(f'"{region}": {{"min": 2, "max": 9}}' for region in REGIONS)
    model = f'{{"versions": ["1", "2"], "replicas": {{{replicas}}}}}'
    texts.update({f"models/m{n}": model for n in range(MODELS)})
    rule = '{"method": "GET", "path": "/stock/**", "idempotent": true}'
    texts.update({f"services/s{n}": f'{{"calls": [{rule}]}}' for n in range(SERVICES)})
    texts.update({f"ranks/r{n}": f'{{"order": {n}}}' for n in range(3)})
    texts["owners/models"] = '{"authors": ["ops"]}'
    return [Row(f"settings/{k}", text, n, "ops") for n, (k, text) in enumerate(texts.items(), 1)]


def measure_cpu_us(call: Callable[[int], object]) -> float:
    """:return: mean CPU time of one call, in microseconds."""
    start = time.process_time()
    for number in range(ROUNDS):
        call(number)
    return (time.process_time() - start) / ROUNDS * MICROSECONDS


def main() -> None:
    """Print the figures."""
    rows = make_rows()
    SettingsStore().apply(rows)
    tracemalloc.start()
    store = SettingsStore()
    store.apply(rows)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    first = len(rows) + 1

    def change_one(number: int) -> None:
        text = f'{{"weight": {number + 1}}}'
        store.apply([Row("settings/workspaces/w7", text, first + number, "ops")])

    state = HostState("agent", loads=(EndpointLoad("engine-1", 7, 16, 3),))
    status = HostStatus("host-1", 10**9, (), 0, state, time.time(), 41.0)
    print(f"settings: {len(rows)} rows, {sum(len(row.value or '') for row in rows)} bytes of JSON")
    print(f"memory held by the store: {held_bytes / 1024:.0f} KiB")
    all_us = measure_cpu_us(lambda _: SettingsStore().apply(rows))
    print(f"all settings, in a new process: {all_us:.0f} µs")
    print(f"one change applied: {measure_cpu_us(change_one):.0f} µs")
    print(f"one row known already: {measure_cpu_us(lambda _: store.apply(rows[:1])):.1f} µs")
    print(f"answer without changes: {len(msgspec.json.encode(Changes(10**9, ())))} bytes of body")
    print(f"report of a host: {len(encode_status(status))} bytes of body")


if __name__ == "__main__":
    main()
