"""Consistent hashing of keys to hosts, for frequent lookups and rare membership changes."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

import xxhash

POINTS_PER_HOST = 64
"""Virtual nodes of one host on the ring."""


class HashRing:
    """Chooses hosts for keys; adding or removing a host moves only its own share of the keys.

    A lookup is one binary search. ``choose_hosts`` needs no setup, but hashes the key with every
    host.

    :param hosts: names of the hosts
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self.hosts = frozenset(hosts)
        entries = sorted(
            (xxhash.xxh3_64_intdigest(f"{host}#{number}".encode()), host)
            for host in self.hosts
            for number in range(POINTS_PER_HOST)
        )
        self._points = [point for point, _ in entries]
        self._owners = [owner for _, owner in entries]

    def choose(self, key: str, count: int) -> list[str]:
        """Choose hosts for a key.

        :param key: key to place
        :param count: number of hosts
        :return: distinct hosts in order of preference; fewer than ``count`` if the ring has fewer
        """
        chosen: dict[str, None] = {}
        wanted = min(count, len(self.hosts))
        index = bisect.bisect(self._points, xxhash.xxh3_64_intdigest(key.encode()))
        while len(chosen) < wanted:
            chosen[self._owners[index % len(self._owners)]] = None
            index += 1
        return list(chosen)


__all__ = ["POINTS_PER_HOST", "HashRing"]
