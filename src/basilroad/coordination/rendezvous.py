"""Rendezvous hashing of keys over hosts."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def _score(seed: int, host: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(host.encode(), seed=seed), host


def _seed(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Order hosts by their weight for a key.

    :param key: key to place
    :param hosts: names of the hosts; order and duplicates are ignored
    :return: every host once, highest weight first
    """
    seed = _seed(key)
    return sorted(set(hosts), key=lambda host: _score(seed, host), reverse=True)


def choose_hosts(key: str, hosts: Iterable[str], count: int) -> list[str]:
    """Choose the highest-ranked hosts for a key; removing a host moves only its own keys.

    :param key: key to place
    :param hosts: names of the hosts
    :param count: number of hosts
    :return: at most ``count`` hosts, highest weight first
    """
    seed = _seed(key)
    return heapq.nlargest(count, set(hosts), key=lambda host: _score(seed, host))


__all__ = ["choose_hosts", "rank_hosts"]
