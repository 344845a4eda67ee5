"""What a host that stops still takes; no network."""

from __future__ import annotations

import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.gateway import (
    ELSEWHERE_RETRY_S,
    LONG_OUTAGE_S,
    OUTAGE_RETRY_S,
    Gateway,
    GatewaySettings,
)
from basilroad.platform.protocol import PlatformProtocol
from builders import PLACE, build_route, build_stream_route, build_table


def build_gateway(stopping_for_s: float) -> Gateway:
    gateway = Gateway(GatewaySettings("h", PLACE, grace_s=8.0), PlatformProtocol())
    gateway.stopping_since = time.monotonic() - stopping_for_s
    return gateway


def test_a_stream_that_ends_within_the_grace_is_taken() -> None:
    # pattern: hosts are stopped in turn, and callers are led to them for two seconds more
    build_gateway(0.5).check_draining(build_stream_route())


def test_a_stream_that_would_be_cut_is_sent_to_another_host_at_once() -> None:
    # pattern: a caller's next try reaches another host, whatever this one does
    with pytest.raises(RefusedError) as caught:
        build_gateway(1.8).check_draining(build_stream_route())
    refusal = caught.value.refusal
    assert refusal.answer.effect is Effect.NOT_RUN
    assert refusal.retry_after == ELSEWHERE_RETRY_S


def test_short_calls_are_taken_to_the_end() -> None:
    build_gateway(7.0).check_draining(build_route())


def test_what_is_taken_follows_the_length_of_streams() -> None:
    gateway = build_gateway(3.0)
    for _ in range(100):
        gateway.stream_durations.note(2.0, 130, 0.01)
    gateway.check_draining(build_stream_route())


@pytest.mark.parametrize(
    ("age_s", "retry_s"), [(5.0, ELSEWHERE_RETRY_S), (LONG_OUTAGE_S + 1, OUTAGE_RETRY_S)]
)
def test_keys_in_doubt_send_callers_elsewhere_until_the_outage_is_long(
    age_s: float, retry_s: float
) -> None:
    # pattern: the store turns one host away and serves the others
    settings = GatewaySettings("h", PLACE, key_age_limit_s=4.3)
    gateway = Gateway(settings, PlatformProtocol())
    gateway.apply_table(build_table())
    gateway.freshness.confirm(gateway.freshness.clock() - age_s)
    with pytest.raises(RefusedError) as caught:
        gateway.authenticate(build_route(), "key")
    assert caught.value.refusal.retry_after == retry_s
