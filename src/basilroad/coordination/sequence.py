"""Ordering and deduplication of the tokens of a generation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Gap:
    """Tokens that arrived ahead of missing ones.

    :param expected: offset that was expected
    :param offset: offset that arrived
    """

    expected: int
    offset: int


class TokenSequence:
    """Accepts each token of one generation exactly once and in order.

    Output of any attempt other than the current one is discarded, and so is the part of a
    message that was accepted before.

    :param generation: identifier of the generation
    """

    def __init__(self, generation: str) -> None:
        self.generation = generation
        self.attempt = 0
        self.next_offset = 0

    def begin_attempt(self) -> int:
        """Start another attempt, which continues at the next offset.

        :return: number of the attempt, from 1
        """
        self.attempt += 1
        return self.attempt

    def accept(self, attempt: int, offset: int, tokens: Sequence[str]) -> list[str] | Gap:
        """Accept the new tokens of a message.

        :param attempt: attempt that generated the tokens
        :param offset: offset of the first token in the complete output
        :param tokens: tokens in order
        :return: the new tokens in order, or the gap before them, in which case none is accepted
        """
        if attempt != self.attempt or offset < 0:
            return []
        if offset > self.next_offset:
            return Gap(self.next_offset, offset)
        new_tokens = list(tokens[self.next_offset - offset :])
        self.next_offset += len(new_tokens)
        return new_tokens


__all__ = ["Gap", "TokenSequence"]
