"""How long a request waits for an endpoint, and what ends the wait."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from basilroad.entry.placement import Placement, VersionGoneError
from basilroad.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilroad.entry.flight import Flight
    from basilroad.entry.link import EndpointView
    from basilroad.settings.view import SettingsView

RESUME_WAIT_S = 600.0
"""Seconds that a generation that has begun waits for an endpoint."""

NO_ENDPOINT_S = 3.0
"""Seconds that a new request waits while no endpoint of its model takes work."""

VERSION_CHECK_S = 0.25
"""Seconds between looks for an endpoint that can go on."""

VERSION_GONE_S = 1.5
"""Seconds without an endpoint of the version, while there are others, until it is given up."""


class Patience:
    """Waits for a place for as long as that serves the caller.

    :param read_view: gives the settings in force
    :param find_views: gives the engines that run a model
    """

    def __init__(
        self,
        read_view: Callable[[], SettingsView],
        find_views: Callable[[str], Sequence[EndpointView]],
    ) -> None:
        self._read_view = read_view
        self._find_views = find_views

    async def await_first(self, flight: Flight, placed: asyncio.Future[Placement]) -> Placement:
        """Wait for the place of a request that has not run.

        :param flight: the request
        :param placed: resolved with its place
        :return: the place
        :raises TimeoutError: there was none in time
        """
        rank = self._read_view().rank_by_order(flight.identity.rank)
        limit_s = rank.max_wait_s or math.inf
        if not any(fits(flight, view) for view in self._find_views(flight.request.model)):
            limit_s = min(limit_s, NO_ENDPOINT_S)
        async with asyncio.timeout(limit_s if limit_s < math.inf else None):
            return await placed

    async def await_resume(self, flight: Flight, placed: asyncio.Future[Placement]) -> Placement:
        """Wait for the next place of a generation that has begun.

        :param flight: the generation
        :param placed: resolved with its place
        :return: the place
        :raises TimeoutError: there was none in time
        :raises VersionGoneError: no endpoint can go on with what was begun
        """
        deadline_s = time.monotonic() + RESUME_WAIT_S
        gone_s = 0.0
        while time.monotonic() < deadline_s:
            done, _ = await asyncio.wait({placed}, timeout=VERSION_CHECK_S)
            if done:
                return placed.result()
            gone_s = gone_s + VERSION_CHECK_S if self._is_version_gone(flight) else 0.0
            if gone_s >= VERSION_GONE_S:
                raise VersionGoneError
        raise TimeoutError

    def explain(self, flight: Flight) -> tuple[ErrorKind, str]:
        """:return: why there was no place in time."""
        if flight.has_run:
            return ErrorKind.GENERATION_LOST, "no endpoint could go on in time"
        if any(view.usable for view in self._find_views(flight.request.model)):
            return ErrorKind.TARGET_MISSED, "no slot came free in time"
        return ErrorKind.NO_ENDPOINT, "no endpoint runs this model"

    def _is_version_gone(self, flight: Flight) -> bool:
        usable = [view for view in self._find_views(flight.request.model) if view.usable]
        return bool(usable) and not any(fits(flight, view) for view in usable)


def fits(flight: Flight, view: EndpointView) -> bool:
    """:return: whether an endpoint can take a generation now."""
    if not view.usable or view.state.adapter != flight.request.adapter:
        return False
    return not flight.tokens or view.state.version == flight.version


__all__ = ["RESUME_WAIT_S", "Patience", "fits"]
