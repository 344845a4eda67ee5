"""Index of the claims under which keyed calls began."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

RETAIN_S = 600.0
"""Seconds after its end for which a call must be stored for the index to be complete."""

MAX_KEYS = 20_000
"""Maximum number of keys of ended calls stored."""


@attrs.frozen
class _EndedCall:
    ticket: str
    ended_s: float


class KeyedCallIndex:
    """Stores the claim under which each keyed call last began.

    :param limit: maximum number of keys of ended calls stored
    :param clock: monotonic clock in seconds
    """

    def __init__(self, limit: int = MAX_KEYS, clock: Callable[[], float] = time.monotonic) -> None:
        self._limit = limit
        self._clock = clock
        self._running: dict[str, str] = {}
        self._ended: OrderedDict[str, _EndedCall] = OrderedDict()
        self._evicted_ended_s = float("-inf")

    @property
    def is_complete(self) -> bool:
        """:return: whether every call that runs, or ended within ``RETAIN_S``, is stored."""
        return self._evicted_ended_s < self._clock() - RETAIN_S

    def record(self, key: str, ticket: str) -> None:
        """Store the claim of a call that begins.

        :param key: idempotency key of the call
        :param ticket: ticket of its claim
        """
        self._running[key] = ticket

    def finish(self, key: str, ticket: str) -> None:
        """Record the end of a call.

        :param key: idempotency key of the call
        :param ticket: ticket of its claim
        """
        if self._running.get(key) != ticket:
            return
        del self._running[key]
        self._ended[key] = _EndedCall(ticket, self._clock())
        self._ended.move_to_end(key)
        while len(self._ended) > self._limit:
            _, ended = self._ended.popitem(last=False)
            self._evicted_ended_s = ended.ended_s

    def find(self, key: str) -> str | None:
        """:return: ticket of the claim under which a call last began, if it is stored."""
        if key in self._running:
            return self._running[key]
        ended = self._ended.get(key)
        return ended.ticket if ended is not None else None


__all__ = ["MAX_KEYS", "RETAIN_S", "KeyedCallIndex"]
