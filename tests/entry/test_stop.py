"""A planned stop of an entry with generations in flight."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace

import pytest

from basilroad.backing.hosts import ListedHost
from basilroad.clocks import read_boot_clock
from basilroad.entry.links.link import EndpointView
from basilroad.entry.service import EntryService
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import DaemonSettings, EntrySettings
from basilroad.stopsignal import StopSignal
from support.addresses import find_free_port
from support.timelimit import limit_time


def build_settings(port: int, drain_limit_s: float) -> DaemonSettings:
    return DaemonSettings(
        host="h",
        address="127.0.0.1",
        region="r",
        data_centre="d",
        entry=EntrySettings(listen=f"127.0.0.1:{port}", drain_limit_s=drain_limit_s),
    )


async def complete(port: int, *, stream: bool) -> bytes:
    """Request a completion.

    :param port: port of the entry
    :param stream: whether the response is streamed
    :return: all that came back until the connection was closed
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    completion = {"model": "m", "prompt": "a", "max_tokens": 5, "stream": stream}
    body = json.dumps(completion).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    async with limit_time(10):
        response = await reader.read()
    writer.close()
    return response


@pytest.mark.holds_stop
@pytest.mark.parametrize("stream", [False, True])
async def test_a_generation_queued_at_the_limit_of_a_planned_stop_is_answered(
    stream: bool,
) -> None:
    # fault: the run was cancelled without an outcome, and its connection closed without an answer
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=0.3))
    await entry.start()
    entry.models_seen.add("m")
    pending = asyncio.ensure_future(complete(port, stream=stream))
    while not entry.flights:
        await asyncio.sleep(0.01)
    await entry.stop()
    response = await pending
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"not_run" in response


@pytest.mark.holds_stop
async def test_the_limit_of_a_planned_stop_counts_from_its_signal() -> None:
    # fault: a host that handled the signal late continued past the time at which it is killed
    port = find_free_port()
    stop_signal = StopSignal(received_at=time.monotonic() - 5.0)
    entry = EntryService(build_settings(port, drain_limit_s=5.2), stop_signal)
    await entry.start()
    entry.models_seen.add("m")
    pending = asyncio.ensure_future(complete(port, stream=False))
    while not entry.flights:
        await asyncio.sleep(0.01)
    started = time.monotonic()
    await entry.stop()
    assert time.monotonic() - started < 2.0
    assert (await pending).startswith(b"HTTP/1.1 503 ")


@pytest.mark.holds_stop
async def test_a_generation_is_answered_in_time_though_the_machine_was_suspended() -> None:
    # fault: an entry that was suspended in its stop went on beyond the limit of its drain
    port = find_free_port()
    stop_signal = StopSignal()
    entry = EntryService(build_settings(port, drain_limit_s=5.0), stop_signal)
    await entry.start()
    entry.models_seen.add("m")
    pending = asyncio.ensure_future(complete(port, stream=False))
    while not entry.flights:
        await asyncio.sleep(0.01)
    started = time.monotonic()
    stopping = asyncio.ensure_future(entry.stop())
    while not entry.stopping:
        await asyncio.sleep(0.01)
    stop_signal.boot_clock = lambda: read_boot_clock() + 5.0
    assert (await pending).startswith(b"HTTP/1.1 503 ")
    await stopping
    assert time.monotonic() - started < 2.0


@pytest.mark.holds_stop
@pytest.mark.parametrize(
    ("waits_in", "key", "answer"),
    [
        ("choose", "", (b"HTTP/1.1 503 ", b"not_run")),
        ("choose", "Idempotency-Key: k\r\n", (b"HTTP/1.1 502 ", b"may_have_run")),
        ("ask", "", (b"HTTP/1.1 502 ", b"may_have_run")),
    ],
)
async def test_a_call_at_the_limit_of_a_planned_stop_is_answered(
    monkeypatch: pytest.MonkeyPatch, waits_in: str, key: str, answer: tuple[bytes, bytes]
) -> None:
    # fault: a call to a plain service was cancelled, and its connection closed without an answer
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=0.3))
    await entry.start()

    async def wait(*_: object) -> None:
        await asyncio.sleep(30)

    async def choose(*_: object) -> EndpointView:
        link = SimpleNamespace(next_call_number=lambda: 1, ask=wait)
        return EndpointView(link, wire.EndpointState(endpoint="e"))

    monkeypatch.setattr(entry.caller, "_check_accepted", lambda _: None)
    monkeypatch.setattr(entry.caller, "choose", wait if waits_in == "choose" else choose)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\n{key}Content-Length: 0\r\n\r\n"
    writer.write(head.encode())
    while not entry.calls_running:
        await asyncio.sleep(0.01)
    await entry.stop()
    response = await reader.read()
    status, effect = answer
    assert response.startswith(status)
    assert effect in response
    writer.close()


