"""Backups of the KV cache of one stream, from which it may resume."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from basilroad.gateway.calls.log import log_resume_from_backup
from basilroad.gateway.registry.endpoint import Reservation

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.dispatcher import Dispatcher
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.versions.pin import VersionPin


class StreamBackup:
    """Chooses the endpoints that keep backups of one stream, and resumes it there.

    :param call: the call of the stream
    :param dispatcher: reserves capacity
    :param pin: version of the stream
    """

    def __init__(self, call: Call, dispatcher: Dispatcher, pin: VersionPin) -> None:
        self._call = call
        self._dispatcher = dispatcher
        self._pin = pin
        self._current: Reservation | None = None
        self._resumed_after = 0
        self._holder: Endpoint | None = None

    def reserve(self, endpoint: Endpoint, last_event: int = 0) -> Reservation | None:
        """Reserve memory for the backup of a new attempt.

        :param endpoint: endpoint of the attempt
        :param last_event: last event forwarded before it
        :return: the reservation; ``None`` without a backup
        """
        self._current = self._reserve(endpoint)
        self._resumed_after = last_event
        return self._current

    def _reserve(self, endpoint: Endpoint) -> Reservation | None:
        call, dispatcher = self._call, self._dispatcher
        engine = dispatcher.find_engine(call.service)
        if engine is None or not engine.supports_kv_backup or not call.route.repeatable:
            return None
        holder = dispatcher.chooser.choose_backup_endpoint(
            dispatcher.directory.list_by_service(call.service),
            endpoint,
            call.size,
            engine,
            time.monotonic(),
        )
        if holder is None:
            return None
        return Reservation(holder, call.size, needs_prefill=False)

    def keep(self, last_event: int) -> None:
        """Keep the backup of the attempt that has failed, for the next one.

        :param last_event: last event forwarded; a backup is usable from the first event of its
            attempt on
        """
        self._holder = self.find_holder(last_event)

    def discard(self) -> None:
        """Discard the backup of the attempt that has failed."""
        self._holder = None

    async def resume(self, last_event: int) -> Reservation | None:
        """Reserve the endpoint that keeps the backup of the failed attempt.

        :param last_event: last event forwarded
        :return: the reservation; ``None`` without a usable backup
        """
        holder, self._holder = self._holder, None
        if holder is None or not self._is_usable(holder):
            return None
        if not await self._dispatcher.acquire_permit(holder):
            return None
        return self._resume_at(holder, last_event)

    def resume_at_once(self, last_event: int) -> Reservation | None:
        """Reserve the endpoint that keeps the backup of the running attempt.

        :param last_event: last event forwarded
        :return: the reservation; ``None`` without a backup that is usable now
        """
        holder = self.find_holder(last_event)
        if holder is None or not self._is_usable(holder):
            return None
        if not holder.notices.limit.has_permit(time.monotonic()):
            return None
        return self._resume_at(holder, last_event)

    def find_holder(self, last_event: int) -> Endpoint | None:
        """Find the endpoint that keeps the backup of the running attempt.

        :param last_event: last event forwarded; a backup is usable from the first event of its
            attempt on
        :return: the endpoint; ``None`` without a backup
        """
        has_begun = last_event > self._resumed_after
        return self._current.endpoint if self._current is not None and has_begun else None

    def _is_usable(self, holder: Endpoint) -> bool:
        now = time.monotonic()
        if now < holder.unconfirmed_until:
            return False
        return holder.is_available(now) and self._pin.admits(holder)

    def _resume_at(self, holder: Endpoint, last_event: int) -> Reservation:
        log_resume_from_backup(self._call, holder, last_event)
        return self._dispatcher.reserve(holder, self._call.size, needs_prefill=False)


__all__ = ["StreamBackup"]
