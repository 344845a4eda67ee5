"""Calls whose answer is passed on whole."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from basilroad.endpoints.channels import ChannelError
from basilroad.errors import RefusedError
from basilroad.gateway.attempt import Attempt, AttemptOptions, MayHaveRun, NotRun
from basilroad.gateway.attempttracker import SERVER_ERROR, AttemptTracker
from basilroad.gateway.call import Reply
from basilroad.gateway.calllog import AttemptRecord

if TYPE_CHECKING:
    from basilroad.gateway.call import Call
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.gateway import Gateway

WAIT_SHARE = 0.5
"""Share of the target for which a call waits for an endpoint; the rest is left for its work."""

TRY_SHARE = 0.6
"""Share of the target after which a repeatable call is tried elsewhere; beyond nearly all work."""

Outcome = Reply | NotRun | MayHaveRun


class WholeCall:
    """Sees one call through to its answer.

    :param gateway: the process
    :param call: the call
    """

    def __init__(self, gateway: Gateway, call: Call) -> None:
        self._gateway = gateway
        self._call = call
        self._ledger = AttemptTracker(call, gateway.budget_of(call.service))
        self._failed_reply: Reply | None = None

    async def run(self) -> Reply:
        """Run the call.

        :return: its answer
        :raises RefusedError: there is none
        """
        ledger = self._ledger
        while ledger.may_send():
            outcome = await self._try_once()
            if outcome is None:
                break
            if isinstance(outcome, Reply) and not self._wants_another(outcome):
                return outcome
            if isinstance(outcome, Reply):
                self._failed_reply = outcome
        if self._failed_reply is not None:
            return self._failed_reply
        raise RefusedError(ledger.describe_end())

    async def _try_once(self) -> Outcome | None:
        call, ledger = self._call, self._ledger
        dispatcher = self._gateway.dispatcher
        asked_at = time.monotonic()
        wait_until = min(
            call.expires_at, call.arrived_at + WAIT_SHARE * call.route.latency_target_s
        )
        reservation = await dispatcher.place(call, wait_until, ledger.tried)
        if reservation is None and ledger.tried and not ledger.sent:
            reservation = await dispatcher.place(call, wait_until)
        if reservation is None:
            return None
        endpoint = reservation.endpoint
        started = time.monotonic()
        self._gateway.record_placed(call, started - asked_at)
        options = AttemptOptions(endpoint.id, call.expires_at - started)
        attempt = Attempt(call, endpoint, self._gateway.protocol, options)
        try:
            outcome = await self._exchange(attempt)
        finally:
            attempt.close()
            dispatcher.release(reservation)
        self._note(outcome, endpoint)
        took_s = time.monotonic() - started
        self._gateway.record_attempt(AttemptRecord(call, endpoint, outcome, took_s))
        return outcome

    async def _exchange(self, attempt: Attempt) -> Outcome:
        try:
            async with asyncio.timeout(self._try_limit_s()):
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

    def _try_limit_s(self) -> float:
        call, ledger = self._call, self._ledger
        left_s = call.expires_at - time.monotonic()
        is_last = ledger.sent + 1 >= call.route.attempts_limit
        if is_last or not call.route.repeatable:
            return max(0.0, left_s)
        return max(0.0, min(left_s, TRY_SHARE * call.route.latency_target_s))

    def _wants_another(self, reply: Reply) -> bool:
        call = self._call
        return reply.status >= SERVER_ERROR and call.route.repeatable

    def _note(self, outcome: Outcome, endpoint: Endpoint) -> None:
        ledger, now = self._ledger, time.monotonic()
        ledger.tried.add(endpoint.id)
        if isinstance(outcome, NotRun):
            ledger.refused += 1
            ledger.last_detail = outcome.detail
            return
        ledger.sent += 1
        if isinstance(outcome, Reply):
            endpoint.record_outcome(now, failed=outcome.status >= SERVER_ERROR)
            return
        ledger.last_detail = outcome.detail
        ledger.timed_out = outcome.timed_out
        endpoint.record_outcome(now, failed=True)


__all__ = ["WholeCall"]
