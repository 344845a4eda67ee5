"""Values that are read with a lag."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from time import monotonic
from typing import Generic, TypeVar

Value = TypeVar("Value")

MAX_EXPIRED_RECORDS = 256
"""Expired records that may accumulate before all are deleted at once."""


class LaggingValue(Generic[Value]):
    """Keeps the history of a value, to read it as it was some seconds ago.

    :param first: value before the first record
    :param retention_s: longest lag in seconds that can be read
    :param clock: monotonic time in seconds
    """

    def __init__(
        self, first: Value, retention_s: float, clock: Callable[[], float] = monotonic
    ) -> None:
        self._retention_s = retention_s
        self._clock = clock
        self._times = [float("-inf")]
        self._values = [first]

    @property
    def newest(self) -> Value:
        """:return: the value recorded last."""
        return self._values[-1]

    def record(self, value: Value) -> None:
        """Record a new current value.

        :param value: the value
        """
        self._times.append(self._clock())
        self._values.append(value)
        expired = self._find(self._retention_s)
        if expired > MAX_EXPIRED_RECORDS:
            del self._times[:expired]
            del self._values[:expired]

    def read(self, lag_s: float) -> Value:
        """Read the value as it was some time ago.

        :param lag_s: seconds to look back, at most ``retention_s``
        :return: the value at that time
        """
        return self._values[self._find(lag_s)]

    def _find(self, lag_s: float) -> int:
        after = bisect_right(self._times, self._clock() - lag_s)
        return max(0, after - 1)


__all__ = ["LaggingValue"]
