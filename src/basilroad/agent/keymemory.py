"""Index of the claims under which keyed calls began."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

RETAIN_S = 600.0
"""Seconds after its start for which a call must be stored for the index to be complete."""

MAX_KEYS = 20_000
"""Maximum number of keys stored."""


@attrs.frozen
class _BegunCall:
    ticket: str
    begun_s: float


class KeyedCallIndex:
    """Stores the claim under which each keyed call last began.

    :param limit: maximum number of keys stored
    :param clock: monotonic clock in seconds
    """

    def __init__(self, limit: int = MAX_KEYS, clock: Callable[[], float] = time.monotonic) -> None:
        self._limit = limit
        self._clock = clock
        self._begun: OrderedDict[str, _BegunCall] = OrderedDict()
        self._evicted_begun_s = float("-inf")

    @property
    def is_complete(self) -> bool:
        """:return: whether every call that began within ``RETAIN_S`` is stored."""
        return self._evicted_begun_s < self._clock() - RETAIN_S

    def record(self, key: str, ticket: str) -> None:
        """Store the claim of a call that begins.

        :param key: idempotency key of the call
        :param ticket: ticket of its claim
        """
        self._begun[key] = _BegunCall(ticket, self._clock())
        self._begun.move_to_end(key)
        while len(self._begun) > self._limit:
            _, begun = self._begun.popitem(last=False)
            self._evicted_begun_s = begun.begun_s

    def find(self, key: str) -> str | None:
        """:return: ticket of the claim under which a call last began, if it is stored."""
        begun = self._begun.get(key)
        return begun.ticket if begun is not None else None


__all__ = ["MAX_KEYS", "RETAIN_S", "KeyedCallIndex"]
