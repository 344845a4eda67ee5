"""Rendezvous hashing of keys over hosts."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable

import xxhash

FRACTION_BITS = 52
"""Bits of a hash that are taken as a fraction, which excludes 0 and 1 without rounding."""


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


def choose_weighted(key: str, weights: Iterable[tuple[str, float]]) -> str:
    """Choose a name by its weight; a change of weights moves as few keys as possible.

    :param key: key to place
    :param weights: names with positive weights, at least one; those of the same name add up
    :return: the name, the same on every host; its share of the keys is that of its weight
    """
    seed = _seed(key)
    totals: defaultdict[str, float] = defaultdict(float)
    for name, weight in weights:
        totals[name] += weight
    return max(totals, key=lambda name: (-totals[name] / math.log(_fraction(seed, name)), name))


def _fraction(seed: int, name: str) -> float:
    score = _score(seed, name)[0] >> (64 - FRACTION_BITS)
    return (score + 0.5) / float(2**FRACTION_BITS)


__all__ = ["choose_hosts", "choose_weighted", "rank_hosts"]
