"""One generation as an agent runs or keeps it."""

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
        """Note that a run has tokens for the entry."""

    def record_asked(self) -> None:
        """Note that the entry has work here."""

    def send_end(self, end: wire.Finished | wire.Failed) -> None:
        """Tell the entry how a run ended."""


@attrs.define(eq=False)
class Reader:
    """An entry that follows a run.

    :param link: stream to the entry
    :param run: what it follows
    :param sent: offset of the first token not sent yet
    """

    link: RunLink
    run: Run
    sent: int


@attrs.define(eq=False)
class Run:
    """One attempt of a generation with all tokens since offset 0.

    :param start: what the entry asked for
    :param tokens: tokens so far, those of earlier attempts included
    :param readers: entries that follow, by link
    :param end: how it ended, if it has
    :param ended_s: monotonic time of the end
    :param unread_s: monotonic time since which nobody follows
    """

    start: wire.StartGeneration
    tokens: list[str]
    readers: dict[RunLink, Reader] = attrs.field(factory=dict)
    end: wire.Finished | wire.Failed | None = None
    task: asyncio.Task[None] | None = None
    started_s: float = attrs.field(factory=time.monotonic)
    ended_s: float | None = None
    unread_s: float | None = None

    @property
    def generation(self) -> str:
        """:return: identifier of the generation."""
        return self.start.generation

    @property
    def decoded(self) -> int:
        """:return: tokens that this attempt made."""
        return len(self.tokens) - len(self.start.prior)

    def follow(self, link: RunLink, offset: int) -> None:
        """Send tokens from an offset on to an entry, the end as well.

        :param link: stream to the entry
        :param offset: first token that it lacks
        """
        reader = Reader(link, self, min(offset, len(self.tokens)))
        self.readers[link] = reader
        self.unread_s = None
        if reader.sent < len(self.tokens):
            link.mark_tokens(reader, urgent=True)
        if self.end is not None:
            link.send_end(self.end)

    def unfollow(self, link: RunLink) -> None:
        """Stop sending to an entry.

        :param link: stream to the entry
        """
        self.readers.pop(link, None)
        if not self.readers and self.unread_s is None:
            self.unread_s = time.monotonic()

    def add_token(self, token: str) -> None:
        """Append a token and pass it to the readers.

        :param token: text of the token
        """
        first = not self.decoded
        self.tokens.append(token)
        for reader in self.readers.values():
            reader.link.record_asked()
            reader.link.mark_tokens(reader, urgent=first)

    def finish(self, reason: str, prompt_tokens: int, cached_tokens: int) -> None:
        """End whole.

        :param reason: the engine's reason
        :param prompt_tokens: length of the prompt
        :param cached_tokens: prompt tokens that the engine did not compute
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
        """End without the rest.

        :param reason: tells the entry what to do next
        :param detail: text for logs
        :param death: name of the endpoint's death, if it died
        :param neighbours: other runs on the endpoint at that moment
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
