"""Examples of Hypothesis are limited by processor time, not by the clock of a busy machine."""

from __future__ import annotations

import time

import pytest
from hypothesis import given, settings, strategies as st

from support.examples import EXAMPLE_LIMIT_S, limit_example


def work(seconds: float) -> None:
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


# fault: a busy machine failed tests of pure functions with "DeadlineExceeded"
@settings(max_examples=1)
@given(st.just(2 * EXAMPLE_LIMIT_S))
def test_an_example_that_waits_for_the_machine_passes(wait_s: float) -> None:
    time.sleep(wait_s)


def test_the_limit_is_by_processor_time() -> None:
    limit_example(time.sleep)(2 * EXAMPLE_LIMIT_S)
    with pytest.raises(AssertionError, match="of processor time"):
        limit_example(work)(1.5 * EXAMPLE_LIMIT_S)


def test_each_test_without_a_limit_of_its_own_has_this_one() -> None:
    test = test_an_example_that_waits_for_the_machine_passes
    assert hasattr(test.hypothesis.inner_test, "__wrapped__")
