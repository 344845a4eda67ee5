"""Event streams, resumed at other endpoints after failures."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from basilroad.errors import RefusedError
from basilroad.gateway.calls.attempt import Attempt, AttemptOptions, MayHaveRun, NotRun, OpenReply
from basilroad.gateway.calls.attempttracker import SERVER_ERROR, AttemptTracker
from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.log import AttemptRecord
from basilroad.gateway.crashes.containment import REFUSED_MESSAGE
from basilroad.gateway.crashes.runs import Run
from basilroad.gateway.dispatch.promptplan import COPIED
from basilroad.gateway.exchange.promptexchange import PromptRun
from basilroad.gateway.metrics import name_rank
from basilroad.gateway.registry.pendingcalls import MoveScope
from basilroad.gateway.streams.backup import StreamBackup
from basilroad.gateway.streams.crashes import StreamCrashes
from basilroad.gateway.streams.events import MAX_EVENT_BYTES, EventOrderError, EventSequence
from basilroad.gateway.streams.firstevent import FirstEventWait, Patience, count_unplanned_tokens
from basilroad.gateway.streams.output import StreamOutput
from basilroad.gateway.streams.placement import StreamPlace, StreamPlacement
from basilroad.gateway.streams.promptreading import PromptReading
from basilroad.gateway.streams.promptsource import PromptSource
from basilroad.gateway.streams.stalltimer import StallTimer
from basilroad.gateway.versions.attemptstart import AttemptStart
from basilroad.gateway.versions.pin import VersionPin
from basilroad.http.messages import ChannelError

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, Responder
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.registry.endpoint import Endpoint, Reservation

OK = 200

LOAN_WAIT_S = 0.25
"""Time for which a stream waits for retries that other gateways lend; it still resumes within the
allowed gap between events."""

LOAN_POLL_INTERVAL_S = 0.01
"""Interval of checks for them."""

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
        self._tracker = AttemptTracker(call, gateway.budget_of(call.service))
        self._pin = VersionPin(call, gateway.stream_versions, gateway.directory)
        self._events = EventSequence(call.events_received)
        self._withheld = b""  # comments before the first event
        self._backup = StreamBackup(call, gateway.dispatcher, self._pin)
        self._placement = StreamPlacement(
            self._tracker, gateway.dispatcher, self._pin, self._backup, gateway.request_retries
        )
        self._crashes = StreamCrashes(call, gateway.containment)
        self._output = StreamOutput(
            responder,
            partial(gateway.record_first_event, call),
            gateway.metrics.gap_s.labels(name_rank(call.rank)).observe,
        )
        self._stall_timer = StallTimer()
        self._patience = Patience()
        self._start: AttemptStart | None = None
        self._prompt_source = PromptSource(gateway, call)
        self._prompt_run = PromptRun()
        self._failed_reply: Reply | None = None

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
            self._placement.release()
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
                if self._output.has_started or self._is_final(outcome):
                    break
        if self._output.has_started:
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
        if self._output.has_started:
            raise StreamBrokenError("this host shut down")
        if self._failed_reply is not None:
            return self._failed_reply
        raise self._tracker.build_shutdown_error()

    async def _start_attempt(self) -> bool:
        tracker, service = self._tracker, self._call.service
        if self._crashes.is_refused:
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

    def _record_duration(self) -> None:
        now = time.monotonic()
        last = self._events.last
        event_s = self._output.measure_event_s(now, last)
        share = self._output.measure_share(last)
        self._gateway.stream_durations.record(now - self._call.arrived_at, last, event_s, share)

    def _is_final(self, reply: Reply) -> bool:
        return reply.status < SERVER_ERROR or not self._call.route.repeatable

    async def _try_once(self) -> Outcome | None:
        queued_at = time.monotonic()
        place = await self._place()
        if place is None:
            return None
        reservation = place.reservation
        plan = COPIED if place.from_backup else await self._plan_prompt(reservation)
        if not self._placement.is_current(reservation):
            # it changed while the reservation was handed over or the source was asked
            self._gateway.dispatcher.release(reservation, is_unused=True)
            self._tracker.record_unsent()
            return NotRun("the endpoint has changed")
        self._gateway.record_placed(self._call, time.monotonic() - queued_at)
        self._check_time_before_shutdown(reservation)
        if self._tracker.sent:
            self._gateway.metrics.resumes.labels("copy" if place.from_backup else "none").inc()
        endpoint = reservation.endpoint
        backup = self._backup.reserve(endpoint, self._events.last)
        started = time.monotonic()
        self._start = self._find_start(endpoint)
        attempt = self._tracker.running = Attempt(
            self._call,
            endpoint,
            self._gateway.protocol,
            AttemptOptions(
                endpoint.id,
                self._call.expires_at - started,
                resume_after=str(self._events.last) if self._events.last else "",
                copy_at=backup.endpoint.entry.address if backup else None,
                kv_cache_source=endpoint.entry.address if place.from_backup else None,
                prompt_source=plan.source.entry.address if plan.source else None,
            ),
            self._claim_place,
            self._may_send,
            self._start.confirm if self._start else None,
            self._find_copy,
        )
        engine = self._gateway.dispatcher.find_engine(self._call.service)
        reading = PromptReading(self._call, endpoint, plan, engine, self._gateway.metrics)
        self._pin.begin(endpoint)
        time_left_s = self._call.expires_at - started
        try:
            with self._gateway.prompts.record(
                self._call.cache_key, endpoint, time_left_s
            ) as self._prompt_run:
                outcome = await self._run_watched(attempt, reservation, reading)
                is_left = isinstance(outcome, NotRun | MayHaveRun)
                self._prompt_run.was_unread = is_left and not reading.has_begun
        finally:
            attempt.close()
            reading.end(was_sent=attempt.sent)
            if self._start is not None:
                self._start.close()
            self._gateway.dispatcher.release(reservation)
            if backup is not None:
                self._gateway.dispatcher.release(backup)
        self._tracker.running = None
        if not attempt.sent:
            self._tracker.record_unsent()
        self._record_outcome(outcome, attempt, used_backup=place.from_backup)
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

    async def _plan_prompt(self, reservation: Reservation) -> PromptPlan:
        is_first = not (self._call.events_received or self._tracker.sent)
        try:
            return await self._prompt_source.plan(reservation.endpoint, is_first=is_first)
        except BaseException:
            self._gateway.dispatcher.release(reservation, is_unused=True)
            raise

    def _check_time_before_shutdown(self, reservation: Reservation) -> None:
        # a shutdown may have begun while the stream was queued
        if self._tracker.sent:
            return
        try:
            self._gateway.check_time_before_shutdown(self._call.route)
        except RefusedError:
            self._gateway.dispatcher.release(reservation, is_unused=True)
            raise

    def _find_start(self, endpoint: Endpoint) -> AttemptStart | None:
        is_bound = self._pin.version is not None
        if not (is_bound or self._call.route.repeatable):
            return None
        return AttemptStart(
            self._gateway.start_check,
            endpoint,
            is_bound=is_bound,
            on_other=self._pin.record_other_start,
        )

    def _may_send(self) -> bool:
        # a shutdown may have left too little time while the connection was opened
        sent, route = self._tracker.sent, self._call.route
        return bool(sent) or self._gateway.has_time_before_shutdown(route)

    async def _place(self) -> StreamPlace | None:
        call, now = self._call, time.monotonic()
        known = await self._placement.find_known(self._events.last)
        if known is not None:
            return known
        if self._output.has_started:
            wait_until = call.expires_at
        else:
            reserve_s = min(PREFILL_RESERVE_S, call.route.latency_target_s / 2)
            wait_until = max(now, call.on_time_until - reserve_s)
        if self._crashes.has_passed:
            return await self._placement.wait(wait_until)
        try:
            async with self._gateway.containment.watch_queued(call):
                return await self._placement.wait(wait_until)
        except TimeoutError:
            # refused while it waited
            return None

    async def _run_watched(
        self, attempt: Attempt, reservation: Reservation, reading: PromptReading
    ) -> Outcome:
        run = Run(self._call, attempt.endpoint, resumed_after=self._events.last)
        with self._gateway.containment.watch(run):
            outcome = await self._exchange(attempt, reservation, run, reading)
        if isinstance(outcome, Ended):
            self._crashes.record_whole(run)
        elif isinstance(outcome, MayHaveRun):
            await self._crashes.record_failure(
                run, self._events.last, is_cut_off=attempt.is_cut_off
            )
        return outcome

    async def _exchange(
        self, attempt: Attempt, reservation: Reservation, run: Run, reading: PromptReading
    ) -> Outcome:
        now = time.monotonic()
        first = asyncio.timeout(None)
        wait = FirstEventWait(
            self._call,
            attempt.endpoint,
            now,
            self._placement.estimate_elsewhere,
            self._claim_place,
            lambda: first.reschedule(asyncio.get_running_loop().time()),
            reading,
            self._patience,
            count_unplanned_tokens(reservation, reading.plan, self._call.size),
        )
        if not self._crashes.has_passed:
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
            if attempt.is_cut_off:
                attempt.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        except EventOrderError as error:
            return MayHaveRun(str(error))

    def _claim_place(self, scope: MoveScope = MoveScope.FREE_PLACE) -> bool:
        return self._placement.claim(self._events.last, scope)

    def _find_copy(self) -> str | None:
        holder = self._backup.find_holder(self._events.last)
        return None if holder is None else holder.id

    async def _relay(
        self,
        opened: OpenReply,
        reservation: Reservation,
        wait: FirstEventWait,
        run: Run,
    ) -> Outcome:
        self._events.start_run()
        self._withheld = b""
        self._stall_timer.start_run()
        while True:
            try:
                async with asyncio.timeout_at(self._stall_timer.expires_at):
                    data = await opened.read()
            except TimeoutError:
                is_timed = self._stall_timer.expires_at is not None
                if not is_timed or time.monotonic() >= self._call.expires_at:
                    raise
                if not self._claim_place():
                    self._stall_timer.extend()
                    continue
                self._stall_timer.record_stall()
                return MayHaveRun("the stream stalled")
            if not data:
                break
            received = self._events.received
            due = self._events.take(data)
            due = self._withhold(due, has_event=self._events.received > received)
            if due and not await self._pass_on(opened, due, run, wait):
                return MayHaveRun("the software version of the stream could not be recorded")
            if self._events.received > received:
                reservation.record_started()
                wait.reading.record_event()
                self._prompt_run.record_location()
                self._gateway.liveness.mark_started(wait)
                self._gateway.containment.record_event(run)
                self._stall_timer.restart(asyncio.get_running_loop().time())
        truncation = self._find_truncation(opened, run)
        if truncation:
            return MayHaveRun(truncation)
        if not self._output.has_started:
            await self._output.forward(opened, self._withheld, self._events.last)
        return Ended()

    def _withhold(self, due: bytes, *, has_event: bool) -> bytes:
        """:return: what to send now: nothing before the first event, as a stream that is sent in
        part is bound to its engine, which may never begin it.
        """
        if self._output.has_started:
            return due
        self._withheld += due
        if has_event:
            due, self._withheld = self._withheld, b""
            return due
        if len(self._withheld) > MAX_EVENT_BYTES:
            raise EventOrderError(f"no event in {MAX_EVENT_BYTES} bytes")
        return b""

    async def _pass_on(self, opened: OpenReply, due: bytes, run: Run, wait: FirstEventWait) -> bool:
        if not self._output.has_started and not await self._confirm_version(run, wait):
            return False
        await self._output.forward(opened, due, self._events.last)
        return True

    async def _confirm_version(self, run: Run, wait: FirstEventWait) -> bool:
        self._gateway.liveness.mark_started(wait)
        confirmed = False
        try:
            is_listed = self._start is None or await self._start.settle()
            confirmed = is_listed and await self._pin.confirm(run.version)
            if self._start is not None and self._start.is_other:
                confirmed = False
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

    def _record_outcome(self, outcome: Outcome, attempt: Attempt, *, used_backup: bool) -> None:
        tracker, now = self._tracker, time.monotonic()
        endpoint = attempt.endpoint
        if isinstance(outcome, NotRun):
            if not used_backup and not outcome.lacks_permit:
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
        self._backup.keep(self._events.last)
        if isinstance(outcome, MayHaveRun):
            is_other = self._start is not None and self._start.is_other
            self._pin.record_cut(attempt, is_other_start=is_other)
            tracker.last_detail = outcome.detail
            tracker.timed_out = outcome.timed_out


__all__ = ["StreamBrokenError", "StreamCall"]
