"""What one call has done so far: where it ran and what may still be tried."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from basilroad.coordination.budget import RetryBudget
    from basilroad.gateway.call import Call

REFUSALS_LIMIT = 6
"""Endpoints that may turn one call away; each costs a round trip and a unit of the budget."""

SERVER_ERROR = 500


@attrs.define
class AttemptTracker:
    """Keeps count of one call's attempts.

    :param call: the call
    :param budget: retries of its service
    :param sent: attempts that may have run
    :param refused: attempts that were turned away
    :param tried: endpoints that failed it
    :param last_detail: what ended the last attempt
    """

    call: Call
    budget: RetryBudget
    sent: int = 0
    refused: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_detail: str = ""
    timed_out: bool = False

    def may_send(self) -> bool:
        """:return: whether one more attempt is allowed; it is then counted in the budget."""
        call = self.call
        if time.monotonic() >= call.expires_at or self.refused >= REFUSALS_LIMIT:
            return False
        if self.sent and not call.route.repeatable:
            return False
        if self.sent >= call.route.attempts_limit:
            return False
        return not (self.sent or self.refused) or self.budget.take()

    def may_repeat(self) -> bool:
        """:return: whether the attempt that runs could be followed by another."""
        route = self.call.route
        if not route.repeatable or self.sent + 1 >= route.attempts_limit:
            return False
        return self.budget.available() >= 1

    def describe_end(self) -> Refusal:
        """:return: how a call without an answer ends; not run only if that is known."""
        if not self.sent:
            message = self.last_detail or "no endpoint has room"
            return Refusal(ErrorKind.NO_ENDPOINT, message)
        if self.timed_out or time.monotonic() >= self.call.expires_at:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
        return Refusal(ErrorKind.ENDPOINT_FAILED, self.last_detail)


__all__ = ["REFUSALS_LIMIT", "SERVER_ERROR", "AttemptTracker"]
