"""Tests of retry budgets, token buckets and fencing."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.budget import RetryBudget, RetrySettings, TokenBucket
from basilroad.coordination.fence import FenceGuard


def test_retries_are_limited_to_a_ratio_of_requests(clock) -> None:
    budget = RetryBudget(RetrySettings(ratio=0.1, minimum_per_s=0), clock)
    retries = 0
    for _ in range(10_000):
        clock.advance(0.01)
        budget.record_request()
        retries += budget.take()
    assert 0.09 * 10_000 <= retries <= 0.1 * 10_000


def test_minimum_rate_is_allowed_with_few_requests(clock) -> None:
    budget = RetryBudget(RetrySettings(ratio=0.1, minimum_per_s=2, window_s=10), clock)
    assert sum(budget.take() for _ in range(100)) == 20
    clock.advance(100)
    assert budget.take()


@given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 30)), max_size=50))
def test_bucket_admits_at_most_its_rate_and_burst(steps) -> None:
    now, admitted, largest = 0.0, 0.0, 0.0
    bucket = TokenBucket(10, 20, lambda: now)
    for wait_s, amount in steps:
        now += wait_s
        if bucket.take(amount):
            admitted += amount
            largest = max(largest, amount)
    assert admitted <= 20 + 10 * now + max(0.0, largest - 20) + 1e-6


def test_delay_is_the_time_until_an_amount_is_admitted(clock) -> None:
    bucket = TokenBucket(10, 20, clock)
    assert bucket.take(50)
    assert bucket.delay(10) == pytest.approx(4)
    clock.advance(3.9)
    assert not bucket.take(10)
    clock.advance(0.11)
    assert bucket.take(10)
    bucket.force(30)
    assert bucket.delay(20) == pytest.approx(5, rel=0.01)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 5))))
def test_fence_rejects_numbers_below_the_highest_seen(commands) -> None:
    guard = FenceGuard()
    seen = {"a": 0, "b": 0}
    for resource, number in commands:
        assert guard.admit(resource, number) == (number >= seen[resource])
        seen[resource] = max(seen[resource], number)
        assert guard.highest(resource) == seen[resource]


def test_a_bucket_that_is_resized_keeps_its_level_as_far_as_it_fits(clock) -> None:
    bucket = TokenBucket(10, 20, clock)
    assert bucket.take(15)
    bucket.resize(1, 3)
    assert bucket.take(3)
    assert bucket.delay(2) == pytest.approx(2)
    bucket.resize(4, 8)
    assert bucket.delay(2) == pytest.approx(0.5)
    with pytest.raises(ValueError):
        bucket.resize(0, 1)
