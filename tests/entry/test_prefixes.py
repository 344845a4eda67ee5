"""Check what is believed of the endpoints' caches."""

from __future__ import annotations

from basilroad.entry.prefixes import ENDPOINT_PREFIXES_MAX, FADE_S, PREFIXES_MAX, PrefixIndex
from basilroad.world.prefix import SAMPLE_EVERY, hash_prefixes

PROMPTS = 50
PROMPT = " ".join(f"word{number}" for number in range(960))


class FakeClock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def test_a_sample_shows_how_far_a_prompt_is_covered() -> None:
    index = PrefixIndex()
    covered = []
    for number in range(PROMPTS):
        hashes = hash_prefixes(f"{number} {PROMPT}")
        index.add("a", hashes[:40])
        covered.append(index.count_cached_blocks("a", hashes))
        assert index.count_cached_blocks("b", hashes) == 0
    # a gap in the sample is rarely long; on average it is one less than the sampling
    assert max(covered) <= 40
    assert sum(covered) / PROMPTS >= 40 - 1.5 * SAMPLE_EVERY
    assert index.count("a") <= 40 * PROMPTS / SAMPLE_EVERY * 1.2
    assert index.count_cached_blocks("a", hash_prefixes("x " + PROMPT)) == 0


def test_dropped_and_dead_is_forgotten() -> None:
    index = PrefixIndex()
    hashes = hash_prefixes(PROMPT)
    index.add("a", hashes)
    index.drop("a", hashes[20:])
    assert 0 < index.count_cached_blocks("a", hashes) <= 20
    index.reset("a")
    assert index.count_cached_blocks("a", hashes) == 0


def test_what_is_not_used_fades() -> None:
    clock = FakeClock()
    index = PrefixIndex(clock)
    hashes = hash_prefixes(PROMPT)
    index.add("a", hashes)
    clock.now += FADE_S
    index.add("a", hashes[:30])
    clock.now += FADE_S
    assert 0 < index.count_cached_blocks("a", hashes) <= 30
    clock.now += 2 * FADE_S
    assert index.count_cached_blocks("a", hashes) == 0


def test_memory_is_bounded_however_many_endpoints_there_are() -> None:
    index = PrefixIndex()
    index.add("a", range(0, SAMPLE_EVERY * 10 * ENDPOINT_PREFIXES_MAX, SAMPLE_EVERY))
    assert index.count("a") <= ENDPOINT_PREFIXES_MAX
    endpoints = [f"e{number}" for number in range(600)]
    for endpoint in endpoints:
        index.add(endpoint, ())
    for endpoint in endpoints:
        index.add(endpoint, range(0, SAMPLE_EVERY * 1000, SAMPLE_EVERY))
    assert sum(index.count(endpoint) for endpoint in endpoints) <= PREFIXES_MAX
