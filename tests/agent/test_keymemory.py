"""Check the index of keyed calls and when it counts as complete."""

from __future__ import annotations

from basilroad.agent.keymemory import RETAIN_S, KeyedCallIndex


def test_an_eviction_makes_the_index_incomplete_until_the_call_is_old() -> None:
    now_s = 10.0
    memory = KeyedCallIndex(limit=2, clock=lambda: now_s)
    for key in ("a", "b"):
        memory.record(key, f"1:{key}")
    assert memory.is_complete
    memory.record("c", "2:c")
    assert (memory.find("a"), memory.find("c")) == (None, "2:c")
    assert not memory.is_complete
    now_s += RETAIN_S + 1
    assert memory.is_complete
