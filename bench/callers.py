"""Measure how a large caller affects small ones, with one and with four entries."""

from __future__ import annotations

import asyncio
import time

from bench.load import (
    CAPACITY,
    Baseline,
    Load,
    RequestSpec,
    Result,
    System,
    build_targets,
    count_tokens,
    find_p95,
    run_fleet,
)

SMALL_CALLERS = 10
SMALL_LOAD = 0.3
"""Request rate of all small callers together, as a fraction of the capacity."""

LARGE_FACTOR = 50
"""Request rate of the large caller, as a multiple of one small caller's rate."""

BACKLOGGED_CALLERS = 8
"""Number of callers that always have requests queued."""

OUTSTANDING_REQUESTS = 12
"""Concurrent requests of each backlogged caller."""

WARM_UP_S = 6.0
MEASURE_S = 12.0


async def measure_waits(target: System | Baseline, *, large: bool) -> float:
    """Measure the time to the first token of the small callers.

    :param target: receives the requests
    :param large: whether the large caller sends too
    :return: 95th percentile of the time to the first token, in seconds
    """
    load = Load(target)
    rate = SMALL_LOAD * CAPACITY / SMALL_CALLERS
    arrivals = []
    if large:
        spec = RequestSpec("large")
        flood = load.send_at_rate(spec, LARGE_FACTOR * rate, WARM_UP_S + MEASURE_S)
        arrivals.append(asyncio.create_task(flood))
        await asyncio.sleep(WARM_UP_S)
    small = [
        load.send_at_rate(RequestSpec(f"small-{n}"), rate, MEASURE_S) for n in range(SMALL_CALLERS)
    ]
    await asyncio.gather(*small, *arrivals)
    await asyncio.sleep(2.0)
    now = time.monotonic()
    await load.end()
    results = [r for r in load.results if r.spec.caller != "large"]
    waits = [r.first_s if r.times else now - r.sent_s for r in results]
    print(
        f"{target.name} large={large} small_requests={len(waits)}"
        f" unanswered={sum(not r.times for r in results)} p95_ms={1000 * find_p95(waits):.0f}"
        f" broken={sum(r.broken for r in load.results)}"
    )
    return find_p95(waits)


async def measure_shares(target: System | Baseline, entries: int) -> float:
    """Measure how evenly backlogged callers are served.

    Caller 0 sends to all entries, the others to one each; their responses differ in length.

    :param target: receives the requests
    :param entries: number of entries
    :return: Jain's fairness index of the tokens served
    """
    load = Load(target)
    begin = time.monotonic() + WARM_UP_S
    senders = [
        load.send_in_sequence(
            RequestSpec(f"caller-{caller}", tokens=20 + 10 * caller),
            WARM_UP_S + MEASURE_S,
            None if caller == 0 else caller % entries,
        )
        for caller in range(BACKLOGGED_CALLERS)
        for _ in range(OUTSTANDING_REQUESTS)
    ]
    await asyncio.gather(*senders)
    await load.end()
    tokens = [
        count_tokens(_select(load.results, caller), begin, begin + MEASURE_S)
        for caller in range(BACKLOGGED_CALLERS)
    ]
    index = sum(tokens) ** 2 / (len(tokens) * sum(t * t for t in tokens))
    broken = sum(r.broken for r in load.results)
    print(f"{target.name} entries={entries} tokens={tokens} jain={index:.3f} broken={broken}")
    return index


async def measure(entries: int, system: System, baseline: Baseline) -> None:
    """Measure waits and shares, the system first.

    :param entries: number of entries
    :param system: the system under test
    :param baseline: what it is compared with
    """
    alone_s = await measure_waits(system, large=False)
    loaded_s = await measure_waits(system, large=True)
    index = await measure_shares(system, entries)
    baseline_s = await measure_waits(baseline, large=True)
    baseline_index = await measure_shares(baseline, entries)
    print(
        f"entries={entries} small p95 beside the large caller: {loaded_s / alone_s:.2f} of without"
        f" (at most 1.50), {loaded_s / baseline_s:.3f} of the baseline; jain {index:.3f}"
        f" (at least 0.95), baseline {baseline_index:.3f}"
    )


def run() -> None:
    """Run the measurement with one and with four entries."""
    for entries in (1, 4):
        with run_fleet(entries) as fleet:
            asyncio.run(measure(entries, *build_targets(fleet)))


def _select(results: list[Result], caller: int) -> list[Result]:
    return [result for result in results if result.spec.caller == f"caller-{caller}"]


if __name__ == "__main__":
    run()

__all__ = ["run"]
