"""Estimate of the contents of the endpoints' prefix caches."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.world.prefix import is_sampled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

PREFIXES_MAX = 262_144
"""Maximum number of sampled prefixes of all endpoints together."""

ENDPOINT_PREFIXES_MAX = 2_048
"""Maximum number of sampled prefixes of one endpoint."""

PREFIX_TTL_S = 300.0
"""Seconds after which an unused prefix expires; it may take up to twice as long."""


@attrs.define
class _EndpointPrefixes:
    """Prefixes of one endpoint in two sets; the older set is dropped when the newer is old or full.

    :param newer_since_s: time at which the newer set was started
    """

    newer_since_s: float
    newer: set[int] = attrs.field(factory=set)
    older: set[int] = attrs.field(factory=set)

    def rotate(self, now: float) -> None:
        self.older = self.newer if now - self.newer_since_s < 2 * PREFIX_TTL_S else set()
        self.newer = set()
        self.newer_since_s = now


class PrefixIndex:
    """Sampled prefixes by endpoint, in bounded memory; unused ones expire.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_endpoint: dict[str, _EndpointPrefixes] = {}

    def add(self, endpoint: str, hashes: Iterable[int]) -> None:
        """Add prefixes that an endpoint has cached, or will cache when it runs a request.

        :param endpoint: name of the endpoint
        :param hashes: hashes of the prefixes, shortest first
        """
        held = self._find(endpoint)
        if held is None:
            held = self._by_endpoint[endpoint] = _EndpointPrefixes(self._clock())
        limit = self._endpoint_limit()
        for value in hashes:
            if not is_sampled(value):
                continue
            if len(held.newer) >= limit // 2:
                held.rotate(self._clock())
            held.newer.add(value)
            held.older.discard(value)

    def drop(self, endpoint: str, hashes: Iterable[int]) -> None:
        """Remove prefixes that an endpoint no longer has cached.

        :param endpoint: name of the endpoint
        :param hashes: hashes of the prefixes
        """
        held = self._find(endpoint)
        if held is None:
            return
        for value in hashes:
            held.newer.discard(value)
            held.older.discard(value)

    def reset(self, endpoint: str) -> None:
        """Remove all prefixes of an endpoint.

        :param endpoint: name of the endpoint
        """
        self._by_endpoint.pop(endpoint, None)

    def count(self, endpoint: str) -> int:
        """:return: number of stored prefixes of an endpoint."""
        held = self._find(endpoint)
        return 0 if held is None else len(held.newer) + len(held.older)

    def count_cached_blocks(self, endpoint: str, hashes: Sequence[int]) -> int:
        """Count the leading blocks of a prompt that an endpoint has cached.

        :param endpoint: name of the endpoint
        :param hashes: hashes of the prompt's prefixes, shortest first
        :return: number of blocks in the longest stored prefix
        """
        held = self._find(endpoint)
        if held is None:
            return 0
        for blocks in range(len(hashes), 0, -1):
            value = hashes[blocks - 1]
            if is_sampled(value) and (value in held.newer or value in held.older):
                return blocks
        return 0

    def _find(self, endpoint: str) -> _EndpointPrefixes | None:
        held = self._by_endpoint.get(endpoint)
        if held is not None and self._clock() - held.newer_since_s >= PREFIX_TTL_S:
            held.rotate(self._clock())
        return held

    def _endpoint_limit(self) -> int:
        return max(2, min(ENDPOINT_PREFIXES_MAX, PREFIXES_MAX // len(self._by_endpoint)))


__all__ = ["ENDPOINT_PREFIXES_MAX", "PREFIXES_MAX", "PREFIX_TTL_S", "PrefixIndex"]
