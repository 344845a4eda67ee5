"""Requests for the location of a prompt that wait for replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.exchange.promptmessages import PromptRecord, PromptReply


@attrs.define(eq=False)
class PromptSearch:
    """A request that waits for replies.

    :param expected: replies that are still to come
    :param found: the location
    :param silent: gateways that were asked and have not replied
    """

    expected: int
    found: asyncio.Future[PromptRecord | None]
    silent: set[str]

    def take(self, reply: PromptReply) -> None:
        """Apply a reply.

        :param reply: the reply
        """
        self.silent.discard(reply.host)
        self.expected += reply.passed_on - 1
        # those that were passed on may be answered first
        is_over = not self.silent and self.expected <= 0
        if not self.found.done() and (reply.record is not None or is_over):
            self.found.set_result(reply.record)


__all__ = ["PromptSearch"]
