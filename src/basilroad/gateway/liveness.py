"""Detection of engines that have gone silent, or begin nothing."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import TYPE_CHECKING

from basilroad.endpoints.channels import ChannelError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.gateway.attempt import EndpointProtocol
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.dispatch import Dispatcher
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.firstevent import FirstEventWait
    from basilroad.gateway.selection import Locality

LIVENESS_CHECK_INTERVAL_S = 0.05
"""Seconds between looks at silent endpoints."""

SILENCE_S = 0.3
"""Seconds of silence after which an engine is asked; one that reads a prompt sends an event of its
other streams about every quarter of a second."""

PROBE_S = 0.15
"""Seconds for the answer to a probe beside the way there and back; together with the silence it
leaves time to go on elsewhere within the pause that a stream may make."""

_LOGGER = logging.getLogger(__name__)


class Liveness:
    """Asks engines that are silent while answers are awaited; those that don't answer are lost.

    :param dispatcher: knows endpoints and engines
    :param dialect: how a probe is written
    :param place: where this gateway stands
    """

    def __init__(self, dispatcher: Dispatcher, protocol: EndpointProtocol, place: Locality) -> None:
        self._dispatcher = dispatcher
        self._dialect = protocol
        self._place = place
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._first_waits: set[FirstEventWait] = set()
        self.probes_sent = 0

    @property
    def directory(self) -> Directory:
        """:return: the endpoints."""
        return self._dispatcher.directory

    @contextlib.contextmanager
    def expecting(self, wait: FirstEventWait) -> Iterator[None]:
        """Look after a stream until it has begun.

        :param wait: the stream and its endpoint
        """
        self._first_waits.add(wait)
        try:
            yield
        finally:
            self._first_waits.discard(wait)

    def record_begun(self, wait: FirstEventWait) -> None:
        """Note that a stream's first event came.

        :param wait: from :meth:`expecting`
        """
        self._first_waits.discard(wait)

    def check(self) -> None:
        """Ask the engines that have been silent for too long, and end what doesn't begin."""
        now = time.monotonic()
        self._end_overdue(now)
        for endpoint in self.directory:
            if endpoint.id in self._probes or endpoint.silence_s(now) < SILENCE_S:
                continue
            if self._dispatcher.find_engine(endpoint.entry.service) is None:
                continue
            task = asyncio.ensure_future(self._probe(endpoint))
            self._probes[endpoint.id] = task

    async def close(self) -> None:
        """Stop the probes that run."""
        for task in list(self._probes.values()):
            task.cancel()

    def _end_overdue(self, now: float) -> None:
        for wait in list(self._first_waits):
            if not wait.is_overdue(now) or not wait.may_move():
                continue
            _LOGGER.warning(
                "stream overdue",
                extra={
                    "request": wait.call.id,
                    "endpoint": wait.endpoint.id,
                    "waited_ms": round(1000 * (now - wait.sent_at)),
                    "limit_ms": round(1000 * wait.limit_s),
                },
            )
            self._first_waits.discard(wait)
            wait.give_up()

    async def _probe(self, endpoint: Endpoint) -> None:
        asked_at = time.monotonic()
        silence_s = endpoint.silence_s(asked_at)
        try:
            alive = await self._ask(endpoint)
        finally:
            self._probes.pop(endpoint.id, None)
        now = time.monotonic()
        if alive or endpoint.heard_at > asked_at:
            endpoint.record_heard(now)
            return
        _LOGGER.warning(
            "endpoint silent",
            extra={
                "endpoint": endpoint.id,
                "address": str(endpoint.entry.address),
                "silence_ms": round(1000 * silence_s),
                "probe_ms": round(1000 * (now - asked_at)),
            },
        )
        endpoint.declare_lost(now)

    async def _ask(self, endpoint: Endpoint) -> bool:
        limit_s = PROBE_S + 2 * self._place.distance_s(endpoint.entry.data_centre)
        self.probes_sent += 1
        channel = None
        try:
            async with asyncio.timeout(limit_s):
                channel = await endpoint.pool.open(0)
                channel.send(self._dialect.encode_probe(endpoint.entry.address))
                await channel.read_head()
                await channel.read_body()
        except (ChannelError, TimeoutError):
            if channel is not None:
                channel.close()
            return False
        endpoint.pool.keep(channel)
        return True


__all__ = ["LIVENESS_CHECK_INTERVAL_S", "PROBE_S", "SILENCE_S", "Liveness"]
