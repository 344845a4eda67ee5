"""Heap whose entries can be updated and removed by key."""

from __future__ import annotations

import pytest

from basilroad.coordination.keyedheap import KeyedHeap


@pytest.fixture
def heap() -> KeyedHeap[str]:
    """:return: a heap of which one key was removed and one put again."""
    heap: KeyedHeap[str] = KeyedHeap()
    for key, priority in [("a", 3.0), ("b", 1.0), ("c", 2.0), ("d", 1.0), ("e", 0.0)]:
        heap.put(key, priority)
    heap.pop("e")
    heap.put("b", 2.0)
    return heap


@pytest.mark.parametrize("count", [0, 1, 3, 9])
def test_the_first_keys_are_in_the_order_of_their_priorities(
    heap: KeyedHeap[str], count: int
) -> None:
    assert heap.list_first(count) == ["d", "c", "b", "a"][:count]


def test_listed_keys_stay_in_the_heap(heap: KeyedHeap[str]) -> None:
    assert heap.list_first(2) == heap.list_first(2)
    assert (len(heap), heap.head()) == (4, "d")
    heap.pop("d")
    assert heap.list_first(4) == ["c", "b", "a"]
