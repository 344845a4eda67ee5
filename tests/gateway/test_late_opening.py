"""Limits of a planned stop that pass while a connection to an endpoint is opened."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.shutdown import SHORT_CALL_S, SHUTDOWN_RESERVE_S
from builders import RecordingResponder, build_call, build_route, build_stream_route

OPENING_S = 0.2
"""Time to open a connection, below its limit."""


@pytest.fixture
async def slow_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def connect_slowly(*arguments, **options):
        await asyncio.sleep(OPENING_S)
        return await connect(*arguments, **options)

    monkeypatch.setattr(loop, "create_connection", connect_slowly)


def begin_stop(gateway: Gateway, left_s: float) -> None:
    """Begin a planned stop.

    :param gateway: the gateway
    :param left_s: seconds until its limit
    """
    calls_s = gateway.settings.grace_s - SHUTDOWN_RESERVE_S
    gateway.shutdown.signal.received_at = time.monotonic() + left_s - calls_s


# fault: the time left was compared before the connection was opened, and a call that may run only
# once was sent with next to no time left
@pytest.mark.usefixtures("slow_connections")
async def test_a_plain_call_is_not_sent_when_its_connection_is_open_too_late_in_a_stop(
    gateway, start_server
) -> None:
    server = await start_server("i-1")
    begin_stop(gateway, SHORT_CALL_S + OPENING_S / 2)
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(build_call(build_route()), RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN
    assert not server.seen


# fault: the same for a stream, whose time was compared only when it left the queue
@pytest.mark.usefixtures("slow_connections")
async def test_a_stream_is_not_sent_when_its_connection_is_open_too_late_in_a_stop(
    gateway, start_server
) -> None:
    server = await start_server("i-1", service="llm", events=10)
    needed_s = gateway.stream_durations.mean_s = 1.0
    begin_stop(gateway, needed_s + OPENING_S / 2)
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(build_call(build_stream_route()), RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.NOT_RUN
    assert not server.seen
