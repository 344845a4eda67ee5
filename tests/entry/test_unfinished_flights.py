"""Generations whose task ends without an outcome."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from basilroad.entry.generations.flight import Flight
from basilroad.entry.service import EntryService
from basilroad.settings.daemon import DaemonSettings, EntrySettings
from support.addresses import find_free_port

LIMIT_S = 5.0


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


async def complete(entry: EntryService, *, stream: bool) -> bytes:
    """:return: all that comes back for a completion until the connection is closed."""
    ip, _, port = entry.options.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    completion = {"model": "m", "prompt": "a", "max_tokens": 5, "stream": stream}
    body = json.dumps(completion).encode()
    lines = ("Host: x", "Connection: close", "Idempotency-Key: k", f"Content-Length: {len(body)}")
    head = "\r\n".join(["POST /v1/completions HTTP/1.1", *lines, "", ""])
    writer.write(head.encode() + body)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await reader.read()
    finally:
        writer.close()


# fault: the callers of a generation that an unexpected error ended waited without end
@pytest.mark.holds_answers
@pytest.mark.parametrize("stream", [False, True])
async def test_a_generation_that_an_unexpected_error_ends_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch, stream: bool
) -> None:
    async def fail(_: Flight) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(Flight, "_place_and_run", fail)
    received = await complete(entry, stream=stream)
    assert received.startswith(b"HTTP/1.1 500 "), received
    assert b"may_have_run" in received


# fault: a caller that came back while its generation was being cancelled waited without end
@pytest.mark.holds_answers
async def test_a_caller_that_returns_to_an_abandoned_generation_is_answered(
    entry: EntryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def wait(_: Flight) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(Flight, "_place_and_run", wait)
    waiting = asyncio.create_task(complete(entry, stream=False))
    while not entry.flights:
        await asyncio.sleep(0.01)
    (flight,) = entry.flights.values()
    # the first caller has left; the second one is read in the turn that cancels the generation
    flight.readers -= 1
    entry._abandon(flight)
    flight.readers += 1
    assert (await waiting).startswith(b"HTTP/1.1 502 ")
