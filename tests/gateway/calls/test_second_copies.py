"""A server that sends a second copy of a response, late, on a connection that is in use again."""

from __future__ import annotations

import pytest

from basilroad.errors import Effect, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.route import RetrySafety
from basilroad.http import channels
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


# a late copy of a rejection was taken for the answer to a later attempt, and the order ran twice
@pytest.mark.holds_once
@pytest.mark.parametrize("servers", [1, 2])
async def test_a_copy_of_a_rejection_is_not_the_answer_to_a_later_attempt(
    gateway, start_server, servers: int
) -> None:
    started = [await start_server(f"i-{number}") for number in range(servers)]
    for server in started:
        server.schedule_faults([WireFault.TURN_AWAY_COPY])
    route = build_route(
        retry_safety=RetrySafety.FORBIDDEN, attempts_limit=1, timeout_s=3.0, latency_target_s=0.9
    )
    reply = await run(gateway, route, id="c1")
    assert reply.status == 200
    assert [ran for server in started for ran in server.ran] == ["c1"]


async def test_a_connection_is_closed_after_many_requests(
    gateway, start_server, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(channels, "MAX_REQUESTS", 3)
    server = await start_server("i-1")
    for number in range(7):
        await run(gateway, id=f"c{number}")
    assert server.connections == 3


@pytest.mark.parametrize("fault", [WireFault.OTHER_ID, WireFault.LOSE_ANSWER])
async def test_a_response_with_a_foreign_id_is_not_waited_out(gateway, start_server, fault) -> None:
    server = await start_server("i-1")
    server.schedule_faults([WireFault.LATE_COPY, fault])
    await run(gateway, id="c1")
    with pytest.raises(RefusedError) as caught:
        await run(gateway, id="c2")
    assert caught.value.refusal.answer.effect is Effect.MAY_HAVE_RUN
    assert server.ran == ["c1", "c2"]
