"""Streams that callers take up again, from the socket to the server and back."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest

from basilroad.platform.protocol import MAX_REQUEST_ID_CHARS
from basilroad.standin.appserver import AppServerStandin
from support.gatewayrig import GatewayRig, build_config
from support.timelimit import limit_time

ENTRY = {"service": "llm", "zone": "a", "slots": 48, "state": "ready"}


def list_server(rig: GatewayRig, server: AppServerStandin, version: str, slots: int = 48) -> None:
    address = f"127.0.0.1:{server.port}"
    fields = {"address": address, "version": version, "slots": slots, "born": server.born}
    entry = {**ENTRY, **fields}
    rig.store.put("servers", server.id, entry)


@pytest.fixture
async def rig() -> AsyncIterator[GatewayRig]:
    """:return: a gateway with one server of each of two versions; the first has more room."""
    rig = GatewayRig()
    await rig.start()
    second = AppServerStandin("i-second", events=10)
    await second.start()
    list_server(rig, rig.llm, "v1", 24)
    list_server(rig, second, "v2")
    rig.second = second
    await rig.configure(1, "key")
    async with limit_time(3):
        while len({e.entry.version for e in list_engines(rig)}) < 2:
            await asyncio.sleep(0.01)
    yield rig
    await rig.stop()
    await second.stop()


def list_engines(rig: GatewayRig) -> list:
    return rig.service.gateway.directory.list_by_service("llm")


@pytest.mark.parametrize("beginner", ["i-llm", "i-second"])
async def test_a_caller_takes_its_stream_up_by_the_id_of_its_first_request(
    rig: GatewayRig, beginner: str
) -> None:
    # fault: the rest of a stream came from another version than its first part
    servers = {"i-llm": rig.llm, "i-second": rig.second}
    other = next(server for name, server in servers.items() if name != beginner)
    rig.service.gateway.directory.get(other.id).full_until = float("inf")
    begun = await rig.send_request("/s/1", X_Attempt_Id="first")
    assert begun.status == 200
    rig.service.gateway.directory.get(other.id).full_until = 0.0
    for number in range(4):
        response = await rig.send_request(
            "/s/1", X_Attempt_Id=f"again-{number}", Resumes="first", Last_Event_Id="6"
        )
        assert response.status == 200
        assert b"id: 7" in await response.read()
    assert not other.seen
    assert servers[beginner].ran == ["first", *(f"again-{number}" for number in range(4))]


async def test_a_stream_of_unknown_version_is_refused_as_not_run(rig: GatewayRig) -> None:
    for named in ({"Resumes": "never"}, {}):
        response = await rig.send_request("/s/1", Last_Event_Id="6", **named)
        assert response.status == 503
        assert response.headers["Retry-After"] == "1"
        body = msgspec.json.decode(await response.read())
        assert body["error"]["kind"] == "version_unknown"
    assert not rig.llm.seen
    assert not rig.second.seen
    metrics = rig.service.gateway.render_metrics().decode()
    assert 'basilroad_refusals_total{kind="version_unknown"} 2.0' in metrics


@pytest.mark.parametrize("value", ["x" * (MAX_REQUEST_ID_CHARS + 1), "caf\u00e9", "a\tb"])
async def test_a_malformed_name_of_a_stream_is_refused(rig: GatewayRig, value: str) -> None:
    response = await rig.send_request("/s/1", Last_Event_Id="6", Resumes=value)
    assert response.status == 400
    assert not rig.llm.seen
    assert not rig.second.seen


async def test_a_name_without_received_events_is_ignored(rig: GatewayRig) -> None:
    for value in ("never", "x" * (MAX_REQUEST_ID_CHARS + 1)):
        response = await rig.send_request("/s/1", Resumes=value)
        assert response.status == 200


async def test_a_stream_on_a_split_route_is_taken_up_at_the_same_service(rig: GatewayRig) -> None:
    # fault: a stream was taken up at another service, where nothing was known of it
    third = AppServerStandin("i-third", events=10)
    await third.start()
    entry = {**ENTRY, "service": "llm-two", "version": "v1"}
    rig.store.put(
        "servers", third.id, {**entry, "address": f"127.0.0.1:{third.port}", "born": third.born}
    )
    config = build_config(2, "key")
    route = config["routes"][1]
    del route["service"]
    route["trafficSplit"] = [{"service": s, "weight": 1} for s in ("llm", "llm-two")]
    config["services"].append({**config["services"][1], "name": "llm-two"})
    rig.store.put("op", "config", config)
    async with limit_time(3):
        while rig.version != 2 or not rig.service.gateway.directory.list_by_service("llm-two"):
            await asyncio.sleep(0.01)
    for number in range(12):
        begun = await rig.send_request("/s/1", X_Attempt_Id=f"first-{number}")
        assert begun.status == 200
        response = await rig.send_request(
            "/s/1", X_Attempt_Id=f"again-{number}", Resumes=f"first-{number}", Last_Event_Id="6"
        )
        assert response.status == 200
    for server in (rig.llm, rig.second, third):
        begun_here = {run[6:] for run in server.ran if run.startswith("first")}
        taken_up = {run[6:] for run in server.ran if run.startswith("again")}
        assert taken_up == begun_here
    assert 0 < len(third.ran) < 24
    await third.stop()
