"""Requests of the same content that are on their way at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basilroad.entry.flight import Flight


class Copies:
    """Knows which requests of this entry have the same content.

    A request that crashes endpoints may be sent several times at once. Copies are kept to one
    endpoint until one of them has a token, so that the first death is not several.
    """

    def __init__(self) -> None:
        self._flights: dict[str, dict[Flight, None]] = {}

    def enter(self, flight: Flight) -> None:
        """Note a request that is on its way.

        :param flight: the request
        """
        self._flights.setdefault(flight.request.fingerprint, {})[flight] = None

    def leave(self, flight: Flight) -> None:
        """Note a request that has ended.

        :param flight: the request
        """
        fingerprint = flight.request.fingerprint
        flights = self._flights.get(fingerprint, {})
        flights.pop(flight, None)
        if not flights:
            self._flights.pop(fingerprint, None)

    def are_several(self, fingerprint: str) -> bool:
        """:return: whether more than one request of a content is on its way."""
        return len(self._flights.get(fingerprint, {})) > 1

    def find_endpoint(self, flight: Flight) -> str:
        """Find the endpoint that a request should share with a copy of it.

        :param flight: the request
        :return: where a copy was sent that has no token yet; empty if there is none
        """
        for other in self._flights.get(flight.request.fingerprint, {}):
            if other is not flight and other.endpoint and not other.tokens:
                return other.endpoint
        return ""


__all__ = ["Copies"]
