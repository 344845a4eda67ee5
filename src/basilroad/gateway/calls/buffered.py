"""Calls whose response is buffered and forwarded as a whole."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from basilroad.errors import RefusedError
from basilroad.gateway.calls.attempt import Attempt, AttemptOptions, MayHaveRun, NotRun
from basilroad.gateway.calls.attempttracker import SERVER_ERROR, AttemptTracker
from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.log import AttemptRecord
from basilroad.gateway.crashes.runs import Run
from basilroad.gateway.registry.pendingcalls import MoveScope
from basilroad.http.messages import ChannelError

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.registry.endpoint import Endpoint, Reservation

DISPATCH_WAIT_SHARE = 0.5
"""Fraction of the target for which a call may be queued; the rest is left for its processing."""

ATTEMPT_TIMEOUT_SHARE = 0.6
"""Fraction of the target after which a repeatable call is retried, if it can be; nearly all calls
are faster."""

LEAVE_CHECK_INTERVAL_S = 0.05
"""Interval of checks whether a slow call can continue at another endpoint."""

Outcome = Reply | NotRun | MayHaveRun


class BufferedCall:
    """Runs one call, with retries.

    :param gateway: the gateway
    :param call: the call
    """

    def __init__(self, gateway: Gateway, call: Call) -> None:
        self._gateway = gateway
        self._call = call
        self._tracker = AttemptTracker(call, gateway.budget_of(call.service))
        self._failed_reply: Reply | None = None

    async def run(self) -> Reply:
        """Run the call.

        :return: its response
        :raises RefusedError: there is no response
        """
        try:
            return await self._run()
        finally:
            self._tracker.release_claim()

    async def _run(self) -> Reply:
        tracker = self._tracker
        while tracker.try_start_attempt():
            outcome = await self._try_once()
            if isinstance(outcome, Reply) and not self._should_retry(outcome):
                return outcome
            if isinstance(outcome, Reply):
                self._failed_reply = outcome
            if outcome is None or self._gateway.containment.find_refusal(self._call) is not None:
                break
        if self._failed_reply is not None:
            return self._failed_reply
        raise RefusedError(self._gateway.build_refusal(tracker))

    def end_at_shutdown(self) -> Reply:
        """End a cancelled run because this host shuts down.

        :return: the last response of an endpoint
        :raises RefusedError: there is none
        """
        if self._failed_reply is not None:
            return self._failed_reply
        raise self._tracker.build_shutdown_error()

    async def _try_once(self) -> Outcome | None:
        call, tracker = self._call, self._tracker
        dispatcher = self._gateway.dispatcher
        queued_at = time.monotonic()
        wait_until = min(
            call.expires_at, call.arrived_at + DISPATCH_WAIT_SHARE * call.route.latency_target_s
        )
        reservation = await dispatcher.place(call, wait_until, tracker.tried)
        if reservation is None and tracker.tried and not tracker.sent:
            reservation = await dispatcher.place(call, wait_until)
        if reservation is None:
            return None
        self._check_still_allowed(reservation)
        endpoint = reservation.endpoint
        started = time.monotonic()
        self._gateway.record_placed(call, started - queued_at)
        options = AttemptOptions(endpoint.id, call.expires_at - started)
        attempt = tracker.running = Attempt(
            call, endpoint, self._gateway.protocol, options, self._claim_move, self._may_send
        )
        run = Run(call, endpoint)
        try:
            outcome = await self._exchange(attempt)
            await self._record_end(run, attempt, outcome)
        finally:
            attempt.close()
            dispatcher.release(reservation)
        tracker.running = None
        if not attempt.sent:
            tracker.record_unsent()
        self._record_outcome(outcome, endpoint)
        took_s = time.monotonic() - started
        self._gateway.record_attempt(
            AttemptRecord(call, endpoint, outcome, took_s, version=attempt.version)
        )
        return outcome

    def _claim_move(self, scope: MoveScope) -> bool:
        """Claim a retry, so that the running attempt may end.

        :param scope: how the call may continue elsewhere
        :return: whether the call can continue elsewhere
        """
        attempt = self._tracker.running
        if attempt is None or not attempt.sent:
            return False
        avoid = self._tracker.tried | {attempt.endpoint.id}
        if scope is MoveScope.COPY:
            return False
        if scope is MoveScope.FREE_PLACE and not self._gateway.dispatcher.has_room(
            self._call, avoid
        ):
            return False
        return self._tracker.claim_retry()

    def _check_still_allowed(self, reservation: Reservation) -> None:
        # its content may have been refused, or a shutdown have begun, while it was queued
        if self._tracker.sent:
            return
        try:
            self._gateway.containment.check(self._call)
            self._gateway.check_time_before_shutdown(self._call.route)
        except RefusedError:
            self._gateway.dispatcher.release(reservation, is_unused=True)
            raise

    def _may_send(self) -> bool:
        # a shutdown may have left too little time while the connection was opened
        sent, route = self._tracker.sent, self._call.route
        return bool(sent) or self._gateway.has_time_before_shutdown(route)

    async def _exchange(self, attempt: Attempt) -> Outcome:
        limit = asyncio.timeout(max(0.0, self._call.expires_at - time.monotonic()))
        try:
            async with limit, self._leave_early(limit):
                opened = await attempt.open()
                if isinstance(opened, NotRun | MayHaveRun):
                    return opened
                return Reply(opened.status, opened.headers, await opened.read_all())
        except TimeoutError:
            if not attempt.sent:
                return NotRun("no connection in time")
            return MayHaveRun("no answer in time", timed_out=True)
        except ChannelError as error:
            return MayHaveRun(str(error))

    async def _record_end(self, run: Run, attempt: Attempt, outcome: Outcome) -> None:
        if isinstance(outcome, Reply):
            self._gateway.containment.record_whole(run)
        elif isinstance(outcome, MayHaveRun) and attempt.is_cut_off:
            await self._gateway.containment.record_break(run)

    @contextlib.asynccontextmanager
    async def _leave_early(self, limit: asyncio.Timeout) -> AsyncIterator[None]:
        """End a slow attempt once the call can continue at another endpoint.

        :param limit: time limit of the attempt
        """
        if not self._call.route.repeatable:
            yield
            return
        watch = asyncio.ensure_future(self._wait_to_leave(limit))
        try:
            yield
        finally:
            watch.cancel()

    async def _wait_to_leave(self, limit: asyncio.Timeout) -> None:
        await asyncio.sleep(ATTEMPT_TIMEOUT_SHARE * self._call.route.latency_target_s)
        attempt = self._tracker.running
        while attempt is not None and attempt.sent and not self._claim_move(MoveScope.FREE_PLACE):
            await asyncio.sleep(LEAVE_CHECK_INTERVAL_S)
        limit.reschedule(asyncio.get_running_loop().time())

    def _should_retry(self, reply: Reply) -> bool:
        call = self._call
        return reply.status >= SERVER_ERROR and call.route.repeatable

    def _record_outcome(self, outcome: Outcome, endpoint: Endpoint) -> None:
        tracker, now = self._tracker, time.monotonic()
        tracker.tried.add(endpoint.id)
        if isinstance(outcome, NotRun):
            tracker.refused += 1
            tracker.last_detail = outcome.detail
            return
        tracker.sent += 1
        if isinstance(outcome, Reply):
            endpoint.record_outcome(now, failed=outcome.status >= SERVER_ERROR)
            return
        tracker.last_detail = outcome.detail
        tracker.timed_out = outcome.timed_out
        endpoint.record_outcome(now, failed=True)


__all__ = ["BufferedCall"]
