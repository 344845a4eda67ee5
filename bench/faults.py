"""Measure an overload with an engine crash and a store outage, and callers that retry."""

from __future__ import annotations

import asyncio
import time

import msgspec

from basilroad.endpoints.messages import EngineLoad
from bench.load import (
    CAPACITY,
    Baseline,
    Load,
    RequestSpec,
    Result,
    System,
    build_targets,
    run_fleet,
)
from support.fleet import Fleet

FLOOD_LOAD = 5.0
"""Rate of batch requests, as a multiple of the capacity."""

URGENT_LOAD = 0.3
"""Rate of urgent requests, as a fraction of the capacity."""

RETRY_LOAD = 3.0
"""Rate of new requests of callers that retry, as a multiple of the capacity."""

ATTEMPTS_MAX = 4
"""Most attempts that a caller makes for one request."""

FIRST_TOKEN_TIMEOUT_S = 3.0
"""Seconds without a first token after which a caller cancels its request and retries."""

FAULT_AFTER_S = 5.0
RESTART_AFTER_S = 10.0
SECONDS = 20.0
DRAIN_S = 8.0
"""Seconds that requests still in flight get at the end."""

FIRST_TOKEN_TARGETS_S = {"urgent": 1.4, "batch": 30.0}
"""Longest time to the first token, in seconds, of a response that counts as goodput."""


async def measure_goodput(target: System | Baseline, fleet: Fleet) -> float:
    """Measure the goodput while an engine and the store fail under overload.

    :param target: receives the requests
    :param fleet: fleet whose engine and store fail
    :return: tokens per second of complete responses that began in time
    """
    load = Load(target)
    arrivals = [
        load.send_at_rate(
            RequestSpec("flood", "batch", workspace="kits"), FLOOD_LOAD * CAPACITY, SECONDS
        ),
        load.send_at_rate(RequestSpec("master", "urgent"), URGENT_LOAD * CAPACITY, SECONDS),
        inject_faults(fleet),
    ]
    begin = time.monotonic()
    await asyncio.gather(*arrivals)
    await asyncio.sleep(DRAIN_S)
    await load.end()
    elapsed = time.monotonic() - begin
    good = [
        r for r in load.results if r.complete and r.first_s <= FIRST_TOKEN_TARGETS_S[r.spec.rank]
    ]
    urgent = [r for r in load.results if r.spec.rank == "urgent"]
    goodput = sum(r.spec.tokens for r in good) / elapsed
    print(
        f"{target.name} goodput={goodput:.0f} urgent_in_time="
        f"{sum(r.spec.rank == 'urgent' for r in good)}/{len(urgent)}"
        f" broken={sum(r.broken for r in load.results)}"
        f" cut={sum(bool(r.texts) and not r.complete for r in urgent)}"
    )
    return goodput


async def inject_faults(fleet: Fleet) -> None:
    """Kill an engine and freeze the store, then restore both."""
    assert fleet.platform is not None
    engine = fleet.endpoints[0].backend
    await asyncio.sleep(FAULT_AFTER_S)
    fleet.platform.freeze()
    engine.kill()
    await asyncio.sleep(RESTART_AFTER_S - FAULT_AFTER_S)
    engine.start()
    fleet.platform.wake()


async def measure_retries(target: System | Baseline, fleet: Fleet, *, keyed: bool) -> float:
    """Measure the work of the engines while callers time out and retry.

    :param target: receives the requests
    :param fleet: fleet whose engines count their tokens
    :param keyed: whether all attempts of a request have the same idempotency key
    :return: tokens computed or cached by the engines per token of the complete requests
    """
    load = Load(target)
    before = count_engine_tokens(fleet)
    tasks: list[asyncio.Task[bool]] = []
    end = time.monotonic() + SECONDS
    number = 0
    while time.monotonic() < end:
        spec = RequestSpec(f"caller-{number % 20}", key=f"key-{number}" if keyed else "")
        tasks.append(asyncio.create_task(send_with_retries(load, spec)))
        number += 1
        await asyncio.sleep(1 / (RETRY_LOAD * CAPACITY))
    answered = sum(await asyncio.gather(*tasks))
    await load.end()
    complete = [r for r in load.results if r.complete]
    delivered = sum(r.spec.tokens + len(r.prompt.split()) for r in complete)
    ratio = (count_engine_tokens(fleet) - before) / delivered
    print(
        f"{target.name} keyed={keyed} requests={number} tries={len(load.results)}"
        f" answered={answered} work_by_answers={ratio:.2f}"
        f" broken={sum(r.broken for r in load.results)}"
    )
    return ratio


async def send_with_retries(load: Load, spec: RequestSpec) -> bool:
    """Send a request until it is answered or the attempts are used up.

    :param load: sends the request
    :param spec: parameters of the request
    :return: whether it was answered
    """
    for _ in range(ATTEMPTS_MAX):
        result = await send_with_timeout(load, spec)
        if result.complete:
            return True
        await asyncio.sleep(result.retry_after_s or 0.5)
    return False


async def send_with_timeout(load: Load, spec: RequestSpec) -> Result:
    """Send a request and cancel it if there is no first token in time."""
    result = load.prepare(spec)
    task = asyncio.create_task(load.run(result))
    await asyncio.wait({task}, timeout=FIRST_TOKEN_TIMEOUT_S)
    if not task.done() and not result.texts:
        task.cancel()
    await asyncio.wait({task})
    return result


def count_engine_tokens(fleet: Fleet) -> int:
    """:return: tokens that the engines have computed or read from their caches."""
    total = 0
    for endpoint in fleet.endpoints:
        answer = endpoint.backend.ask("GET", "/control/counters")
        load = msgspec.convert(answer, EngineLoad)
        total += load.decoded_tokens + load.prefilled_tokens + load.cached_tokens
    return total


async def measure(fleet: Fleet) -> None:
    """Measure retries and goodput, the system first."""
    system, baseline = build_targets(fleet)
    unkeyed = await measure_retries(system, fleet, keyed=False)
    keyed = await measure_retries(system, fleet, keyed=True)
    goodput = await measure_goodput(system, fleet)
    await asyncio.sleep(2.0)
    base_unkeyed = await measure_retries(baseline, fleet, keyed=False)
    base_goodput = await measure_goodput(baseline, fleet)
    print(
        f"goodput in faults: {goodput:.0f}, {goodput / max(base_goodput, 1.0):.2f} of the baseline"
    )
    print(
        f"work by answers: {unkeyed:.2f}, with keys {keyed:.2f} (at most 1.20),"
        f" baseline {base_unkeyed:.2f}"
    )


def run() -> None:
    """Run the measurement."""
    with run_fleet(entries=2) as fleet:
        asyncio.run(measure(fleet))


if __name__ == "__main__":
    run()

__all__ = ["run"]
