"""The record of a stream that was admitted late in a planned stop, as its caller sees it."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import time
from collections.abc import AsyncIterator

import attrs
import pytest

from support.gatewayrig import GatewayRig, block_event_loop, build_order, stop_after

GRACE_S = 8.0
"""Grace period of the record; admission ends at a fixed time, so a shorter one doesn't scale."""

SENT_S = 3.043
"""Time after SIGTERM at which the record's stream was sent."""

TIMEOUT_MS = 20000
"""Time limit of the streams, longer than the grace period."""

COMPANION_EVENT_S = 0.33
"""Interval of the events of another stream; with none in flight a stop ends before ``SENT_S``."""


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    rig = GatewayRig()
    await rig.start()
    await rig.configure(1, "key", timeout_ms=TIMEOUT_MS)
    gateway = rig.service.gateway
    gateway.settings = attrs.evolve(gateway.settings, grace_s=GRACE_S)
    yield rig
    await rig.stop()


# fault: a stream that came on a kept connection after the end of admission was sent to an endpoint,
# as its mean duration was short or the timers that ended admission were late, and was then cut off
@pytest.mark.parametrize(
    "busy",
    [(), ((0.0, 0.6),), ((0.0, 0.25), (2.4, 0.7))],
    ids=["calm", "busy-at-signal", "busy-at-signal-and-end"],
)
async def test_a_stream_after_the_end_of_admission_is_not_sent_to_an_endpoint(
    rig: GatewayRig, busy: tuple[tuple[float, float], ...]
) -> None:
    front = rig.service.settings.front
    caller = socket.create_connection((front.ip, front.port), timeout=GRACE_S)
    assert (await asyncio.to_thread(exchange, caller, "first")).startswith(b"HTTP/1.1 200 ")
    rig.llm.event_interval_s = COMPANION_EVENT_S
    companion = asyncio.ensure_future(
        rig.send_request("/s/1", X_Attempt_Id="companion", X_Deadline_Ms=str(TIMEOUT_MS))
    )
    while "companion" not in rig.llm.ran:
        await asyncio.sleep(0.01)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    rig.service.gateway.shutdown.signal.watch()
    stop = asyncio.ensure_future(stop_after(rig, stopping))
    os.kill(os.getpid(), signal.SIGTERM)
    signalled_at = time.monotonic()
    # in a thread, so that it is sent in time also while the event loop is blocked
    late = asyncio.ensure_future(
        asyncio.to_thread(exchange, caller, "late", at=signalled_at + SENT_S)
    )
    await asyncio.sleep(0)
    for start_s, length_s in busy:
        if start_s:
            await asyncio.sleep(signalled_at + start_s - time.monotonic())
        block_event_loop(length_s)
    response = await late
    assert "late" not in rig.llm.ran
    assert response.startswith((b"HTTP/1.1 408 ", b"HTTP/1.1 503 ")), "it has not run"
    await asyncio.wait([companion, stop])
    loop.remove_signal_handler(signal.SIGTERM)
    caller.close()


async def test_a_stream_whose_body_is_complete_after_the_end_of_admission_is_refused(
    rig: GatewayRig,
) -> None:
    # fault: admission ended by the arrival of the head, so that a stream whose body came later was
    # sent to an endpoint more than three seconds after the signal
    front = rig.service.settings.front
    reader, writer = await asyncio.open_connection(front.ip, front.port)
    gateway = rig.service.gateway
    gateway.stream_durations.mean_s = 0.5
    gateway.shutdown.signal.received_at = time.monotonic() - 2.0
    request = build_order("late-body").replace(b"/o/1", b"/s/1")
    writer.write(request[:-2])
    await asyncio.sleep(1.0)
    writer.write(request[-2:])
    response = await reader.read()
    writer.close()
    assert response.startswith(b"HTTP/1.1 503 "), "it has not run"
    assert "late-body" not in rig.llm.ran


def exchange(caller: socket.socket, request_id: str, at: float = 0.0) -> bytes:
    """Send a stream's request on a kept connection.

    :param caller: the connection
    :param request_id: id of the stream
    :param at: monotonic seconds before which it isn't sent
    :return: the response; empty if the connection was closed without one
    """
    time.sleep(max(0.0, at - time.monotonic()))
    request = build_order(request_id).replace(b"/o/1", b"/s/1")
    response = b""
    try:
        caller.sendall(request.replace(b"Deadline-Ms: 2000", f"Deadline-Ms: {TIMEOUT_MS}".encode()))
        while not is_whole(response):
            part = caller.recv(65536)
            if not part:
                break
            response += part
    except ConnectionError:
        pass
    return response


def is_whole(response: bytes) -> bool:
    """:return: whether the response is complete."""
    head, end, body = response.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    if length is not None:
        return bool(end) and len(body) >= int(length[1])
    return body.endswith(b"0\r\n\r\n")
