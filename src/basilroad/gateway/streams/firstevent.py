"""Time limit for the first event of a stream."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptAccess

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, PromptSize
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.registry.endpoint import Endpoint, Reservation
    from basilroad.gateway.streams.promptreading import PromptReading

FIRST_EVENT_MARGIN_S = 1.0
"""Allowance for the first event beyond prefill: one more prompt of mean size, sent by a gateway
whose load report has not arrived yet."""

PREFILL_FACTOR = 2.0
"""Multiple of the estimated prefill time that is allowed, since later, more urgent prompts may be
processed first."""

CONCURRENT_CALL_DELAY_S = 0.4
"""Allowance for each concurrent call at the engine: under load, eight of them delay prefill by
3 s."""


def count_unplanned_tokens(reservation: Reservation, plan: PromptPlan, size: PromptSize) -> int:
    """Count the tokens that an endpoint computes though its work doesn't include them.

    :param reservation: capacity of the endpoint for the call
    :param plan: how the endpoint is to get the prompt
    :param size: tokens of the call
    :return: the prompt, if its cache or source may lack it; none where a copy of the stream is,
        without which the endpoint rejects the call
    """
    if plan.access is PromptAccess.COPIED:
        return 0
    return size.prompt_tokens - reservation.pending_prefill_tokens


@attrs.define(eq=False)
class FirstEventWait:
    """A stream that was sent and has not produced an event.

    Probes do not detect this fault: an engine may answer them and accept streams that never start.

    :param call: the call
    :param endpoint: its endpoint
    :param sent_at: monotonic seconds
    :param claim_move: claims what the stream needs to run at another endpoint; if it returns true,
        the attempt must be cancelled
    :param cancel_attempt: cancels the attempt
    :param reading: how its endpoint gets the prompt
    :param unplanned_tokens: tokens of its prompt that the endpoint has to process if the plan fails
    """

    call: Call
    endpoint: Endpoint
    sent_at: float
    claim_move: Callable[[], bool]
    cancel_attempt: Callable[[], None]
    reading: PromptReading
    unplanned_tokens: int = 0

    @property
    def limit_s(self) -> float:
        """:return: time limit in seconds under the current load of the endpoint."""
        load, remote = self.endpoint.load, self.endpoint.remote
        pending = load.pending_prefill_tokens + remote.pending_prefill_tokens
        prefill_s = (pending + self.unplanned_tokens) / PREFILL_TOKENS_PER_S
        return (
            FIRST_EVENT_MARGIN_S
            + PREFILL_FACTOR * prefill_s
            + CONCURRENT_CALL_DELAY_S * (load.calls + remote.calls)
        )

    def is_overdue(self, now: float) -> bool:
        """:return: whether the time limit has passed."""
        return now - self.sent_at > self.limit_s


__all__ = [
    "CONCURRENT_CALL_DELAY_S",
    "FIRST_EVENT_MARGIN_S",
    "PREFILL_FACTOR",
    "FirstEventWait",
    "count_unplanned_tokens",
]
