"""Attempts of one call and which further attempts are allowed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.errors import ErrorKind, Refusal, RefusedError, refuse
from basilroad.gateway.shutdown import refuse_at_shutdown

if TYPE_CHECKING:
    from basilroad.coordination.budget import RetryBudget
    from basilroad.gateway.calls.attempt import Attempt
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.availability import ServicePause

MAX_REJECTIONS = 6
"""Rejections after which a call fails; each costs a round trip and a unit of the retry budget."""

SERVER_ERROR = 500

MIN_RETRY_AFTER_S = 0.01
"""Shortest retry delay sent to callers; 0 means the default of the error kind."""


@attrs.define
class AttemptTracker:
    """Tracks the attempts of one call.

    :param call: the call
    :param budget: retry budget of its service
    :param sent: attempts that may have run
    :param refused: attempts that were rejected
    :param tried: endpoints where it failed
    :param last_detail: why the last attempt failed
    :param timed_out: whether the last attempt without a complete response timed out
    :param lacks_budget: whether only the retry budget forbids a further attempt
    :param running: the attempt in progress
    """

    call: Call
    budget: RetryBudget
    sent: int = 0
    refused: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_detail: str = ""
    timed_out: bool = False
    lacks_budget: bool = False
    running: Attempt | None = None
    _charged: bool = False
    _claimed: bool = False

    def claim_retry(self) -> bool:
        """Take a retry for the attempt after the running one.

        :return: whether the running attempt may be ended for another one
        """
        route = self.call.route
        if self._claimed:
            return True
        if not route.repeatable or self.sent + 1 >= route.attempts_limit:
            return False
        self._claimed = self.budget.take()
        return self._claimed

    def release_claim(self) -> None:
        """Return a claimed retry that was not used."""
        if self._claimed:
            self._claimed = False
            self.budget.refund()

    def try_start_attempt(self) -> bool:
        """:return: whether one more attempt is allowed; if so, a retry is taken from the budget."""
        allowed = self._may_start()
        if not allowed:
            self.release_claim()
        return allowed

    def _may_start(self) -> bool:
        call = self.call
        self.lacks_budget = False
        if time.monotonic() >= call.expires_at or self.refused >= MAX_REJECTIONS:
            return False
        if self.sent and not call.route.repeatable:
            return False
        if self.sent >= call.route.attempts_limit:
            return False
        if not self.sent and not self.refused:
            return True
        self._charged = self._claimed or self.budget.take()
        self._claimed = False
        self.lacks_budget = not self._charged
        return self._charged

    def record_unsent(self) -> None:
        """Record that the attempt sent nothing, which takes no retry from the budget."""
        if self._charged:
            self._charged = False
            self.budget.refund()

    def build_refusal(self, pause: ServicePause | None = None) -> Refusal:
        """Build the error for a call without a response; "not run" only if that is certain.

        :param pause: pause of the service, if all its endpoints want no requests
        :return: the error
        """
        if not self.sent and pause is not None:
            left_s = max(MIN_RETRY_AFTER_S, pause.until - time.monotonic())
            return Refusal(ErrorKind.NO_ENDPOINT, pause.describe(), round(left_s, 3))
        if not self.sent:
            message = self.last_detail or "no endpoint has room"
            return Refusal(ErrorKind.NO_ENDPOINT, message)
        if self.timed_out or time.monotonic() >= self.call.expires_at:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
        return Refusal(ErrorKind.ENDPOINT_FAILED, self.last_detail)

    def build_shutdown_error(self) -> RefusedError:
        """:return: the error for a call that the shutdown of this host ends."""
        if not self.sent and (self.running is None or not self.running.sent):
            return refuse_at_shutdown()
        return refuse(ErrorKind.MAY_HAVE_RUN, "this host shut down before an endpoint answered")


__all__ = ["MAX_REJECTIONS", "SERVER_ERROR", "AttemptTracker"]
