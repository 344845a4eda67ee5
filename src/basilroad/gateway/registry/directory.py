"""Directory of the endpoints that the platform lists."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

from basilroad.gateway.registry.endpoint import Endpoint, EndpointEntry, EndpointState
from basilroad.gateway.registry.notices import NoticeRegister, Source

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.gateway.registry.limits import NamedLimit

ABSENCE_LIMIT_S = 2.0
"""Time after a failure to read the listing for which missing entries are kept; live endpoints write
their entries again within it."""

REMOVED_MEMORY_S = 30.0
"""Time for which removed lifetimes of endpoints are remembered, longer than the age of a copy from
which the listing may be restored."""

VERSIONS_MEMORY_S = 30.0
"""Time for which a service counts as served by several versions after the listing shows one: a
release is over then, or its next endpoint follows."""

_LOGGER = logging.getLogger(__name__)


class Directory:
    """Endpoints by service.

    :param clock: monotonic seconds
    :param notices: notices of endpoints about themselves
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, notices: NoticeRegister | None = None
    ) -> None:
        self._clock = clock
        self.notices = notices or NoticeRegister(clock=clock)
        self._endpoints: dict[str, Endpoint] = {}
        self._absent: dict[str, float] = {}
        self._removed: dict[tuple[str, int], float] = {}
        self._unreliable_until = -math.inf
        self._versions_differed_at: dict[str, float] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self._endpoints.values())

    def get(self, endpoint_id: str) -> Endpoint | None:
        """:return: the endpoint with this id, if it is listed."""
        return self._endpoints.get(endpoint_id)

    def list_by_service(self, service: str) -> list[Endpoint]:
        """:return: the listed endpoints of a service."""
        return [e for e in self._endpoints.values() if e.entry.service == service]

    def list_staying(self, service: str, version: str) -> list[Endpoint]:
        """:return: the listed endpoints of one software version of a service that don't leave."""
        return [
            endpoint
            for endpoint in self.list_by_service(service)
            if endpoint.entry.version == version and not endpoint.is_leaving
        ]

    @property
    def is_reliable(self) -> bool:
        """:return: whether endpoints that are not listed are gone."""
        return bool(self._endpoints) and self._clock() >= self._unreliable_until

    def list_passed_over(self, service: str) -> list[dict[str, object]]:
        """:return: why endpoints of a service get no calls by their own notice, for the log."""
        if not self.notices.has_any:
            return []
        now = self._clock()
        return [
            endpoint.notices.describe(now)
            for endpoint in self.list_by_service(service)
            if now < endpoint.notices.no_calls_until or endpoint.notices.limit.is_refused(now)
        ]

    def was_unreadable_within(self, limit_s: float) -> bool:
        """:return: whether a read of the listing failed that many seconds ago or later."""
        return self._clock() < self._unreliable_until - ABSENCE_LIMIT_S + limit_s

    def mark_listing_unreliable(self) -> None:
        """Record that the listing could not be read: entries may be missing from the next ones."""
        self._unreliable_until = self._clock() + ABSENCE_LIMIT_S

    def put(self, entry: EndpointEntry) -> None:
        """Add or update one entry.

        :param entry: the current entry
        """
        self._absent.pop(entry.id, None)
        self._removed.pop((entry.id, entry.started_ms), None)
        known = self._endpoints.get(entry.id)
        if known is None:
            self._endpoints[entry.id] = Endpoint(entry, self.notices)
            self._note_versions(entry.service)
            _LOGGER.info("endpoint listed", extra=_describe(entry))
            return
        previous = known.entry
        if previous == entry:
            return
        if _is_other_start(previous, entry):
            if previous.version != entry.version:
                self._versions_differed_at[entry.service] = self._clock()
            self._note_versions(previous.service)
            known.restart(entry)
            _LOGGER.info("endpoint restarted", extra=_describe(entry))
            return
        known.entry = entry
        if previous.state is not entry.state:
            _LOGGER.info("endpoint changed state", extra=_describe(entry))
            if entry.state is EndpointState.DRAINING:
                known.pool.close()

    def is_outdated(self, entry: EndpointEntry) -> bool:
        """Check whether an entry of a copy is older than what is known of its endpoint.

        :param entry: the entry
        :return: whether this start of the endpoint has drained, ended or been followed by another
        """
        if (entry.id, entry.started_ms) in self._removed:
            return True
        known = self._endpoints.get(entry.id)
        if known is None or entry.started_ms > known.entry.started_ms:
            return False
        if entry.started_ms < known.entry.started_ms:
            return True
        was_draining = known.entry.state is EndpointState.DRAINING
        return was_draining and entry.state is not EndpointState.DRAINING

    def remove(self, endpoint_id: str) -> None:
        """Remove an entry, or keep it for a while if the listing is unreliable.

        :param endpoint_id: id of the endpoint
        """
        if endpoint_id not in self._endpoints or endpoint_id in self._absent:
            return
        if self._clock() < self._unreliable_until:
            self._absent[endpoint_id] = self._unreliable_until
            _LOGGER.info("endpoint absent", extra=_describe(self._endpoints[endpoint_id].entry))
            return
        self._drop(endpoint_id)

    def replace(self, entries: Iterable[EndpointEntry], kept: Collection[str] = ()) -> None:
        """Apply a complete listing.

        :param entries: all current entries
        :param kept: ids of further entries, which change nothing
        """
        listed = {entry.id: entry for entry in entries}
        missing = [known for known in self._endpoints if known not in listed and known not in kept]
        for endpoint_id in missing:
            self.remove(endpoint_id)
        for entry in listed.values():
            self.put(entry)

    def apply_reported_leaving(self, reports: Mapping[str, tuple[int, int]], now: float) -> None:
        """Apply what another gateway reports of leaving endpoints.

        :param reports: start time and age of the notice, both in milliseconds, by endpoint id
        :param now: monotonic seconds
        """
        for endpoint_id, (started_ms, age_ms) in reports.items():
            endpoint = self._endpoints.get(endpoint_id)
            if endpoint is not None and endpoint.entry.started_ms == started_ms != 0:
                endpoint.notices.record_leaving(Source.GOSSIP, now - age_ms / 1000)

    def apply_reported_limits(
        self, reports: Mapping[str, tuple[int, NamedLimit]], now: float
    ) -> None:
        """Apply what another gateway reports of limits.

        :param reports: start time in milliseconds and what was named, by endpoint id
        :param now: monotonic seconds
        """
        for endpoint_id, (started_ms, named) in reports.items():
            endpoint = self._endpoints.get(endpoint_id)
            if endpoint is not None and endpoint.entry.started_ms == started_ms != 0:
                endpoint.notices.record_limit(named, Source.GOSSIP, now)

    def expire(self) -> None:
        """Remove endpoints whose entries did not reappear in time."""
        now = self._clock()
        self._removed = {
            lifetime: at for lifetime, at in self._removed.items() if now - at < REMOVED_MEMORY_S
        }
        for endpoint_id in [known for known, until in self._absent.items() if now >= until]:
            self._drop(endpoint_id)

    def has_versions(self, service: str) -> bool:
        """:return: whether endpoints of several software versions of a service serve, or did."""
        self._note_versions(service)
        differed_at = self._versions_differed_at.get(service)
        return differed_at is not None and self._clock() - differed_at < VERSIONS_MEMORY_S

    def _note_versions(self, service: str) -> None:
        if len({endpoint.entry.version for endpoint in self.list_by_service(service)}) > 1:
            self._versions_differed_at[service] = self._clock()

    def _drop(self, endpoint_id: str) -> None:
        self._note_versions(self._endpoints[endpoint_id].entry.service)
        self._absent.pop(endpoint_id, None)
        endpoint = self._endpoints.pop(endpoint_id)
        self._removed[(endpoint_id, endpoint.entry.started_ms)] = self._clock()
        endpoint.removed = True
        endpoint.pool.close()
        _LOGGER.info("endpoint gone", extra=_describe(endpoint.entry))


def _is_other_start(previous: EndpointEntry, entry: EndpointEntry) -> bool:
    return previous.lifetime != entry.lifetime or previous.version != entry.version


def _describe(entry: EndpointEntry) -> dict[str, str]:
    return {
        "endpoint": entry.id,
        "service": entry.service,
        "address": str(entry.address),
        "state": entry.state.value,
        "version": entry.version,
    }


__all__ = ["ABSENCE_LIMIT_S", "REMOVED_MEMORY_S", "Directory"]
