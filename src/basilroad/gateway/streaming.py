"""Streams of events, carried on at other endpoints when theirs fail."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from basilroad.endpoints.channels import ChannelError
from basilroad.errors import RefusedError
from basilroad.gateway.attempt import Attempt, AttemptOptions, MayHaveRun, NotRun, OpenReply
from basilroad.gateway.attempttracker import SERVER_ERROR, AttemptTracker
from basilroad.gateway.call import Reply
from basilroad.gateway.calllog import AttemptRecord, log_copy
from basilroad.gateway.endpoint import Reservation
from basilroad.gateway.events import EventOrderError, EventSequence
from basilroad.gateway.firstevent import FirstEventWait
from basilroad.gateway.metrics import name_rank

if TYPE_CHECKING:
    from basilroad.gateway.call import Call, Responder
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.gateway import Gateway

OK = 200

STALL_S = 1.5
"""Seconds without an event after which a begun stream goes on elsewhere though its endpoint lives;
twice the pause that the fleets' sheets allow."""

READ_RESERVE_S = 1.5
"""Seconds before the target that are kept for reading a prompt: one of mean size, and half."""


class StreamBrokenError(Exception):
    """A stream that the caller has begun to read can't go on.

    :param detail: what ended it
    """


@dataclass(frozen=True, slots=True)
class Ended:
    """The stream came to its end."""


Outcome = Ended | Reply | NotRun | MayHaveRun


