"""Versions of the listed endpoints of each service, and since when none can have been missed."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.gateway.versions.windows import StreamWindows

if TYPE_CHECKING:
    from basilroad.gateway.registry.directory import Directory

OBSERVE_INTERVAL_S = 0.5
"""Interval at which the listing is observed; a listed endpoint stays listed for longer."""

MAX_PAUSE_S = 5.0
"""Time without an observation, for example while the host was suspended, from which on the listing
counts as outdated; also the time after which it has been read again."""

SEEN_MEMORY_S = 600.0
"""Time after which versions that are not listed any more are forgotten, unless their streams may
be taken up for longer."""


class VersionListing:
    """Records when versions were listed.

    A listing that can't be read confirms nothing: its endpoints count as not seen meanwhile.

    :param directory: the listed endpoints
    """

    def __init__(self, directory: Directory) -> None:
        self.windows = StreamWindows()
        self._directory = directory
        self._seen: dict[str, dict[str, float]] = {}
        self._observed_at = -math.inf
        self._outdated_until = -math.inf
        self._complete_since = math.inf

    def observe(self, now: float) -> None:
        """Record the versions that are listed.

        :param now: boot clock in seconds
        """
        if self._observed_at > -math.inf and now - self._observed_at > MAX_PAUSE_S:
            self._outdated_until = now + MAX_PAUSE_S
        self._observed_at = now
        listed = {(e.entry.service, e.entry.version) for e in self._directory}
        if now < self._outdated_until or not self._directory.is_reliable:
            self._complete_since = math.inf
            return
        self._complete_since = min(self._complete_since, now)
        for service, version in listed:
            self._seen.setdefault(service, {})[version] = now
        for service, seen in self._seen.items():
            memory_s = max(SEEN_MEMORY_S, self.windows.find_forget(service))
            for version in [v for v, at in seen.items() if now - at > memory_s]:
                del seen[version]

    def is_complete_since(self, moment: float) -> bool:
        """:return: whether no version can have been missed since a moment."""
        return self._complete_since <= moment

    def seen_at(self, service: str, version: str) -> float:
        """:return: when a version was listed last in seconds; minus infinity if it never was."""
        return self._seen.get(service, {}).get(version, -math.inf)

    def is_listed(self, service: str, version: str) -> bool:
        """:return: whether a version was listed at the last observation."""
        seen_at = self.seen_at(service, version)
        return seen_at > -math.inf and seen_at >= self._observed_at

    def list_since(self, service: str, moment: float) -> set[str]:
        """:return: the versions that were listed at or after a moment."""
        return {version for version, at in self._seen.get(service, {}).items() if at >= moment}

    def count_ready(self, service: str) -> Counter[str]:
        """:return: number of endpoints that take new calls, by version."""
        endpoints = self._directory.list_by_service(service)
        return Counter(e.entry.version for e in endpoints if e.entry.state is EndpointState.READY)

    def count_listed(self, service: str) -> Counter[str]:
        """:return: number of listed endpoints, by version."""
        return Counter(e.entry.version for e in self._directory.list_by_service(service))


__all__ = ["MAX_PAUSE_S", "OBSERVE_INTERVAL_S", "VersionListing"]
