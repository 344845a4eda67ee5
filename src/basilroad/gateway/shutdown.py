"""Planned shutdown of a gateway."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.stopsignal import StopSignal

SHUTDOWN_RESERVE_S = 1.0
"""Part of the shutdown grace period reserved for closing connections and process exit; the exit
alone takes about half of it."""

SHORT_CALL_S = 0.3
"""Time that a call of a plain service needs at least, several times that of a short one."""

LISTEN_AFTER_STOP_S = 2.3
"""Time after a stop request for which new connections are accepted; the platform needs two failed
readiness checks, a second apart, to notice that a host is not ready."""

ACCEPTED_LINGER_S = 0.2
"""Time after the last new connection for which the requests on accepted ones are awaited; a client
sends its request right after it has connected."""

OTHER_HOST_RETRY_S = 0.05
"""Retry delay for callers that only this host refuses: the retry reaches another host, and a
longer delay would use up the target of a short call."""

RESTART_S = 2.5
"""Time from the end of the calls in flight of a shutdown until the host has started again."""


@attrs.frozen
class ShutdownSchedule:
    """Times of a planned shutdown, in seconds of the clock of its signal.

    :param accepts_until: end of new connections
    :param admits_until: end of new calls
    :param ends_at: end of the calls in flight
    """

    accepts_until: float
    admits_until: float
    ends_at: float

    @classmethod
    def plan(cls, requested_at: float, grace_s: float) -> ShutdownSchedule:
        """Plan a shutdown.

        :param requested_at: time of the request to shut down
        :param grace_s: seconds from then until the process is killed
        :return: its times
        """
        ends_at = requested_at + grace_s - SHUTDOWN_RESERVE_S
        last_accept_at = ends_at - ACCEPTED_LINGER_S - SHORT_CALL_S
        accepts_until = min(requested_at + LISTEN_AFTER_STOP_S, last_accept_at)
        return cls(accepts_until, accepts_until + ACCEPTED_LINGER_S, ends_at)

    @property
    def restarted_at(self) -> float:
        """:return: time at which this host has started again, if it does so at once."""
        return self.ends_at + RESTART_S


@attrs.define
class Shutdown:
    """Progress of a planned shutdown and the calls in flight, which it ends at its time limit.

    All times count from the stop signal, as the platform's do, however late it is handled.

    :param signal: signal that requests the shutdown
    """

    signal: StopSignal = attrs.field(factory=StopSignal)
    _schedule: ShutdownSchedule | None = None
    _limits: set[asyncio.Timeout] = attrs.field(factory=set)
    _has_ended_calls: bool = False

    @property
    def is_requested(self) -> bool:
        """:return: whether a shutdown was requested."""
        return self.signal.received_at is not None

    def read_clock(self) -> float:
        """:return: the time, which includes suspensions of the machine since the request."""
        return self.signal.read_clock()

    def find_schedule(self, grace_s: float) -> ShutdownSchedule | None:
        """Find the times of the shutdown, which a later change of the grace period doesn't move.

        :param grace_s: seconds from the request until the process is killed
        :return: the times; ``None`` without a request
        """
        requested_at = self.signal.received_at
        if self._schedule is None and requested_at is not None:
            self._schedule = ShutdownSchedule.plan(requested_at, grace_s)
        return self._schedule

    @contextlib.asynccontextmanager
    async def limit_call(self) -> AsyncIterator[None]:
        """Cancel the body at the time limit of the shutdown.

        :raises ShutdownError: the shutdown has ended the calls in flight
        """
        if self._has_ended_calls:
            raise ShutdownError
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                try:
                    yield
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
            raise ShutdownError from None

    def end_calls(self) -> int:
        """Cancel the calls in flight, and let no others begin.

        :return: their number
        """
        self._has_ended_calls = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)
        return len(self._limits)


class ShutdownError(Exception):
    """A call was still in flight at the time limit of a planned shutdown."""


def refuse_at_shutdown(retry_after_s: float = OTHER_HOST_RETRY_S) -> RefusedError:
    """Build the error for a call that has not run and has to be sent to another host.

    :param retry_after_s: seconds after which another host takes it
    :return: the error
    """
    return refuse(ErrorKind.DRAINING, "this host is shutting down", retry_after_s)


__all__ = [
    "OTHER_HOST_RETRY_S",
    "RESTART_S",
    "SHORT_CALL_S",
    "SHUTDOWN_RESERVE_S",
    "Shutdown",
    "ShutdownError",
    "ShutdownSchedule",
    "refuse_at_shutdown",
]
