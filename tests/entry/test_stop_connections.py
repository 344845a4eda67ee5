"""Connections that callers keep, or have just opened, when an entry stops."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import AsyncIterator

import pytest

from basilroad.entry.identity import KEY_BYTES
from basilroad.entry.service import EntryService
from basilroad.settings.daemon import DaemonSettings, EntrySettings
from support.addresses import find_free_port
from support.tries import TryEnd, is_listening, read_end

DEFER_ACCEPT_S = 5
"""Time for which the kernel leaves a handshake unfinished until its caller sends something."""


def build_completion() -> bytes:
    """:return: a request that is refused by a stopping entry."""
    body = json.dumps({"model": "m", "prompt": "a", "max_tokens": 5}).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
async def entry() -> AsyncIterator[EntryService]:
    settings = DaemonSettings(
        host="h",
        address="127.0.0.1",
        region="r",
        data_centre="d",
        entry=EntrySettings(listen=f"127.0.0.1:{find_free_port()}", drain_limit_s=0.3),
    )
    entry = EntryService(settings)
    await entry.start()
    entry.models_seen.add("m")
    yield entry
    await entry.stop()


def connect(entry: EntryService) -> socket.socket:
    """:return: a connection that the entry has not accepted yet."""
    ip, _, port = entry.options.listen.rpartition(":")
    return socket.create_connection((ip, int(port)), timeout=5)


def receive(caller: socket.socket) -> TryEnd:
    """:return: how the try of a caller ends."""
    try:
        return read_end(caller.recv(65536))
    except ConnectionError:
        return TryEnd.NO_ANSWER


@pytest.mark.holds_stop
async def test_a_request_that_crosses_the_end_of_its_idle_connection_is_answered(
    entry: EntryService,
) -> None:
    # fault: a stopping entry closed idle connections, and requests in flight to it got neither
    # an answer nor a refusal
    with connect(entry) as caller:
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(entry.stop())
        # the end of the connection has arrived, but not been read when the request is sent
        await asyncio.to_thread(caller.recv, 1, socket.MSG_PEEK)
        caller.sendall(build_completion())
        assert await asyncio.to_thread(receive, caller) is TryEnd.REFUSED
    await stopping


@pytest.mark.holds_stop
@pytest.mark.parametrize("turns", range(8))
async def test_a_connection_that_waits_when_an_entry_stops_is_served(
    entry: EntryService, turns: int
) -> None:
    # fault: the kernel reset a connection that was not accepted when a stopping entry closed its
    # listener, and the entry one that was accepted and not read yet
    with connect(entry) as caller:
        caller.sendall(build_completion())
        entry.stopping = True
        for _ in range(turns):
            await asyncio.sleep(0)
        await entry.http.stop()
        assert await asyncio.to_thread(receive, caller) is TryEnd.REFUSED


@pytest.mark.holds_stop
async def test_a_handshake_that_has_begun_when_an_entry_stops_is_finished(
    entry: EntryService,
) -> None:
    # fault: the kernel reset the handshakes that were not finished when a stopping entry closed its
    # listener, though their callers had sent a request
    ip, _, port = entry.options.listen.rpartition(":")
    listener = entry.http._listener
    assert listener is not None
    listener._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_ACCEPT_S)
    with connect(entry) as caller:
        entry.stopping = True
        stopping = asyncio.ensure_future(entry.http.stop())
        while is_listening(ip, int(port)):
            await asyncio.sleep(0)
        caller.sendall(build_completion())
        assert await asyncio.to_thread(receive, caller) is TryEnd.REFUSED
    await stopping


# fault: a stopping entry ends the preparations of the requests that it knows; one whose head comes
# later and whose body doesn't was cancelled without an answer
@pytest.mark.holds_stop
@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.05])
async def test_a_request_whose_head_comes_in_a_stop_and_whose_body_does_not_is_answered(
    entry: EntryService, delay_s: float
) -> None:
    request = build_completion()
    with connect(entry) as caller:
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(entry.stop())
        await asyncio.sleep(delay_s)
        caller.sendall(request[: request.index(b"\r\n\r\n") + 7])
        end = await asyncio.to_thread(receive, caller)
    await stopping
    assert end is not TryEnd.NO_ANSWER


# fault: a request that came after the limit of a stop had ended the others, and had to wait for
# another host, was cancelled without an answer
@pytest.mark.holds_stop
@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /v1/generations/%s-1 HTTP/1.1\r\n" % (b"00" * KEY_BYTES), b"HTTP/1.1 503 "),
        (b"POST /v1/services/s/x HTTP/1.1\r\nIdempotency-Key: k\r\n", b"HTTP/1.1 502 "),
    ],
    ids=["generation", "keyed call"],
)
async def test_a_request_that_waits_for_another_host_after_a_stop_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch, head: bytes, status: bytes
) -> None:
    async def wait(*_: object) -> None:
        await asyncio.sleep(30)

    monkeypatch.setattr(entry.takeover, "attach", wait)
    monkeypatch.setattr(entry.caller.keyed_calls.earlier, "check", wait)
    with connect(entry) as caller:
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(entry.stop())
        await asyncio.sleep(0.02)
        caller.sendall(head + b"Host: x\r\nContent-Length: 0\r\n\r\n")
        received = await asyncio.to_thread(caller.recv, 65536)
    await stopping
    assert received.startswith(status), received


# fault: the HTTP library closes a connection at the end of its keep-alive time beside a request in
# flight, which the kernel resets; gateways answer it
async def test_a_request_that_crosses_the_end_of_the_keep_alive_time_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert entry.http._runner is not None
    monkeypatch.setitem(entry.http._runner.server._kwargs, "keepalive_timeout", 0.3)
    with connect(entry) as caller:
        await asyncio.to_thread(caller.recv, 1, socket.MSG_PEEK)
        caller.sendall(build_completion())
        assert await asyncio.to_thread(receive, caller) is TryEnd.REFUSED


# fault: no line of an entry tells a connection that ended unread from one that was never accepted
@pytest.mark.holds_stop
async def test_a_stop_counts_the_connections_of_an_entry(
    entry: EntryService, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    with connect(entry) as answered, connect(entry):
        answered.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await asyncio.to_thread(receive, answered) is TryEnd.ANSWERED
        await entry.stop()
    (stopped,) = [line for line in caplog.records if line.message == "entry stopped"]
    assert vars(stopped)["accepted"] == 2
    assert vars(stopped)["unread"] == 1
    counts = ["crossed", "in_flight", "open", "unsent"]
    assert [vars(stopped)[name] for name in counts] == [0, 0, 0, 0]
