"""Splits streams into events and selects those that have not been forwarded yet."""

from __future__ import annotations

import time

import attrs

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data"

MAX_EVENT_BYTES = 262144
"""Largest event; those of generations have some hundred bytes."""

IDLE_EVENTS = 1000
"""Events of a run that bring nothing new, beside those that repeat what was received before."""

IDLE_EVENTS_PER_S = 100
"""Such events that a run may have for each second, such as comments that keep it alive."""

MAX_ID_DIGITS = 18
"""Largest number of digits of an event id, which fits in 64 bits."""


class EventOrderError(Exception):
    """An event is missing or too large, its id is not a number, or too many bring nothing new."""


@attrs.define
class EventSequence:
    """Extracts the events to be forwarded from the data of one or more runs of a stream.

    :param last: id of the last event forwarded; 0 before the first
    :param received: number of complete events with data that were due; comments don't count
    """

    last: int = 0
    received: int = 0
    _partial: bytes = b""
    _idle: int = 0
    _idle_limit: int = IDLE_EVENTS
    _run_started_at: float = attrs.field(factory=time.monotonic)

    def start_run(self) -> None:
        """Start another run and discard an incomplete event of the previous one."""
        self._partial = b""
        self._idle, self._idle_limit = 0, IDLE_EVENTS + self.last
        self._run_started_at = time.monotonic()

    @property
    def is_whole(self) -> bool:
        """:return: whether the run ends at an event boundary."""
        return not self._partial.strip()

    def take(self, data: bytes) -> bytes:
        """Process a chunk of the run.

        :param data: bytes as received
        :return: the complete events that were not forwarded before, and all events without an id
        :raises EventOrderError: an event is missing or too large, its id is not a number, or too
            many bring nothing new
        """
        end = data.rfind(EVENT_END)
        if end < 0 and not self._ends_across(data):
            self._partial += data
            self._check_size(self._partial)
            return b""
        data = self._partial + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        self._partial = data[end:]
        self._check_size(self._partial)
        events = data[:end].split(EVENT_END)[:-1]
        last, received = self.last, self.received
        try:
            return b"".join(event + EVENT_END for event in events if self._is_due(event))
        except EventOrderError:
            # none of these events is forwarded, so another run has to repeat them
            self.last, self.received = last, received
            raise

    def _check_size(self, partial: bytes) -> None:
        if len(partial) > MAX_EVENT_BYTES:
            raise EventOrderError(f"event {self.last + 1} exceeds {MAX_EVENT_BYTES} bytes")

    def _ends_across(self, data: bytes) -> bool:
        return self._partial.endswith(b"\n") and data.startswith(b"\n")

    def _is_due(self, event: bytes) -> bool:
        number = _read_id(event)
        if number is None:
            self._record_idle()
            self.received += any(line.startswith(DATA_FIELD) for line in event.split(b"\n"))
            return True
        if number <= self.last:
            self._record_idle()
            return False
        if number != self.last + 1:
            raise EventOrderError(f"event {number} came after event {self.last}")
        self.last = number
        self.received += 1
        return True

    def _record_idle(self) -> None:
        self._idle += 1
        if self._idle <= self._idle_limit:
            return
        run_s = time.monotonic() - self._run_started_at
        if self._idle > self._idle_limit + IDLE_EVENTS_PER_S * run_s:
            raise EventOrderError(f"{self._idle} events without a new id")


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            if not text.isdigit() or len(text) > MAX_ID_DIGITS:
                raise EventOrderError(f"event with id {text[:MAX_ID_DIGITS]!r}")
            return int(text)
    return None


__all__ = [
    "IDLE_EVENTS",
    "IDLE_EVENTS_PER_S",
    "MAX_EVENT_BYTES",
    "EventOrderError",
    "EventSequence",
]
