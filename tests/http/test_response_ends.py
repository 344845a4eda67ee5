"""Check at both HTTP clients which responses count as whole, by how they end and by status."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import pytest

from basilroad.endpoints.channelpool import ChannelPool
from basilroad.endpoints.channels import ChannelError, OutgoingRequest
from basilroad.http.client import HttpClient, HttpRequest, ResponseLostError
from basilroad.peers.address import Address

TIMEOUT_S = 20.0
LONG_UPLOAD = bytes(32 * 2**20)
SHORT_UPLOAD = bytes(1000)
PART = b"a part"
WAIT_S = 0.2
"""Time in which the client takes over bytes that were sent on loopback."""

Ending = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def end(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()


async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def end_then_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write_eof()
    await asyncio.sleep(WAIT_S)
    await reset(reader, writer)


async def end_then_read_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write_eof()
    while await reader.read(2**20):
        pass
    writer.close()


async def hold(_: asyncio.StreamReader, __: asyncio.StreamWriter) -> None:
    await asyncio.sleep(TIMEOUT_S)


@attrs.frozen
class Exchange:
    """A request, and how the server answers it.

    :param answer: bytes of the response
    :param ending: how the server ends the connection
    :param upload: body of the request; empty for a GET
    :param reads_upload: whether the server reads the whole request before it answers
    """

    answer: bytes
    ending: Ending
    upload: bytes = b""
    reads_upload: bool = False


class AnsweringServer:
    """Gives each request the same answer.

    :param exchange: the answer, and how the connection ends
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._answer(reader, writer)
        except ConnectionError:
            return  # the client may have closed the connection of a response that it rejects
        finally:
            writer.transport.abort()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = self._exchange
        await reader.readuntil(b"\r\n\r\n")
        if exchange.reads_upload:
            await reader.readexactly(len(exchange.upload))
        writer.write(exchange.answer)
        await writer.drain()
        await asyncio.sleep(WAIT_S)
        await exchange.ending(reader, writer)


