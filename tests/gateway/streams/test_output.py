"""Output of a stream to its caller; no network."""

from __future__ import annotations

import pytest

from basilroad.gateway.streams.output import StreamOutput
from builders import RecordingResponder


class Head:
    """Response head of an endpoint."""

    status = 200
    headers = (("Content-Type", "text/event-stream"),)


class Clock:
    """Clock that is set by hand."""

    now = 100.0

    def monotonic(self) -> float:
        """:return: the time set."""
        return self.now


async def test_the_head_is_sent_once_and_gaps_start_after_the_first_chunk(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, responder = Clock(), RecordingResponder()
    monkeypatch.setattr("basilroad.gateway.streams.output.time", clock)
    firsts: list[float] = []
    gaps: list[float] = []
    output = StreamOutput(responder, lambda: firsts.append(clock.now), gaps.append)
    assert not output.has_started
    for number, at in ((1, 100.0), (2, 100.5), (4, 101.5)):
        clock.now = at
        await output.forward(Head(), b"id: %d\n\n" % number, number)  # type: ignore[arg-type]
    assert output.has_started
    assert (responder.status, responder.headers) == (Head.status, Head.headers)
    assert responder.numbers == [1, 2, 4]
    assert firsts == [100.0]
    assert gaps == [0.5, 1.0]
    assert output.measure_event_s(103.0, 4) == 1.0


async def test_a_stream_of_one_event_has_no_time_between_events() -> None:
    output = StreamOutput(RecordingResponder(), lambda: None, lambda _: None)
    await output.forward(Head(), b"id: 1\n\n", 1)  # type: ignore[arg-type]
    assert output.measure_event_s(200.0, 1) is None


async def test_a_stream_without_events_sends_its_head_alone() -> None:
    responder = RecordingResponder()
    output = StreamOutput(responder, lambda: None, lambda _: None)
    await output.forward(Head(), b"", 0)  # type: ignore[arg-type]
    assert (responder.status, responder.data) == (200, b"")
