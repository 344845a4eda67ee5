"""Exponential backoff with jitter."""

from __future__ import annotations

import random

RETRY_S = 0.5
"""Longest delay in seconds before the first retry."""

RETRY_MAX_S = 15.0
"""Longest delay in seconds before any retry."""


class Backoff:
    """Delays that double with each failure; up to half of each is jitter.

    :param seed: seed of the jitter
    """

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._failures = 0

    def fail(self) -> None:
        """Record a failure."""
        self._failures += 1

    def reset(self) -> None:
        """Reset the delay after a success or for a new operation."""
        self._failures = 0

    def draw(self) -> float:
        """:return: random delay in seconds before the next try."""
        longest_s = min(RETRY_MAX_S, RETRY_S * 2.0 ** max(0, self._failures - 1))
        return longest_s * self._random.uniform(0.5, 1.0)


__all__ = ["RETRY_MAX_S", "RETRY_S", "Backoff"]
