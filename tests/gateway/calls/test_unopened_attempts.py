"""An attempt that can't be opened has not run: the call goes to another endpoint or is refused."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.errors import RefusedError
from basilroad.gateway.calls.handler import CallHandler
from builders import RecordingResponder, build_call, build_entry, build_route

ERRORS = [OverflowError("port"), UnicodeError("label"), ValueError("null byte"), OSError("no way")]


# an address that accepts no connection made the gateway answer 500 beside sound servers
@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
async def test_a_connection_that_fails_with_any_error_leads_to_another_endpoint(
    gateway, start_server, monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    gateway.directory.put(build_entry("i-1", port=1))
    await start_server("i-2")
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def fail_for_first(factory, host, port, **options):
        if port == 1:
            raise error
        return await connect(factory, host, port, **options)

    monkeypatch.setattr(loop, "create_connection", fail_for_first)
    reply = await CallHandler(gateway).handle(build_call(build_route()), RecordingResponder())
    assert reply is not None
    assert reply.status == 200


# no endpoint can be sent such a request, so that it is refused at once and ran nowhere
async def test_a_request_that_is_no_valid_http_is_refused(gateway, start_server) -> None:
    await start_server("i-1")
    headers = (("Host", "h.example"), ("X-Attempt-Id", "c1"), ("X-Note", "a\nb"))
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(build_call(headers=headers), RecordingResponder())
    assert caught.value.refusal.answer.http_status == 400
