"""What the endpoints' prefix caches are believed to hold."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.world.prefix import is_sampled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

PREFIXES_MAX = 262_144
"""Sampled prefixes remembered for all endpoints together."""

ENDPOINT_PREFIXES_MAX = 2_048
"""Sampled prefixes remembered for one endpoint."""

FADE_S = 300.0
"""Seconds after which a prefix is forgotten, at the latest after twice as many."""


@attrs.define
class _Known:
    """Prefixes of one endpoint in two sets; the older one is dropped when the newer is old.

    :param begun_s: when the newer set was begun
    """

    begun_s: float
    newer: set[int] = attrs.field(factory=set)
    older: set[int] = attrs.field(factory=set)

    def rotate(self, now: float) -> None:
        self.older = self.newer if now - self.begun_s < 2 * FADE_S else set()
        self.newer = set()
        self.begun_s = now


class PrefixIndex:
    """Sampled prefixes by endpoint, in bounded memory; what is not used fades.

    :param clock: seconds that only grow
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._known: dict[str, _Known] = {}

    def add(self, endpoint: str, hashes: Iterable[int]) -> None:
        """Note prefixes that an endpoint holds, or will once it has run what was sent.

        :param endpoint: name of the endpoint
        :param hashes: of the prefixes, shortest first
        """
        known = self._find(endpoint)
        if known is None:
            known = self._known[endpoint] = _Known(self._clock())
        limit = self._limit()
        for value in hashes:
            if not is_sampled(value):
                continue
            if len(known.newer) >= limit // 2:
                known.rotate(self._clock())
            known.newer.add(value)
            known.older.discard(value)

    def drop(self, endpoint: str, hashes: Iterable[int]) -> None:
        """Note prefixes that an endpoint no longer holds.

        :param endpoint: name of the endpoint
        :param hashes: of the prefixes
        """
        known = self._find(endpoint)
        if known is None:
            return
        for value in hashes:
            known.newer.discard(value)
            known.older.discard(value)

    def reset(self, endpoint: str) -> None:
        """Forget an endpoint.

        :param endpoint: name of the endpoint
        """
        self._known.pop(endpoint, None)

    def count(self, endpoint: str) -> int:
        """:return: prefixes remembered for an endpoint."""
        known = self._find(endpoint)
        return 0 if known is None else len(known.newer) + len(known.older)

    def count_cached_blocks(self, endpoint: str, hashes: Sequence[int]) -> int:
        """Count the leading blocks of a prompt that an endpoint holds.

        :param endpoint: name of the endpoint
        :param hashes: of the prompt's prefixes, shortest first
        :return: how many blocks the longest one that is known covers
        """
        known = self._find(endpoint)
        if known is None:
            return 0
        for blocks in range(len(hashes), 0, -1):
            value = hashes[blocks - 1]
            if is_sampled(value) and (value in known.newer or value in known.older):
                return blocks
        return 0

    def _find(self, endpoint: str) -> _Known | None:
        known = self._known.get(endpoint)
        if known is not None and self._clock() - known.begun_s >= FADE_S:
            known.rotate(self._clock())
        return known

    def _limit(self) -> int:
        return max(2, min(ENDPOINT_PREFIXES_MAX, PREFIXES_MAX // len(self._known)))


__all__ = ["ENDPOINT_PREFIXES_MAX", "FADE_S", "PREFIXES_MAX", "PrefixIndex"]
