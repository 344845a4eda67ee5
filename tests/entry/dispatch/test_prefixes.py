"""Check the estimate of the endpoints' prefix caches."""

from __future__ import annotations

from basilroad.entry.dispatch.prefixes import (
    ENDPOINT_PREFIXES_MAX,
    PREFIX_TTL_S,
    PREFIXES_MAX,
    PrefixIndex,
)
from basilroad.world.prefix import SAMPLE_EVERY, hash_prefixes

PROMPTS = 50
PROMPT = " ".join(f"word{number}" for number in range(960))


class FakeClock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def test_sample_estimates_the_cached_blocks() -> None:
    index = PrefixIndex()
    covered = []
    for number in range(PROMPTS):
        hashes = hash_prefixes(f"{number} {PROMPT}")
        index.add("a", hashes[:40])
        covered.append(index.count_cached_blocks("a", hashes))
        assert index.count_cached_blocks("b", hashes) == 0
    # long gaps between sampled prefixes are rare; the mean gap is SAMPLE_EVERY - 1 blocks
    assert max(covered) <= 40
    assert sum(covered) / PROMPTS >= 40 - 1.5 * SAMPLE_EVERY
    assert index.count("a") <= 40 * PROMPTS / SAMPLE_EVERY * 1.2
    assert index.count_cached_blocks("a", hash_prefixes("x " + PROMPT)) == 0


def test_dropped_prefixes_and_reset_endpoints_are_removed() -> None:
    index = PrefixIndex()
    hashes = hash_prefixes(PROMPT)
    index.add("a", hashes)
    index.drop("a", hashes[20:])
    assert 0 < index.count_cached_blocks("a", hashes) <= 20
    index.reset("a")
    assert index.count_cached_blocks("a", hashes) == 0


def test_unused_prefixes_expire() -> None:
    clock = FakeClock()
    index = PrefixIndex(clock)
    hashes = hash_prefixes(PROMPT)
    index.add("a", hashes)
    clock.now += PREFIX_TTL_S
    index.add("a", hashes[:30])
    clock.now += PREFIX_TTL_S
    assert 0 < index.count_cached_blocks("a", hashes) <= 30
    clock.now += 2 * PREFIX_TTL_S
    assert index.count_cached_blocks("a", hashes) == 0


def test_memory_is_bounded_for_any_number_of_endpoints() -> None:
    index = PrefixIndex()
    index.add("a", range(0, SAMPLE_EVERY * 10 * ENDPOINT_PREFIXES_MAX, SAMPLE_EVERY))
    assert index.count("a") <= ENDPOINT_PREFIXES_MAX
    endpoints = [f"e{number}" for number in range(600)]
    for endpoint in endpoints:
        index.add(endpoint, ())
    for endpoint in endpoints:
        index.add(endpoint, range(0, SAMPLE_EVERY * 1000, SAMPLE_EVERY))
    assert sum(index.count(endpoint) for endpoint in endpoints) <= PREFIXES_MAX
