"""Processor time that the code of a test takes itself."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from functools import wraps
from typing import Any, ParamSpec, TypeVar

EXAMPLE_LIMIT_S = 0.2
"""Processor time of one example of a property."""

FULL_COLLECTION = 2
"""Generation whose collection visits all objects of the process, whoever made them."""

P = ParamSpec("P")
T = TypeVar("T")


class ProcessorTime:
    """Measures the processor time of this thread without full garbage collections."""

    def __enter__(self) -> ProcessorTime:
        """:return: itself, measuring from now on."""
        self._collected_s = 0.0
        self._collecting_at = 0.0
        gc.callbacks.append(self._observe)
        self._began_at = time.thread_time()
        return self

    def __exit__(self, *_: object) -> None:
        """Keep the time."""
        self.used_s = time.thread_time() - self._began_at - self._collected_s
        gc.callbacks.remove(self._observe)

    def _observe(self, phase: str, details: dict[str, Any]) -> None:
        if details["generation"] != FULL_COLLECTION:
            return
        if phase == "start":
            self._collecting_at = time.thread_time()
        else:
            self._collected_s += time.thread_time() - self._collecting_at


def limit_example(test: Callable[P, T]) -> Callable[P, T]:
    """Limit the processor time of each example, in place of the deadline by the clock.

    :param test: body of a property
    :return: the same, failing when an example takes more
    """

    @wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> T:
        with ProcessorTime() as processor:
            result = test(*args, **kwargs)
        assert processor.used_s < EXAMPLE_LIMIT_S
        return result

    return run


__all__ = ["EXAMPLE_LIMIT_S", "ProcessorTime", "limit_example"]
