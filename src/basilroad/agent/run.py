"""One attempt of a generation in an agent, and the entries that read it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

import attrs

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.peers.failreason import FailReason


class RunLink(Protocol):
    """Stream to an entry that follows runs."""

    def mark_tokens(self, reader: Reader, *, urgent: bool) -> None:
        """Record that a run has unsent tokens for the entry."""

    def record_work(self) -> None:
        """Record that the entry has work for this host."""

    def send_end(self, end: wire.Finished | wire.Failed) -> None:
        """Send the entry the end of a run."""


@attrs.define(eq=False)
class Reader:
    """An entry that follows a run.

    :param link: stream to the entry
    :param run: the run
    :param sent: offset of the first unsent token
    """

    link: RunLink
    run: Run
    sent: int


@attrs.define(eq=False)
class Run:
    """One attempt of a generation, with all tokens from offset 0.

    :param start: request of the entry
    :param tokens: tokens so far, including those of earlier attempts
    :param readers: entries that follow the run, by link
    :param end: how it ended; ``None`` while it runs
    :param ended_s: monotonic time of the end
    :param unfollowed_since_s: monotonic time since which it has no reader
    """

    start: wire.StartGeneration
    tokens: list[str]
    readers: dict[RunLink, Reader] = attrs.field(factory=dict)
    end: wire.Finished | wire.Failed | None = None
    task: asyncio.Task[None] | None = None
    started_s: float = attrs.field(factory=time.monotonic)
    ended_s: float | None = None
    unfollowed_since_s: float | None = None

    @property
    def generation(self) -> str:
        """:return: identifier of the generation."""
        return self.start.generation

    @property
    def decoded(self) -> int:
        """:return: number of tokens that this attempt produced."""
        return len(self.tokens) - len(self.start.prior)

    def follow(self, link: RunLink, offset: int) -> None:
        """Send an entry the tokens from an offset on, and the end.

        :param link: stream to the entry
        :param offset: first token that it has not received
        """
        reader = Reader(link, self, min(offset, len(self.tokens)))
        self.readers[link] = reader
        self.unfollowed_since_s = None
        if reader.sent < len(self.tokens):
            link.mark_tokens(reader, urgent=True)
        if self.end is not None:
            link.send_end(self.end)

    def unfollow(self, link: RunLink) -> None:
        """Stop sending to an entry.

        :param link: stream to the entry
        """
        self.readers.pop(link, None)
        if not self.readers and self.unfollowed_since_s is None:
            self.unfollowed_since_s = time.monotonic()

    def add_token(self, token: str) -> None:
        """Append a token and schedule it to be sent to the readers.

        :param token: text of the token
        """
        first = not self.decoded
        self.tokens.append(token)
        for reader in self.readers.values():
            reader.link.record_work()
            reader.link.mark_tokens(reader, urgent=first)

    def finish(self, reason: str, prompt_tokens: int, cached_tokens: int) -> None:
        """End the run as completed.

        :param reason: finish reason of the engine
        :param prompt_tokens: length of the prompt
        :param cached_tokens: prompt tokens served from the prefix cache
        """
        end = wire.Finished(
            generation=self.generation,
            attempt=self.start.attempt,
            reason=reason,
            prompt_tokens=prompt_tokens,
            completion_tokens=len(self.tokens),
            cached_tokens=cached_tokens,
        )
        self._end(end)

    def fail(
        self, reason: FailReason, detail: str = "", *, death: str = "", neighbours: int = 0
    ) -> None:
        """End the run as failed.

        :param reason: determines what the entry does next
        :param detail: text for logs
        :param death: identifier of the endpoint's failure, if it failed
        :param neighbours: number of other runs on the endpoint at that moment
        """
        end = wire.Failed(
            generation=self.generation,
            attempt=self.start.attempt,
            reason=reason.value,
            detail=detail,
            death=death,
            neighbours=neighbours,
        )
        self._end(end)

    def _end(self, end: wire.Finished | wire.Failed) -> None:
        if self.end is not None:
            return
        self.end = end
        self.ended_s = time.monotonic()
        for reader in self.readers.values():
            reader.link.send_end(end)


__all__ = ["Reader", "Run"]
