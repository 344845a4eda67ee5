"""Endpoints that the platform lists."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from basilroad.gateway.endpoint import Endpoint, EndpointEntry, EndpointState

if TYPE_CHECKING:
    from collections.abc import Callable

ABSENCE_S = 2.0
"""Seconds after a loss of the list in which an absent entry may still come back; endpoints that
live write theirs again within that time."""

_LOGGER = logging.getLogger(__name__)


class Directory:
    """Endpoints by service.

    :param clock: monotonic seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._absent: dict[str, float] = {}
        self._doubtful_until = 0.0

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self._endpoints.values())

    def get(self, endpoint_id: str) -> Endpoint | None:
        """:return: an endpoint by its name, if it is listed."""
        return self._endpoints.get(endpoint_id)

    def of_service(self, service: str) -> list[Endpoint]:
        """:return: the listed endpoints of a service."""
        return [e for e in self._endpoints.values() if e.entry.service == service]

    def mark_listing_unreliable(self) -> None:
        """Note that the list could not be read: its next absences may be false."""
        self._doubtful_until = self._clock() + ABSENCE_S

    def put(self, entry: EndpointEntry) -> None:
        """Take over one entry.

        :param entry: as it is listed now
        """
        self._absent.pop(entry.id, None)
        known = self._endpoints.get(entry.id)
        if known is None:
            self._endpoints[entry.id] = Endpoint(entry)
            _LOGGER.info("endpoint listed", extra=_describe(entry))
            return
        previous = known.entry
        if previous == entry:
            return
        if previous.started_ms != entry.started_ms or previous.address != entry.address:
            known.restart(entry)
            _LOGGER.info("endpoint restarted", extra=_describe(entry))
            return
        known.entry = entry
        if previous.state is not entry.state:
            _LOGGER.info("endpoint changed state", extra=_describe(entry))
            if entry.state is EndpointState.DRAINING:
                known.pool.close()

    def remove(self, endpoint_id: str) -> None:
        """Note that an entry is listed no more.

        :param endpoint_id: name of the endpoint
        """
        if endpoint_id not in self._endpoints or endpoint_id in self._absent:
            return
        if self._clock() < self._doubtful_until:
            self._absent[endpoint_id] = self._doubtful_until
            _LOGGER.info("endpoint absent", extra=_describe(self._endpoints[endpoint_id].entry))
            return
        self._drop(endpoint_id)

    def replace(self, entries: Iterable[EndpointEntry]) -> None:
        """Take over a whole list.

        :param entries: all entries that are listed now
        """
        listed = {entry.id: entry for entry in entries}
        for endpoint_id in [known for known in self._endpoints if known not in listed]:
            self.remove(endpoint_id)
        for entry in listed.values():
            self.put(entry)

    def expire(self) -> None:
        """Drop endpoints whose entries did not come back."""
        now = self._clock()
        for endpoint_id in [known for known, until in self._absent.items() if now >= until]:
            self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        self._absent.pop(endpoint_id, None)
        endpoint = self._endpoints.pop(endpoint_id)
        endpoint.removed = True
        endpoint.pool.close()
        _LOGGER.info("endpoint gone", extra=_describe(endpoint.entry))


def _describe(entry: EndpointEntry) -> dict[str, str]:
    return {
        "endpoint": entry.id,
        "service": entry.service,
        "address": str(entry.address),
        "state": entry.state.value,
    }


__all__ = ["ABSENCE_S", "Directory"]
