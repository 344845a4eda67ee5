"""Check the engine stand-in over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from basilroad.standin.engine import EngineStandin
from basilroad.standin.settings import EngineStandinSettings
from basilroad.standin.tokens import expect_tokens
from basilroad.world.prefix import hash_prefixes
from support.timelimit import limit_time

MODEL_LOAD_S = 1.0
"""Duration of a load that is observed, far above the time between two requests on a busy host."""

PROMPT = " ".join(f"word{number}" for number in range(40))
Frames = list[dict[str, Any]]


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


def make_engine(**settings: Any) -> EngineStandin:
    defaults = {"name": "e1", "listen": "127.0.0.1:0", "model": "m", "token_interval_s": 0.001}
    return EngineStandin(EngineStandinSettings(**(defaults | settings)), embedded=True)


def build_request(**changes: Any) -> dict[str, Any]:
    order = {"request_id": "r", "prompt": PROMPT, "model": "m", "max_tokens": 8, "seed": 5}
    return order | changes


async def read_frames(response: aiohttp.ClientResponse) -> AsyncIterator[dict[str, Any]]:
    async for line in response.content:
        if line.startswith(b"data: "):
            yield json.loads(line[6:])


async def generate(client: aiohttp.ClientSession, engine: EngineStandin, **changes: Any) -> Frames:
    async with client.post(f"{engine.url}/generate", json=build_request(**changes)) as response:
        assert response.status == 200
        return [frame async for frame in read_frames(response)]


async def control(client: aiohttp.ClientSession, engine: EngineStandin, **faults: Any) -> None:
    async with client.post(f"{engine.url}/control", json=faults) as response:
        assert response.status == 200


async def get(client: aiohttp.ClientSession, engine: EngineStandin, path: str) -> dict[str, Any]:
    async with client.get(engine.url + path) as response:
        answer: dict[str, Any] = await response.json()
        return answer


async def order(client: aiohttp.ClientSession, engine: EngineStandin, **order: Any) -> int:
    async with client.post(f"{engine.url}/orders", json=order) as response:
        return response.status


async def wait_ready(client: aiohttp.ClientSession, engine: EngineStandin) -> dict[str, Any]:
    while (health := await get(client, engine, "/health"))["state"] != "ready":
        await asyncio.sleep(0.001)
    return health


def list_tokens(frames: Frames) -> list[str]:
    return [frame["token"] for frame in frames if "token" in frame]


async def test_tokens_match_the_expected_completion(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        frames = await generate(client, engine)
    assert list_tokens(frames) == expect_tokens("m", "", "1", PROMPT, 5, 8)
    assert [frame["offset"] for frame in frames[:-1]] == list(range(8))
    assert frames[-1] == {
        "finish": "length",
        "prompt_tokens": 40,
        "completion_tokens": 8,
        "cached_tokens": 0,
    }


async def test_resume_continues_the_completion(client: aiohttp.ClientSession) -> None:
    expected = expect_tokens("m", "", "1", PROMPT, 5, 8)
    async with make_engine() as engine:
        frames = await generate(client, engine, prior=expected[:3])
    assert list_tokens(frames) == expected[3:]
    assert frames[0]["offset"] == 3


async def test_wrong_resume_changes_all_later_tokens(client: aiohttp.ClientSession) -> None:
    expected = expect_tokens("m", "", "1", PROMPT, 5, 8)
    async with make_engine() as engine:
        wrong = list_tokens(await generate(client, engine, prior=[*expected[:2], " other"]))
    assert all(token != right for token, right in zip(wrong, expected[3:], strict=True))


async def test_unseeded_completion_is_random_only_above_zero_temperature(
    client: aiohttp.ClientSession,
) -> None:
    async with make_engine() as engine:
        cold = [await generate(client, engine, seed=None) for _ in range(2)]
        warm = [await generate(client, engine, seed=None, temperature=1.0) for _ in range(2)]
    assert list_tokens(cold[0]) == list_tokens(cold[1])
    assert list_tokens(warm[0]) != list_tokens(warm[1])


async def test_stop_string_ends_the_completion(client: aiohttp.ClientSession) -> None:
    expected = expect_tokens("m", "", "1", PROMPT, 5, 8)
    async with make_engine() as engine:
        frames = await generate(client, engine, stop=[expected[4]])
    assert list_tokens(frames) == expected[:5]
    assert frames[-1]["finish"] == "stop"


@pytest.mark.parametrize("change", [{"model": "x"}, {"adapter": "x"}, {"version": "x"}])
async def test_request_for_another_model_is_rejected(
    client: aiohttp.ClientSession, change: dict[str, str]
) -> None:
    async with (
        make_engine() as engine,
        client.post(f"{engine.url}/generate", json=build_request(**change)) as response,
    ):
        assert response.status == 409


async def test_queued_generations_start_by_priority(client: aiohttp.ClientSession) -> None:
    ended: list[int] = []

    async def run(engine: EngineStandin, priority: int) -> None:
        await generate(client, engine, priority=priority, max_tokens=2)
        ended.append(priority)

    async with make_engine(slots=1) as engine:
        await control(client, engine, deaf=True)
        tasks = []
        for number, priority in enumerate([0, 3, 1, 2]):
            tasks.append(asyncio.create_task(run(engine, priority)))
            while sum_load(await get(client, engine, "/load")) <= number:
                await asyncio.sleep(0)
        await control(client, engine, deaf=False)
        await asyncio.gather(*tasks)
    assert ended == [0, 1, 2, 3]


def sum_load(load: dict[str, Any]) -> int:
    return int(load["running"] + load["waiting"])


async def test_cancel_ends_the_stream(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        url = f"{engine.url}/generate"
        async with client.post(url, json=build_request(max_tokens=100_000)) as response:
            frames = read_frames(response)
            await anext(frames)
            await client.post(f"{engine.url}/cancel", json={"request_id": "r"})
            rest = [frame async for frame in frames]
        assert rest[-1]["finish"] == "cancelled"
        assert sum_load(await get(client, engine, "/control/counters")) == 0


async def test_closed_connection_frees_the_slot(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        url = f"{engine.url}/generate"
        async with client.post(url, json=build_request(max_tokens=100_000)) as response:
            await anext(read_frames(response))
        while sum_load(await get(client, engine, "/control/counters")):
            await asyncio.sleep(0)


async def test_crash_aborts_streams_and_refuses_connections(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        url = f"{engine.url}/generate"
        async with client.post(url, json=build_request(max_tokens=100_000)) as response:
            frames = read_frames(response)
            await anext(frames)
            with pytest.raises(aiohttp.ClientError):
                await control(client, engine, die=True)
            with pytest.raises(aiohttp.ClientError):
                async for _ in frames:
                    pass
        with pytest.raises(aiohttp.ClientConnectorError):
            await get(client, engine, "/health")


async def test_poison_prompt_crashes_the_engine_after_prefill(
    client: aiohttp.ClientSession,
) -> None:
    async with make_engine(crash_on="word7 word8") as engine:
        with pytest.raises(aiohttp.ClientError):
            await generate(client, engine)
        assert engine.dead.is_set()


async def test_cache_reports_its_content(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        await generate(client, engine, max_tokens=1)
        again = await generate(client, engine, max_tokens=1)
        events = (await get(client, engine, "/events?since=0"))["events"]
        snapshot = await get(client, engine, "/cache")
        counters = await get(client, engine, "/control/counters")
    assert again[-1]["cached_tokens"] == 32
    assert events == [{"sequence": 1, "added": hash_prefixes(PROMPT), "dropped": []}]
    assert snapshot["sequence"] == 1
    assert sorted(snapshot["hashes"]) == sorted(hash_prefixes(PROMPT))
    assert (counters["prefilled_tokens"], counters["cached_tokens"]) == (48, 32)


async def test_load_takes_time_and_needs_a_new_fence(client: aiohttp.ClientSession) -> None:
    new = {"model": "n", "adapter": "a", "version": "2"}
    async with make_engine(model_load_s=MODEL_LOAD_S) as engine:
        assert await order(client, engine, action="load", fence=5, **new) == 200
        assert (await get(client, engine, "/health"))["state"] == "loading"
        health = await wait_ready(client, engine)
        assert health.items() >= (new | {"fence": 5}).items()
        assert await order(client, engine, action="unload", fence=4) == 409
        frames = await generate(client, engine, **new)
    assert list_tokens(frames) == expect_tokens("n", "a", "2", PROMPT, 5, 8)


async def test_engine_without_fence_check_executes_older_commands(
    client: aiohttp.ClientSession,
) -> None:
    async with make_engine(checks_fence=False) as engine:
        assert await order(client, engine, action="role", role="draft", fence=5) == 200
        assert await order(client, engine, action="unload", fence=4) == 200
        assert (await get(client, engine, "/health"))["state"] == "empty"


async def test_unload_ends_running_streams_with_an_error(client: aiohttp.ClientSession) -> None:
    async with make_engine() as engine:
        url = f"{engine.url}/generate"
        async with client.post(url, json=build_request(max_tokens=100_000)) as response:
            frames = read_frames(response)
            await anext(frames)
            await order(client, engine, action="unload")
            rest = [frame async for frame in frames]
    assert rest[-1] == {"error": "unloaded"}


async def test_frozen_and_deaf_engines_continue_where_they_stopped(
    client: aiohttp.ClientSession,
) -> None:
    expected = expect_tokens("m", "", "1", PROMPT, 5, 8)
    async with make_engine() as engine:
        await control(client, engine, deaf=True)
        deaf = asyncio.create_task(generate(client, engine))
        while sum_load(await get(client, engine, "/load")) < 1:
            await asyncio.sleep(0)
        await control(client, engine, deaf=False)
        assert list_tokens(await deaf) == expected
        await control(client, engine, freeze_s=0.02)
        assert list_tokens(await generate(client, engine)) == expected


async def test_load_report_lags_and_counters_do_not(client: aiohttp.ClientSession) -> None:
    async with make_engine(load_delay_s=60.0) as engine:
        await generate(client, engine)
        assert (await get(client, engine, "/load"))["decoded_tokens"] == 0
        assert (await get(client, engine, "/control/counters"))["decoded_tokens"] == 8


async def test_malformed_request_is_rejected(client: aiohttp.ClientSession) -> None:
    async with (
        make_engine() as engine,
        client.post(f"{engine.url}/generate", json={"prompt": 1}) as response,
    ):
        assert response.status == 400


# fault: a changed interval reaches only later generations, so a scenario cannot speed up slow ones
async def test_a_changed_token_interval_applies_to_a_running_generation(
    client: aiohttp.ClientSession,
) -> None:
    async with make_engine(token_interval_s=0.001) as engine, limit_time(10):
        await control(client, engine, token_interval_s=0.2)
        async with client.post(
            f"{engine.url}/generate", json=build_request(max_tokens=200)
        ) as response:
            frames = read_frames(response)
            started = asyncio.get_running_loop().time()
            for _ in range(2):
                await anext(frames)
            assert asyncio.get_running_loop().time() - started > 0.2
            await control(client, engine, token_interval_s=0.001)
            assert len([frame async for frame in frames]) == 199
