"""Measure the prefill that cached prefixes save against round robin over all endpoints.

Callers of two entries share a set of prefixes that is too large for any single cache. The
engines' cache events are delayed, and some are lost.
"""

from __future__ import annotations

import argparse
import random
import tempfile
import tracemalloc
from pathlib import Path

from basilroad.entry.dispatch.prefixes import PREFIXES_MAX, PrefixIndex
from basilroad.world.prefix import BLOCK_WORDS, SAMPLE_EVERY
from bench.traffic import Load, MetricsSink, Outcome, apply_loads, find_quantile
from support.background import Background
from support.fleet import Fleet, Process

MODEL = "spec-llm"
PLACE = ("riga", "riga-a")
ENGINES = 6
ENTRIES = 2
SLOTS = 8
TOKEN_INTERVAL_S = 0.02
PREFILL_S = 0.0005
TOKENS = 40
PREFIXES = 24
PREFIX_WORDS = 640
UNIQUE_WORDS = 64
VARIANTS = 30
CACHE_TOKENS = 6_144
EVENT_DELAY_S = 0.5
EVENT_LOSS = 0.1
LOAD_REPORT_DELAY_S = 0.5
REQUESTS_PER_S = 10.0
SECONDS = 30.0
RUN_TIMEOUT_MARGIN_S = 60.0
SEED = 5
BASELINE = "bench.roundrobin"
PRODUCT = "basilroad"
FLEET_ENDPOINTS = 600
MEBIBYTE = 1024 * 1024


def generate_prompts(seed: int) -> tuple[str, ...]:
    """:return: prompts that begin with randomly chosen shared prefixes."""
    shared = random.Random(SEED)
    prefixes = [_generate_words(shared, PREFIX_WORDS) for _ in range(PREFIXES)]
    rng = random.Random(seed)
    return tuple(
        f"{rng.choice(prefixes)} {_generate_words(rng, UNIQUE_WORDS)}"
        for _ in range(PREFIXES * VARIANTS)
    )


def _generate_words(rng: random.Random, count: int) -> str:
    return " ".join(f"w{rng.randrange(100_000)}" for _ in range(count))


def run(module: str, seconds: float, loss: float, delay_s: float) -> None:
    """Measure one run and print its figures.

    :param module: Python module that the entries run, the product or the baseline
    :param seconds: duration of the load
    :param loss: fraction of cache events that are lost
    :param delay_s: delay of cache events, in seconds
    """
    background = Background()
    sink = MetricsSink()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), background, sink.address)
        try:
            fleet.add_platform()
            for number in range(ENGINES):
                fleet.add_engine(
                    f"engine-{number}",
                    place=PLACE,
                    model=MODEL,
                    slots=SLOTS,
                    token_interval_s=TOKEN_INTERVAL_S,
                    prefill_s_per_token=PREFILL_S,
                    cache_tokens=CACHE_TOKENS,
                    cache_event_delay_s=delay_s,
                    cache_event_loss=loss,
                    load_delay_s=LOAD_REPORT_DELAY_S,
                    seed=number,
                )
            entries = [
                fleet.add_entry(f"entry-{number}", place=PLACE, module=module)
                for number in range(ENTRIES)
            ]
            fleet.wait_ready()
            loads = [_make_load(entry, number, seconds) for number, entry in enumerate(entries)]
            outcomes = background.run(apply_loads(loads), seconds + RUN_TIMEOUT_MARGIN_S)
            _print_results(module, loss, delay_s, outcomes, fleet)
        finally:
            fleet.close()
            background.close()
            sink.close()


def _make_load(entry: Process, number: int, seconds: float) -> Load:
    return Load(
        entry=entry.url,
        model=MODEL,
        per_s=REQUESTS_PER_S / ENTRIES,
        seconds=seconds,
        tokens=TOKENS,
        prompts=generate_prompts(SEED + number),
        seed=SEED + number,
    )


def _print_results(
    module: str, loss: float, delay_s: float, outcomes: list[Outcome], fleet: Fleet
) -> None:
    counters = [each.backend.ask("GET", "/control/counters") for each in fleet.endpoints]
    computed = sum(counter["prefilled_tokens"] for counter in counters)
    cached = sum(counter["cached_tokens"] for counter in counters)
    answered = sum(outcome.answered for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    first = [t for outcome in outcomes for times in outcome.first.values() for t in times]
    busy = sum(_count_busy_rejections(each.agent) for each in fleet.endpoints)
    print(f"\n{module}, {loss:.0%} of events lost, {delay_s} s late: ", end="")
    print(f"{answered} answers, {failed} failed")
    print(f"  prefill computed {computed}, cached {cached} ({cached / (computed + cached):.0%})")
    print(f"  first token p50 {find_quantile(first, 0.5):.3f} s, ", end="")
    print(f"p95 {find_quantile(first, 0.95):.3f} s; starts refused as busy {busy}")
    print(f"  answers by engine {[c['decoded_tokens'] // TOKENS for c in counters]}")


def _count_busy_rejections(agent: Process) -> int:
    return agent.logs.read_text().count('"reason":"busy"')


def measure_memory(endpoints: int) -> None:
    """Print the memory of a prefix index that is full for all endpoints.

    :param endpoints: number of endpoints
    """
    rng = random.Random(SEED)
    tracemalloc.start()
    index = PrefixIndex()
    for number in range(endpoints):
        index.add(f"endpoint-{number}", ())
    for number in range(endpoints):
        hashes = [rng.getrandbits(62) * SAMPLE_EVERY for _ in range(4_096)]
        index.add(f"endpoint-{number}", hashes)
    del hashes
    prefixes_held = sum(index.count(f"endpoint-{number}") for number in range(endpoints))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    covered = prefixes_held * SAMPLE_EVERY * BLOCK_WORDS // endpoints
    print(f"{endpoints} endpoints: {prefixes_held} prefixes of at most {PREFIXES_MAX}, ", end="")
    print(f"{size / MEBIBYTE:.1f} MiB, {covered} prompt tokens for each endpoint")


def main() -> None:
    """Run the baseline, then the product with immediate, delayed and partly lost events."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    arguments = parser.parse_args()
    for endpoints in (64, FLEET_ENDPOINTS):
        measure_memory(endpoints)
    run(BASELINE, arguments.seconds, EVENT_LOSS, EVENT_DELAY_S)
    run(PRODUCT, arguments.seconds, 0.0, 0.0)
    run(PRODUCT, arguments.seconds, EVENT_LOSS, EVENT_DELAY_S)
    run(PRODUCT, arguments.seconds, 0.5, 2.0)


if __name__ == "__main__":
    main()
