"""Sampled copy of an engine's prefix cache contents, for the entries."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from mode import Service

from basilroad.endpoints.errors import EngineError
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.prefix import is_sampled

if TYPE_CHECKING:
    from basilroad.endpoints.messages import CacheEvent, CacheSnapshot

RESYNC_S = 5.0
"""Minimum seconds between two reads of the whole cache, before jitter."""

RETRY_S = 0.5
"""Seconds after a failed read, before jitter."""

MESSAGE_HASHES = 512
"""Maximum hashes in one message; the rest is sent in later messages."""

_LOGGER = logging.getLogger(__name__)


class CacheReader(Protocol):
    """Interface of an engine for reading its prefix cache."""

    async def read_cache_events(self, since: int) -> tuple[CacheEvent, ...]:
        """:return: the changes after a sequence number."""

    async def read_cache(self) -> CacheSnapshot:
        """:return: the whole contents."""


class CacheFollower(Service):
    """Maintains a sample of the prefix hashes in one engine's cache.

    Events may be late or missing. After a gap, or a restart of the engine (sequence numbers
    go back), the whole cache is read again; these reads are rate-limited and jittered.

    :param endpoint: name of the endpoint
    :param engine: source of the cache contents and events
    :param resync_s: seconds between two reads of the whole cache, before jitter
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        endpoint: str,
        engine: CacheReader,
        resync_s: float = RESYNC_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.endpoint = endpoint
        self.held: set[int] = set()
        self.resyncs = 0
        self._engine = engine
        self._resync_s = resync_s
        self._clock = clock
        self._since = 0
        self._needs_resync = True
        self._next_resync_s = 0.0
        self._added: set[int] = set()
        self._dropped: set[int] = set()
        self._reset = False

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.step()
            except EngineError as error:
                _LOGGER.debug("cache of %s not read: %r", self.endpoint, error)
                # the engine may have restarted with an empty cache
                self._needs_resync = True
                await self.sleep(RETRY_S * (0.5 + random.random()))

    async def step(self) -> None:
        """Read the whole cache or the changes, once.

        :raises EngineError: the connection failed, the engine timed out or it refused
        """
        if self._needs_resync and self._clock() >= self._next_resync_s:
            await self._resync()
            return
        for event in await self._engine.read_cache_events(self._since):
            self._apply_event(event)

    def forget(self) -> None:
        """Clear the sample after a failure of the engine."""
        self.held.clear()
        self._added.clear()
        self._dropped.clear()
        self._reset = self._needs_resync = True

    def take_change(self) -> wire.CacheChange | None:
        """Build the message with the changes since the last call.

        :return: the message; ``None`` if nothing has changed
        """
        if not (self._added or self._dropped or self._reset):
            return None
        change = wire.CacheChange(
            endpoint=self.endpoint,
            added=_pop_hashes(self._added),
            dropped=_pop_hashes(self._dropped),
            reset=self._reset,
        )
        self._reset = False
        return change

    def describe(self) -> list[wire.CacheChange]:
        """:return: messages with the whole sample, for a new entry."""
        held = list(self.held)
        parts = [held[i : i + MESSAGE_HASHES] for i in range(0, len(held), MESSAGE_HASHES)]
        return [
            wire.CacheChange(endpoint=self.endpoint, added=part, reset=not number)
            for number, part in enumerate(parts)
        ]

    async def _resync(self) -> None:
        self._next_resync_s = self._clock() + self._resync_s * (0.5 + random.random())
        snapshot = await self._engine.read_cache()
        held = {prefix for prefix in snapshot.hashes if is_sampled(prefix)}
        self._apply(held - self.held, self.held - held)
        self._since = snapshot.sequence
        self._needs_resync = False
        self.resyncs += 1

    def _apply_event(self, event: CacheEvent) -> None:
        if event.sequence <= self._since:
            _LOGGER.info("engine restarted", extra={"endpoint": self.endpoint})
            self.forget()
        elif event.sequence != self._since + 1:
            self._needs_resync = True
        self._since = event.sequence
        self._apply(set(filter(is_sampled, event.added)), set(filter(is_sampled, event.dropped)))

    def _apply(self, added: set[int], dropped: set[int]) -> None:
        self.held -= dropped
        self.held |= added
        self._added = (self._added - dropped) | added
        self._dropped = (self._dropped - added) | dropped


def _pop_hashes(hashes: set[int]) -> list[int]:
    return [hashes.pop() for _ in range(min(len(hashes), MESSAGE_HASHES))]


__all__ = ["MESSAGE_HASHES", "RESYNC_S", "CacheFollower", "CacheReader"]
