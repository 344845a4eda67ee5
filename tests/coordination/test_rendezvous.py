"""Tests of rendezvous hashing."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, strategies as st

from basilroad.coordination.rendezvous import choose_hosts, rank_hosts

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
