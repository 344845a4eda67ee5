"""Check retry budgets, token buckets and fencing."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.budget import RetryBudget, RetrySettings, TokenBucket
from basilroad.coordination.fence import FenceGuard


def test_retries_stay_a_share_of_the_requests(clock) -> None:
    budget = RetryBudget(RetrySettings(ratio=0.1, minimum_per_s=0), clock)
    retries = 0
    for _ in range(10_000):
        clock.advance(0.01)
        budget.record_request()
        retries += budget.take()
    assert 0.09 * 10_000 <= retries <= 0.1 * 10_000


def test_few_requests_leave_the_minimum(clock) -> None:
    budget = RetryBudget(RetrySettings(ratio=0.1, minimum_per_s=2, window_s=10), clock)
    assert sum(budget.take() for _ in range(100)) == 20
    clock.advance(100)
    assert budget.take()


@given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 30)), max_size=50))
def test_bucket_lets_no_more_pass_than_its_rate_and_burst(steps) -> None:
    now, passed, largest = 0.0, 0.0, 0.0
    bucket = TokenBucket(10, 20, lambda: now)
    for wait, amount in steps:
        now += wait
        if bucket.take(amount):
            passed += amount
            largest = max(largest, amount)
    assert passed <= 20 + 10 * now + max(0.0, largest - 20) + 1e-6


def test_delay_is_the_wait_until_an_amount_passes(clock) -> None:
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
def test_fence_admits_no_number_below_one_it_has_seen(orders) -> None:
    guard = FenceGuard()
    seen = {"a": 0, "b": 0}
    for resource, number in orders:
        assert guard.admit(resource, number) == (number >= seen[resource])
        seen[resource] = max(seen[resource], number)
        assert guard.highest(resource) == seen[resource]
