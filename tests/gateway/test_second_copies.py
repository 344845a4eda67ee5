"""A server that sends a second copy of a response, late, on a connection that is in use again."""

from __future__ import annotations

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.handler import CallHandler
from basilroad.gateway.route import RetrySafety
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_route

ONCE = build_route(retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1, timeout_s=2.0)


async def run(gateway, route=ONCE, **changes: object):
    return await CallHandler(gateway).handle(build_call(route, **changes), RecordingResponder())


async def test_the_next_call_gets_its_own_response(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.LATE_COPY])
    assert (await run(gateway, id="c1")).body == b"answer of i-1 to c1"
    assert (await run(gateway, id="c2")).body == b"answer of i-1 to c2"
    assert server.ran == ["c1", "c2"]
    assert server.connections == 1


async def test_copies_of_several_responses_are_skipped(gateway, start_server) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.LATE_COPY] * 3)
    for number in range(4):
        assert (await run(gateway, id=f"c{number}")).body == f"answer of i-1 to c{number}".encode()
    assert server.connections == 1


@pytest.mark.parametrize("fault", [WireFault.OTHER_ID, WireFault.LOSE_ANSWER])
async def test_a_response_with_a_foreign_id_is_not_waited_out(gateway, start_server, fault) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.LATE_COPY, fault])
    await run(gateway, id="c1")
    with pytest.raises(RefusedError) as caught:
        await run(gateway, id="c2")
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert server.ran == ["c1", "c2"]
