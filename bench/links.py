"""Measure inter-region bytes and times to first tokens against round robin over all endpoints.

The fleets are those of the two users, scaled down about five times. Engines and daemons of both
regions are real processes; agents of the smaller region are behind proxies that add delay.
"""

from __future__ import annotations

import argparse
import random
import tempfile
from pathlib import Path

import attrs

from bench.traffic import (
    RANK_NAMES,
    Load,
    MetricsSink,
    Outcome,
    apply_loads,
    find_quantile,
)
from support.background import Background
from support.fleet import Fleet

SLOTS = 8
TOKEN_INTERVAL_S = 0.05
PREFILL_S = 0.0005
TOKENS = 60
PROMPT_WORDS = 300
PROMPTS = 40
LINK_DELAY_S = 0.02
UTILISATION = 0.6
SECONDS = 20.0
RUN_TIMEOUT_MARGIN_S = 120.0
SEED = 11
BASELINE = "bench.roundrobin"
PRODUCT = "basilroad"


@attrs.frozen
class User:
    """Fleet of one of the users, scaled down.

    :param name: name of the user
    :param model: name of the model
    :param larger: region and data centre with most engines
    :param smaller: region and data centre with the rest
    :param engines: numbers of engines in the two regions
    """

    name: str
    model: str
    larger: tuple[str, str]
    smaller: tuple[str, str]
    engines: tuple[int, int]


USERS = (
    User("ozolkoks", "spec-llm", ("riga", "riga-a"), ("kurzeme", "kurzeme-a"), (4, 2)),
    User("kovan", "bal-model", ("ege", "izmir-a"), ("karadeniz", "trabzon-a"), (2, 1)),
)


@attrs.frozen
class Scenario:
    """Conditions of one run.

    :param name: name of the scenario
    :param larger_region_share: fraction of the larger region's engines that are started
    :param bandwidth_bits_per_s: bandwidth of the link
    """

    name: str
    larger_region_share: float = 1.0
    bandwidth_bits_per_s: float = 15_000_000.0


def list_scenarios(narrow: float) -> tuple[Scenario, ...]:
    """:return: the scenarios, the last one with a link of ``narrow`` bits per second."""
    return (
        Scenario("balanced"),
        Scenario("halved", 0.5),
        Scenario("halved, narrow link", 0.5, narrow),
    )


def run_scenario(user: User, scenario: Scenario, module: str, seconds: float) -> None:
    """Measure one run and print its figures.

    :param user: user whose fleet is started
    :param scenario: conditions of the run
    :param module: Python module that the entries run, the product or the baseline
    :param seconds: duration of the load
    """
    sink = MetricsSink()
    background = Background()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), background, sink.address)
        try:
            outcomes = _measure(user, scenario, module, seconds, fleet, background)
        finally:
            fleet.close()
            background.close()
            sink.close()
    _print_results(user, scenario, module, seconds, outcomes, sink)


def _measure(
    user: User,
    scenario: Scenario,
    module: str,
    seconds: float,
    fleet: Fleet,
    background: Background,
) -> list[Outcome]:
    fleet.add_platform()
    link = "--".join(sorted((user.larger[0], user.smaller[0])))
    bandwidth = scenario.bandwidth_bits_per_s
    fleet.put_setting(f"links/{link}", {"bandwidth_bits_per_s": bandwidth})
    larger_count = round(user.engines[0] * scenario.larger_region_share)
    for place, count in ((user.larger, larger_count), (user.smaller, user.engines[1])):
        for number in range(count):
            _add_engine(user, fleet, place, number)
    entries = [
        fleet.add_entry(f"entry-{place[0]}", place=place, module=module)
        for place in (user.larger, user.smaller)
    ]
    fleet.wait_ready()
    capacity = SLOTS / (TOKENS * TOKEN_INTERVAL_S + PREFILL_S * PROMPT_WORDS)
    loads = [
        Load(
            entry=entry.url,
            model=user.model,
            per_s=UTILISATION * capacity * engines,
            seconds=seconds,
            tokens=TOKENS,
            prompts=_generate_prompts(SEED + number),
            seed=SEED + number,
        )
        for number, (entry, engines) in enumerate(zip(entries, user.engines, strict=True))
    ]
    return background.run(apply_loads(loads), seconds + RUN_TIMEOUT_MARGIN_S)


def _add_engine(user: User, fleet: Fleet, place: tuple[str, str], number: int) -> None:
    in_smaller = place == user.smaller
    endpoint = fleet.add_engine(
        f"{place[1]}-{number}",
        place=place,
        proxied=in_smaller,
        model=user.model,
        slots=SLOTS,
        token_interval_s=TOKEN_INTERVAL_S,
        prefill_s_per_token=PREFILL_S,
    )
    if endpoint.agent.proxy is not None:
        endpoint.agent.proxy.delay(LINK_DELAY_S)


def _generate_prompts(seed: int) -> tuple[str, ...]:
    rng = random.Random(seed)
    letters = "abcdefghijklmnoprstuvz"
    words = ["".join(rng.choices(letters, k=rng.randint(2, 9))) for _ in range(2_000)]
    return tuple(" ".join(rng.choices(words, k=PROMPT_WORDS)) for _ in range(PROMPTS))


def _print_results(
    user: User,
    scenario: Scenario,
    module: str,
    seconds: float,
    outcomes: list[Outcome],
    sink: MetricsSink,
) -> None:
    causes = sink.sum_link()
    uncompressed = causes.pop("plain", 0)
    total = sum(causes.values())
    answered = sum(outcome.answered for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    print(f"\n{user.name}, {scenario.name}, {module}: {answered} answers, {failed} failed")
    mean_bytes = total / max(1, answered)
    print(f"  link {total} bytes ({total / seconds:.0f} a second, {mean_bytes:.0f} an answer)")
    print(f"  by cause {dict(causes.most_common())}")
    print(f"  by source {dict(sink.sum_link_by_source())}")
    peaks = {source: round(peak) for source, peak in sink.find_peaks().items()}
    print(f"  peak bytes a second by source {peaks}")
    compressed = total - causes["framing"]
    print(f"  messages {uncompressed} bytes plain, {compressed} as sent")
    for number, outcome in enumerate(outcomes):
        region = (user.larger, user.smaller)[number][0]
        parts = [_format_rank(outcome, rank) for rank in RANK_NAMES]
        gap = find_quantile(outcome.gaps, 0.95)
        print(f"  {region}: first token {', '.join(parts)}; gap p95 {gap * 1000:.0f} ms")


def _format_rank(outcome: Outcome, rank: str) -> str:
    first = outcome.first.get(rank, [])
    p50, p95 = find_quantile(first, 0.5), find_quantile(first, 0.95)
    return f"{rank} p50 {p50:.2f} p95 {p95:.2f} s ({len(first)})"


def main() -> None:
    """Run every scenario for every user, the baseline first."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--user", default="")
    parser.add_argument("--scene", default="")
    parser.add_argument("--narrow", type=float, default=32_000.0)
    parser.add_argument("--module", default="")
    arguments = parser.parse_args()
    for user in USERS:
        for scenario in list_scenarios(arguments.narrow):
            if arguments.user not in user.name or arguments.scene not in scenario.name:
                continue
            for module in (BASELINE, PRODUCT):
                if arguments.module not in module:
                    continue
                run_scenario(user, scenario, module, arguments.seconds)


if __name__ == "__main__":
    main()
