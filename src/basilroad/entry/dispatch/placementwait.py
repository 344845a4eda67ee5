"""Waiting for placements within a wait limit."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from basilroad.entry.dispatch.placement import Placement, VersionGoneError
from basilroad.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import EndpointView
    from basilroad.settings.view import SettingsView

RESUME_TIMEOUT_S = 600.0
"""Wait limit for placing a generation that has started."""

NO_ENDPOINT_TIMEOUT_S = 3.0
"""Wait limit for a new request that no endpoint can run at the time it is queued."""

VERSION_POLL_S = 0.25
"""Interval between checks for an endpoint with the generation's model version."""

VERSION_GONE_AFTER_S = 1.5
"""Seconds with only endpoints of other versions after which a version counts as gone."""


class PlacementWaiter:
    """Waits for placements, within the wait limit of each request.

    :param read_view: returns the current settings
    :param find_views: returns the engines of a model
    """

    def __init__(
        self,
        read_view: Callable[[], SettingsView],
        find_views: Callable[[str], Sequence[EndpointView]],
    ) -> None:
        self._read_view = read_view
        self._find_views = find_views

    async def await_first(self, flight: Flight, placed: asyncio.Future[Placement]) -> Placement:
        """Wait for the placement of a request that has not run.

        :param flight: the request
        :param placed: resolved with its placement
        :return: the placement
        :raises TimeoutError: no endpoint was found in time
        """
        rank = self._read_view().rank_by_order(flight.identity.rank)
        limit_s = rank.max_wait_s or math.inf
        if not any(fits(flight, view) for view in self._find_views(flight.request.model)):
            limit_s = min(limit_s, NO_ENDPOINT_TIMEOUT_S)
        async with asyncio.timeout(limit_s if limit_s < math.inf else None):
            return await placed

    async def await_resume(self, flight: Flight, placed: asyncio.Future[Placement]) -> Placement:
        """Wait for the next placement of a generation that has started.

        :param flight: the generation
        :param placed: resolved with its placement
        :return: the placement
        :raises TimeoutError: no endpoint was found in time
        :raises VersionGoneError: no endpoint has the version that the generation began with
        """
        deadline_s = time.monotonic() + RESUME_TIMEOUT_S
        gone_s = 0.0
        while time.monotonic() < deadline_s:
            done, _ = await asyncio.wait({placed}, timeout=VERSION_POLL_S)
            if done:
                return placed.result()
            gone_s = gone_s + VERSION_POLL_S if self._is_version_gone(flight) else 0.0
            if gone_s >= VERSION_GONE_AFTER_S:
                raise VersionGoneError
        raise TimeoutError

    def describe_timeout(self, flight: Flight) -> tuple[ErrorKind, str]:
        """:return: error kind and message for an exceeded wait limit."""
        if flight.has_run:
            return ErrorKind.GENERATION_LOST, "no endpoint could continue the generation in time"
        if any(view.usable for view in self._find_views(flight.request.model)):
            return ErrorKind.TARGET_MISSED, "no slot became free in time"
        return ErrorKind.NO_ENDPOINT, "no endpoint runs this model"

    def _is_version_gone(self, flight: Flight) -> bool:
        usable = [view for view in self._find_views(flight.request.model) if view.usable]
        return bool(usable) and not any(fits(flight, view) for view in usable)


def fits(flight: Flight, view: EndpointView) -> bool:
    """:return: whether an endpoint accepts work and has the generation's adapter and version."""
    if not view.usable or view.state.adapter != flight.request.adapter:
        return False
    return not flight.tokens or view.state.version == flight.version


__all__ = ["RESUME_TIMEOUT_S", "PlacementWaiter", "fits"]