@pytest.mark.holds_stop
async def test_a_call_that_finds_its_endpoint_shortly_before_the_limit_of_a_stop_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # fault: a call that had waited for an endpoint was sent when no time was left for it, and ended
    # as one that may have run
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=0.5))
    await entry.start()

    async def wait(*_: object) -> None:
        await asyncio.sleep(30)

    async def choose(*_: object) -> EndpointView:
        while not entry.stopping:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.35)
        link = SimpleNamespace(next_call_number=lambda: 1, ask=wait)
        return EndpointView(link, wire.EndpointState(endpoint="e"))

    monkeypatch.setattr(entry.caller, "_check_accepted", lambda _: None)
    monkeypatch.setattr(entry.caller, "choose", choose)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
    while not entry.calls_running:
        await asyncio.sleep(0.01)
    await entry.stop()
    response = await reader.read()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"not_run" in response
    writer.close()


@pytest.mark.holds_stop
@pytest.mark.parametrize(
    ("lookup_s", "answer"),
    [(2.5, (b"HTTP/1.1 503 ", b"not_run")), (30.0, (b"HTTP/1.1 502 ", b"may_have_run"))],
    ids=["found in time", "found too late"],
)
async def test_a_keyed_completion_that_is_looked_up_when_a_stop_begins_is_answered(
    monkeypatch: pytest.MonkeyPatch, lookup_s: float, answer: tuple[bytes, bytes]
) -> None:
    # fault: a completion that was not launched yet wasn't counted, and the stop did not wait for it
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=4.0))
    await entry.start()
    entry.models_seen.add("m")
    looking = asyncio.Event()

    async def claim(*_: object) -> None:
        looking.set()
        await asyncio.sleep(lookup_s)

    monkeypatch.setattr(entry.locations, "claim", claim)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"model": "m", "prompt": "a", "max_tokens": 5}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await looking.wait()
    await entry.stop()
    async with limit_time(10):
        response = await reader.read()
    writer.close()
    assert response.startswith(answer[0]), response
    assert answer[1] in response


@pytest.mark.holds_stop
async def test_a_completion_whose_body_arrives_during_a_stop_is_answered() -> None:
    # fault: a request whose body was still read wasn't counted, and the stop did not wait for it
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=5.0))
    await entry.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"model": "m", "prompt": "a", "max_tokens": 5}).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body[:-2])
    await asyncio.sleep(0.2)
    stopping = asyncio.ensure_future(entry.stop())
    await asyncio.sleep(2.5)
    writer.write(body[-2:])
    async with limit_time(10):
        response = await reader.read()
    writer.close()
    await stopping
    assert response.startswith(b"HTTP/1.1 503 "), response


# fault: a keyed call whose body was late at the limit of a stop was refused as one that has not
# run, though it may have run when it was sent before
@pytest.mark.holds_stop
@pytest.mark.parametrize(
    ("key", "answer"),
    [
        ("", (b"HTTP/1.1 503 ", b"not_run")),
        ("Idempotency-Key: k\r\n", (b"HTTP/1.1 502 ", b"may_have_run")),
    ],
    ids=["without a key", "keyed"],
)
async def test_a_call_whose_body_is_late_at_the_limit_of_a_stop_is_answered(
    key: str, answer: tuple[bytes, bytes]
) -> None:
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=0.3))
    await entry.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\n{key}Content-Length: 4\r\n\r\n"
    writer.write(head.encode() + b"bo")
    while not entry._preparations:
        await asyncio.sleep(0.001)
    await entry.stop()
    response = await reader.read()
    writer.close()
    assert response.startswith(answer[0]), response
    assert answer[1] in response


# fault: a request whose head came in a stop was refused only once its body was whole, and one whose
# body was late prolonged the stop up to its limit
@pytest.mark.holds_stop
async def test_a_request_whose_body_is_late_does_not_prolong_a_stop() -> None:
    port = find_free_port()
    entry = EntryService(build_settings(port, drain_limit_s=20.0))
    await entry.start()
    entry.models_seen.add("m")
    pending = asyncio.ensure_future(complete(port, stream=False))
    while not entry.flights:
        await asyncio.sleep(0.01)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    stopping = asyncio.ensure_future(entry.stop())
    while not entry.stopping:
        await asyncio.sleep(0.001)
    head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
    writer.write(head.encode() + b"bo")
    async with limit_time(5):
        answer = await reader.readuntil(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 503 "), answer
    assert not entry._preparations
    entry.work_ends_at = time.monotonic()
    await stopping
    writer.close()
    assert (await pending).startswith(b"HTTP/1.1 503 ")


class SlowListing:
    """A host list that answers when it is released."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.released = asyncio.Event()

    async def read(self) -> tuple[ListedHost, ...]:
        self.asked.set()
        await self.released.wait()
        return (ListedHost("a", "agent", "r", "d", f"127.0.0.1:{find_free_port()}"),)

    async def close(self) -> None:
        """Close nothing."""


# fault: a read of the hosts that ended during the stop added links, which nothing stopped
async def test_no_link_is_added_by_a_read_of_the_hosts_that_ends_in_a_stop() -> None:
    entry = EntryService(build_settings(find_free_port(), drain_limit_s=0.3))
    listing = SlowListing()
    entry.hosts = listing  # type: ignore[assignment]
    await entry.start()
    async with limit_time(10):
        await listing.asked.wait()
        stopping = asyncio.create_task(entry.stop())
        while not entry.stopping:
            await asyncio.sleep(0)
        listing.released.set()
        await stopping
    assert all(link.should_stop for link in entry.links.values())
