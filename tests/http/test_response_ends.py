"""Check at both HTTP clients which responses count as whole, by how they end and by status."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from basilroad.http.channelpool import ChannelPool
from basilroad.http.client import HttpClient, HttpRequest, ResponseLostError
from basilroad.http.messages import ChannelError, OutgoingRequest
from basilroad.peers.address import Address
from support.rawserver import (
    HOLD_S,
    PART,
    WAIT_S,
    Exchange,
    answer,
    end,
    end_then_hold,
    end_then_read_on,
    end_then_reset,
    hold,
    reset,
    run_server,
)

TIMEOUT_S = HOLD_S
LONG_UPLOAD = bytes(32 * 2**20)
SHORT_UPLOAD = bytes(1000)


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


# fault: a part of a response was taken for the whole one when the connection was closed here
@pytest.mark.holds_answers
async def test_a_response_that_the_closing_of_a_channel_cuts_is_lost() -> None:
    exchange = Exchange(answer(), end_then_hold, LONG_UPLOAD)
    async with run_server(exchange) as address:
        channel = await ChannelPool(address).open()
        channel.send(OutgoingRequest("POST", "/", (("Host", "h"),), LONG_UPLOAD))
        await channel.read_head()
        reading = asyncio.create_task(channel.read_body(2**20))
        await asyncio.sleep(3 * WAIT_S)
        assert not reading.done()
        channel.close()
        with pytest.raises(ChannelError):
            await reading
