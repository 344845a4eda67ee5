"""Time limit for the first event of a stream."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptAccess
from basilroad.gateway.dispatch.selection import GENERATION_SLOWDOWN_S

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


@attrs.define
class Patience:
    """How long one stream waits for its first events.

    :param factor: multiple of the limit; it doubles with each engine that the stream leaves, so
        that a stream which is slow everywhere completes
    """

    factor: float = 1.0

    def record_move(self) -> None:
        """Record that the stream left an engine that had not begun it."""
        self.factor *= 2


_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class MoveDecision:
    """Whether an overdue stream leaves its endpoint.

    :param moves: whether it does
    :param reason: why
    :param elsewhere_s: seconds until its first event at another endpoint; ``None`` if none has room
    """

    moves: bool
    reason: str
    elsewhere_s: float | None = None


def decide_move(late_s: float, elsewhere_s: float | None) -> MoveDecision:
    """Decide whether an overdue stream leaves its endpoint, which loses what it has computed.

    What is left is unknown, and the longer an attempt is late, the less likely it begins at all: so
    it stays until it is late by as long as another endpoint would take, which waits no more than
    twice as long as the better choice.

    :param late_s: seconds since its first event was expected
    :param elsewhere_s: seconds until its first event at another endpoint; ``None`` if none has room
    :return: the decision
    """
    if elsewhere_s is None:
        return MoveDecision(False, "no other endpoint has room")
    if late_s <= elsewhere_s:
        return MoveDecision(False, "another endpoint would take longer", elsewhere_s)
    return MoveDecision(True, "another endpoint is expected to begin sooner", elsewhere_s)


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
    :param estimate_elsewhere: estimates the seconds until its first event at another endpoint;
        ``None`` if none has room
    :param claim_move: claims what the stream needs to run at another endpoint; if it returns true,
        the attempt must be cancelled
    :param cancel_attempt: cancels the attempt
    :param reading: how its endpoint gets the prompt
    :param patience: how long the stream waits
    :param unplanned_tokens: tokens of its prompt that the endpoint has to process if the plan fails
    """

    call: Call
    endpoint: Endpoint
    sent_at: float
    estimate_elsewhere: Callable[[], float | None]
    claim_move: Callable[[], bool]
    cancel_attempt: Callable[[], None]
    reading: PromptReading
    patience: Patience = attrs.field(factory=Patience)
    unplanned_tokens: int = 0
    _reason: str = attrs.field(init=False, default="")

    @property
    def limit_s(self) -> float:
        """:return: time limit in seconds under the current load of the endpoint."""
        return self.patience.factor * (
            FIRST_EVENT_MARGIN_S
            + PREFILL_FACTOR * self._prefill_s
            + CONCURRENT_CALL_DELAY_S * self._calls
        )

    @property
    def expected_s(self) -> float:
        """:return: expected seconds to the first event under the current load of the endpoint."""
        return self._prefill_s + GENERATION_SLOWDOWN_S * self._calls

    @property
    def _prefill_s(self) -> float:
        load, remote = self.endpoint.load, self.endpoint.remote
        pending = load.pending_prefill_tokens + remote.pending_prefill_tokens
        return (pending + self.unplanned_tokens) / PREFILL_TOKENS_PER_S

    @property
    def _calls(self) -> int:
        return self.endpoint.load.calls + self.endpoint.remote.calls

    def is_overdue(self, now: float) -> bool:
        """:return: whether the time limit has passed."""
        return now - self.sent_at > self.limit_s

    def try_move(self, now: float) -> bool:
        """Cancel the attempt if it is overdue and another endpoint is expected to begin sooner.

        :param now: monotonic seconds
        :return: whether it was cancelled
        """
        if not self.is_overdue(now):
            return False
        late_s = now - self.sent_at - self.expected_s
        decision = decide_move(late_s, self.estimate_elsewhere())
        if decision.moves and not self.claim_move():
            decision = attrs.evolve(decision, moves=False, reason="no retry or place is left")
        if decision.reason != self._reason:
            self._reason = decision.reason
            self._log(decision, now)
        if decision.moves:
            self.patience.record_move()
            self.cancel_attempt()
        return decision.moves

    def _log(self, decision: MoveDecision, now: float) -> None:
        elsewhere_s = decision.elsewhere_s
        _LOGGER.warning(
            "stream overdue",
            extra={
                "request": self.call.id,
                "endpoint": self.endpoint.id,
                "waited_ms": round(1000 * (now - self.sent_at)),
                "limit_ms": round(1000 * self.limit_s),
                "expected_ms": round(1000 * self.expected_s),
                "elsewhere_ms": None if elsewhere_s is None else round(1000 * elsewhere_s),
                "moves": decision.moves,
                "reason": decision.reason,
            },
        )


__all__ = [
    "CONCURRENT_CALL_DELAY_S",
    "FIRST_EVENT_MARGIN_S",
    "PREFILL_FACTOR",
    "FirstEventWait",
    "MoveDecision",
    "Patience",
    "count_unplanned_tokens",
    "decide_move",
]
