"""Check which orders an agent remembers by their keys."""

from __future__ import annotations

from basilroad.agent.keymemory import RETAIN_S, KeyMemory


def test_forgotten_orders_are_admitted_for_a_time() -> None:
    now_s = 10.0
    memory = KeyMemory(limit=2, clock=lambda: now_s)
    for key in ("a", "b"):
        memory.note(key, f"1:{key}")
    assert memory.is_whole
    memory.note("c", "2:c")
    assert (memory.find("a"), memory.find("c")) == (None, "2:c")
    assert not memory.is_whole
    now_s += RETAIN_S + 1
    assert memory.is_whole
