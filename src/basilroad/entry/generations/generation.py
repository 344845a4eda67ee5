"""Identifiers and token usage of generations."""

from __future__ import annotations

import uuid

import attrs

from basilroad.entry.identity import KEY_BYTES
from basilroad.errors import ErrorKind, refuse

NONCE_HEX_CHARS = 16
"""Length of the nonce in a generation's identifier."""


@attrs.frozen
class Usage:
    """Token counts of a completed generation.

    :param prompt_tokens: tokens of the prompt
    :param completion_tokens: tokens of the answer
    :param cached_tokens: prompt tokens that were read from the prefix cache
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


def build_generation_id(key: bytes) -> str:
    """Build the identifier of a new generation.

    :param key: key of the request
    :return: the key, by which any entry can look it up, and a nonce, so that it can't be guessed
    """
    return f"{key.hex()}-{uuid.uuid4().hex[:NONCE_HEX_CHARS]}"


def read_key(generation: str) -> bytes:
    """Extract the request key from an identifier.

    :param generation: identifier that a caller sent
    :return: the key of the request
    :raises RefusedError: the identifier holds no valid key
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
