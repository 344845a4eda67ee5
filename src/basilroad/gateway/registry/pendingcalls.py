"""Calls whose response from one endpoint is pending, and how they leave it."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.http.channels import Channel


class MoveScope(enum.IntEnum):
    """How a call may continue at another endpoint; each value includes those before it."""

    COPY = 1
    """From a copy of its KV cache, without its prompt."""

    FREE_PLACE = 2
    """From its prompt, at an endpoint that has room at once."""

    QUEUE = 3
    """From its prompt, at an endpoint for which it queues."""


ClaimMove = Callable[[MoveScope], bool]
"""Claims what a call needs to continue at another endpoint: an attempt, a retry and, unless it may
queue, a place. Returns whether it was claimed; the attempt must end then."""


FindCopy = Callable[[], str | None]
"""Returns the id of the endpoint that has a copy of the KV cache of a call; ``None`` without
one."""


def never_move(_scope: MoveScope) -> bool:
    """:return: false, for calls that may not run again."""
    return False


def find_no_copy() -> None:
    """:return: ``None``, for calls without a copy."""


@attrs.frozen
class PendingCall:
    """A call whose response is pending.

    :param rank: its rank; lower ones are more urgent
    :param claim_move: claims what it needs to continue at another endpoint
    :param find_copy: returns the id of the endpoint that has a copy of its KV cache, if any
    :param prompt_tokens: tokens that another endpoint reads to run it again
    """

    rank: int
    claim_move: ClaimMove
    find_copy: FindCopy = find_no_copy
    prompt_tokens: int = 0


class PendingCalls:
    """Calls whose response from one endpoint is pending, by connection."""

    def __init__(self) -> None:
        self.since = 0.0
        self._calls: dict[Channel, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[PendingCall]:
        return iter(list(self._calls.values()))

    def add(self, channel: Channel, call: PendingCall) -> None:
        """Add a call.

        :param channel: its connection
        :param call: the call
        """
        if not self._calls:
            self.since = time.monotonic()
        self._calls[channel] = call

    def remove(self, channel: Channel) -> None:
        """Remove a call; idempotent.

        :param channel: its connection
        """
        self._calls.pop(channel, None)

    def move(self, choose_scope: Callable[[PendingCall], MoveScope | None]) -> int:
        """Move calls to other endpoints, the most urgent ones first.

        Those that can't continue elsewhere stay: the endpoint may only be late.

        :param choose_scope: returns how a call may continue elsewhere; ``None`` if it stays
        :return: number of calls that moved
        """
        before = len(self._calls)
        for channel, call in sorted(self._calls.items(), key=lambda item: item[1].rank):
            scope = choose_scope(call)
            if scope is not None and call.claim_move(scope):
                del self._calls[channel]
                channel.close()
        return before - len(self._calls)

    def drop(self) -> None:
        """Close all connections."""
        for channel in list(self._calls):
            channel.close()


__all__ = [
    "ClaimMove",
    "FindCopy",
    "MoveScope",
    "PendingCall",
    "PendingCalls",
    "find_no_copy",
    "never_move",
]
