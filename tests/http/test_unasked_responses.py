"""Responses that the HTTP client must not take for the whole answer to its request."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from basilroad.http.channelpool import ChannelPool
from basilroad.http.client import HttpClient, HttpRequest, HttpResponse, ResponseLostError
from basilroad.http.messages import ChannelError, OutgoingRequest
from basilroad.peers.address import Address

TIMEOUT_S = 5.0
WAIT_S = 0.2
"""Time in which the client takes over bytes that were sent on loopback."""

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def run_server(serve: Serve) -> AsyncIterator[Address]:
    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return  # the client has closed the connection
        finally:
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield Address(host, port)


def reset(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send_by_client(address: Address, body: bytes | None) -> bytes | None:
    client = HttpClient(f"http://{address}", TIMEOUT_S)
    try:
        response = await client.send(HttpRequest("POST" if body else "GET", "/", body=body))
    except ResponseLostError:
        return None
    finally:
        await client.close()
    return response.body


async def send_by_channel(address: Address, body: bytes | None) -> bytes | None:
    channel = await ChannelPool(address).open()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            method = "POST" if body else "GET"
            channel.send(OutgoingRequest(method, "/", (("Host", "h"),), body or b""))
            await channel.read_head()
            return await channel.read_body(2**20)
    except ChannelError:
        return None
    finally:
        channel.close()


both = pytest.mark.parametrize("send", [send_by_client, send_by_channel], ids=["client", "channel"])
Send = Callable[[Address, bytes | None], Awaitable[bytes | None]]


# fault: bytes that a server sent on an idle connection were taken for the response to the next
# request
@pytest.mark.holds_answers
async def test_bytes_on_an_idle_connection_answer_no_request() -> None:
    sent = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"ok")
            if not sent.is_set():
                await asyncio.sleep(WAIT_S)
                writer.write(HEAD + b"XX")
                sent.set()

    async with run_server(serve) as address:
        client = HttpClient(f"http://{address}", TIMEOUT_S)
        responses: list[HttpResponse] = []
        try:
            responses.append(await client.send(HttpRequest("GET", "/")))
            await sent.wait()
            await asyncio.sleep(WAIT_S)
            responses.append(await client.send(HttpRequest("GET", "/")))
        finally:
            await client.close()
    assert [(each.status, each.body) for each in responses] == [(200, b"ok")] * 2


# fault: the encoding of a body was read from the first of two lines, or by the end of a name, so
# that a part whose connection was reset was taken for the whole body
@pytest.mark.holds_answers
@both
@pytest.mark.parametrize("encodings", [["chunked", "gzip"], ["xchunked"], ["chunked, gzip"]])
async def test_a_response_that_is_cut_in_another_encoding_is_lost(
    send: Send, encodings: list[str]
) -> None:
    lines = "".join(f"Transfer-Encoding: {each}\r\n" for each in encodings)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n2\r\nok\r\n".encode())
        await asyncio.sleep(WAIT_S)
        reset(writer)

    async with run_server(serve) as address:
        assert await send(address, None) is None


# fault: an upload that the server did not read counted as sent once the kernel had taken it over
@pytest.mark.holds_answers
@both
@pytest.mark.parametrize("size", [3_000_000], ids=str)
async def test_an_end_before_the_upload_is_received_completes_no_response(
    send: Send, size: int
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        reading: asyncio.ReadTransport = writer.transport  # type: ignore[assignment]
        reading.pause_reading()
        await asyncio.sleep(WAIT_S)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\na part")
        writer.write_eof()
        await asyncio.sleep(WAIT_S)
        reset(writer)

    async with run_server(serve) as address:
        assert await send(address, bytes(size)) is None
