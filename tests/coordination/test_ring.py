"""Tests of the hash ring."""

from __future__ import annotations

from collections import Counter

from basilroad.coordination.ring import HashRing

HOSTS = [f"host-{number}" for number in range(40)]
KEYS = [f"key-{number}" for number in range(4000)]


def test_chooses_distinct_hosts() -> None:
    ring = HashRing(HOSTS)
    assert all(len(set(ring.choose(key, 3))) == 3 for key in KEYS)


def test_chooses_all_hosts_if_fewer_than_requested() -> None:
    assert sorted(HashRing(["b", "a"]).choose("key", 3)) == ["a", "b"]
    assert HashRing([]).choose("key", 2) == []


def test_removed_host_moves_only_its_own_keys() -> None:
    before = HashRing(HOSTS)
    after = HashRing(HOSTS[1:])
    for key in KEYS:
        first = before.choose(key, 1)
        if first != [HOSTS[0]]:
            assert after.choose(key, 1) == first


def test_order_of_hosts_does_not_matter() -> None:
    one, other = HashRing(HOSTS), HashRing(reversed(HOSTS))
    assert all(one.choose(key, 2) == other.choose(key, 2) for key in KEYS)


def test_keys_are_spread() -> None:
    ring = HashRing(HOSTS)
    counts = Counter(ring.choose(key, 1)[0] for key in KEYS)
    assert max(counts.values()) < 2 * len(KEYS) / len(HOSTS)
