"""Streams without a length or chunks, which end with their connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from builders import RecordingResponder, build_call, build_entry, build_stream_route

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
EVENT = b"id: %d\ndata: token\n\n"

ListEngine = Callable[..., Awaitable[None]]


@pytest.fixture
async def list_engine(gateway) -> AsyncIterator[ListEngine]:
    """:return: function that lists an engine which sends a body and closes the connection."""
    servers = []

    async def start(name: str, body: bytes, data_centre: str = "riga-a") -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: c1\r\nX-Response-Seal: s\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        entry = build_entry(name, port=port, service="llm", data_centre=data_centre, slots=48)
        gateway.directory.put(entry)

    yield start
    for server in servers:
        server.close()


async def generate(gateway) -> RecordingResponder:
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(ROUTE, prompt_parts=("shared",)), responder)
    return responder


async def test_one_that_ends_at_an_event_boundary_is_whole(gateway, list_engine) -> None:
    await list_engine("i-1", EVENT % 1 + EVENT % 2)
    assert (await generate(gateway)).numbers == [1, 2]


async def test_one_that_ends_within_an_event_is_resumed(gateway, list_engine, start_server) -> None:
    await list_engine("i-1", EVENT % 1 + EVENT[:-2] % 2)
    second = await start_server("i-2", service="llm", events=5, data_centre="kurzeme-a")
    assert (await generate(gateway)).numbers == [1, 2, 3, 4, 5]
    assert second.seen[0].headers["last-event-id"] == "1"


# fault: a stream that ends with its connection before any event shows its parts to be sound
async def test_one_without_any_event_is_no_sign_that_its_parts_are_sound(
    gateway, list_engine
) -> None:
    await list_engine("i-1", b"")
    with pytest.raises(RefusedError) as caught:
        await generate(gateway)
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert gateway.containment.ledger.find_passed("shared") is None
