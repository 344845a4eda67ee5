"""Tokens derived from the request and the preceding tokens."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

_CONSONANTS = "bdfghjklmnprstvz"
_VOWELS = "aeio"
_SYLLABLE_BITS = 6
_SYLLABLES = tuple(consonant + vowel for consonant in _CONSONANTS for vowel in _VOWELS)
_SYLLABLES_IN_TOKEN = 3


class TokenChain:
    """Hash chain over a request and its tokens.

    :param model: name of the model
    :param adapter: name of the adapter; empty for none
    :param version: version of the model
    :param prompt: text of the prompt
    :param seed: seed of the request; ``None`` for none
    :param noise: random number mixed into each token; 0 for a deterministic completion
    """

    def __init__(
        self,
        model: str,
        adapter: str,
        version: str,
        prompt: str,
        seed: int | None,
        noise: int = 0,
    ) -> None:
        start = msgspec.json.encode((model, adapter, version, prompt, seed))
        self._state = xxhash.xxh3_64_intdigest(start)
        self._noise = noise

    def extend(self, tokens: Iterable[str]) -> None:
        """Append existing tokens to the chain.

        :param tokens: the tokens, in order
        """
        for token in tokens:
            self._state = xxhash.xxh3_64_intdigest(token.encode(), seed=self._state)

    def next_token(self) -> str:
        """:return: the next token, which is appended to the chain."""
        token = _spell(self._state ^ self._noise)
        self.extend((token,))
        return token


def _spell(state: int) -> str:
    mask = (1 << _SYLLABLE_BITS) - 1
    shifts = range(0, _SYLLABLES_IN_TOKEN * _SYLLABLE_BITS, _SYLLABLE_BITS)
    return " " + "".join(_SYLLABLES[state >> shift & mask] for shift in shifts)


def expect_tokens(
    model: str, adapter: str, version: str, prompt: str, seed: int | None, count: int
) -> list[str]:
    """Compute the deterministic completion of an engine without faults.

    :param model: name of the model
    :param adapter: name of the adapter; empty for none
    :param version: version of the model
    :param prompt: text of the prompt
    :param seed: seed of the request; ``None`` for none
    :param count: number of tokens
    :return: the tokens, in order
    """
    chain = TokenChain(model, adapter, version, prompt, seed)
    return [chain.next_token() for _ in range(count)]


__all__ = ["TokenChain", "expect_tokens"]
