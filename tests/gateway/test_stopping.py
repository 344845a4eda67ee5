"""Admission during shutdown; no network."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import attrs
import pytest

from basilroad.clocks import read_boot_clock
from basilroad.errors import Effect, ErrorKind, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import (
    LONG_OUTAGE_RETRY_S,
    LONG_OUTAGE_S,
    Gateway,
    GatewaySettings,
)
from basilroad.gateway.route import Route
from basilroad.gateway.shutdown import OTHER_HOST_RETRY_S, RESTART_S, SHUTDOWN_RESERVE_S
from basilroad.platform.protocol import PlatformProtocol
from builders import (
    PLACE,
    RecordingResponder,
    build_call,
    build_route,
    build_stream_route,
    build_table,
)
from support.timelimit import await_within


def build_gateway(stopping_for_s: float) -> Gateway:
    gateway = Gateway(GatewaySettings("h", PLACE, grace_s=8.0), PlatformProtocol())
    gateway.shutdown.signal.received_at = time.monotonic() - stopping_for_s
    return gateway


def test_a_stream_that_ends_within_the_grace_period_is_admitted() -> None:
    # in a rolling restart, callers are routed to a stopping host for 2 s more
    build_gateway(0.5).check_draining(build_stream_route())


def test_a_stream_that_would_be_cut_off_is_refused_with_a_short_retry_delay() -> None:
    # the caller's retry reaches another host in any case
    with pytest.raises(RefusedError) as caught:
        build_gateway(1.8).check_draining(build_stream_route())
    refusal = caught.value.refusal
    assert refusal.answer.effect is Effect.NOT_RUN
    assert refusal.retry_after == OTHER_HOST_RETRY_S


# fault: where all hosts stopped, refused streams were retried at once, refused again and lost
def test_a_stream_refused_while_most_hosts_stop_is_retried_after_their_start() -> None:
    gateway = build_gateway(1.8)
    gateway.are_most_hosts_stopping = lambda: True
    with pytest.raises(RefusedError) as caught:
        gateway.check_draining(build_stream_route())
    refusal = caught.value.refusal
    assert refusal.answer.effect is Effect.NOT_RUN
    grace_s = gateway.settings.grace_s
    expected_s = grace_s - SHUTDOWN_RESERVE_S + RESTART_S - 1.8
    assert refusal.retry_after == pytest.approx(expected_s, abs=0.1)


# fault: where hosts stopped one after the other, refused streams waited for the host that had
# refused them though others had started again seconds before
def test_a_stream_refused_while_most_hosts_stop_is_retried_at_the_first_host() -> None:
    gateway = build_gateway(1.8)
    gateway.are_most_hosts_stopping = lambda: True
    now = time.monotonic()
    gateway.list_other_stops = lambda: [now - 40.0, now - 5.0, now - 1.0]
    with pytest.raises(RefusedError) as caught:
        gateway.check_draining(build_stream_route())
    expected_s = gateway.settings.grace_s - SHUTDOWN_RESERVE_S + RESTART_S - 5.0
    assert caught.value.refusal.retry_after == pytest.approx(expected_s, abs=0.1)


# fault: just before another host was due back, streams were to come back within microseconds
def test_a_stream_that_is_refused_just_before_the_first_host_is_due_has_a_retry_delay() -> None:
    gateway = build_gateway(1.8)
    gateway.are_most_hosts_stopping = lambda: True
    due_s = gateway.settings.grace_s - SHUTDOWN_RESERVE_S + RESTART_S
    gateway.list_other_stops = lambda: [time.monotonic() - due_s + 0.0005]
    with pytest.raises(RefusedError) as caught:
        gateway.check_draining(build_stream_route())
    assert caught.value.refusal.retry_after == OTHER_HOST_RETRY_S


def test_a_short_call_that_is_refused_while_most_hosts_stop_has_a_short_retry_delay() -> None:
    # a longer delay would use up its time limit
    gateway = build_gateway(2.5)
    gateway.are_most_hosts_stopping = lambda: True
    with pytest.raises(RefusedError) as caught:
        gateway.check_draining(build_route())
    assert caught.value.refusal.retry_after == OTHER_HOST_RETRY_S


def test_short_calls_are_admitted_until_the_end_of_admission() -> None:
    build_gateway(2.4).check_draining(build_route())


def test_a_short_call_that_was_admitted_is_sent_while_there_is_time_for_it() -> None:
    build_gateway(6.6).check_time_before_shutdown(build_route())


def test_a_short_call_is_refused_when_no_time_is_left_for_it() -> None:
    # fault: calls were admitted up to the limit of the shutdown, which ended them
    with pytest.raises(RefusedError):
        build_gateway(6.8).check_time_before_shutdown(build_route())


@pytest.mark.parametrize("route", [build_route(), build_stream_route()])
def test_no_call_is_admitted_after_the_end_of_admission(route: Route) -> None:
    # fault: calls on kept connections were admitted until the process ended, or until a late timer
    gateway = build_gateway(2.5)
    gateway.stream_durations.mean_s = 1.0
    with pytest.raises(RefusedError) as caught:
        gateway.check_draining(route)
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN


def test_admission_ends_in_time_though_the_machine_was_suspended() -> None:
    # fault: a host that was suspended in its stop admitted calls for as long beyond the limit
    gateway = build_gateway(1.0)
    gateway.check_draining(build_route())
    gateway.shutdown.signal.boot_clock = lambda: read_boot_clock() + 1.6
    with pytest.raises(RefusedError):
        gateway.check_draining(build_route())


def test_a_queued_stream_with_enough_time_runs_after_the_end_of_admission() -> None:
    gateway = build_gateway(2.6)
    gateway.stream_durations.mean_s = 1.0
    gateway.check_time_before_shutdown(build_stream_route())


def test_admission_follows_the_duration_of_streams() -> None:
    gateway = build_gateway(2.4)
    with pytest.raises(RefusedError):
        gateway.check_draining(build_stream_route())
    for _ in range(100):
        gateway.stream_durations.record(4.0, 130, 0.02)
    gateway.check_draining(build_stream_route())


@pytest.mark.parametrize(
    ("age_s", "retry_s"), [(5.0, OTHER_HOST_RETRY_S), (LONG_OUTAGE_S + 1, LONG_OUTAGE_RETRY_S)]
)
def test_unconfirmed_keys_give_a_short_retry_delay_until_the_outage_is_long(
    age_s: float, retry_s: float
) -> None:
    # fault: the store rejects one host and serves the others
    settings = GatewaySettings("h", PLACE, key_age_limit_s=4.3)
    gateway = Gateway(settings, PlatformProtocol())
    gateway.apply_table(build_table())
    gateway.freshness.confirm(gateway.freshness.clock() - age_s)
    with pytest.raises(RefusedError) as caught:
        gateway.authenticate(build_route(), "key")
    assert caught.value.refusal.retry_after == retry_s


def test_a_grace_period_that_is_changed_during_a_stop_does_not_move_its_limits() -> None:
    # fault: admission followed the new period and the end of calls the old one, so that streams
    # were admitted and then cut off
    gateway = build_gateway(2.0)
    schedule = gateway.shutdown_schedule
    gateway.settings = attrs.evolve(gateway.settings, grace_s=20.0)
    assert gateway.shutdown_schedule == schedule
    with pytest.raises(RefusedError):
        gateway.check_draining(build_stream_route())


# fault: a stream that was still asking for the location of its prompt when the calls in flight were
# ended got no answer
@pytest.mark.parametrize("is_answered", [True, False])
async def test_a_stream_that_asks_for_its_prompt_at_the_end_of_a_stop_is_refused(
    gateway: Gateway, is_answered: bool
) -> None:
    asked, answered = asyncio.Event(), asyncio.Event()

    async def find(*_: object, **__: object) -> None:
        asked.set()
        await answered.wait()

    gateway.prompts = SimpleNamespace(find=find)  # type: ignore[assignment]
    call = build_call(build_stream_route(), prompt_key="p")
    task = asyncio.ensure_future(CallHandler(gateway).handle(call, RecordingResponder()))
    await await_within(asked.wait(), 1.0)
    if is_answered:
        answered.set()
    gateway.shutdown.end_calls()
    with pytest.raises(RefusedError) as caught:
        await await_within(task, 1.0)
    assert caught.value.refusal.kind is ErrorKind.DRAINING
