"""The limit of an example is on the processor time of its own code."""

from __future__ import annotations

import gc
import time

import pytest

from support.processortime import EXAMPLE_LIMIT_S, ProcessorTime, limit_example

OBJECTS = 1_000_000


def use_processor(length_s: float) -> None:
    began_at = time.thread_time()
    while time.thread_time() - began_at < length_s:
        pass


# fault: an example failed for a garbage collection of all that other tests had left behind
def test_a_full_collection_does_not_count() -> None:
    kept = [{"number": [number]} for number in range(OBJECTS)]
    with ProcessorTime() as processor:
        began_at = time.thread_time()
        for _ in range(5):
            gc.collect()
        collected_s = time.thread_time() - began_at
    assert len(kept) == OBJECTS
    assert processor.used_s < collected_s / 10


# fault: an example failed for the time that it waited for a processor
def test_an_example_that_waits_is_in_time() -> None:
    assert limit_example(time.sleep)(1.5 * EXAMPLE_LIMIT_S) is None


def test_an_example_that_takes_too_much_processor_time_fails() -> None:
    with pytest.raises(AssertionError):
        limit_example(use_processor)(1.1 * EXAMPLE_LIMIT_S)


def test_a_collection_of_new_objects_counts() -> None:
    with ProcessorTime() as processor:
        began_at = time.thread_time()
        for _ in range(20):
            made = [[number] for number in range(10_000)]
            gc.collect(0)
        took_s = time.thread_time() - began_at
    assert made
    assert processor.used_s > 0.8 * took_s
