"""Tests of rendezvous hashing."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, strategies as st

from basilroad.coordination.rendezvous import choose_hosts, choose_weighted, rank_hosts

HOSTS = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12)


@given(st.text(), HOSTS, st.integers(1, 5))
def test_choice_is_the_head_of_the_ranking(key: str, hosts: set[str], count: int) -> None:
    assert choose_hosts(key, hosts, count) == rank_hosts(key, sorted(hosts))[:count]


@given(st.text(), HOSTS)
def test_removing_a_host_keeps_the_order_of_the_others(key: str, hosts: set[str]) -> None:
    before = rank_hosts(key, hosts)
    for lost in hosts:
        assert rank_hosts(key, hosts - {lost}) == [host for host in before if host != lost]


def test_keys_are_spread_evenly() -> None:
    hosts = [f"host-{number}" for number in range(10)]
    counts = Counter(choose_hosts(f"key-{number}", hosts, 1)[0] for number in range(10_000))
    assert min(counts.values()) > 850
    assert max(counts.values()) < 1150


def test_weighted_choices_keep_the_shares() -> None:
    weights = [("a", 90.0), ("b", 7.0), ("c", 2.0), ("c", 1.0)]
    counts = Counter(choose_weighted(f"key-{number}", weights) for number in range(20_000))
    assert 17_700 < counts["a"] < 18_300
    assert 1_250 < counts["b"] < 1_550
    assert 500 < counts["c"] < 700


def test_weighted_choices_do_not_depend_on_the_order() -> None:
    weights = [("a", 3.0), ("b", 2.0), ("c", 1.0)]
    for number in range(200):
        key = f"key-{number}"
        assert choose_weighted(key, weights) == choose_weighted(key, weights[::-1])


def test_a_change_of_weights_moves_only_what_it_has_to() -> None:
    keys = [f"key-{number}" for number in range(20_000)]
    before = [choose_weighted(key, [("a", 90.0), ("b", 10.0)]) for key in keys]
    after = [choose_weighted(key, [("a", 80.0), ("b", 20.0)]) for key in keys]
    moved = Counter(pair for pair in zip(before, after, strict=True) if pair[0] != pair[1])
    assert set(moved) == {("a", "b")}
    assert 0.08 < moved["a", "b"] / len(keys) < 0.12


@given(st.text(), st.dictionaries(st.text(max_size=8), st.floats(1e-9, 1e9), min_size=1))
def test_a_weighted_choice_is_one_of_the_names(key: str, weights: dict[str, float]) -> None:
    assert choose_weighted(key, weights.items()) in weights
