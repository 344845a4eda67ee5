"""What names a generation, and what it has used."""

from __future__ import annotations

import uuid

import attrs

from basilroad.entry.identity import KEY_BYTES
from basilroad.errors import ErrorKind, refuse

NONCE_HEX = 16
"""Characters of a generation's nonce."""


@attrs.frozen
class Usage:
    """Counts of a whole answer.

    :param prompt_tokens: length of the prompt
    :param completion_tokens: length of the answer
    :param cached_tokens: prompt tokens that were not computed
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


def build_generation_id(key: bytes) -> str:
    """Build the identifier of a new generation.

    :param key: of the request
    :return: the key and a nonce, so that any entry can look it up and nobody can guess it
    """
    return f"{key.hex()}-{uuid.uuid4().hex[:NONCE_HEX]}"


def read_key(generation: str) -> bytes:
    """Read the key out of an identifier.

    :param generation: as callers were told it
    :return: the key of the request
    :raises RefusedError: no such identifier was ever built
    """
    text = generation.partition("-")[0]
    try:
        key = bytes.fromhex(text)
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise refuse(ErrorKind.UNKNOWN_GENERATION, "no such generation")
    return key


__all__ = ["Usage", "build_generation_id", "read_key"]
