"""For how long versions of streams matter after they were last listed, by service."""

from __future__ import annotations

from collections.abc import Mapping

from basilroad.gateway.versions.streamrow import RESUME_WINDOW_S

LINGER_S = 30.0
"""Time for which an endpoint may continue its streams after its entry is gone."""

VERSION_MEMORY_S = RESUME_WINDOW_S + LINGER_S
"""Time after a version was last listed in which one of its streams may be taken up again, unless
callers have more time."""

FORGET_S = VERSION_MEMORY_S + LINGER_S
"""Time after a version was last listed from which on it isn't named any more: longer than that in
which it is added, by more than listings of hosts differ, so that none adds what others remove."""


class StreamWindows:
    """Times that grow with the longest time limit of a service's streams.

    A limit that is shortened counts on, as streams that began before may still run.
    """

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}

    def extend(self, limits: Mapping[str, float]) -> None:
        """Apply the time limits of a configuration.

        :param limits: longest time limit of streams in seconds, by service
        """
        for service, limit_s in limits.items():
            self._limits[service] = max(limit_s, self._limits.get(service, 0.0))

    def find_memory(self, service: str) -> float:
        """:return: seconds after a version was last listed in which its streams may be taken up."""
        return max(RESUME_WINDOW_S, self._limits.get(service, 0.0)) + LINGER_S

    def find_forget(self, service: str) -> float:
        """:return: seconds after a version was last listed from which on it isn't named."""
        return self.find_memory(service) + LINGER_S


__all__ = ["FORGET_S", "LINGER_S", "VERSION_MEMORY_S", "StreamWindows"]
