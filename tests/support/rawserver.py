"""Server that gives one answer, byte for byte, and ends the connection as a test tells."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs

from basilroad.peers.address import Address

HOLD_S = 20.0
"""Time for which a server holds a connection open."""

PART = b"a part"
WAIT_S = 0.2
"""Time in which the client takes over bytes that were sent on loopback."""

Ending = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def end(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """End the connection in order."""
    writer.close()
    await writer.wait_closed()


async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def end_then_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """End the sending half in order, then reset the connection."""
    writer.write_eof()
    await asyncio.sleep(WAIT_S)
    await reset(reader, writer)


async def end_then_read_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """End the sending half in order, and the connection after the whole request."""
    writer.write_eof()
    while await reader.read(2**20):
        pass
    writer.close()


async def end_then_hold(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """End the sending half in order, and read nothing more."""
    writer.write_eof()
    await asyncio.sleep(HOLD_S)


async def hold(_: asyncio.StreamReader, __: asyncio.StreamWriter) -> None:
    """Leave the connection open."""
    await asyncio.sleep(HOLD_S)


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
        """Answer the request of a connection."""
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
        """End all connections."""
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
    """Run a server.

    :param exchange: what it answers
    :return: context manager that yields its address
    """
    answering = AnsweringServer(exchange)
    server = await asyncio.start_server(answering.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield Address(host, port)
        await answering.close()


def answer(status: str = "200", headers: bytes = b"", body: bytes = PART) -> bytes:
    """:return: bytes of a response."""
    return b"HTTP/1.1 %s Any\r\n%s\r\n%s" % (status.encode(), headers, body)


__all__ = [
    "HOLD_S",
    "PART",
    "WAIT_S",
    "Exchange",
    "answer",
    "end",
    "end_then_hold",
    "end_then_read_on",
    "end_then_reset",
    "hold",
    "reset",
    "run_server",
]