@asynccontextmanager
async def run_server(exchange: Exchange) -> AsyncIterator[Address]:
    answering = AnsweringServer(exchange)
    server = await asyncio.start_server(answering.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield Address(host, port)
        await answering.close()


async def send_by_client(address: Address, exchange: Exchange) -> tuple[int, bytes] | None:
    client = HttpClient(f"http://{address}", TIMEOUT_S)
    method = "POST" if exchange.upload else "GET"
    try:
        response = await client.send(HttpRequest(method, "/", body=exchange.upload or None))
    except ResponseLostError:
        return None
    finally:
        await client.close()
    return response.status, response.body


async def send_by_channel(address: Address, exchange: Exchange) -> tuple[int, bytes] | None:
    channel = await ChannelPool(address).open()
    method = "POST" if exchange.upload else "GET"
    try:
        async with asyncio.timeout(TIMEOUT_S):
            channel.send(OutgoingRequest(method, "/", (("Host", "h"),), exchange.upload))
            head = await channel.read_head()
            return head.status, await channel.read_body(2**20)
    except ChannelError:
        return None
    finally:
        channel.close()


def answer(status: str = "200", headers: bytes = b"", body: bytes = PART) -> bytes:
    return b"HTTP/1.1 %s Any\r\n%s\r\n%s" % (status.encode(), headers, body)


CUT_LENGTH = answer(headers=b"Content-Length: 100\r\n")
CUT_CHUNKS = answer(headers=b"Transfer-Encoding: chunked\r\n", body=b"6\r\na part\r\n")
LENGTH = b"Content-Length: 6\r\n"
WHOLE_CHUNKS = CUT_CHUNKS + b"0\r\n\r\n"
OLD = b"HTTP/1.0 200 OK\r\n\r\n" + PART

CUT = {
    "reset beside an upload": Exchange(answer(), reset, LONG_UPLOAD),
    "reset before a short upload is read": Exchange(answer(), reset, SHORT_UPLOAD),
    "reset after an upload": Exchange(answer(), reset, SHORT_UPLOAD, reads_upload=True),
    "reset with HTTP/1.0": Exchange(OLD, reset),
    "reset without an upload": Exchange(answer(), reset),
    "reset without a body": Exchange(answer(body=b""), reset),
    "reset with status 500": Exchange(answer("500"), reset),
    "end, then reset beside an upload": Exchange(answer(), end_then_reset, LONG_UPLOAD),
    "length cut by an end": Exchange(CUT_LENGTH, end),
    "length cut by a reset": Exchange(CUT_LENGTH, reset),
    "chunks cut by an end": Exchange(CUT_CHUNKS, end),
    "chunks cut by a reset": Exchange(CUT_CHUNKS, reset),
}

INVALID = {
    "000 with a length": Exchange(answer("000", LENGTH), hold),
    "000 without a length": Exchange(answer("000"), end),
    "099": Exchange(answer("099", LENGTH), hold),
    "600": Exchange(answer("600", LENGTH), hold),
    "999": Exchange(answer("999", LENGTH), hold),
}

WHOLE = {
    "no length, end": Exchange(answer(), end),
    "no length, end after an upload": Exchange(answer(), end, SHORT_UPLOAD, reads_upload=True),
    "no length, end, upload read on": Exchange(answer(), end_then_read_on, LONG_UPLOAD),
    "length": Exchange(answer(headers=LENGTH), hold),
    "length beside an upload": Exchange(answer(headers=LENGTH), hold, LONG_UPLOAD),
    "length beside an upload, end and reset": Exchange(
        answer(headers=LENGTH), end_then_reset, LONG_UPLOAD
    ),
    "chunks beside an upload": Exchange(WHOLE_CHUNKS, hold, LONG_UPLOAD),
    "chunks beside an upload, reset": Exchange(WHOLE_CHUNKS, reset, LONG_UPLOAD),
}

both = pytest.mark.parametrize("send", [send_by_client, send_by_channel], ids=["client", "channel"])
Send = Callable[[Address, Exchange], Awaitable[tuple[int, bytes] | None]]


# fault: a part of a response whose connection was reset was taken for the whole response
@pytest.mark.holds_answers
@both
@pytest.mark.parametrize("exchange", CUT.values(), ids=CUT.keys())
async def test_a_response_that_is_cut_is_lost(send: Send, exchange: Exchange) -> None:
    async with run_server(exchange) as address:
        assert await send(address, exchange) is None


# fault: a response without a valid status was taken for one of the server
@pytest.mark.holds_answers
@both
@pytest.mark.parametrize("exchange", INVALID.values(), ids=INVALID.keys())
async def test_a_response_with_an_invalid_status_is_lost(send: Send, exchange: Exchange) -> None:
    async with run_server(exchange) as address:
        assert await send(address, exchange) is None


@both
@pytest.mark.parametrize("exchange", WHOLE.values(), ids=WHOLE.keys())
async def test_a_whole_response_counts(send: Send, exchange: Exchange) -> None:
    async with run_server(exchange) as address:
        assert await send(address, exchange) == (200, PART)


@both
async def test_the_last_status_of_server_errors_counts(send: Send) -> None:
    exchange = Exchange(answer("599", LENGTH), hold)
    async with run_server(exchange) as address:
        assert await send(address, exchange) == (599, PART)


# fault: a part of a response was taken for the whole one when the client itself was closed
@pytest.mark.holds_answers
async def test_a_response_that_the_closing_of_the_client_cuts_is_lost() -> None:
    exchange = Exchange(answer(), hold)
    async with run_server(exchange) as address:
        client = HttpClient(f"http://{address}", TIMEOUT_S)
        sending = asyncio.create_task(client.send(HttpRequest("GET", "/")))
        await asyncio.sleep(2 * WAIT_S)
        await client.close()
        with pytest.raises(ResponseLostError):
            await sending
