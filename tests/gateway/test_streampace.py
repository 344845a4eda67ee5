"""Refusal of streams with too little time left; no network."""

from __future__ import annotations

import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.handler import CallHandler
from basilroad.gateway.streampace import SAMPLE_VALIDITY_S, StreamPace
from basilroad.platform.dialect import PlatformDialect
from builders import PLACE, RecordingResponder, build_call, build_stream_route, build_table


def build_pace() -> StreamPace:
    pace = StreamPace()
    for _ in range(200):
        pace.note(6.5, 130, 0.04)
    return pace


def test_the_estimate_is_prefill_plus_remaining_events() -> None:
    pace = build_pace()
    assert pace.estimate_need(8000, 0) == pytest.approx(6.2, abs=0.05)
    assert pace.estimate_need(8000, 100) == pytest.approx(2.2, abs=0.05)
    assert pace.estimate_need(0, 130) == pytest.approx(0.0, abs=0.05)


async def test_a_caller_with_too_little_time_is_refused_at_once() -> None:
    # fault: a gateway loses power, and its callers reconnect after most of their time has passed
    gateway = Gateway(GatewaySettings("h", PLACE), PlatformDialect())
    gateway.apply_table(build_table())
    gateway.stream_pace = build_pace()
    call = build_call(build_stream_route(), expires_at=time.monotonic() + 3.0)
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(call, RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN


def test_a_caller_with_most_events_is_not_refused() -> None:
    assert not build_pace().is_time_too_short(3.0, 8000, 90)


def test_a_cached_prompt_needs_no_prefill() -> None:
    pace = build_pace()
    assert pace.is_time_too_short(4.5, 8000, 0)
    assert not pace.is_time_too_short(4.5, 0, 0)


def test_nothing_is_refused_before_streams_have_ended() -> None:
    # a fleet with short streams and short deadlines
    pace = StreamPace()
    assert not pace.is_time_too_short(3.0, 800, 0)
    for _ in range(10):
        pace.note(0.7, 30, 0.02)
    assert not pace.is_time_too_short(3.0, 800, 0)
    assert pace.is_time_too_short(0.4, 800, 0)


def test_outdated_averages_refuse_nothing() -> None:
    # fault: streams were slow for a while, and every caller since then was refused
    now = 100.0
    pace = StreamPace(clock=lambda: now)
    for _ in range(10):
        pace.note(20.0, 130, 0.15)
    assert pace.is_time_too_short(10.0, 8000, 0)
    now += SAMPLE_VALIDITY_S + 0.1
    assert not pace.is_time_too_short(10.0, 8000, 0)
