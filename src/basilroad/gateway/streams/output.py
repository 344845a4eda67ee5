"""Output of one stream to its caller."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.gateway.calls.attempt import OpenReply
    from basilroad.gateway.calls.call import Responder


class StreamOutput:
    """Sends a stream to its caller and measures it.

    :param responder: receives the response
    :param record_first: records the first event
    :param record_gap: records the seconds between two forwarded chunks
    """

    def __init__(
        self,
        responder: Responder,
        record_first: Callable[[], None],
        record_gap: Callable[[float], None],
    ) -> None:
        self.has_started = False
        self._responder = responder
        self._record_first = record_first
        self._record_gap = record_gap
        self._first_at = 0.0
        self._first_event = 0
        self._last_at = 0.0

    async def forward(self, opened: OpenReply, data: bytes, last_event: int) -> None:
        """Send a chunk, after the response head if nothing was sent before.

        :param opened: response of the endpoint
        :param data: the chunk; empty for the head alone
        :param last_event: last event of the stream so far
        """
        if not self.has_started:
            self.has_started = True
            self._first_at, self._first_event = time.monotonic(), last_event
            self._record_first()
            await self._responder.begin(opened.status, opened.headers)
        now = time.monotonic()
        if self._last_at:
            self._record_gap(now - self._last_at)
        self._last_at = now
        if data:
            await self._responder.write(data)

    def measure_event_s(self, now: float, last_event: int) -> float | None:
        """Measure the mean time between events.

        :param now: monotonic seconds
        :param last_event: last event of the stream
        :return: seconds; ``None`` for a single event
        """
        later = last_event - self._first_event
        return (now - self._first_at) / later if later > 0 else None

    def measure_share(self, last_event: int) -> float:
        """Measure for which share of a stream the time between events was measured.

        :param last_event: last event of the stream
        :return: 1 for a whole stream, less for one that its caller took up
        """
        return (last_event - self._first_event) / max(1, last_event - 1)


__all__ = ["StreamOutput"]
