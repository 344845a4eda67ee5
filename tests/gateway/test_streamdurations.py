"""Streams for which too little time is left; no network."""

from __future__ import annotations

import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.handler import CallHandler
from basilroad.gateway.streamdurations import KNOWN_S, StreamDurations
from basilroad.platform.protocol import PlatformProtocol
from builders import PLACE, RecordingResponder, build_call, build_stream_route, build_table


def build_pace() -> StreamDurations:
    pace = StreamDurations()
    for _ in range(200):
        pace.note(6.5, 130, 0.04)
    return pace


def test_the_need_is_the_reading_and_the_events_that_are_missing() -> None:
    pace = build_pace()
    assert pace.estimate_need(8000, 0) == pytest.approx(6.2, abs=0.05)
    assert pace.estimate_need(8000, 100) == pytest.approx(2.2, abs=0.05)
    assert pace.estimate_need(0, 130) == pytest.approx(0.0, abs=0.05)


async def test_a_caller_that_comes_late_is_refused_at_once() -> None:
    # pattern: a gateway loses power, its callers hang for most of their time, and come back
    gateway = Gateway(GatewaySettings("h", PLACE), PlatformProtocol())
    gateway.apply_table(build_table())
    gateway.stream_durations = build_pace()
    call = build_call(build_stream_route(), expires_at=time.monotonic() + 3.0)
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(call, RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN


def test_a_caller_with_most_events_still_gets_the_rest() -> None:
    assert not build_pace().is_hopeless(3.0, 8000, 90)


def test_a_prompt_that_is_still_in_memory_needs_no_reading() -> None:
    pace = build_pace()
    assert pace.is_hopeless(4.5, 8000, 0)
    assert not pace.is_hopeless(4.5, 0, 0)


def test_nothing_is_refused_before_streams_have_ended() -> None:
    # pattern: a fleet whose streams are short, and whose callers give them little time
    pace = StreamDurations()
    assert not pace.is_hopeless(3.0, 800, 0)
    for _ in range(10):
        pace.note(0.7, 30, 0.02)
    assert not pace.is_hopeless(3.0, 800, 0)
    assert pace.is_hopeless(0.4, 800, 0)


def test_a_pace_that_nothing_confirms_refuses_no_more() -> None:
    # pattern: streams were slow for a while, and since then every caller is refused
    now = 100.0
    pace = StreamDurations(clock=lambda: now)
    for _ in range(10):
        pace.note(20.0, 130, 0.15)
    assert pace.is_hopeless(10.0, 8000, 0)
    now += KNOWN_S + 0.1
    assert not pace.is_hopeless(10.0, 8000, 0)
