"""Check that a cache sample stays correct after late events, gaps and restarts."""

from __future__ import annotations

from collections import deque

import attrs
import pytest

from basilroad.agent.cache import MESSAGE_HASHES, CacheFollower
from basilroad.endpoints.errors import EngineConnectionError
from basilroad.endpoints.messages import CacheEvent, CacheSnapshot
from basilroad.world.prefix import SAMPLE_EVERY


@attrs.define
class FakeCache:
    """Returns scripted events."""

    snapshot: CacheSnapshot = attrs.field(factory=lambda: CacheSnapshot(0, ()))
    batches: deque[tuple[CacheEvent, ...]] = attrs.field(factory=deque)
    sequences_read: list[int] = attrs.field(factory=list)
    snapshots: int = 0
    crashed: bool = False

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        if self.crashed:
            raise EngineConnectionError("unreachable")
        self.sequences_read.append(since)
        return self.batches.popleft()

    async def read_cache(self) -> CacheSnapshot:
        if self.crashed:
            raise EngineConnectionError("unreachable")
        self.snapshots += 1
        return self.snapshot


class FakeClock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def hashes(*numbers: int) -> tuple[int, ...]:
    return tuple(number * SAMPLE_EVERY for number in numbers)


@pytest.fixture
def cache() -> FakeCache:
    return FakeCache(CacheSnapshot(7, hashes(1, 2)))


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def follower(cache: FakeCache, clock: FakeClock) -> CacheFollower:
    return CacheFollower("engine", cache, resync_s=5.0, clock=clock)


async def test_reads_the_whole_cache_first_and_then_events(
    follower: CacheFollower, cache: FakeCache
) -> None:
    unsampled = SAMPLE_EVERY * 5 + 1
    cache.batches.append((CacheEvent(8, (*hashes(3), unsampled), hashes(1)),))
    await follower.step()
    await follower.step()
    assert cache.sequences_read == [7]
    assert follower.held == set(hashes(2, 3))
    change = follower.take_change()
    assert change is not None
    assert set(change.added) == set(hashes(2, 3))
    assert set(change.dropped) == set(hashes(1))
    assert follower.take_change() is None


async def test_a_gap_causes_a_rate_limited_resync(
    follower: CacheFollower, cache: FakeCache, clock: FakeClock
) -> None:
    cache.batches.extend([(CacheEvent(9, hashes(9)),), (CacheEvent(10, hashes(10)),)])
    await follower.step()
    follower.take_change()
    await follower.step()
    cache.snapshot = CacheSnapshot(10, hashes(2, 9, 10))
    await follower.step()
    assert cache.snapshots == 1
    clock.now += 8.0
    await follower.step()
    assert cache.snapshots == 2
    change = follower.take_change()
    assert change is not None
    assert set(change.dropped) == set(hashes(1))
    assert set(change.added) == set(hashes(9, 10))
    assert not change.reset


async def test_decreasing_sequence_numbers_clear_the_sample(
    follower: CacheFollower, cache: FakeCache
) -> None:
    cache.batches.append((CacheEvent(1, hashes(5)),))
    await follower.step()
    follower.take_change()
    await follower.step()
    change = follower.take_change()
    assert change is not None
    assert change.reset
    assert follower.held == set(change.added) == set(hashes(5))


async def test_the_whole_cache_is_read_after_an_engine_recovers(
    follower: CacheFollower, cache: FakeCache, clock: FakeClock
) -> None:
    await follower.step()
    cache.crashed = True
    with pytest.raises(EngineConnectionError):
        await follower.step()
    follower.forget()
    clock.now += 8.0
    cache.crashed = False
    cache.snapshot = CacheSnapshot(40, hashes(6))
    await follower.step()
    assert follower.held == set(hashes(6))
    change = follower.take_change()
    assert change is not None
    assert change.reset


async def test_hashes_per_message_are_limited(follower: CacheFollower, cache: FakeCache) -> None:
    count = MESSAGE_HASHES + 10
    cache.snapshot = CacheSnapshot(1, hashes(*range(count)))
    await follower.step()
    parts = [follower.take_change(), follower.take_change()]
    assert [len(part.added) for part in parts if part] == [MESSAGE_HASHES, 10]
    messages = follower.describe()
    assert [part.reset for part in messages] == [True, False]
    assert {value for part in messages for value in part.added} == follower.held
