"""When a stream that waits for its first event should go on elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.selection import READ_TOKENS_PER_S

if TYPE_CHECKING:
    from basilroad.gateway.call import Call
    from basilroad.gateway.endpoint import Endpoint

MARGIN_S = 1.0
"""Seconds beyond the reading for which a first event may be late: one more prompt of mean size,
sent by a gateway whose load is not known here yet."""

READ_FACTOR = 2.0
"""Times the estimated reading that it may take; more urgent prompts are read first."""

BESIDE_S = 0.4
"""Seconds by which each call at the engine may put it off: with eight of them, reading was seen to
take three seconds longer (standard day scale-2 of kovan-yol)."""


@attrs.define(eq=False)
class FirstEventWait:
    """A stream that was sent and has no event yet.

    Engines may accept streams, answer probes and still never begin; their probes tell nothing.

    :param call: the call
    :param endpoint: where it was sent
    :param sent_at: monotonic seconds
    :param may_move: tells whether it could go on elsewhere
    :param give_up: ends the attempt
    """

    call: Call
    endpoint: Endpoint
    sent_at: float
    may_move: Callable[[], bool]
    give_up: Callable[[], None]

    @property
    def limit_s(self) -> float:
        """:return: seconds that a first event may take, with the work that is there now."""
        load, remote = self.endpoint.load, self.endpoint.remote
        read_s = (load.unread_tokens + remote.unread_tokens) / READ_TOKENS_PER_S
        return MARGIN_S + READ_FACTOR * read_s + BESIDE_S * (load.calls + remote.calls)

    def is_overdue(self, now: float) -> bool:
        """:return: whether the endpoint should have begun long ago."""
        return now - self.sent_at > self.limit_s


__all__ = ["BESIDE_S", "MARGIN_S", "READ_FACTOR", "FirstEventWait"]
