"""Start of the endpoint at which one attempt of a stream runs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from basilroad.gateway.versions.startcheck import START_TIMEOUT_S, StartVerdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.gateway.calls.attempt import NotRun
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.versions.startcheck import StartCheck
    from basilroad.http.channels import Channel

MAX_TRIES = 3
"""Requests for the report beside one attempt; a sound engine falls silent for a second or so."""

RETRY_PAUSE_S = 0.1
"""Pause before a report that was cut off is asked for again; the first event waits for it."""


class AttemptStart:
    """Checks the start at the other end of the connection of one attempt.

    If nothing hints at a restart, the stream is sent at once, and the report is read on another
    connection meanwhile. The endpoint that answers then is the one that got the stream, or a later
    start: one that names the listed start confirms that of the stream.

    :param check: asks endpoints for their start
    :param endpoint: the endpoint
    :param is_bound: whether the stream has begun, so that it may resume at its version only
    :param on_other: called if the endpoint names another start after the first event
    :ivar is_other: whether the endpoint named another start than the listed one
    """

    def __init__(
        self,
        check: StartCheck,
        endpoint: Endpoint,
        *,
        is_bound: bool,
        on_other: Callable[[], None] = lambda: None,
    ) -> None:
        self.is_other = False
        self._on_other = on_other
        self._check = check
        self._endpoint = endpoint
        self._is_bound = is_bound
        self._began_at = 0.0
        self._has_event = False
        self._task: asyncio.Task[None] | None = None

    async def confirm(self, channel: Channel) -> Channel | NotRun:
        """Check a connection before the stream is sent on it.

        :param channel: the connection
        :return: the connection to use, or why no stream may be sent
        """
        if self._check.is_due(self._endpoint, channel, is_bound=self._is_bound):
            return await self._check.confirm(self._endpoint, channel)
        if self._check.may_ask_beside(self._endpoint, channel):
            self._began_at = time.monotonic()
            self._task = asyncio.create_task(self._ask_beside(channel))
        return channel

    async def settle(self) -> bool:
        """Wait for the report, a short time at most, before the first event is passed on.

        :return: false if the endpoint named another start
        """
        if self._task is not None and not self.is_other:
            left_s = self._began_at + START_TIMEOUT_S - time.monotonic()
            await asyncio.wait([self._task], timeout=max(0.0, left_s))
        self._has_event = not self.is_other
        return not self.is_other

    def close(self) -> None:
        """End the check with its attempt."""
        if self._task is not None:
            self._task.cancel()

    async def _ask_beside(self, channel: Channel) -> None:
        expected_ms = self._endpoint.entry.started_ms
        for _ in range(MAX_TRIES):
            verdict = await self._check.ask(self._endpoint, expected_ms)
            if verdict in (StartVerdict.NAMED, StartVerdict.NEVER_NAMED):
                channel.confirmed_start_ms = expected_ms
            if verdict is StartVerdict.OTHER:
                self._record_other(channel)
            if verdict is not StartVerdict.UNANSWERED:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _record_other(self, channel: Channel) -> None:
        now = time.monotonic()
        self.is_other = True
        self._endpoint.record_unconfirmed(now)
        # the streams that follow are checked before they are sent, until the restart is listed
        self._endpoint.record_cut(now)
        if self._has_event:
            self._on_other()
        else:
            # nothing was passed on, so that the stream can begin elsewhere
            channel.close()


__all__ = ["MAX_TRIES", "RETRY_PAUSE_S", "AttemptStart"]
