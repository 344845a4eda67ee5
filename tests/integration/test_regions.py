"""Check with real processes that requests stay in the local region unless waiting costs more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bench.traffic import MetricsSink
from support.background import Background
from support.callers import StreamedAnswer, stream_completion
from support.fleet import Endpoint, Fleet, Process
from support.timelimit import TimeLimit

if TYPE_CHECKING:
    from pathlib import Path

MODEL = "spec-llm"
NEAR = ("riga", "riga-a")
FAR = ("kurzeme", "kurzeme-a")
DELAY_S = 0.02
SLOTS = 4
TOKENS = 60
TIMEOUT_S = 20.0
PREFIXES = 10
PREFIX_WORDS = 640


async def ask_many(entry: Process, count: int, name: str) -> list[StreamedAnswer]:
    return list(
        await asyncio.gather(
            *(
                stream_completion(
                    entry.url,
                    f"{name} {number}",
                    model=MODEL,
                    max_tokens=TOKENS,
                    headers={"X-Rank": "urgent"},
                    seed=1,
                )
                for number in range(count)
            )
        )
    )


def count_decoded(endpoint: Endpoint) -> int:
    return int(endpoint.backend.ask("GET", "/control/counters")["decoded_tokens"])


def test_work_leaves_its_region_only_when_waiting_costs_more(
    tmp_path: Path, background: Background
) -> None:
    sink = MetricsSink()
    fleet = Fleet(tmp_path, background, sink.address)
    try:
        fleet.add_platform()
        settings = {"model": MODEL, "slots": SLOTS, "token_interval_s": 0.02}
        near = fleet.add_engine("near", place=NEAR, **settings)
        far = fleet.add_engine("far", place=FAR, proxied=True, **settings)
        assert far.agent.proxy is not None
        far.agent.proxy.delay(DELAY_S)
        entry = fleet.add_entry("entry-1", place=NEAR)
        fleet.wait_ready()
        # an entry without an agent of the local region sends requests to the remote region
        entry.wait_logged('"agent":"near-agent"')
        entry.wait_logged('"agent":"far-agent"')

        few = background.run(ask_many(entry, SLOTS, "few"))
        assert all(answer.ended and not answer.error for answer in few)
        assert count_decoded(far) == 0

        many = background.run(ask_many(entry, 4 * SLOTS, "many"))
        assert all(answer.ended and not answer.error for answer in many)
        assert count_decoded(far) >= SLOTS * TOKENS
        assert count_decoded(near) + count_decoded(far) == 5 * SLOTS * TOKENS

        # a process sends its counters about once a second
        TimeLimit(TIMEOUT_S).wait_until(
            lambda: {"prompt", "tokens"} <= sink.sum_link().keys(), "no counters of both causes"
        )
        causes = sink.sum_link()
        assert causes["tokens"] > 0
        assert causes["prompt"] > 0
    finally:
        fleet.close()
        sink.close()


def test_prefixes_are_found_by_an_entry_that_did_not_send_them(fleet: Fleet) -> None:
    fleet.add_platform()
    for number in range(4):
        fleet.add_engine(f"engine-{number}", model=MODEL, cache_event_delay_s=0.2)
    first, second = (fleet.add_entry(f"entry-{number}") for number in range(2))
    fleet.wait_ready()
    for number in range(PREFIXES):
        asyncio.run(ask_one(first, number))
    assert sum(map(count_cached, fleet.endpoints)) == 0
    for number in range(PREFIXES):
        asyncio.run(ask_one(second, number))
    # random assignment to 4 engines would hit a quarter
    hits = sum(map(count_cached, fleet.endpoints)) / PREFIX_WORDS
    assert hits >= 0.8 * PREFIXES


async def ask_one(entry: Process, number: int) -> None:
    shared = " ".join(f"spec{number}-{word}" for word in range(PREFIX_WORDS))
    answer = await stream_completion(
        entry.url, f"{shared} cask {entry.name}", model=MODEL, max_tokens=TOKENS, seed=1
    )
    assert answer.ended, answer.error


def count_cached(endpoint: Endpoint) -> int:
    return int(endpoint.backend.ask("GET", "/control/counters")["cached_tokens"])
