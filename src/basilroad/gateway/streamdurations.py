"""How long streams take, learned from those that have ended."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import attrs

from basilroad.gateway.selection import READ_TOKENS_PER_S

FIRST_S = 6.0
"""Seconds that a stream is expected to take before any has ended, from the fleets' sheets: a second
to read the prompt and some five for 130 events."""

FIRST_EVENTS = 130.0
"""Events of a stream before any has ended, from the fleets' sheets."""

FIRST_EVENT_S = 0.035
"""Seconds for an event before any stream has ended: five steps of an engine of these fleets."""

WEIGHT = 0.1
"""Weight of one stream in the averages; about ten streams of one host count."""

SPREAD_FACTOR = 1.5
"""Mean deviations above the mean below which most streams end."""

KNOWN_STREAMS = 5
"""Streams that have to end before one is refused on their account; half of those that count."""

KNOWN_S = 10.0
"""Seconds after the last end of a stream for which its figures refuse others: where every caller
has too little time, nothing else would ever show that the pace has changed. The longest of the
fleets' streams take about as long."""

HOPELESS_SHARE = 0.8
"""Share of the mean need below which a stream is refused; with the spread of lengths on the sheets
about one in ten of those would have ended in time."""


@attrs.define
class StreamDurations:
    """Averages over streams.

    :param mean_s: seconds from arrival to end
    :param spread_s: average distance from it in seconds
    :param events: events of a whole stream
    :param event_s: seconds for one event
    :param clock: monotonic seconds
    """

    mean_s: float = FIRST_S
    spread_s: float = 0.0
    events: float = FIRST_EVENTS
    event_s: float = FIRST_EVENT_S
    clock: Callable[[], float] = time.monotonic
    _ended: int = 0
    _ended_at: float = -math.inf

    def note(self, took_s: float, events: int, event_s: float | None) -> None:
        """Count a stream that came to its end.

        :param took_s: seconds from its arrival
        :param events: number of its last event
        :param event_s: seconds for each event after the first; ``None`` for a single one
        """
        self._ended += 1
        self._ended_at = self.clock()
        # the first streams replace what was expected before
        weight = max(WEIGHT, 1 / self._ended)
        self.spread_s += WEIGHT * (abs(took_s - self.mean_s) - self.spread_s)
        self.mean_s += weight * (took_s - self.mean_s)
        self.events += weight * (events - self.events)
        if event_s is not None:
            self.event_s += weight * (event_s - self.event_s)

    @property
    def upper_s(self) -> float:
        """:return: seconds within which most streams end."""
        return self.mean_s + SPREAD_FACTOR * self.spread_s

    def estimate_need(self, prompt_tokens: int, events_had: int) -> float:
        """Estimate how long a stream takes to its end.

        :param prompt_tokens: tokens that an engine has to read first
        :param events_had: events that its caller has
        :return: seconds
        """
        missing = max(0.0, self.events - events_had)
        return prompt_tokens / READ_TOKENS_PER_S + missing * self.event_s

    def is_hopeless(self, left_s: float, prompt_tokens: int, events_had: int) -> bool:
        """Tell whether a stream would hardly end in the time that is left.

        :param left_s: seconds until its caller gives up
        :param prompt_tokens: tokens that an engine has to read first
        :param events_had: events that its caller has
        :return: whether it is to be refused; never before streams have ended here lately
        """
        if self._ended < KNOWN_STREAMS or self.clock() - self._ended_at > KNOWN_S:
            return False
        return left_s < HOPELESS_SHARE * self.estimate_need(prompt_tokens, events_had)


__all__ = ["KNOWN_S", "StreamDurations"]
