"""Check the index of keyed calls and when it counts as complete."""

from __future__ import annotations

from basilroad.agent.keymemory import RETAIN_S, KeyedCallIndex


def test_an_eviction_makes_the_index_incomplete_until_the_call_is_old() -> None:
    now_s = 10.0
    memory = KeyedCallIndex(limit=2, clock=lambda: now_s)
    for key in ("a", "b"):
        memory.record(key, f"1:{key}")
        memory.finish(key, f"1:{key}")
    assert memory.is_complete
    memory.record("c", "2:c")
    memory.finish("c", "2:c")
    assert (memory.find("a"), memory.find("c")) == (None, "2:c")
    assert not memory.is_complete
    now_s += RETAIN_S + 1
    assert memory.is_complete


# fault: a call that ran for over ten minutes beside many others counted as not run
def test_a_call_is_stored_while_it_runs() -> None:
    now_s = 10.0
    memory = KeyedCallIndex(limit=2, clock=lambda: now_s)
    memory.record("long", "1:long")
    now_s += RETAIN_S + 1
    for key in ("a", "b", "c"):
        memory.record(key, f"2:{key}")
    assert memory.find("long") == "1:long"
    memory.finish("long", "1:long")
    assert memory.find("long") == "1:long"


def test_the_end_of_a_call_leaves_a_later_one_with_its_key() -> None:
    memory = KeyedCallIndex()
    memory.record("a", "1:a")
    memory.record("a", "2:a")
    memory.finish("a", "1:a")
    assert memory.find("a") == "2:a"
