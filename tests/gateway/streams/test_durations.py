"""Refusal of streams with too little time left; no network."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from basilroad.errors import Effect, ErrorKind, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.streams.durations import SAMPLE_VALIDITY_S, StreamDurations
from basilroad.platform.protocol import PlatformProtocol
from builders import PLACE, RecordingResponder, build_call, build_stream_route, build_table

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call


def build_durations() -> StreamDurations:
    durations = StreamDurations()
    for _ in range(200):
        durations.record(6.5, 130, 0.04)
    return durations


def test_the_estimate_is_prefill_plus_remaining_events() -> None:
    durations = build_durations()
    assert durations.estimate_need(8000, 0) == pytest.approx(6.2, abs=0.05)
    assert durations.estimate_need(8000, 100) == pytest.approx(2.2, abs=0.05)
    assert durations.estimate_need(0, 130) == pytest.approx(0.0, abs=0.05)


async def test_a_caller_with_too_little_time_is_refused_at_once() -> None:
    # fault: a gateway loses power, and its callers reconnect after most of their time has passed
    gateway = Gateway(GatewaySettings("h", PLACE), PlatformProtocol())
    gateway.apply_table(build_table())
    gateway.stream_durations = build_durations()
    call = build_call(build_stream_route(), expires_at=time.monotonic() + 3.0)
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(call, RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN


def build_resumed_call(left_s: float) -> Call:
    return build_call(
        build_stream_route(prefix="/s/"), resume_after="27", expires_at=time.monotonic() + left_s
    )


# guards against: all gateways lose power, and callers that resume after a long wait are refused
# until their deadline, beside idle engines
async def test_a_caller_that_resumes_gets_the_events_that_there_is_time_for(
    gateway, start_server
) -> None:
    await start_server("i-1", service="llm", events=30)
    gateway.stream_durations = build_durations()
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_resumed_call(2.5), responder)
    assert responder.numbers == [28, 29, 30]


# guards against: streams that cannot end delay others at engines that are full
async def test_a_resumed_stream_that_will_not_end_is_refused_without_a_free_endpoint(
    gateway,
) -> None:
    gateway.stream_durations = build_durations()
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(build_resumed_call(2.5), RecordingResponder())
    assert caught.value.refusal.kind is ErrorKind.TIME_TOO_SHORT


# guards against: a prompt is processed for a caller whose deadline passes before the next event
async def test_a_resumed_stream_without_time_for_prefill_is_refused(gateway, start_server) -> None:
    server = await start_server("i-1", service="llm", events=30)
    gateway.stream_durations = build_durations()
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(build_resumed_call(0.9), RecordingResponder())
    assert caught.value.refusal.kind is ErrorKind.TIME_TOO_SHORT
    assert server.ran == []


def test_a_caller_with_most_events_is_not_refused() -> None:
    assert not build_durations().is_time_too_short(3.0, 8000, 90)


def test_a_cached_prompt_needs_no_prefill() -> None:
    durations = build_durations()
    assert durations.is_time_too_short(4.5, 8000, 0)
    assert not durations.is_time_too_short(4.5, 0, 0)


def test_nothing_is_refused_before_streams_have_ended() -> None:
    # a fleet with short streams and short deadlines
    durations = StreamDurations()
    assert not durations.is_time_too_short(3.0, 800, 0)
    for _ in range(10):
        durations.record(0.7, 30, 0.02)
    assert not durations.is_time_too_short(3.0, 800, 0)
    assert durations.is_time_too_short(0.4, 800, 0)


# fault: after a silence of all engines callers took up streams that lacked one event each; the slow
# last events counted like whole streams, and new streams were refused for as long as 10 s
def test_the_ends_of_streams_that_were_taken_up_count_for_little() -> None:
    durations = StreamDurations()
    for _ in range(9):
        durations.record(0.6, 30, 0.13, share=1 / 29)
    assert not durations.is_time_too_short(3.0, 800, 0)
    durations.record(0.7, 30, 0.02)
    assert durations.event_s == pytest.approx(0.02, abs=0.01)


# fault: streams that became slow were not noticed as long as each began with a few events at once
def test_streams_that_were_measured_in_part_change_the_estimate() -> None:
    durations = build_durations()
    for _ in range(100):
        durations.record(13.0, 130, 0.1, share=0.9)
    assert durations.event_s == pytest.approx(0.1, abs=0.01)


# fault: a stream that its caller took up counted like a whole one
@pytest.mark.parametrize(("received", "share"), [("", 1.0), ("27", 2 / 29)])
async def test_a_stream_counts_for_the_events_that_were_measured(
    gateway, start_server, received: str, share: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    server = await start_server("i-1", service="llm", events=30)
    server.event_interval_s = 0.01
    recorded: list[float] = []
    monkeypatch.setattr(StreamDurations, "record", lambda *args: recorded.append(args[4]))
    route = build_stream_route(prefix="/s/")
    call = build_call(route, resume_after=received, expires_at=time.monotonic() + 5.0)
    responder = RecordingResponder()
    await CallHandler(gateway).handle(call, responder)
    assert responder.numbers[-1] == 30
    assert recorded == [pytest.approx(share)]


def test_outdated_averages_refuse_nothing() -> None:
    # fault: streams were slow for a while, and every caller since then was refused
    now = 100.0
    durations = StreamDurations(clock=lambda: now)
    for _ in range(10):
        durations.record(20.0, 130, 0.15)
    assert durations.is_time_too_short(10.0, 8000, 0)
    now += SAMPLE_VALIDITY_S + 0.1
    assert not durations.is_time_too_short(10.0, 8000, 0)
