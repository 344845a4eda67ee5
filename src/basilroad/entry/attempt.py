"""One try of a generation at one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.entry.link import AgentLink
    from basilroad.peers.failreason import FailReason

End = wire.Finished | wire.Failed


class Attempt:
    """Receives what one agent sends for one generation.

    :param link: stream to the agent
    :param generation: identifier of the generation
    :param number: of the attempt
    :param take: called with each run of tokens that belongs to it
    """

    def __init__(
        self,
        link: AgentLink,
        generation: str,
        number: int,
        take: Callable[[wire.Tokens], None],
    ) -> None:
        self.link = link
        self.generation = generation
        self.number = number
        self._take = take
        self._end: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        link.attempts[generation] = self

    def receive_tokens(self, tokens: wire.Tokens) -> None:
        """Pass on tokens of this attempt; others are late and fall away.

        :param tokens: as the agent sent them
        """
        if tokens.attempt == self.number:
            self._take(tokens)

    def end(self, end: End) -> None:
        """Note the end that the agent told.

        :param end: of any attempt; that of another one falls away
        """
        if end.attempt == self.number and not self._end.done():
            self._end.set_result(end)

    def fail_locally(self, reason: FailReason) -> None:
        """End without the agent.

        :param reason: why
        """
        failed = wire.Failed(generation=self.generation, attempt=self.number, reason=reason.value)
        self.end(failed)

    async def wait_end(self) -> End:
        """Wait for the end.

        :return: how it ended
        """
        return await self._end

    def close(self) -> None:
        """Stop receiving."""
        if self.link.attempts.get(self.generation) is self:
            del self.link.attempts[self.generation]

    def cancel(self) -> None:
        """Have the agent stop, and stop receiving."""
        self.close()
        order = wire.CancelGeneration(generation=self.generation, attempt=self.number)
        self.link.send(wire.EntryMessage(cancel=order))


__all__ = ["Attempt", "End"]
