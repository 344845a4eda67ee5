"""In-flight requests with equal content."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basilroad.entry.generations.flight import Flight


class DuplicateTracker:
    """Tracks which in-flight requests of this entry have equal content.

    A request that crashes endpoints may be sent several times at once. Its duplicates share one
    endpoint until one of them has a token, so that they do not crash several endpoints at once.
    """

    def __init__(self) -> None:
        self._flights: dict[str, dict[Flight, None]] = {}

    def add(self, flight: Flight) -> None:
        """Add a request that is in flight.

        :param flight: the request
        """
        self._flights.setdefault(flight.request.fingerprint, {})[flight] = None

    def remove(self, flight: Flight) -> None:
        """Remove a request that has ended.

        :param flight: the request
        """
        fingerprint = flight.request.fingerprint
        flights = self._flights.get(fingerprint, {})
        flights.pop(flight, None)
        if not flights:
            self._flights.pop(fingerprint, None)

    def has_duplicates(self, fingerprint: str) -> bool:
        """:return: whether several requests with this content are in flight."""
        return len(self._flights.get(fingerprint, {})) > 1

    def find_endpoint(self, flight: Flight) -> str:
        """Find the endpoint that a request should share with a duplicate.

        :param flight: the request
        :return: endpoint of a duplicate that has no token yet; empty if there is none
        """
        for other in self._flights.get(flight.request.fingerprint, {}):
            if other is not flight and other.endpoint and not other.tokens:
                return other.endpoint
        return ""

    def must_share(self, flight: Flight) -> bool:
        """:return: whether a request may run only beside a duplicate, as none has a token yet."""
        flights = self._flights.get(flight.request.fingerprint, {})
        return bool(self.find_endpoint(flight)) and not any(other.tokens for other in flights)


__all__ = ["DuplicateTracker"]
