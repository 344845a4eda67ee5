"""Responses and requests whose parts are so small that each of them costs more than its bytes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from basilroad.http.channels import PART_BYTES, Channel
from basilroad.http.connections import READ_BYTES, CallerServer, CallerServerSettings
from basilroad.http.framing import BURST_BYTES, MIN_CHUNK_BYTES
from basilroad.http.messages import ChannelError, OutgoingRequest
from support.timelimit import await_within, limit_time

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
TIMEOUT_S = 20.0
BODY_LIMIT = 4 * 1024 * 1024

MIN_TURNS = 10
"""Turns of the event loop in which a body of small chunks is parsed at least."""


class OpenTransport(asyncio.Transport):
    """Transport that drops what is written and counts pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.pauses = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.pauses += 1

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        pass


async def open_response(head: bytes = HEAD) -> Channel:
    channel = Channel(None)
    channel.connection_made(OpenTransport())
    channel.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
    channel.data_received(head)
    await channel.read_head()
    return channel


async def count_turns(reading: asyncio.Future[object]) -> int:
    """:return: turns of the event loop until a task ends."""
    turns = 0
    while not reading.done():
        await asyncio.sleep(0)
        turns += 1
    return turns


def build_body(count: int) -> bytes:
    """:return: a chunked body of so many bytes, each of which is a chunk."""
    return SMALL_CHUNK * count + b"0\r\n\r\n"


async def read_all(channel: Channel) -> bytes:
    return await channel.read_body(BODY_LIMIT)


async def read_parts(channel: Channel) -> bytes:
    body = b""
    while part := await channel.read_available():
        assert len(part) <= PART_BYTES
        body += part
    return body


@pytest.mark.parametrize("read", [read_all, read_parts])
async def test_a_body_of_small_chunks_leaves_turns_to_other_connections(
    read: Callable[[Channel], object],
) -> None:
    """Review case 10: the event loop stood still until all that was received was parsed."""
    channel = await open_response()
    count = BURST_BYTES // MIN_CHUNK_BYTES // 2
    channel.data_received(build_body(count))
    reading = asyncio.ensure_future(read(channel))
    async with limit_time(TIMEOUT_S):
        assert await count_turns(reading) > MIN_TURNS
        assert await reading == b"x" * count


@pytest.mark.parametrize("chunk", [b"x", b"xx", b"xxxx", b"x" * 16], ids=len)
@pytest.mark.parametrize("extension", [b"", b";a=b", b";" + b"a" * 4000], ids=["", "short", "long"])
@pytest.mark.parametrize("read", [read_all, read_parts])
async def test_small_chunks_without_end_end_a_response(
    read: Callable[[Channel], object], chunk: bytes, extension: bytes
) -> None:
    channel = await open_response()
    framed = b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk)
    reading = asyncio.ensure_future(read(channel))
    for _ in range(2 * BURST_BYTES // (len(framed) - len(chunk))):
        if reading.done():
            break
        channel.data_received(framed * 16)
        await asyncio.sleep(0)
    with pytest.raises(ChannelError, match="beside its body"):
        await await_within(reading, TIMEOUT_S)
    assert not channel.usable


async def test_parts_of_a_large_body_are_small_and_whole() -> None:
    body = bytes(range(256)) * 400
    channel = await open_response(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
    channel.data_received(body)
    assert await await_within(read_parts(channel), TIMEOUT_S) == body
    assert channel.usable


@asynccontextmanager
async def run_caller_server(handler: Callable[[web.BaseRequest], object]) -> AsyncIterator[int]:
    """Run a server of callers.

    :return: context manager that yields its port
    """
    settings = CallerServerSettings("X-Id", lambda _: None)
    runner = web.ServerRunner(CallerServer(handler, settings, auto_decompress=False))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield runner.addresses[0][1]
    await runner.cleanup()


async def test_the_body_of_a_caller_is_received_in_small_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Relative of review case 10: a body in one-byte chunks, which is parsed as it is received."""
    sizes: list[int] = []
    count = 20 * READ_BYTES

    async def answer(request: web.BaseRequest) -> web.Response:
        body = await request.read()
        return web.Response(text=str(len(body)))

    feed = web.RequestHandler.data_received

    def record(connection: web.RequestHandler, data: bytes) -> None:
        sizes.append(len(data))
        feed(connection, data)

    monkeypatch.setattr(web.RequestHandler, "data_received", record)
    async with run_caller_server(answer) as port, limit_time(TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + build_body(count))
        received = await reader.readuntil(b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(str(count))) == str(count).encode()
        writer.close()
    assert max(sizes) <= READ_BYTES
    assert sum(sizes) > len(SMALL_CHUNK) * count
