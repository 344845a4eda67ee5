"""Detection of engines that stop responding or never start a stream."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from basilroad.gateway.registry.notices import Purpose
from basilroad.gateway.registry.silencecheck import SilenceCheck, count_nothing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.gateway.dispatch.dispatcher import Dispatcher
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.reports import ReportReader
    from basilroad.gateway.registry.silence import SilenceKind
    from basilroad.gateway.streams.firstevent import FirstEventWait

LIVENESS_CHECK_INTERVAL_S = 0.05
"""Interval of checks for silent endpoints."""

SILENCE_LIMIT_S = 0.3
"""Silence after which an engine is probed; during prefill, an engine sends an event of its other
streams about every 0.25 s."""

PREFILL_SILENCE_LIMIT_S = 0.5
"""Silence after which an engine is probed that only processes prompts of this gateway: it sends
nothing before the first event, for which the target is some seconds."""

PROBE_TIMEOUT_S = 0.15
"""Time limit of a probe beyond the round trip; after the silence and the probe, a stream can still
resume elsewhere within the allowed gap between events."""

_LOGGER = logging.getLogger(__name__)


class Liveness:
    """Probes engines that are silent while responses are pending.

    :param dispatcher: gives the endpoints and engine limits
    :param reports: sends the probes
    :param generator: random number generator
    :param count: counts a silence that was judged
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        reports: ReportReader,
        generator: random.Random | None = None,
        count: Callable[[SilenceKind], None] = count_nothing,
    ) -> None:
        self._dispatcher = dispatcher
        self._reports = reports
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._first_waits: set[FirstEventWait] = set()
        self._silence_check = SilenceCheck(
            dispatcher.directory, self._ask, generator or random.Random(), count
        )

    @property
    def probes_sent(self) -> int:
        """:return: number of probes and other requests for reports."""
        return self._reports.requests

    @property
    def directory(self) -> Directory:
        """:return: the known endpoints."""
        return self._dispatcher.directory

    @contextlib.contextmanager
    def watch_first_event(self, wait: FirstEventWait) -> Iterator[None]:
        """Cancel a stream whose first event is overdue if it can run at another endpoint.

        :param wait: the stream that has no event yet
        """
        self._first_waits.add(wait)
        try:
            yield
        finally:
            self._first_waits.discard(wait)

    def mark_started(self, wait: FirstEventWait) -> None:
        """Record the first event of a stream.

        :param wait: from :meth:`watch_first_event`
        """
        self._first_waits.discard(wait)

    def check(self) -> None:
        """Probe engines that are silent for too long and cancel overdue streams that can move."""
        now = time.monotonic()
        self._cancel_overdue(now)
        for endpoint in self.directory:
            limit_s = SILENCE_LIMIT_S if endpoint.load.started else PREFILL_SILENCE_LIMIT_S
            if endpoint.id in self._checks or endpoint.silence_s(now) < limit_s:
                continue
            if self._dispatcher.find_engine(endpoint.entry.service) is None:
                continue
            if not endpoint.notices.permits(Purpose.PROBE, now):
                self._dispatcher.request_permit(endpoint)
                continue
            task = asyncio.ensure_future(self._check_endpoint(endpoint))
            self._checks[endpoint.id] = task

    async def close(self) -> None:
        """Cancel running probes."""
        for task in [*self._checks.values(), *self._probes.values()]:
            task.cancel()

    def _cancel_overdue(self, now: float) -> None:
        for wait in list(self._first_waits):
            if wait.try_move(now):
                self._first_waits.discard(wait)

    async def _check_endpoint(self, endpoint: Endpoint) -> None:
        try:
            if not await self._ask(endpoint):
                await self._silence_check.resolve(endpoint)
        finally:
            self._checks.pop(endpoint.id, None)

    async def _ask(self, endpoint: Endpoint) -> bool:
        """:return: whether an engine answers a probe; one that is on its way counts."""
        probe = self._probes.get(endpoint.id)
        if probe is None:
            endpoint.notices.record_probe()
            probe = asyncio.ensure_future(self._probe(endpoint))
            self._probes[endpoint.id] = probe
        return await asyncio.shield(probe)

    async def _probe(self, endpoint: Endpoint) -> bool:
        asked_at = time.monotonic()
        silence_s = endpoint.silence_s(asked_at)
        try:
            alive = await self._reports.read(endpoint, PROBE_TIMEOUT_S, Purpose.PROBE)
        finally:
            self._probes.pop(endpoint.id, None)
        now = time.monotonic()
        if alive or endpoint.last_received_at > asked_at:
            endpoint.record_received(now)
            return True
        _LOGGER.warning(
            "endpoint silent",
            extra={
                "endpoint": endpoint.id,
                "address": str(endpoint.entry.address),
                "silence_ms": round(1000 * silence_s),
                "probe_ms": round(1000 * (now - asked_at)),
            },
        )
        endpoint.record_silent(now)
        return False


__all__ = ["LIVENESS_CHECK_INTERVAL_S", "PROBE_TIMEOUT_S", "SILENCE_LIMIT_S", "Liveness"]
