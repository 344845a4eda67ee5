"""Chained block hashes that identify the prefixes of a prompt."""

from __future__ import annotations

import xxhash

BLOCK_WORDS = 16
"""Words per block of a prefix."""

SAMPLE_EVERY = 4
"""One in this many prefixes is reported between processes and kept by entries."""


def hash_prefixes(prompt: str) -> list[int]:
    """Hash each complete block of a prompt, chained with the blocks before it.

    :param prompt: text, split into words at white space
    :return: one 64-bit hash for each complete block, shortest prefix first
    """
    words = prompt.split()
    hashes: list[int] = []
    parent = 0
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end])
        parent = xxhash.xxh3_64_intdigest(block.encode(), seed=parent)
        hashes.append(parent)
    return hashes


def is_sampled(prefix: int) -> bool:
    """Return whether a prefix is in the sample that is reported.

    Hashes are chained, so a cache with a prefix also has the shorter ones. Every process samples
    the same prefixes by their hash, so the sample shows how much of a prompt is cached.

    :param prefix: hash of the prefix
    :return: whether it is in the sample
    """
    return prefix % SAMPLE_EVERY == 0


__all__ = ["BLOCK_WORDS", "SAMPLE_EVERY", "hash_prefixes", "is_sampled"]