class StreamCall:
    """Sees one stream through to its end.

    :param gateway: the process
    :param call: the call
    :param responder: takes the answer
    """

    def __init__(self, gateway: Gateway, call: Call, responder: Responder) -> None:
        self._gateway = gateway
        self._call = call
        self._responder = responder
        self._ledger = AttemptTracker(call, gateway.budget_of(call.service))
        self._events = EventSequence(call.events_had)
        self._first_at = 0.0
        self._first_event = 0
        self._begun = False
        self._holder: Endpoint | None = None
        self._passed_at = 0.0
        self._gaps = gateway.metrics.gap_s.labels(name_rank(call.rank))

    async def run(self) -> Reply | None:
        """Run the call.

        :return: an answer that is no stream; ``None`` after a whole stream
        :raises RefusedError: there is no answer
        :raises StreamBrokenError: the stream broke off after its begin
        """
        failed_reply: Reply | None = None
        while self._ledger.may_send():
            outcome = await self._try_once()
            if outcome is None:
                break
            if isinstance(outcome, Ended):
                self._note_pace()
                return None
            if isinstance(outcome, Reply):
                failed_reply = outcome
                if self._begun or self._is_final(outcome):
                    break
        if self._begun:
            raise StreamBrokenError(self._ledger.last_detail or "no endpoint to go on at")
        if failed_reply is not None:
            return failed_reply
        raise RefusedError(self._ledger.describe_end())

    def _note_pace(self) -> None:
        now = time.monotonic()
        later = self._events.last - self._first_event
        event_s = (now - self._first_at) / later if later > 0 else None
        self._gateway.stream_durations.note(now - self._call.arrived_at, self._events.last, event_s)

    def _is_final(self, reply: Reply) -> bool:
        return reply.status < SERVER_ERROR or not self._call.route.repeatable

    async def _try_once(self) -> Outcome | None:
        asked_at = time.monotonic()
        reservation, kv_cache_source = await self._place()
        if reservation is None:
            return None
        self._gateway.record_placed(self._call, time.monotonic() - asked_at)
        if self._ledger.sent:
            self._gateway.metrics.resumes.labels("copy" if kv_cache_source else "none").inc()
        endpoint = reservation.endpoint
        copy = self._reserve_copy(endpoint)
        started = time.monotonic()
        attempt = Attempt(
            self._call,
            endpoint,
            self._gateway.protocol,
            AttemptOptions(
                endpoint.id,
                self._call.expires_at - started,
                resume_after=str(self._events.last) if self._events.last else "",
                copy_at=copy.endpoint.entry.address if copy else None,
                kv_cache_source=endpoint.entry.address if kv_cache_source else None,
            ),
        )
        self._gateway.dispatcher.prompt_locations.note(self._call.prompt_key, endpoint.id)
        try:
            outcome = await self._exchange(attempt, reservation)
        finally:
            attempt.close()
            self._gateway.dispatcher.release(reservation)
            if copy is not None:
                self._gateway.dispatcher.release(copy)
        self._note(outcome, endpoint, copy, used_copy=kv_cache_source)
        took_s = time.monotonic() - started
        self._gateway.record_attempt(
            AttemptRecord(
                self._call,
                endpoint,
                outcome,
                took_s,
                self._events.last,
                copy.endpoint.id if copy else None,
            )
        )
        return outcome

    async def _place(self) -> tuple[Reservation | None, bool]:
        call, ledger = self._call, self._ledger
        now = time.monotonic()
        holder, self._holder = self._holder, None
        if holder is not None and holder.is_available(now):
            log_copy(call, holder, self._events.last)
            return Reservation(holder, call.size, reads_prompt=False), True
        if self._begun:
            wait_until = call.expires_at
        else:
            reserve_s = min(READ_RESERVE_S, call.route.latency_target_s / 2)
            wait_until = max(now, call.on_time_until - reserve_s)
        reservation = await self._gateway.dispatcher.place(call, wait_until, ledger.tried)
        if reservation is None:
            ledger.tried.clear()
            reservation = await self._gateway.dispatcher.place(call, now)
        return reservation, False

    def _reserve_copy(self, endpoint: Endpoint) -> Reservation | None:
        call, dispatcher = self._call, self._gateway.dispatcher
        engine = dispatcher.find_engine(call.service)
        if engine is None or not engine.supports_kv_backup or not call.route.repeatable:
            return None
        holder = dispatcher.chooser.choose_copy_holder(
            dispatcher.directory.of_service(call.service),
            endpoint,
            call.size,
            engine,
            time.monotonic(),
        )
        if holder is None:
            return None
        return Reservation(holder, call.size, reads_prompt=False)

    async def _exchange(self, attempt: Attempt, reservation: Reservation) -> Outcome:
        now = time.monotonic()
        first = asyncio.timeout(None)
        wait = FirstEventWait(
            self._call,
            attempt.endpoint,
            now,
            lambda: self._may_move(attempt),
            lambda: first.reschedule(asyncio.get_running_loop().time()),
        )
        try:
            async with asyncio.timeout(max(0.0, self._call.expires_at - now)), first:
                with self._gateway.liveness.expecting(wait):
                    opened = await attempt.open()
                    if isinstance(opened, NotRun | MayHaveRun):
                        return opened
                    if opened.status != OK:
                        return Reply(opened.status, opened.headers, await opened.read_all())
                    return await self._relay(opened, reservation, wait)
        except TimeoutError:
            if not attempt.sent:
                return NotRun("no connection in time")
            if first.expired():
                return MayHaveRun("no first event in time")
            return MayHaveRun("no end in time", timed_out=True)
        except ChannelError as error:
            attempt.endpoint.record_broken(time.monotonic())
            return MayHaveRun(str(error))
        except EventOrderError as error:
            return MayHaveRun(str(error))

    def _may_move(self, attempt: Attempt) -> bool:
        avoid = self._ledger.tried | {attempt.endpoint.id}
        return (
            attempt.sent
            and self._ledger.may_repeat()
            and self._gateway.dispatcher.has_room(self._call, avoid)
        )

    async def _relay(
        self, opened: OpenReply, reservation: Reservation, wait: FirstEventWait
    ) -> Outcome:
        self._events.start_run()
        limit_s: float | None = None
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    data = await opened.read()
            except TimeoutError:
                if limit_s is None or time.monotonic() >= self._call.expires_at:
                    raise
                return MayHaveRun("the stream stalled")
            if data is None:
                break
            due = self._events.take(data)
            if due:
                reservation.record_read()
                self._gateway.liveness.record_begun(wait)
                limit_s = STALL_S
                await self._pass_on(opened, due)
        if not self._events.is_whole:
            return MayHaveRun("the stream stopped within an event")
        if not self._begun:
            await self._pass_on(opened, b"")
        return Ended()

    async def _pass_on(self, opened: OpenReply, data: bytes) -> None:
        if not self._begun:
            self._begun = True
            self._first_at, self._first_event = time.monotonic(), self._events.last
            self._gateway.record_first_event(self._call)
            await self._responder.begin(opened.status, opened.headers)
        now = time.monotonic()
        if self._passed_at:
            self._gaps.observe(now - self._passed_at)
        self._passed_at = now
        if data:
            await self._responder.write(data)

    def _note(
        self, outcome: Outcome, endpoint: Endpoint, copy: Reservation | None, *, used_copy: bool
    ) -> None:
        ledger, now = self._ledger, time.monotonic()
        if isinstance(outcome, NotRun):
            if not used_copy:
                ledger.tried.add(endpoint.id)
                ledger.refused += 1
            ledger.last_detail = outcome.detail
            return
        ledger.sent += 1
        if isinstance(outcome, Ended):
            endpoint.record_outcome(now, failed=False)
            return
        ledger.tried = {endpoint.id}
        failed = isinstance(outcome, MayHaveRun) or outcome.status >= SERVER_ERROR
        endpoint.record_outcome(now, failed=failed)
        # engines make a copy usable with the first event
        self._holder = copy.endpoint if copy is not None and self._events.last else None
        if isinstance(outcome, MayHaveRun):
            ledger.last_detail = outcome.detail
            ledger.timed_out = outcome.timed_out


__all__ = ["StreamBrokenError", "StreamCall"]
