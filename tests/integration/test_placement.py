"""Check model placement with real processes under failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from grpclib.client import Channel

from basilroad.agent.fencing import PLANNER_LEASE
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub
from basilroad.standin.tokens import expect_tokens
from support.background import Background
from support.callers import StreamedAnswer, stream_completion
from support.fleet import Endpoint, Fleet, Process
from support.timelimit import TimeLimit

MODEL = "spec-llm"
SEED = 7
WAIT_S = 60.0
LOAD_S = 0.3


def wait_until(condition: Callable[[], Any], what: str, fleet: Fleet) -> Any:
    return TimeLimit(WAIT_S, fleet.list_pids).wait_until(condition, what)


def read_loaded(endpoint: Endpoint) -> str:
    health = endpoint.backend.ask("GET", "/health")
    return f"{health['model']}@{health['version']}" if health["state"] == "ready" else ""


def count_loaded(fleet: Fleet, loaded: str) -> int:
    live = [e for e in fleet.endpoints if e.backend.running]
    return sum(read_loaded(endpoint) == loaded for endpoint in live)


def wait_loaded(fleet: Fleet, loaded: str, count: int) -> None:
    wait_until(lambda: count_loaded(fleet, loaded) >= count, f"{count} of {loaded}", fleet)


def put_model(fleet: Fleet, least: int, most: int = 0, *versions: str) -> None:
    bounds = {"riga": {"min": least, "max": most}}
    document = {"versions": versions or ("1",), "replicas": bounds}
    fleet.put_setting(f"models/{MODEL}", document)


def read_lease(fleet: Fleet) -> dict[str, Any]:
    assert fleet.platform is not None
    row = fleet.platform.ask("POST", "/table/read", {"key": PLANNER_LEASE})["row"]
    return msgspec.json.decode(row["value"]) if row else {"holder": "", "fence": 0}


def find_planner(fleet: Fleet, *, but: str = "") -> Process:
    def find() -> Process | None:
        holder = read_lease(fleet)["holder"].partition("/")[0]
        return fleet.processes[holder] if holder and holder != but else None

    planner: Process = wait_until(find, "no entry holds the planner lease", fleet)
    return planner


def count_commands(process: Process) -> int:
    lines = process.logs.read_text().splitlines()
    return sum('"place"' in line and "basilroad.placement" in line for line in lines)


def add_engines(fleet: Fleet, count: int, **settings: Any) -> None:
    for number in range(count):
        place = ("riga", ("riga-a", "riga-b")[number % 2])
        options = {"model_load_s": LOAD_S, "token_interval_s": 0.01, **settings}
        if not options.get("model", MODEL):
            options["configured_model"] = MODEL
        fleet.add_engine(f"engine-{number}", place=place, **{"model": MODEL, **options})


async def send_command(agent: Process, **fields: Any) -> wire.ModelPlaced:
    ip, _, port = agent.address.rpartition(":")
    channel = Channel(ip, int(port))
    command = wire.PlaceModel(call=1, **fields)
    try:
        async with PeerStub(channel).Converse.open() as stream:
            messages = [wire.EntryMessage(hello=wire.EntryHello(host="former"))]
            messages.append(wire.EntryMessage(place=command))
            await stream.send_message(wire.EntryFrame(messages=messages))
            async for frame in stream:
                for message in frame.messages:
                    if message.WhichOneof("body") == "placed":
                        await stream.end()
                        return message.placed
    finally:
        channel.close()
    raise AssertionError("stream ended without a response")


async def stream_while(
    fleet: Fleet, entry: str, streams: int, loaded: Callable[[], bool]
) -> dict[str, StreamedAnswer]:
    """Keep a number of streams running until a condition holds."""
    answers: dict[str, StreamedAnswer] = {}
    ended = asyncio.Event()

    async def run(stream: int) -> None:
        number = 0
        while not ended.is_set():
            prompt = f"review cask {stream} {number}"
            answers[prompt] = StreamedAnswer()
            await stream_completion(
                entry, prompt, model=MODEL, max_tokens=100, seed=SEED, answer=answers[prompt]
            )
            number += 1

    tasks = [asyncio.ensure_future(run(number)) for number in range(streams)]
    await asyncio.get_running_loop().run_in_executor(
        None, wait_until, loaded, "condition not met while streaming", fleet
    )
    ended.set()
    await asyncio.gather(*tasks)
    return answers


def check_whole(answers: dict[str, StreamedAnswer], *versions: str) -> None:
    for prompt, answer in answers.items():
        texts = {"".join(expect_tokens(MODEL, "", v, prompt, SEED, 100)) for v in versions}
        assert answer.ended, answer.error
        assert answer.text in texts, "text cut or mixed from two versions"
        assert not answer.restarts


def test_empty_engines_load_the_minimum_within_the_rate_of_the_store(fleet: Fleet) -> None:
    platform = fleet.add_platform(weight_pulls_per_s=1.0, weight_burst=1)
    add_engines(fleet, 4, model="", weights_url=platform.url)
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 4)
    wait_loaded(fleet, f"{MODEL}@1", 4)
    counters = platform.ask("GET", "/control/counters")
    assert counters["weight_pulls"] == 4
    assert counters["weight_refusals"] <= 4


@pytest.mark.holds_tokens
@pytest.mark.holds_generations
def test_a_version_rolls_under_streams_though_the_planner_is_killed(
    fleet: Fleet, background: Background
) -> None:
    fleet.add_platform()
    add_engines(fleet, 4)
    planners = [fleet.add_entry(f"entry-{number}") for number in range(3)]
    fleet.wait_ready()
    put_model(fleet, 3)
    victim = find_planner(fleet)
    entry = next(each for each in planners if each is not victim)
    rolled = background.spawn(
        stream_while(fleet, entry.url, 8, lambda: count_loaded(fleet, f"{MODEL}@2") == 4)
    )
    put_model(fleet, 3, 0, "2", "1")
    wait_loaded(fleet, f"{MODEL}@2", 1)
    victim.kill()
    wait_until(rolled.done, "the streams have not ended", fleet)
    answers = rolled.result()
    assert find_planner(fleet) is not victim
    check_whole(answers, "1", "2")


@pytest.mark.parametrize("checks_fence", [True, False])
def test_a_planner_that_slept_past_its_lease_is_refused(
    fleet: Fleet, background: Background, checks_fence: bool
) -> None:
    fleet.add_platform()
    add_engines(fleet, 2, checks_fence=checks_fence)
    for number in range(2):
        fleet.add_entry(f"entry-{number}")
    fleet.wait_ready()
    put_model(fleet, 1)
    former = find_planner(fleet)
    # the row shows the holder before the holder gets its response; suspended in between, it would
    # never plan
    former.wait_logged("this entry plans")
    old = read_lease(fleet)["fence"]
    former.freeze()
    find_planner(fleet, but=former.name)
    put_model(fleet, 1, 0, "2")
    wait_loaded(fleet, f"{MODEL}@2", 2)
    commands = count_commands(former)
    former.wake()
    former.wait_logged("this entry plans no longer")
    command = {"action": "load", "model": MODEL, "version": "1", "fence": old}
    for endpoint in fleet.endpoints:
        command["endpoint"] = endpoint.backend.name
        placed = background.run(send_command(endpoint.agent, **command))
        assert placed.kind == "stale_order"
        assert placed.fence > old
    assert count_loaded(fleet, f"{MODEL}@2") == 2
    assert count_commands(former) == commands


@pytest.mark.holds_answers
def test_what_is_loaded_continues_to_serve_while_the_table_is_away(
    fleet: Fleet, background: Background
) -> None:
    platform = fleet.add_platform(proxied=True)
    add_engines(fleet, 3)
    entry = fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 1)
    find_planner(fleet)
    # the row shows the holder before the holder gets its response, which the cut could lose
    entry.wait_logged("this entry plans")
    assert platform.proxy is not None
    platform.proxy.cut()
    put_model(fleet, 1, 0, "2", "1")
    entry.wait_logged("this entry plans no longer")
    answers = background.run(stream_while(fleet, entry.url, 4, lambda: True))
    check_whole(answers, "1")
    assert count_loaded(fleet, f"{MODEL}@1") == 3
    platform.proxy.heal()
    wait_loaded(fleet, f"{MODEL}@2", 3)


def test_a_restarted_agent_obeys_no_planner_until_it_knows_the_fence(
    fleet: Fleet, background: Background
) -> None:
    platform = fleet.add_platform(proxied=True)
    add_engines(fleet, 1)
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 1)
    find_planner(fleet)
    fence = read_lease(fleet)["fence"]
    assert platform.proxy is not None
    platform.proxy.cut()
    agent = fleet.endpoints[0].agent
    agent.restart()
    command = {"action": "unload", "endpoint": "engine-0"}
    placed = background.run(send_command(agent, fence=fence - 1, **command))
    assert placed.kind == "store_unavailable"
    platform.proxy.heal()

    def is_refused() -> bool:
        placed = background.run(send_command(agent, fence=fence - 1, **command))
        return placed.kind == "stale_order"

    wait_until(is_refused, "the agent did not read the fence", fleet)
    assert read_loaded(fleet.endpoints[0]) == f"{MODEL}@1"


@pytest.mark.parametrize("what", ["host", "engine"])
def test_what_is_lost_is_replaced_up_to_the_minimum(fleet: Fleet, what: str) -> None:
    fleet.add_platform()
    add_engines(fleet, 2)
    for name in ("spare-a", "spare-b"):
        fleet.add_engine(name, model="", configured_model=MODEL, model_load_s=LOAD_S)
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 2, 2)
    planner = find_planner(fleet)
    lost = fleet.endpoints[0]
    lost.backend.kill()
    if what == "host":
        lost.agent.kill()
    wait_loaded(fleet, f"{MODEL}@1", 2)
    assert count_commands(planner) == 1


def test_an_engine_that_came_back_empty_is_loaded_again(fleet: Fleet) -> None:
    fleet.add_platform()
    add_engines(fleet, 1, model="")
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 1)
    wait_loaded(fleet, f"{MODEL}@1", 1)
    fleet.endpoints[0].backend.restart()
    wait_loaded(fleet, f"{MODEL}@1", 1)


def test_status_shows_what_is_loaded_and_what_falls_short(fleet: Fleet) -> None:
    platform = fleet.add_platform()
    add_engines(fleet, 1)
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 2)

    def read_state(host: str) -> dict[str, Any]:
        row = platform.ask("POST", "/table/read", {"key": f"status/{host}"})["row"]
        return msgspec.json.decode(row["value"])["state"] if row else {}

    wait_until(
        lambda: f"{MODEL} in riga: no engine is free" in read_state("entry-1").get("shortages", ()),
        "no shortage is reported",
        fleet,
    )
    (load,) = wait_until(
        lambda: read_state("engine-0-agent").get("loads"), "no load is reported", fleet
    )
    assert (load["loaded"], load["state"]) == (f"{MODEL}@1", "ready")


def test_a_model_whose_placement_is_off_is_left_alone(fleet: Fleet) -> None:
    fleet.add_platform()
    fleet.put_setting(f"limits/{MODEL}", {"placement": False})
    add_engines(fleet, 2)
    fleet.add_engine("spare", model="", configured_model=MODEL, model_load_s=LOAD_S)
    fleet.add_entry("entry-1")
    fleet.wait_ready()
    put_model(fleet, 1, 1, "2")
    fleet.put_setting("models/bung", {"versions": ["1"], "replicas": {"riga": {"min": 1}}})
    wait_loaded(fleet, "bung@1", 1)
    assert count_loaded(fleet, f"{MODEL}@1") == 2
    fleet.put_setting(f"limits/{MODEL}", {"placement": True})
    wait_loaded(fleet, f"{MODEL}@2", 1)
    wait_until(lambda: count_loaded(fleet, f"{MODEL}@1") == 0, "the surplus is still loaded", fleet)
    assert count_loaded(fleet, f"{MODEL}@2") == 1
