"""Measure the service of each rank while another one offers ten times the capacity."""

from __future__ import annotations

import asyncio
import time

from bench.load import (
    CAPACITY,
    RANKS,
    Baseline,
    Load,
    RequestSpec,
    System,
    build_targets,
    count_tokens,
    find_p95,
    run_fleet,
)

FLOOD_LOAD = 10.0
"""Request rate of the flood, as a multiple of the capacity."""

URGENT_LOAD = 0.1
"""Request rate of the urgent rank, as a fraction of the capacity."""

OTHER_LOAD = 0.5
"""Request rate of each other rank in an urgent flood, as a fraction of the capacity."""

WARM_UP_S = 6.0
MEASURE_S = 20.0
UNLOADED_S = 20.0


async def measure_urgent(target: System | Baseline, flood: float, seconds: float) -> float:
    """Measure the time to the first token of urgent requests.

    :param target: receives the requests
    :param flood: rate of batch requests, as a multiple of the capacity; 0 for none
    :param seconds: duration of the measurement
    :return: 95th percentile of the time to the first token, in seconds
    """
    load = Load(target)
    flooding = []
    if flood:
        batch = RequestSpec("flood", "batch", workspace="kits")
        flooding = [
            asyncio.create_task(load.send_at_rate(batch, flood * CAPACITY, WARM_UP_S + seconds))
        ]
        await asyncio.sleep(WARM_UP_S)
    begin = time.monotonic()
    await load.send_at_rate(RequestSpec("master", "urgent"), URGENT_LOAD * CAPACITY, seconds)
    await asyncio.gather(*flooding)
    await asyncio.sleep(2.0)
    now = time.monotonic()
    await load.end()
    urgent = [r for r in load.results if r.spec.rank == "urgent"]
    waits = [r.first_s if r.times else now - r.sent_s for r in urgent]
    served = count_tokens(load.results, begin, begin + seconds) / seconds
    broken = sum(r.broken for r in load.results)
    print(
        f"{target.name} flood={flood:.0f} urgent={len(waits)} unanswered="
        f"{sum(not r.times for r in urgent)} p95_ms={1000 * find_p95(waits):.0f}"
        f" tokens_per_s={served:.0f} broken={broken}"
    )
    return find_p95(waits)


async def measure_floors(target: System | Baseline) -> dict[str, float]:
    """Measure the shares of the ranks in a flood of urgent requests.

    :param target: receives the requests
    :return: fraction of the tokens, by rank
    """
    load = Load(target)
    seconds = WARM_UP_S + MEASURE_S
    rates = {
        "urgent": FLOOD_LOAD * CAPACITY,
        "standard": OTHER_LOAD * CAPACITY,
        "batch": OTHER_LOAD * CAPACITY,
    }
    begin = time.monotonic() + WARM_UP_S
    arrivals = [
        load.send_at_rate(RequestSpec(f"{rank}-caller", rank, workspace=rank), rate, seconds)
        for rank, rate in rates.items()
    ]
    await asyncio.gather(*arrivals)
    await load.end()
    tokens = {
        rank: count_tokens(
            [r for r in load.results if r.spec.rank == rank], begin, begin + MEASURE_S
        )
        for rank in RANKS
    }
    total = sum(tokens.values())
    shares = {rank: count / total for rank, count in tokens.items()}
    text = " ".join(f"{rank}={share:.3f}" for rank, share in shares.items())
    broken = sum(r.broken for r in load.results)
    print(
        f"{target.name} urgent flood: {text} tokens_per_s={total / MEASURE_S:.0f} broken={broken}"
    )
    return shares


async def measure(system: System, baseline: Baseline) -> None:
    """Measure both kinds of flood, the system first.

    :param system: the system under test
    :param baseline: what it is compared with
    """
    unloaded_s = await measure_urgent(system, 0, UNLOADED_S)
    flooded_s = await measure_urgent(system, FLOOD_LOAD, MEASURE_S)
    await measure_floors(system)
    await asyncio.sleep(2.0)
    baseline_s = await measure_urgent(baseline, FLOOD_LOAD, MEASURE_S)
    await measure_floors(baseline)
    print(
        f"urgent p95 in a flood: {flooded_s / unloaded_s:.2f} of unloaded (at most 1.20),"
        f" {flooded_s / baseline_s:.4f} of the baseline"
    )


def run() -> None:
    """Run the measurement."""
    with run_fleet(entries=2) as fleet:
        asyncio.run(measure(*build_targets(fleet)))


if __name__ == "__main__":
    run()

__all__ = ["run"]
