"""One attempt to run a generation at one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.entry.links.link import AgentLink
    from basilroad.peers.failreason import FailReason

End = wire.Finished | wire.Failed


class Attempt:
    """Receives the messages of one agent about one attempt of a generation.

    :param link: stream to the agent
    :param generation: identifier of the generation
    :param number: number of the attempt
    :param on_tokens: called with the tokens of this attempt
    """

    def __init__(
        self,
        link: AgentLink,
        generation: str,
        number: int,
        on_tokens: Callable[[wire.Tokens], None],
    ) -> None:
        self.link = link
        self.generation = generation
        self.number = number
        self._on_tokens = on_tokens
        self._end: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        link.attempts[generation] = self

    def receive_tokens(self, tokens: wire.Tokens) -> None:
        """Pass on tokens of this attempt; late tokens of an earlier attempt are discarded.

        :param tokens: message from the agent
        """
        if tokens.attempt == self.number:
            self._on_tokens(tokens)

    def end(self, end: End) -> None:
        """Record the end that the agent reported.

        :param end: message of any attempt; discarded if it belongs to another one
        """
        if end.attempt == self.number and not self._end.done():
            self._end.set_result(end)

    def fail_locally(self, reason: FailReason) -> None:
        """Fail the attempt without a message from the agent.

        :param reason: reason of the failure
        """
        failed = wire.Failed(generation=self.generation, attempt=self.number, reason=reason.value)
        self.end(failed)

    async def wait_end(self) -> End:
        """Wait until the attempt has ended.

        :return: the end, either finished or failed
        """
        return await self._end

    def close(self) -> None:
        """Stop receiving messages."""
        if self.link.attempts.get(self.generation) is self:
            del self.link.attempts[self.generation]

    def cancel(self) -> None:
        """Cancel the generation at the agent and stop receiving messages."""
        self.close()
        message = wire.CancelGeneration(generation=self.generation, attempt=self.number)
        self.link.send(wire.EntryMessage(cancel=message))


__all__ = ["Attempt", "End"]
