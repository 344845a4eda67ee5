"""Limit of buffered bytes, with plain values."""

from __future__ import annotations

import pytest

from basilroad.gateway.registry.buffer import BufferLimit


def test_responses_share_the_limit() -> None:
    limit = BufferLimit(10)
    with limit.count() as first, limit.count() as second:
        assert first(6)
        assert second(4)
        assert not second(1)
        assert not first(0)


def test_the_bytes_of_a_response_count_until_its_end() -> None:
    limit = BufferLimit(10)
    with limit.count() as first:
        with limit.count() as second:
            assert first(6)
            assert not second(5)
        assert first(4)


def test_the_bytes_of_a_failed_response_count_no_longer() -> None:
    limit = BufferLimit(10)

    def fail() -> None:
        with limit.count() as count:
            assert not count(11)
            raise ConnectionError

    with pytest.raises(ConnectionError):
        fail()
    with limit.count() as count:
        assert count(10)
