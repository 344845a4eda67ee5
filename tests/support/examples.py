"""Time limit of Hypothesis examples, by processor time."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import settings

EXAMPLE_LIMIT_S = 0.2
"""Processor time of an example; what Hypothesis allows for by the clock of the machine."""

WALL_LIMIT = timedelta(seconds=60)
"""Marks tests without a limit of their own."""

settings.register_profile("processor-time", deadline=WALL_LIMIT)
settings.load_profile("processor-time")


def limit_example(run: Callable[..., Any]) -> Callable[..., Any]:
    """Limit the processor time of a function.

    :param run: the function
    :return: the same, which fails an assertion if it takes longer
    """

    @functools.wraps(run)
    def run_limited(*args: Any, **kwargs: Any) -> Any:
        started_s = time.thread_time()
        result = run(*args, **kwargs)
        took_s = time.thread_time() - started_s
        assert took_s < EXAMPLE_LIMIT_S, f"an example took {took_s:.3f} s of processor time"
        return result

    return run_limited


def pytest_itemcollected(item: pytest.Item) -> None:
    """Limit the examples of a test."""
    test = getattr(item, "obj", None)
    handle = getattr(test, "hypothesis", None)
    own = getattr(test, "_hypothesis_internal_use_settings", None)
    if handle is None or (own is not None and own.deadline != WALL_LIMIT):
        return
    if not hasattr(handle.inner_test, "__wrapped__"):
        handle.inner_test = limit_example(handle.inner_test)


__all__ = ["EXAMPLE_LIMIT_S", "limit_example"]
