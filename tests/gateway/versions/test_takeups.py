"""Streams that callers take up again resume at the software version that began them."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from basilroad.errors import ErrorKind, RefusedError
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.gateway.streams.streaming import StreamBrokenError
from basilroad.standin.appserver import AppServerStandin
from builders import RecordingResponder, build_call, build_entry, build_stream_route
from support.timelimit import await_within, limit_time

ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)
REFUSED_AT_ONCE_S = 0.5


async def take_up(gateway: Gateway, **changes: object) -> RecordingResponder:
    responder = RecordingResponder()
    values = {"id": "c2", "resumes": "c1", "resume_after": "7", **changes}
    await CallHandler(gateway).handle(build_call(ROUTE, **values), responder)
    return responder


async def begin(gateway: Gateway, version: str, **changes: object) -> None:
    assert await gateway.stream_versions.confirm(build_call(ROUTE, **changes), version)


async def start_both(start_server):
    near = await start_server("i-1", service="llm", events=20, software="v2")
    far = await start_server(
        "i-2", service="llm", events=20, software="v1", data_centre="kurzeme-a"
    )
    return near, far


async def expect_refusal(gateway: Gateway, kind: ErrorKind, **changes: object) -> str:
    began = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await take_up(gateway, **changes)
    assert time.monotonic() - began < REFUSED_AT_ONCE_S
    refusal = caught.value.refusal
    assert refusal.kind is kind
    assert refusal.answer.http_status == 503
    return refusal.message


async def test_a_stream_is_taken_up_at_the_version_that_began_it(gateway, start_server) -> None:
    # fault: the rest of a stream came from another version than its first part
    near, far = await start_both(start_server)
    await begin(gateway, "v1")
    responder = await take_up(gateway)
    assert responder.numbers == list(range(8, 21))
    assert not near.seen
    assert far.seen[0].headers["last-event-id"] == "7"


async def test_a_stream_that_is_taken_up_resumes_only_at_its_version(gateway, start_server) -> None:
    near, far = await start_both(start_server)
    last = await start_server(
        "i-3", service="llm", events=20, software="v1", data_centre="kurzeme-a"
    )
    far.reset_at_event = last.reset_at_event = 12
    await begin(gateway, "v1")
    responder = RecordingResponder()
    call = build_call(ROUTE, id="c2", resumes="c1", resume_after="7")
    # both reset it at the same event, until no retry is left
    with pytest.raises(StreamBrokenError):
        await CallHandler(gateway).handle(call, responder)
    assert responder.numbers == [8, 9, 10, 11]
    assert not near.seen


async def test_a_stream_of_unknown_version_is_not_taken_up(gateway, start_server) -> None:
    # fault: it resumed at any version
    near, far = await start_both(start_server)
    await expect_refusal(gateway, ErrorKind.VERSION_UNKNOWN)
    await expect_refusal(gateway, ErrorKind.VERSION_UNKNOWN, resumes="")
    assert not near.seen
    assert not far.seen


@pytest.mark.parametrize("leaves", ["removed", "draining", "never listed"])
async def test_a_stream_whose_version_has_left_is_refused_at_once(
    gateway, start_server, leaves
) -> None:
    # fault: it waited up to its deadline
    near, far = await start_both(start_server)
    await begin(gateway, "v0" if leaves == "never listed" else "v1")
    if leaves == "removed":
        gateway.directory.remove("i-2")
    elif leaves == "draining":
        entry = gateway.directory.get("i-2").entry
        gateway.directory.put(attrs.evolve(entry, state=EndpointState.DRAINING))
    await expect_refusal(gateway, ErrorKind.VERSION_GONE)
    assert not near.seen
    assert not far.seen


async def test_a_stream_waits_for_its_version_while_it_has_no_room(gateway, start_server) -> None:
    near, far = await start_both(start_server)
    await begin(gateway, "v1")
    call = build_call(ROUTE)
    taken = []
    while (found := await gateway.dispatcher.place(call, 0.0, version="v1")) is not None:
        taken.append(found)
    responder = RecordingResponder()
    short = build_stream_route(prefix="/s/", timeout_s=9.0, latency_target_s=0.6)
    refused = build_call(short, id="c2", resumes="c1", resume_after="7")
    with pytest.raises(RefusedError) as caught:
        await CallHandler(gateway).handle(refused, responder)
    assert caught.value.refusal.kind is ErrorKind.NO_ENDPOINT
    for reservation in taken:
        gateway.dispatcher.release(reservation)
    assert (await take_up(gateway)).numbers == list(range(8, 21))
    assert not near.seen
    assert len(far.seen) == 1


async def test_the_stream_of_another_workspace_is_as_unknown_as_one_that_never_was(
    gateway, start_server
) -> None:
    # fault: the refusal revealed which ids another workspace had used
    await start_both(start_server)
    await begin(gateway, "v1", workspace="other")
    known = await expect_refusal(gateway, ErrorKind.VERSION_UNKNOWN)
    unknown = await expect_refusal(gateway, ErrorKind.VERSION_UNKNOWN, resumes="never")
    assert known == unknown


async def test_a_stream_of_unknown_version_is_taken_up_while_one_version_serves_alone(
    gateway, start_server
) -> None:
    await start_server("i-1", service="llm", events=20)
    assert (await take_up(gateway, resumes="")).numbers == list(range(8, 21))


async def test_a_new_stream_names_no_other(gateway, start_server) -> None:
    near, _ = await start_both(start_server)
    responder = await take_up(gateway, resume_after="")
    assert responder.numbers == list(range(1, 21))
    assert near.seen


async def test_the_log_names_the_version_at_which_an_attempt_ran(
    gateway, start_server, caplog
) -> None:
    await start_both(start_server)
    await begin(gateway, "v1")
    with caplog.at_level("INFO", logger="basilroad"):
        await take_up(gateway)
    versions = [r.version for r in caplog.records if r.message == "attempt"]
    assert versions == ["v1"]


async def restart(gateway: Gateway, stopped: list[AppServerStandin]) -> list[AppServerStandin]:
    """:return: sound servers under the ids of stopped ones, which are listed."""
    servers = []
    for previous in stopped:
        server = AppServerStandin(previous.id, events=20)
        await server.start()
        servers.append(server)
        options = {"service": "llm", "data_centre": "kurzeme-a", "slots": 48, "version": "v1"}
        entry = build_entry(server.id, port=server.port, started_ms=server.born, **options)
        gateway.directory.put(entry)
    return servers


# a take-up waits for 2.5 s at most with this target, like a new stream
@pytest.mark.parametrize(("begun", "outage_s"), [("elsewhere", 1.5), ("here", 2.5)])
async def test_a_stream_outlives_a_short_outage_of_its_version(
    gateway, start_server, begun, outage_s
) -> None:
    # fault: it ended within a second, after a few connections that its endpoints refused
    near, far = await start_both(start_server)
    options = {"service": "llm", "events": 20, "data_centre": "kurzeme-a"}
    last = await start_server("i-3", **options)
    responder, changes = RecordingResponder(), {"id": "c2", "resumes": "c1", "resume_after": "7"}
    if begun == "here":
        gateway.directory.get("i-1").full_until = float("inf")
        far.event_interval_s = last.event_interval_s = 0.03
        changes = {"id": "c1"}
    else:
        await begin(gateway, "v1")
        await far.stop()
        await last.stop()
    call = build_call(ROUTE, **changes)
    task = asyncio.ensure_future(CallHandler(gateway).handle(call, responder))
    if begun == "here":
        async with limit_time(5):
            while not responder.numbers:
                await asyncio.sleep(0.005)
        gateway.directory.get("i-1").full_until = 0.0
        await far.stop()
        await last.stop()
    await asyncio.sleep(outage_s)
    assert not task.done()
    servers = await restart(gateway, [far, last])
    await await_within(task, 4)
    assert responder.numbers == list(range(1 if begun == "here" else 8, 21))
    assert not near.seen
    for server in servers:
        await server.stop()
