"""Responses of the store whose status says nothing about a transaction."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.platform.store import ResponseLostError, StoreClient, Transaction


# fault: a transaction whose response had an invalid status counted as not applied
@pytest.mark.parametrize("status", ["000", "099"])
async def test_an_invalid_status_leaves_the_outcome_of_a_transaction_open(status: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = StoreClient(f"http://127.0.0.1:{port}")
    async with server:
        with pytest.raises(ResponseLostError):
            await client.transact(Transaction("", "t", writes={"k": b"v"}))
    await client.close()
