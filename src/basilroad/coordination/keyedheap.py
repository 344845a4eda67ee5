"""Heap whose entries can be updated and removed by key."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

Key = TypeVar("Key")

STALE_ENTRIES_LIMIT = 64
"""Stale entries that the heap may hold in addition to one per key."""


class KeyedHeap(Generic[Key]):
    """Priority queue of keys, lowest priority value first; FIFO among equals.

    Operations take amortised logarithmic time.
    """

    def __init__(self) -> None:
        self._current: dict[Key, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        return len(self._current)

    def __contains__(self, key: object) -> bool:
        return key in self._current

    def put(self, key: Key, priority: float) -> None:
        """Add a key or change its priority.

        :param key: the key
        :param priority: its priority; the lowest comes first
        """
        serial = next(self._serial)
        self._current[key] = (priority, serial)
        heapq.heappush(self._heap, (priority, serial, key))
        if len(self._heap) > 2 * len(self._current) + STALE_ENTRIES_LIMIT:
            self._compact()

    def pop(self, key: Key) -> float | None:
        """Remove a key.

        :param key: the key
        :return: its priority; ``None`` if it is absent
        """
        entry = self._current.pop(key, None)
        if entry is None:
            return None
        if not self._current:
            self._heap.clear()
        return entry[0]

    def priority(self, key: Key) -> float:
        """:return: priority of a key.

        :raises KeyError: the key is absent
        """
        return self._current[key][0]

    def head(self) -> Key | None:
        """:return: the key with the lowest priority; ``None`` if empty."""
        while self._heap:
            priority, serial, key = self._heap[0]
            if self._current.get(key) == (priority, serial):
                return key
            heapq.heappop(self._heap)
        return None

    def list_first(self, count: int) -> list[Key]:
        """List the keys with the lowest priorities, which stay in the heap.

        :param count: maximum number of keys
        :return: the keys, lowest priority first
        """
        first: list[tuple[float, int, Key]] = []
        while len(first) < count and self.head() is not None:
            first.append(heapq.heappop(self._heap))
        for entry in first:
            heapq.heappush(self._heap, entry)
        return [key for _, _, key in first]

    def _compact(self) -> None:
        self._heap = [(priority, serial, key) for key, (priority, serial) in self._current.items()]
        heapq.heapify(self._heap)


__all__ = ["KeyedHeap"]
