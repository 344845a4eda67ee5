"""Limit for bytes of a response that are not body."""

from __future__ import annotations

import time

import attrs

HEADS_BYTES = 65536
"""Bytes for the heads of a response."""

BURST_BYTES = 65536
"""Bytes beside heads and body that any response may have, such as the sizes of small chunks."""

REFILL_BYTES_PER_S = 4096
"""Bytes beside the body that a response may have for each second, as slow streams come in small
chunks."""

BODY_SHARE = 8
"""Body bytes for each of which a further byte beside the body is allowed."""

MIN_CHUNK_BYTES = 5
"""Bytes that frame the smallest chunk: a digit and two line ends."""


@attrs.define
class FramingLimit:
    """Compares what a response spends on heads, chunk sizes and extensions with its body.

    A server in trouble may send chunks of a byte without end, each of which is parsed on its own.

    :param started_at: monotonic seconds at which the request was sent
    """

    started_at: float = attrs.field(factory=time.monotonic)
    _received: int = 0
    _body: int = 0
    _chunks: int = 0

    def record_received(self, size: int) -> None:
        """Record received bytes of any kind.

        :param size: their number
        """
        self._received += size

    def record_data(self, size: int, *, starts_chunk: bool) -> None:
        """Record a part of the body.

        :param size: its bytes
        :param starts_chunk: whether it is the first part of a chunk
        """
        self._body += size
        self._chunks += starts_chunk

    def are_chunks_exceeded(self) -> bool:
        """:return: whether the body so far has too many chunks."""
        return self._is_exceeded(MIN_CHUNK_BYTES * self._chunks)

    def is_exceeded(self) -> bool:
        """:return: whether too much was received beside the body, all of which was parsed."""
        return self._is_exceeded(self._received - self._body - HEADS_BYTES)

    def _is_exceeded(self, framing: int) -> bool:
        # nearly all responses stay below the burst
        if framing <= BURST_BYTES:
            return False
        refilled = REFILL_BYTES_PER_S * (time.monotonic() - self.started_at)
        return framing > BURST_BYTES + refilled + self._body / BODY_SHARE


__all__ = ["BURST_BYTES", "HEADS_BYTES", "MIN_CHUNK_BYTES", "FramingLimit"]
