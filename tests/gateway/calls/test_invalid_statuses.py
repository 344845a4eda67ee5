"""Servers whose responses have a status that HTTP does not define."""

from __future__ import annotations

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.route import RetrySafety
from builders import RecordingResponder, build_call, build_entry, build_route
from support.rawserver import Exchange, answer, hold, run_server

ONCE = build_route(retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1)
HEADERS = b"Content-Length: 6\r\nX-Attempt-Id: c1\r\nX-Response-Seal: seal\r\n"


@pytest.mark.holds_answers
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_a_call_with_an_invalid_status_may_have_run(gateway, status: str) -> None:
    async with run_server(Exchange(answer(status, HEADERS), hold)) as address:
        gateway.directory.put(build_entry("i-1", port=address.port))
        with pytest.raises(RefusedError) as caught:
            await CallHandler(gateway).handle(build_call(ONCE, id="c1"), RecordingResponder())
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert caught.value.refusal.answer.http_status == 502


@pytest.mark.holds_answers
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_a_repeatable_call_with_an_invalid_status_runs_elsewhere(
    gateway, start_server, status: str
) -> None:
    async with run_server(Exchange(answer(status, HEADERS), hold)) as address:
        gateway.directory.put(build_entry("i-1", port=address.port))
        await start_server("i-2", data_centre="riga-b")
        reply = await CallHandler(gateway).handle(build_call(id="c1"), RecordingResponder())
    assert reply is not None
    assert reply.body == b"answer of i-2 to c1"
