"""Responses that are cut or invalid, at the clients of plain services and engines."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.endpoints.engine import (
    EngineConnectionError,
    EngineFinish,
    EngineRefusedError,
    EngineToken,
    GenerateRequest,
    HttpEngine,
)
from basilroad.endpoints.plainservice import (
    CallAnswered,
    CallMayHaveRun,
    HttpPlainService,
    PlainCall,
)
from support.rawserver import PART, WAIT_S, Exchange, answer, end, hold, reset, run_server

UPLOAD = bytes(1000)
LENGTH = b"Content-Length: 6\r\n"

LOST = {
    "reset": Exchange(answer(), reset, UPLOAD, reads_upload=True),
    "reset beside an upload": Exchange(answer(), reset, UPLOAD),
    "failure and reset": Exchange(answer("500"), reset, UPLOAD, reads_upload=True),
    "status 000": Exchange(answer("000", LENGTH), hold, UPLOAD, reads_upload=True),
    "status 099": Exchange(answer("099", LENGTH), hold, UPLOAD, reads_upload=True),
    "status 999": Exchange(answer("999", LENGTH), hold, UPLOAD, reads_upload=True),
}

TOKEN = b'data: {"offset":0,"token":"elm"}\n\n'
FINISH = b'data: {"finish":"stop","prompt_tokens":1,"completion_tokens":1,"cached_tokens":0}\n\n'
CHUNKED = b"Transfer-Encoding: chunked\r\n"


# fault: a part of a service's response, or one without a valid status, was its answer to a call
@pytest.mark.holds_answers
@pytest.mark.holds_not_run
@pytest.mark.parametrize("exchange", LOST.values(), ids=LOST.keys())
async def test_a_call_with_a_cut_or_invalid_response_may_have_run(exchange: Exchange) -> None:
    async with run_server(exchange) as address:
        service = HttpPlainService(f"http://{address}")
        outcome = await service.call(PlainCall("POST", "/orders", body=UPLOAD))
        await service.close()
    assert isinstance(outcome, CallMayHaveRun)


async def test_a_call_with_a_whole_response_without_a_length_is_answered() -> None:
    async with run_server(Exchange(answer(), end, UPLOAD, reads_upload=True)) as address:
        service = HttpPlainService(f"http://{address}")
        outcome = await service.call(PlainCall("POST", "/orders", body=UPLOAD))
        await service.close()
    assert outcome == CallAnswered(200, (), PART)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def generate(response: bytes) -> list[EngineToken | EngineFinish]:
    async with run_server(Exchange(response, reset)) as address:
        engine = HttpEngine(f"http://{address}")
        request = GenerateRequest("r", "oak", "m", max_tokens=1)
        try:
            return [message async for message in engine.generate(request)]
        finally:
            await engine.close()


@pytest.mark.holds_tokens
@pytest.mark.parametrize(
    "response",
    [answer(body=TOKEN), answer(headers=CHUNKED, body=chunk(TOKEN))],
    ids=["no length", "chunks"],
)
async def test_a_stream_that_is_reset_before_its_finish_event_is_lost(response: bytes) -> None:
    with pytest.raises(EngineConnectionError):
        await generate(response)


@pytest.mark.holds_tokens
@pytest.mark.parametrize(
    "response",
    [
        answer(body=TOKEN + FINISH),
        answer(headers=CHUNKED, body=chunk(TOKEN) + chunk(FINISH)),
    ],
    ids=["no length", "chunks"],
)
async def test_a_stream_that_is_reset_after_its_finish_event_is_whole(response: bytes) -> None:
    token, finish = await generate(response)
    assert isinstance(token, EngineToken)
    assert isinstance(finish, EngineFinish)


# fault: events that had arrived but were not read yet were dropped when a reset followed
@pytest.mark.holds_tokens
async def test_what_arrived_before_a_reset_is_read_late() -> None:
    first, second = chunk(TOKEN), chunk(TOKEN) + chunk(FINISH)

    async def send_rest(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(second)
        await asyncio.sleep(WAIT_S)
        await reset(reader, writer)

    async with run_server(Exchange(answer(headers=CHUNKED, body=first), send_rest)) as address:
        engine = HttpEngine(f"http://{address}")
        stream = engine.generate(GenerateRequest("r", "oak", "m", max_tokens=2))
        messages = [await anext(stream)]
        await asyncio.sleep(3 * WAIT_S)
        messages += [message async for message in stream]
        await engine.close()
    assert len(messages) == 3


# fault: a part of an engine's refusal was taken for the whole one
async def test_a_refusal_that_is_cut_is_lost() -> None:
    with pytest.raises(EngineConnectionError):
        await generate(answer("409"))


async def test_a_whole_refusal_is_told() -> None:
    with pytest.raises(EngineRefusedError):
        await generate(answer("409", LENGTH))


# fault: a part of an engine's report was taken for the whole one
async def test_a_report_that_is_cut_is_lost() -> None:
    async with run_server(Exchange(answer(), reset)) as address:
        engine = HttpEngine(f"http://{address}")
        with pytest.raises(EngineConnectionError):
            await engine.read_load()
        await engine.close()
