"""Moving averages of the duration of completed streams."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import attrs

from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S

INITIAL_MEAN_S = 6.0
"""Expected duration before any stream has ended, as specified for the fleets: 1 s of prefill and
about 5 s for 130 events."""

INITIAL_EVENTS = 130.0
"""Expected number of events before any stream has ended, as specified for the fleets."""

INITIAL_EVENT_S = 0.035
"""Expected time per event before any stream has ended: five steps of an engine of these fleets."""

AVERAGE_WEIGHT = 0.1
"""Weight of one stream in the moving averages, which span about ten streams of one host."""

SPREAD_FACTOR = 1.5
"""Mean deviations above the mean below which most streams end."""

MIN_SAMPLES = 5
"""Streams that must have ended before one is refused; half the span of the averages."""

SAMPLE_VALIDITY_S = 10.0
"""Time after the last completed stream for which the averages are used: if all streams were
refused, no later one would correct them. The longest streams of the fleets take about as long."""

MIN_TIME_SHARE = 0.8
"""Fraction of the estimated duration below which a stream is refused; with the distribution of
lengths specified for the fleets, about one in ten of those would have ended in time."""


@attrs.define
class StreamDurations:
    """Moving averages over completed streams.

    :param mean_s: mean seconds from arrival to end
    :param spread_s: mean absolute deviation in seconds
    :param events: mean number of events of a stream
    :param event_s: mean seconds per event
    :param clock: monotonic seconds
    """

    mean_s: float = INITIAL_MEAN_S
    spread_s: float = 0.0
    events: float = INITIAL_EVENTS
    event_s: float = INITIAL_EVENT_S
    clock: Callable[[], float] = time.monotonic
    _ended: int = 0
    _measured: float = 0.0
    _ended_at: float = -math.inf

    def record(self, took_s: float, events: int, event_s: float | None, share: float = 1.0) -> None:
        """Add a completed stream.

        :param took_s: seconds from its arrival
        :param events: number of its last event
        :param event_s: seconds per event after the first; ``None`` for a single event
        :param share: share of its events for which ``event_s`` was measured; the time between the
            last ones of a stream that its caller took up says little about a whole one
        """
        self._ended += 1
        self._ended_at = self.clock()
        # the first streams replace the initial values
        weight = max(AVERAGE_WEIGHT, 1 / self._ended)
        self.spread_s += AVERAGE_WEIGHT * (abs(took_s - self.mean_s) - self.spread_s)
        self.mean_s += weight * (took_s - self.mean_s)
        self.events += weight * (events - self.events)
        if event_s is not None:
            self._measured += share
            weight = max(AVERAGE_WEIGHT, 1 / max(1.0, self._measured))
            self.event_s += share * weight * (event_s - self.event_s)

    @property
    def typical_max_s(self) -> float:
        """:return: seconds within which most streams end."""
        return self.mean_s + SPREAD_FACTOR * self.spread_s

    def estimate_need(self, prompt_tokens: int, events_received: int) -> float:
        """Estimate the remaining duration of a stream.

        :param prompt_tokens: tokens of prefill that are still needed
        :param events_received: events that its caller already received
        :return: seconds
        """
        missing = max(0.0, self.events - events_received)
        return prompt_tokens / PREFILL_TOKENS_PER_S + missing * self.event_s

    def estimate_next_event(self, prompt_tokens: int) -> float:
        """Estimate the time until the first event of a stream, or the next one if it is resumed.

        :param prompt_tokens: tokens of prefill that are still needed
        :return: seconds, at an idle engine
        """
        return prompt_tokens / PREFILL_TOKENS_PER_S + self.event_s

    def is_time_too_short(self, left_s: float, prompt_tokens: int, events_received: int) -> bool:
        """Check whether a stream is unlikely to end in the remaining time.

        :param left_s: seconds until the caller's deadline
        :param prompt_tokens: tokens of prefill that are still needed
        :param events_received: events that its caller already received
        :return: whether to refuse it; always false without enough recently completed streams
        """
        if self._ended < MIN_SAMPLES or self.clock() - self._ended_at > SAMPLE_VALIDITY_S:
            return False
        return left_s < MIN_TIME_SHARE * self.estimate_need(prompt_tokens, events_received)


__all__ = ["SAMPLE_VALIDITY_S", "StreamDurations"]
