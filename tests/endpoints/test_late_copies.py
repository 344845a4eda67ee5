"""Endpoints that send a response a second time, late, on a connection that they keep open."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from basilroad.endpoints.engine import HttpEngine
from basilroad.endpoints.plainservice import CallAnswered, HttpPlainService, PlainCall

LATE_S = 0.05

LOAD = (
    b'{"running":%d,"waiting":0,"slots":1,"decoded_tokens":0,"prefilled_tokens":0,'
    b'"cached_tokens":0}'
)


class CopyingServer:
    """Numbers its responses and repeats each one."""

    def __init__(self) -> None:
        self.requests = 0
        self.url = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                body = LOAD % self.requests
                response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                writer.write(response)
                await asyncio.sleep(LATE_S)
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
async def server() -> AsyncIterator[CopyingServer]:
    copying = CopyingServer()
    listener = await asyncio.start_server(copying.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    copying.url = f"http://{host}:{port}"
    yield copying
    listener.close()


# a caller got the answer to the call before its own
@pytest.mark.holds_answers
@pytest.mark.parametrize("idempotent", [True, False])
async def test_a_late_copy_is_not_the_answer_to_the_next_call(
    server: CopyingServer, idempotent: bool
) -> None:
    service = HttpPlainService(server.url)
    for number in range(1, 4):
        outcome = await service.call(PlainCall("GET", "/", idempotent=idempotent))
        assert isinstance(outcome, CallAnswered)
        assert outcome.body.startswith(b'{"running":%d,' % number)
        await asyncio.sleep(2 * LATE_S)
    await service.close()


# an agent took an old report of its engine for the newest one
async def test_a_late_copy_is_not_the_next_report_of_an_engine(server: CopyingServer) -> None:
    engine = HttpEngine(server.url)
    for number in range(1, 4):
        assert (await engine.read_load()).running == number
        await asyncio.sleep(2 * LATE_S)
    await engine.close()
