"""Chunks of a response, given to the connection byte by byte and at once."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.http.channels import Channel
from basilroad.http.messages import ChannelError, OutgoingRequest
from support.timelimit import await_within

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 5.0


class SilentTransport(asyncio.Transport):
    """Transport that drops what is written."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


async def open_stream() -> Channel:
    """:return: a connection that has received the head of a chunked response."""
    channel = Channel(None)
    channel.connection_made(SilentTransport())
    channel.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
    channel.data_received(HEAD)
    await channel.read_head()
    return channel


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
@pytest.mark.parametrize("reads_all", [True, False])
async def test_a_stream_is_whole_however_it_is_split(size: int, reads_all: bool) -> None:
    events = [b"event %d" % number * (1 + number % 5) for number in range(20)]
    stream = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"
    channel, body = await open_stream(), b""

    async def read() -> None:
        nonlocal body
        read_part = channel.read_available if reads_all else channel.read_data
        while part := await read_part():
            body += part

    reading = asyncio.ensure_future(read())
    for start in range(0, len(stream), size):
        channel.data_received(stream[start : start + size])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await await_within(reading, TIMEOUT_S)
    assert body == b"".join(events)
    assert channel.usable


async def read_to_end(channel: Channel) -> None:
    while await channel.read_data() is not None:
        pass


@pytest.mark.parametrize("parts", [[b"5\r\nevent", b"XY0\r\n\r\n"], [b"5\r\nevent\r\n", b"g\r\n"]])
@pytest.mark.parametrize("is_read_between", [True, False])
async def test_what_follows_a_chunk_is_checked(parts: list[bytes], is_read_between: bool) -> None:
    channel = await open_stream()
    channel.data_received(parts[0])
    if is_read_between:
        assert await channel.read_available() == b"event"
    channel.data_received(parts[1])
    with pytest.raises(ChannelError, match="invalid HTTP response"):
        await await_within(read_to_end(channel), TIMEOUT_S)


@pytest.mark.parametrize("is_read_between", [True, False])
@pytest.mark.parametrize("rest", [b"", b"\r", b"\r\n", b"\r\n0", b"\r\n0\r\n"])
async def test_a_stream_that_ends_between_chunks_is_cut(rest: bytes, is_read_between: bool) -> None:
    may_end = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"5\r\nevent" + rest)
        await may_end.wait()
        writer.close()

    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(Channel, host, port)
        channel.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
        await await_within(channel.read_head(), TIMEOUT_S)
        if is_read_between:
            assert await await_within(channel.read_available(), TIMEOUT_S) == b"event"
        may_end.set()
        with pytest.raises(ChannelError, match="invalid HTTP response"):
            await await_within(read_to_end(channel), TIMEOUT_S)
        channel.close()
