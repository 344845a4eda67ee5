"""How much a response may spend beside its body."""

from __future__ import annotations

import time

from basilroad.http.framing import BURST_BYTES, HEADS_BYTES, MIN_CHUNK_BYTES, FramingLimit


def record_chunks(limit: FramingLimit, count: int, size: int = 1) -> None:
    for _ in range(count):
        limit.record_received(MIN_CHUNK_BYTES + size)
        limit.record_data(size, starts_chunk=True)


def test_a_burst_of_small_chunks_is_allowed() -> None:
    limit = FramingLimit()
    record_chunks(limit, BURST_BYTES // MIN_CHUNK_BYTES)
    assert not limit.are_chunks_exceeded()
    assert not limit.is_exceeded()


def test_more_than_a_burst_of_small_chunks_at_once_is_not() -> None:
    limit = FramingLimit()
    record_chunks(limit, 3 * BURST_BYTES // MIN_CHUNK_BYTES)
    assert limit.are_chunks_exceeded()
    assert limit.is_exceeded()


def test_a_slow_stream_in_chunks_of_a_byte_is_allowed() -> None:
    seconds, bytes_per_s = 60, 500
    limit = FramingLimit(started_at=time.monotonic() - seconds)
    record_chunks(limit, seconds * bytes_per_s)
    assert not limit.are_chunks_exceeded()
    assert not limit.is_exceeded()


def test_a_large_body_in_chunks_of_some_hundred_bytes_is_allowed() -> None:
    limit = FramingLimit()
    record_chunks(limit, 100_000, size=100)
    assert not limit.are_chunks_exceeded()
    assert not limit.is_exceeded()


def test_extensions_count_once_all_was_parsed() -> None:
    limit = FramingLimit()
    limit.record_received(HEADS_BYTES + BURST_BYTES)
    limit.record_data(1, starts_chunk=True)
    assert not limit.is_exceeded()
    limit.record_received(BURST_BYTES)
    assert not limit.are_chunks_exceeded()
    assert limit.is_exceeded()
