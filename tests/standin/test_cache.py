"""Check the prefix cache of the engine stand-in and its events."""

from __future__ import annotations

from typing import Any

from basilroad.endpoints.messages import CacheEvent
from basilroad.standin.cache import PrefixCache
from basilroad.standin.settings import EngineStandinSettings
from basilroad.world.prefix import BLOCK_WORDS, hash_prefixes


def make_cache(**settings: Any) -> PrefixCache:
    return PrefixCache(EngineStandinSettings("e1", "127.0.0.1:0", "m", **settings))


def test_prefix_hash_covers_a_full_block_and_all_before_it() -> None:
    words = [f"w{number}" for number in range(3 * BLOCK_WORDS)]
    whole = hash_prefixes(" ".join(words))
    assert hash_prefixes(" ".join(words[:-1])) == whole[:2]
    assert hash_prefixes("\n".join(words)) == whole
    assert set(hash_prefixes(" ".join(["x", *words[1:]]))).isdisjoint(whole)


def test_only_a_leading_part_counts_as_cached() -> None:
    cache = make_cache()
    cache.add([1, 2, 3])
    assert cache.count_cached([1, 2, 9, 3]) == 2 * BLOCK_WORDS
    assert cache.count_cached([9, 1]) == 0


async def test_least_recently_used_prefix_is_dropped_first() -> None:
    cache = make_cache(cache_tokens=3 * BLOCK_WORDS)
    cache.add([1, 2])
    cache.add([3])
    cache.add([1])
    cache.add([4])
    assert sorted(cache.take_snapshot().hashes) == [1, 3, 4]
    assert (await cache.log.read(2, 0.0)) == (CacheEvent(3, (4,), (2,)),)


async def test_longest_prefix_is_dropped_before_those_it_extends() -> None:
    cache = make_cache(cache_tokens=3 * BLOCK_WORDS)
    cache.add([1, 2, 3])
    cache.add([4])
    assert cache.count_cached([1, 2, 3]) == 2 * BLOCK_WORDS


async def test_lost_events_leave_gaps_by_seed() -> None:
    def list_numbers(events: tuple[CacheEvent, ...]) -> list[int]:
        return [event.sequence for event in events]

    seen = []
    for _ in range(2):
        cache = make_cache(cache_event_loss=0.5, seed=3)
        for prefix in range(20):
            cache.add([prefix])
        seen.append(list_numbers(await cache.log.read(0, 0.0)))
    assert seen[0] == seen[1]
    assert 0 < len(seen[0]) < 20
    assert cache.take_snapshot().sequence == 20


async def test_events_are_delayed() -> None:
    late = make_cache(cache_event_delay_s=60.0)
    late.add([1])
    assert await late.log.read(0, 0.0) == ()
    soon = make_cache(cache_event_delay_s=0.02)
    soon.add([1])
    assert await soon.log.read(0, 0.0) == ()
    assert len(await soon.log.read(0, 60.0)) == 1


async def test_reader_from_before_a_restart_gets_all_events() -> None:
    cache = make_cache()
    cache.add([1])
    assert [event.sequence for event in await cache.log.read(900, 0.0)] == [1]
