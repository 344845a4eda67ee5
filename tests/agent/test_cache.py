"""Check that a cache is followed through late events, gaps and restarts."""

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
    """Gives out scripted events."""

    snapshot: CacheSnapshot = attrs.field(factory=lambda: CacheSnapshot(0, ()))
    batches: deque[tuple[CacheEvent, ...]] = attrs.field(factory=deque)
    asked: list[int] = attrs.field(factory=list)
    snapshots: int = 0
    dead: bool = False

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        if self.dead:
            raise EngineConnectionError("gone")
        self.asked.append(since)
        return self.batches.popleft()

    async def read_cache(self) -> CacheSnapshot:
        if self.dead:
            raise EngineConnectionError("gone")
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


async def test_begins_with_the_whole_cache_and_goes_on_with_events(
    follower: CacheFollower, cache: FakeCache
) -> None:
    unsampled = SAMPLE_EVERY * 5 + 1
    cache.batches.append((CacheEvent(8, (*hashes(3), unsampled), hashes(1)),))
    await follower.step()
    await follower.step()
    assert cache.asked == [7]
    assert follower.held == set(hashes(2, 3))
    change = follower.take_change()
    assert change is not None
    assert set(change.added) == set(hashes(2, 3))
    assert set(change.dropped) == set(hashes(1))
    assert follower.take_change() is None


async def test_a_gap_has_the_cache_read_again_but_not_at_once(
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


async def test_numbers_that_fall_back_mean_an_empty_cache(
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


async def test_an_engine_that_came_back_is_read_whole(
    follower: CacheFollower, cache: FakeCache, clock: FakeClock
) -> None:
    await follower.step()
    cache.dead = True
    with pytest.raises(EngineConnectionError):
        await follower.step()
    follower.forget()
    clock.now += 8.0
    cache.dead = False
    cache.snapshot = CacheSnapshot(40, hashes(6))
    await follower.step()
    assert follower.held == set(hashes(6))
    change = follower.take_change()
    assert change is not None
    assert change.reset


async def test_messages_are_bounded(follower: CacheFollower, cache: FakeCache) -> None:
    count = MESSAGE_HASHES + 10
    cache.snapshot = CacheSnapshot(1, hashes(*range(count)))
    await follower.step()
    parts = [follower.take_change(), follower.take_change()]
    assert [len(part.added) for part in parts if part] == [MESSAGE_HASHES, 10]
    told = follower.describe()
    assert [part.reset for part in told] == [True, False]
    assert {value for part in told for value in part.added} == follower.held
