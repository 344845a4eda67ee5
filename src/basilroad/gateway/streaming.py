"""Event streams, resumed at other endpoints after failures."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from basilroad.endpoints.channels import ChannelError
from basilroad.errors import RefusedError
from basilroad.gateway.attempt import Attempt, AttemptOptions, MayHaveRun, NotRun, OpenReply
from basilroad.gateway.attempttracker import SERVER_ERROR, AttemptTracker
from basilroad.gateway.call import Reply
from basilroad.gateway.calllog import AttemptRecord, log_resume_from_backup
from basilroad.gateway.containment import REFUSED_MESSAGE
from basilroad.gateway.endpoint import Reservation
from basilroad.gateway.events import EventOrderError, EventSequence
from basilroad.gateway.firstevent import FirstEventWait
from basilroad.gateway.latecrashes import LateBreak, LateBreaks
from basilroad.gateway.metrics import name_rank
from basilroad.gateway.runs import Run
from basilroad.gateway.versions.pin import VersionPin

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from basilroad.endpoints.channels import Channel
    from basilroad.gateway.call import Call, Responder
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.gateway import Gateway

OK = 200

STALL_TIMEOUT_S = 1.5
"""Time without an event after which a started stream is resumed elsewhere though its endpoint is
alive; twice the gap specified for the fleets. It doubles with each stall of a stream, so that one
that is slow everywhere runs on to its end."""

LOAN_WAIT_S = 0.25
"""Time for which a stream waits for retries that other gateways lend; it still resumes within the
allowed gap between events."""

LOAN_POLL_INTERVAL_S = 0.01
"""Interval of checks for them."""

AVOID_TRIED_S = 1.0
"""Time for which a stream that is bound to a version waits only for endpoints at which it hasn't
failed; a version may have few."""

PREFILL_RESERVE_S = 1.5
"""Part of the target reserved for prefill: 1.5 times that of a mean prompt."""


class StreamBrokenError(Exception):
    """A stream that was partly sent to the caller can't be resumed.

    :param detail: why it ended
    """


@dataclass(frozen=True, slots=True)
class Ended:
    """The stream is complete."""


Outcome = Ended | Reply | NotRun | MayHaveRun


class StreamCall:
    """Runs one stream, with retries.

    :param gateway: the gateway
    :param call: the call
    :param responder: receives the response
    """

    def __init__(self, gateway: Gateway, call: Call, responder: Responder) -> None:
        self._gateway = gateway
        self._call = call
        self._responder = responder
        self._tracker = AttemptTracker(call, gateway.budget_of(call.service))
        self._pin = VersionPin(call, gateway.stream_versions, gateway.directory)
        self._events = EventSequence(call.events_received)
        self._first_at = 0.0
        self._first_event = 0
        self._started = False
        self._passed = False
        self._late_breaks = LateBreaks()
        self._backup_endpoint: Endpoint | None = None
        self._backup: Reservation | None = None
        self._claimed: tuple[Reservation, bool] | None = None
        self._failed_reply: Reply | None = None
        self._last_forwarded_at = 0.0
        self._stall_timeout_s = STALL_TIMEOUT_S
        self._gaps = gateway.metrics.gap_s.labels(name_rank(call.rank))

    async def run(self) -> Reply | None:
        """Run the call.

        :return: a response that is not a stream; ``None`` after a complete stream
        :raises RefusedError: there is no response
        :raises StreamBrokenError: the stream was cut off after it started
        """
        try:
            await self._pin.find()
            return await self._run()
        finally:
            self._release_claim()
            self._pin.end()

    async def _run(self) -> Reply | None:
        while not self._pin.is_lost and await self._start_attempt():
            outcome = await self._try_once()
            if outcome is None:
                break
            if isinstance(outcome, Ended):
                self._record_duration()
                return None
            if isinstance(outcome, Reply):
                self._failed_reply = outcome
                if self._started or self._is_final(outcome):
                    break
        if self._started:
            lost = self._pin.describe_loss() if self._pin.is_lost else ""
            detail = lost or self._tracker.last_detail or "no endpoint to resume the stream"
            raise StreamBrokenError(detail)
        if self._failed_reply is not None:
            return self._failed_reply
        if not self._tracker.sent:
            self._gateway.containment.check(self._call)
            if self._pin.is_lost:
                raise RefusedError(self._pin.build_refusal())
        raise RefusedError(self._gateway.build_refusal(self._tracker, self._pin.version))

    def end_at_shutdown(self) -> Reply:
        """End a cancelled run because this host shuts down.

        :return: the last response of an endpoint
        :raises RefusedError: there is none
        :raises StreamBrokenError: a part of the stream was sent to the caller
        """
        if self._started:
            raise StreamBrokenError("this host shut down")
        if self._failed_reply is not None:
            return self._failed_reply
        raise self._tracker.build_shutdown_error()

    async def _start_attempt(self) -> bool:
        tracker, service = self._tracker, self._call.service
        if self._is_refused():
            tracker.last_detail = REFUSED_MESSAGE
            return False
        allowed = tracker.try_start_attempt()
        if allowed or not tracker.lacks_budget:
            if tracker.sent:
                self._gateway.request_retries(service)
            return allowed
        until = time.monotonic() + LOAN_WAIT_S
        while not allowed and time.monotonic() < until:
            self._gateway.request_retries(service)
            await asyncio.sleep(LOAN_POLL_INTERVAL_S)
            allowed = tracker.try_start_attempt()
        return allowed

    def _is_refused(self) -> bool:
        containment = self._gateway.containment
        if self._passed:
            return containment.refuses_content(self._call)
        return containment.find_refusal(self._call) is not None

    def _record_duration(self) -> None:
        now = time.monotonic()
        later = self._events.last - self._first_event
        event_s = (now - self._first_at) / later if later > 0 else None
        took_s = None if self._call.events_received else now - self._call.arrived_at
        self._gateway.stream_durations.record(took_s, self._events.last, event_s)

    def _is_final(self, reply: Reply) -> bool:
        return reply.status < SERVER_ERROR or not self._call.route.repeatable

    async def _try_once(self) -> Outcome | None:
        queued_at = time.monotonic()
        reservation, kv_cache_source = await self._place()
        if reservation is None:
            return None
        if not self._pin.admits(reservation.endpoint):
            # it was listed anew while the reservation was handed over
            self._gateway.dispatcher.release(reservation)
            self._tracker.record_unsent()
            return NotRun("the endpoint has changed")
        self._gateway.record_placed(self._call, time.monotonic() - queued_at)
        self._check_time_before_shutdown(reservation)
        if self._tracker.sent:
            self._gateway.metrics.resumes.labels("copy" if kv_cache_source else "none").inc()
        endpoint = reservation.endpoint
        backup = self._backup = self._reserve_backup(endpoint)
        started = time.monotonic()
        attempt = self._tracker.running = Attempt(
            self._call,
            endpoint,
            self._gateway.protocol,
            AttemptOptions(
                endpoint.id,
                self._call.expires_at - started,
                resume_after=str(self._events.last) if self._events.last else "",
                copy_at=backup.endpoint.entry.address if backup else None,
                kv_cache_source=endpoint.entry.address if kv_cache_source else None,
            ),
            self._claim_move,
            self._may_send,
            self._find_start_check(endpoint),
        )
        self._pin.begin(endpoint)
        self._gateway.dispatcher.prompt_locations.record(self._call.prompt_key, endpoint.id)
        try:
            outcome = await self._run_watched(attempt, reservation)
        finally:
            attempt.close()
            self._gateway.dispatcher.release(reservation)
            if backup is not None:
                self._gateway.dispatcher.release(backup)
        self._tracker.running = None
        if not attempt.sent:
            self._tracker.record_unsent()
        self._record_outcome(outcome, attempt, backup, used_backup=kv_cache_source)
        took_s = time.monotonic() - started
        self._gateway.record_attempt(
            AttemptRecord(
                self._call,
                endpoint,
                outcome,
                took_s,
                self._events.last,
                backup.endpoint.id if backup else None,
                attempt.version,
            )
        )
        return outcome

    def _check_time_before_shutdown(self, reservation: Reservation) -> None:
        # a shutdown may have begun while the stream was queued
        if self._tracker.sent:
            return
        try:
            self._gateway.check_time_before_shutdown(self._call.route)
        except RefusedError:
            self._gateway.dispatcher.release(reservation)
            raise

    def _find_start_check(
        self, endpoint: Endpoint
    ) -> Callable[[Channel], Coroutine[Any, Any, bool]] | None:
        check = self._gateway.start_check
        if not self._call.route.repeatable or not check.is_due(endpoint):
            return None
        return partial(check.confirm, endpoint)

    def _may_send(self) -> bool:
        # a shutdown may have left too little time while the connection was opened
        sent, route = self._tracker.sent, self._call.route
        return bool(sent) or self._gateway.has_time_before_shutdown(route)

    async def _place(self) -> tuple[Reservation | None, bool]:
        call, now = self._call, time.monotonic()
        holder, self._backup_endpoint = self._backup_endpoint, None
        if self._claimed is not None:
            claimed, self._claimed = self._claimed, None
            endpoint = claimed[0].endpoint
            if endpoint.is_available(now) and self._pin.admits(endpoint):
                return claimed
            self._gateway.dispatcher.release(claimed[0])
        dispatcher = self._gateway.dispatcher
        usable = holder is not None and holder.is_available(now) and self._pin.admits(holder)
        if holder is not None and usable and await dispatcher.acquire_permit(holder):
            log_resume_from_backup(call, holder, self._events.last)
            return dispatcher.reserve(holder, call.size, needs_prefill=False), True
        if self._started:
            wait_until = call.expires_at
        else:
            reserve_s = min(PREFILL_RESERVE_S, call.route.latency_target_s / 2)
            wait_until = max(now, call.on_time_until - reserve_s)
        if self._passed:
            return await self._wait_for_endpoint(wait_until), False
        try:
            async with self._gateway.containment.watch_queued(call):
                return await self._wait_for_endpoint(wait_until), False
        except TimeoutError:
            # refused while it waited
            return None, False

    async def _wait_for_endpoint(self, wait_until: float) -> Reservation | None:
        tracker, now = self._tracker, time.monotonic()
        dispatcher, version = self._gateway.dispatcher, self._pin.version
        avoid_until = wait_until if version is None else min(wait_until, now + AVOID_TRIED_S)
        reservation = None
        if version is None or tracker.tried:
            reservation = await dispatcher.place(self._call, avoid_until, tracker.tried, version)
        if reservation is None and not self._pin.is_lost:
            tracker.tried.clear()
            again_until = now if version is None else wait_until
            reservation = await dispatcher.place(self._call, again_until, version=version)
        return reservation

    def _reserve_backup(self, endpoint: Endpoint) -> Reservation | None:
        call, dispatcher = self._call, self._gateway.dispatcher
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

    async def _run_watched(self, attempt: Attempt, reservation: Reservation) -> Outcome:
        containment = self._gateway.containment
        run = Run(self._call, attempt.endpoint, resumed_after=self._events.last)
        with containment.watch(run):
            outcome = await self._exchange(attempt, reservation, run)
        if isinstance(outcome, Ended) and run.first_event_at is not None:
            containment.record_whole(run)
        elif isinstance(outcome, MayHaveRun) and attempt.is_cut_off:
            await self._record_break(run)
        elif isinstance(outcome, MayHaveRun) and self._fell_silent(run):
            containment.record_silence(run)
        self._passed = self._passed or run.passed
        return outcome

    def _fell_silent(self, run: Run) -> bool:
        endpoint = run.endpoint
        return not self._passed and endpoint is not None and endpoint.lost_at >= run.started_at

    async def _record_break(self, run: Run) -> None:
        containment = self._gateway.containment
        if not self._passed and run.is_at_beginning(time.monotonic()):
            await containment.record_break(run)
            return
        progress = self._events.last - run.resumed_after
        found = LateBreak(run, progress, self._events.last)
        await containment.record_late_break(found, self._late_breaks)

    async def _exchange(self, attempt: Attempt, reservation: Reservation, run: Run) -> Outcome:
        now = time.monotonic()
        first = asyncio.timeout(None)
        wait = FirstEventWait(
            self._call,
            attempt.endpoint,
            now,
            lambda: self._claim_move(True),
            lambda: first.reschedule(asyncio.get_running_loop().time()),
        )
        if not self._passed:
            run.cancel = wait.cancel_attempt
        try:
            async with asyncio.timeout(max(0.0, self._call.expires_at - now)), first:
                with self._gateway.liveness.watch_first_event(wait):
                    opened = await attempt.open()
                    if isinstance(opened, NotRun | MayHaveRun):
                        return opened
                    if opened.status != OK:
                        return Reply(opened.status, opened.headers, await opened.read_all())
                    run.began = True
                    return await self._relay(opened, reservation, wait, run)
        except TimeoutError:
            if not attempt.sent:
                return NotRun("no connection in time")
            if first.expired():
                refused = self._gateway.containment.find_refusal(self._call) is not None
                return MayHaveRun(REFUSED_MESSAGE if refused else "no first event in time")
            return MayHaveRun("no end in time", timed_out=True)
        except ChannelError as error:
            attempt.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        except EventOrderError as error:
            return MayHaveRun(str(error))

    def _claim_move(self, needs_room: bool) -> bool:
        """Claim a retry and a place at another endpoint, so that the running attempt may end.

        :param needs_room: whether a place must be free at once
        :return: whether the stream can go on elsewhere
        """
        attempt = self._tracker.running
        if attempt is None or not attempt.sent or not self._pin.may_leave(attempt.endpoint):
            return False
        if self._claimed is not None and not self._pin.admits(self._claimed[0].endpoint):
            # claimed before the first event
            self._gateway.dispatcher.release(self._claimed[0])
            self._claimed = None
        if not self._tracker.claim_retry():
            if self._call.route.repeatable:
                self._gateway.request_retries(self._call.service)
            return False
        if self._claimed is None:
            self._claimed = self._reserve_elsewhere(attempt.endpoint)
        if self._claimed is None and needs_room:
            self._tracker.release_claim()
            return False
        return True

    def _reserve_elsewhere(self, endpoint: Endpoint) -> tuple[Reservation, bool] | None:
        dispatcher, now = self._gateway.dispatcher, time.monotonic()
        holder = self._backup.endpoint if self._backup is not None and self._events.last else None
        is_free = holder is not None and holder.is_available(now) and self._pin.admits(holder)
        if holder is not None and is_free and holder.notices.limit.has_permit(now):
            log_resume_from_backup(self._call, holder, self._events.last)
            return dispatcher.reserve(holder, self._call.size, needs_prefill=False), True
        avoid = self._tracker.tried | {endpoint.id}
        reservation = dispatcher.reserve_at_once(self._call, avoid, self._pin.version)
        return None if reservation is None else (reservation, False)

    def _release_claim(self) -> None:
        self._tracker.release_claim()
        if self._claimed is not None:
            self._gateway.dispatcher.release(self._claimed[0])
            self._claimed = None

    async def _relay(
        self,
        opened: OpenReply,
        reservation: Reservation,
        wait: FirstEventWait,
        run: Run,
    ) -> Outcome:
        self._events.start_run()
        stalls_at: float | None = None
        while True:
            try:
                async with asyncio.timeout_at(stalls_at):
                    data = await opened.read()
            except TimeoutError:
                if stalls_at is None or time.monotonic() >= self._call.expires_at:
                    raise
                if not self._claim_move(True):
                    stalls_at += self._stall_timeout_s
                    continue
                self._stall_timeout_s *= 2
                return MayHaveRun("the stream stalled")
            if data is None:
                break
            received = self._events.received
            due = self._events.take(data)
            if due and not await self._pass_on(opened, due, run, wait):
                return MayHaveRun("the software version of the stream could not be recorded")
            if self._events.received > received:
                reservation.record_started()
                self._gateway.liveness.mark_started(wait)
                self._gateway.containment.record_event(run)
                stalls_at = asyncio.get_running_loop().time() + self._stall_timeout_s
        truncation = self._find_truncation(opened, run)
        if truncation:
            return MayHaveRun(truncation)
        if not self._started:
            await self._forward(opened, b"")
        return Ended()

    async def _pass_on(self, opened: OpenReply, due: bytes, run: Run, wait: FirstEventWait) -> bool:
        if not self._started and not await self._confirm_version(run, wait):
            return False
        await self._forward(opened, due)
        return True

    async def _confirm_version(self, run: Run, wait: FirstEventWait) -> bool:
        self._gateway.liveness.mark_started(wait)
        confirmed = False
        try:
            confirmed = await self._pin.confirm(run.version)
        finally:
            if not confirmed:
                # another run makes the events again that this one made
                self._events = EventSequence(self._call.events_received)
        return confirmed

    def _find_truncation(self, opened: OpenReply, run: Run) -> str:
        if not self._events.is_whole:
            return "the stream stopped within an event"
        if opened.ends_with_connection and run.first_event_at is None:
            return "the connection was closed before the first event"
        return ""

    async def _forward(self, opened: OpenReply, data: bytes) -> None:
        if not self._started:
            self._started = True
            self._first_at, self._first_event = time.monotonic(), self._events.last
            self._gateway.record_first_event(self._call)
            await self._responder.begin(opened.status, opened.headers)
        now = time.monotonic()
        if self._last_forwarded_at:
            self._gaps.observe(now - self._last_forwarded_at)
        self._last_forwarded_at = now
        if data:
            await self._responder.write(data)

    def _record_outcome(
        self, outcome: Outcome, attempt: Attempt, backup: Reservation | None, *, used_backup: bool
    ) -> None:
        tracker, now = self._tracker, time.monotonic()
        endpoint = attempt.endpoint
        if isinstance(outcome, NotRun):
            if not used_backup:
                tracker.tried.add(endpoint.id)
                # a version may have few endpoints, whose backoff spaces out the next tries
                tracker.refused += attempt.sent or self._pin.version is None
            tracker.last_detail = outcome.detail
            return
        tracker.sent += 1
        if isinstance(outcome, Ended):
            endpoint.record_outcome(now, failed=False)
            return
        tracker.tried = {endpoint.id}
        failed = isinstance(outcome, MayHaveRun) or outcome.status >= SERVER_ERROR
        endpoint.record_outcome(now, failed=failed)
        # a backup is usable from the first event on
        self._backup_endpoint = (
            backup.endpoint if backup is not None and self._events.last else None
        )
        if isinstance(outcome, MayHaveRun):
            tracker.last_detail = outcome.detail
            tracker.timed_out = outcome.timed_out


__all__ = ["StreamBrokenError", "StreamCall"]
