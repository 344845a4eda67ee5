"""Endpoints that process a prompt or did recently, and may have it in their cache."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from basilroad.clocks import read_boot_clock

if TYPE_CHECKING:
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.notices import Lifetime

RETENTION_S = 15.0
"""Time after the end of a run for which its prompt may be in the engine's cache; the least recently
used prompts leave first, in this time also at an engine that is half full."""

MAX_PROMPTS = 4096
"""Maximum number of prompts kept, many times those of one host in a run and that time."""


@attrs.frozen
class PromptLocation:
    """Endpoint that ran a prompt last.

    All times are seconds of the boot clock.

    :param endpoint_id: id of the endpoint
    :param started_ms: start time of the endpoint; another start has an empty cache
    :param began_at: time at which the run was recorded, when it was sent or its endpoint had the
        prompt; one that was recorded later replaces it
    :param expires_at: time after which the endpoint is not expected to have the prompt: counted
        from the end of the run, or from its deadline while the end isn't known
    """

    endpoint_id: str
    started_ms: int
    began_at: float
    expires_at: float

    def is_at(self, lifetime: Lifetime) -> bool:
        """:return: whether the run was in a lifetime of an endpoint."""
        return (self.endpoint_id, self.started_ms) == (lifetime.id, lifetime.started_ms)


@attrs.define
class _Running:
    """Runs of one prompt by this gateway in one lifetime of an endpoint.

    :param count: their number
    :param began_at: time at which the last one was sent
    """

    count: int = 0
    began_at: float = 0.0


class PromptLocations:
    """Last location of each recent prompt, by the key of the prompt.

    :param clock: seconds of the boot clock
    """

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self._clock = clock
        self._longest_s = math.inf
        self._known: OrderedDict[bytes, PromptLocation] = OrderedDict()
        self._running: dict[tuple[bytes, Lifetime], _Running] = {}

    def __iter__(self) -> Iterator[bytes]:
        return iter(list(self._known))

    def limit_runs(self, longest_s: float) -> None:
        """Limit how long reported locations are kept.

        A limit that is shortened counts on, as runs that began before may still go on.

        :param longest_s: longest time limit of streams in seconds
        """
        if math.isfinite(self._longest_s):
            longest_s = max(longest_s, self._longest_s)
        self._longest_s = longest_s
        for key, known in self._known.items():
            self._known[key] = self._bound(known)

    def begin(self, key: bytes, endpoint: Endpoint, time_left_s: float) -> Lifetime:
        """Record that this gateway sends a prompt to an endpoint.

        :param key: key of the prompt
        :param endpoint: the endpoint
        :param time_left_s: seconds until the deadline of the run
        :return: lifetime of the endpoint, which may have restarted at the end of the run
        """
        now, lifetime = self._clock(), endpoint.entry.lifetime
        expires_at = now + max(0.0, time_left_s) + RETENTION_S
        running = self._running.setdefault((key, lifetime), _Running())
        known = self._known.get(key)
        if running.count and known is not None and known.is_at(lifetime):
            expires_at = max(expires_at, known.expires_at)
        running.count += 1
        running.began_at = now
        self._put(key, PromptLocation(lifetime.id, lifetime.started_ms, now, expires_at))
        return lifetime

    def end(self, key: bytes, lifetime: Lifetime) -> None:
        """Record that a run of this gateway has ended.

        :param key: key of its prompt
        :param lifetime: lifetime of its endpoint at its begin
        """
        known, running = self._known.get(key), self._leave(key, lifetime)
        if running.count or known is None or not known.is_at(lifetime):
            return
        expires_at = self._clock() + RETENTION_S
        if known.began_at > running.began_at:
            # another gateway reported a later run, which goes on
            expires_at = max(expires_at, known.expires_at)
        self._known[key] = attrs.evolve(known, expires_at=expires_at)

    def withdraw(self, key: bytes, lifetime: Lifetime) -> None:
        """Record that an endpoint has not run a prompt that was sent to it.

        :param key: key of the prompt
        :param lifetime: lifetime of the endpoint at the send
        """
        known, running = self._known.get(key), self._leave(key, lifetime)
        if not running.count and known is not None and known.is_at(lifetime):
            del self._known[key]

    def merge(self, key: bytes, reported: PromptLocation) -> None:
        """Apply the report of another gateway, unless it is of an earlier run or has expired.

        :param key: key of the prompt
        :param reported: its location
        """
        known, reported = self.find(key), self._bound(reported)
        is_later = known is None or reported.began_at > known.began_at
        if is_later and self._clock() <= reported.expires_at:
            self._put(key, reported)

    def find(self, key: bytes) -> PromptLocation | None:
        """Find the endpoint that processed a prompt.

        :param key: key of the prompt
        :return: its location, if the endpoint may have the prompt in its cache
        """
        known = self._known.get(key)
        if known is None or self._clock() > known.expires_at:
            return None
        return known

    def expire(self) -> None:
        """Remove the locations of prompts that are not expected to be cached."""
        now = self._clock()
        for key in [key for key, known in self._known.items() if now > known.expires_at]:
            del self._known[key]

    def _bound(self, location: PromptLocation) -> PromptLocation:
        latest = location.began_at + self._longest_s + RETENTION_S
        if location.expires_at <= latest:
            return location
        return attrs.evolve(location, expires_at=latest)

    def _leave(self, key: bytes, lifetime: Lifetime) -> _Running:
        index = key, lifetime
        running = self._running.get(index, _Running(1))
        running.count -= 1
        if not running.count:
            self._running.pop(index, None)
        return running

    def _put(self, key: bytes, location: PromptLocation) -> None:
        self._known[key] = location
        self._known.move_to_end(key)
        if len(self._known) > MAX_PROMPTS:
            self._known.popitem(last=False)


__all__ = ["RETENTION_S", "PromptLocation", "PromptLocations"]
