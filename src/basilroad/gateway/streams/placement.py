"""Endpoints at which the attempts of one stream run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.registry.endpoint import Reservation
from basilroad.gateway.registry.pendingcalls import MoveScope

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.gateway.calls.attempttracker import AttemptTracker
    from basilroad.gateway.dispatch.dispatcher import Dispatcher
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.streams.backup import StreamBackup
    from basilroad.gateway.versions.pin import VersionPin

AVOID_TRIED_S = 1.0
"""Time for which a stream that is bound to a version waits only for endpoints at which it hasn't
failed; a version may have few."""


@attrs.frozen(eq=False)
class StreamPlace:
    """Capacity for the next attempt of a stream.

    :param reservation: the reservation
    :param from_backup: whether the endpoint keeps a backup of the stream
    """

    reservation: Reservation
    from_backup: bool = False


class StreamPlacement:
    """Finds endpoints for the attempts of one stream.

    :param tracker: attempts of its call
    :param dispatcher: reserves capacity
    :param pin: version of the stream
    :param backup: backups of the stream
    :param request_retries: asks other gateways for retries of a service
    """

    def __init__(
        self,
        tracker: AttemptTracker,
        dispatcher: Dispatcher,
        pin: VersionPin,
        backup: StreamBackup,
        request_retries: Callable[[str], None],
    ) -> None:
        self._tracker = tracker
        self._call = tracker.call
        self._dispatcher = dispatcher
        self._pin = pin
        self._backup = backup
        self._request_retries = request_retries
        self._claimed: StreamPlace | None = None

    async def find_known(self, last_event: int) -> StreamPlace | None:
        """Find the place that the stream claimed, or the one of its backup.

        :param last_event: last event forwarded
        :return: the place; ``None`` if there is neither
        """
        claimed, self._claimed = self._claimed, None
        if claimed is not None:
            endpoint = claimed.reservation.endpoint
            if endpoint.is_available(time.monotonic()) and self._pin.admits(endpoint):
                self._backup.discard()
                return claimed
            self._dispatcher.release(claimed.reservation, is_unused=True)
        reservation = await self._backup.resume(last_event)
        return None if reservation is None else StreamPlace(reservation, from_backup=True)

    async def wait(self, wait_until: float) -> StreamPlace | None:
        """Wait for an endpoint.

        :param wait_until: monotonic seconds
        :return: the place; ``None`` if none became free in time
        """
        tracker, now = self._tracker, time.monotonic()
        dispatcher, version = self._dispatcher, self._pin.version
        avoid_until = wait_until if version is None else min(wait_until, now + AVOID_TRIED_S)
        reservation = None
        if version is None or tracker.tried:
            reservation = await dispatcher.place(self._call, avoid_until, tracker.tried, version)
        if reservation is None and not self._pin.is_lost:
            tracker.tried.clear()
            again_until = now if version is None else wait_until
            reservation = await dispatcher.place(self._call, again_until, version=version)
        return None if reservation is None else StreamPlace(reservation)

    def is_current(self, reservation: Reservation) -> bool:
        """Check an endpoint again just before the stream is sent to it.

        :param reservation: capacity there, whose permit is in hand
        :return: whether the stream may be sent to it still
        """
        endpoint, now = reservation.endpoint, time.monotonic()
        is_free = now >= max(endpoint.backoff_until, endpoint.full_until)
        return is_free and not endpoint.is_leaving and self._pin.admits(endpoint)

    def estimate_elsewhere(self) -> float | None:
        """Estimate when an attempt that has no event yet would have one at another endpoint.

        :return: seconds; ``None`` if no other endpoint can take the stream now
        """
        attempt = self._tracker.running
        if attempt is None:
            return None
        avoid = self._tracker.tried | {attempt.endpoint.id}
        return self._dispatcher.estimate_first_event(self._call, avoid, self._pin.version)

    def claim(self, last_event: int, scope: MoveScope = MoveScope.FREE_PLACE) -> bool:
        """Claim a retry and a place at another endpoint, so that the running attempt may end.

        :param last_event: last event forwarded
        :param scope: how the stream may continue there
        :return: whether the stream can resume elsewhere
        """
        attempt = self._tracker.running
        if attempt is None or not attempt.sent or not self._pin.may_leave(attempt.endpoint):
            return False
        if self._claimed is not None and not self._pin.admits(self._claimed.reservation.endpoint):
            # claimed before the first event
            self._release_place()
        if not self._tracker.claim_retry():
            if self._call.route.repeatable:
                self._request_retries(self._call.service)
            return False
        if self._claimed is None:
            self._claimed = self._reserve_elsewhere(attempt.endpoint, last_event, scope)
        if self._claimed is None and scope is not MoveScope.QUEUE:
            self._tracker.release_claim()
            return False
        return True

    def _reserve_elsewhere(
        self, endpoint: Endpoint, last_event: int, scope: MoveScope
    ) -> StreamPlace | None:
        reservation = self._backup.resume_at_once(last_event)
        if reservation is not None:
            return StreamPlace(reservation, from_backup=True)
        if scope is MoveScope.COPY:
            return None
        avoid = self._tracker.tried | {endpoint.id}
        reservation = self._dispatcher.reserve_at_once(self._call, avoid, self._pin.version)
        return None if reservation is None else StreamPlace(reservation)

    def release(self) -> None:
        """Release what the stream claimed and did not use."""
        self._tracker.release_claim()
        self._release_place()

    def _release_place(self) -> None:
        if self._claimed is not None:
            self._dispatcher.release(self._claimed.reservation, is_unused=True)
            self._claimed = None


__all__ = ["AVOID_TRIED_S", "StreamPlace", "StreamPlacement"]
