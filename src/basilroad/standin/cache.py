"""Prefix cache of an engine stand-in and its events."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence
from random import Random
from time import monotonic

from basilroad.endpoints.messages import CacheEvent, CacheSnapshot
from basilroad.standin.settings import EngineStandinSettings
from basilroad.world.prefix import BLOCK_WORDS

MAX_EVENTS = 4096
"""Newest events that can be read; older ones are discarded."""


class EventLog:
    """Publishes cache events with a delay and with losses.

    :param settings: settings of the engine
    """

    def __init__(self, settings: EngineStandinSettings) -> None:
        self._delay_s = settings.cache_event_delay_s
        self._loss_share = settings.cache_event_loss
        self._random = Random(settings.seed)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._published = asyncio.Event()
        self.sequence = 0

    def publish(self, added: Sequence[int], dropped: Sequence[int]) -> None:
        """Publish a change; the event may be lost.

        :param added: hashes of prefixes that were added
        :param dropped: hashes of prefixes that were dropped
        """
        self.sequence += 1
        if self._random.random() < self._loss_share:
            return
        event = CacheEvent(self.sequence, tuple(added), tuple(dropped))
        self._events.append((monotonic() + self._delay_s, event))
        self._published.set()

    async def read(self, since: int, wait_s: float) -> tuple[CacheEvent, ...]:
        """Wait for published events.

        :param since: sequence number of the last event the reader has
        :param wait_s: seconds to wait for the first one
        :return: the later events, oldest first; empty after a timeout
        """
        if since > self.sequence:
            # The reader's number is from before a restart of this engine.
            since = 0
        deadline = monotonic() + wait_s
        while True:
            events = self._list_visible(since)
            remaining_s = deadline - monotonic()
            if events or remaining_s <= 0:
                return events
            await self._wait(since, remaining_s)

    def _list_visible(self, since: int) -> tuple[CacheEvent, ...]:
        now = monotonic()
        return tuple(e for at, e in self._events if e.sequence > since and at <= now)

    async def _wait(self, since: int, remaining_s: float) -> None:
        times = [at for at, event in self._events if event.sequence > since]
        if times:
            until_s = max(0.0, times[0] - monotonic())
            await asyncio.sleep(min(until_s, remaining_s))
            return
        self._published.clear()
        try:
            await asyncio.wait_for(self._published.wait(), remaining_s)
        except TimeoutError:
            return


class PrefixCache:
    """Bounded cache of prompt prefixes with least-recently-used eviction.

    :param settings: settings of the engine
    """

    def __init__(self, settings: EngineStandinSettings) -> None:
        self._capacity = settings.cache_tokens // BLOCK_WORDS
        self._hashes: dict[int, None] = {}
        self.log = EventLog(settings)

    def count_cached(self, prefixes: Sequence[int]) -> int:
        """Count the leading tokens that are cached.

        :param prefixes: hashes of the prefixes of a text, shortest first
        :return: tokens of the longest cached prefix
        """
        blocks = 0
        for prefix in prefixes:
            if prefix not in self._hashes:
                break
            blocks += 1
        return blocks * BLOCK_WORDS

    def add(self, prefixes: Sequence[int]) -> None:
        """Add the prefixes of a text, shortest first, up to the capacity.

        :param prefixes: their hashes, shortest first
        """
        kept = prefixes[: self._capacity]
        added = [prefix for prefix in kept if prefix not in self._hashes]
        # Insert the longest prefix first, so that it is evicted before the prefixes it extends.
        for prefix in reversed(kept):
            self._hashes.pop(prefix, None)
            self._hashes[prefix] = None
        dropped = self._drop_excess()
        if added or dropped:
            self.log.publish(added, dropped)

    def clear(self) -> None:
        """Drop all prefixes."""
        dropped = list(self._hashes)
        self._hashes.clear()
        if dropped:
            self.log.publish((), dropped)

    def take_snapshot(self) -> CacheSnapshot:
        """:return: all cached prefixes and the last sequence number."""
        return CacheSnapshot(self.log.sequence, tuple(self._hashes))

    def _drop_excess(self) -> list[int]:
        excess = len(self._hashes) - self._capacity
        if excess <= 0:
            return []
        dropped = list(self._hashes)[:excess]
        for prefix in dropped:
            del self._hashes[prefix]
        return dropped


__all__ = ["MAX_EVENTS", "EventLog", "PrefixCache"]
