"""Check the engine adapter against the engine stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import pytest

from basilroad.endpoints.engine import (
    EngineCommand,
    EngineConnectionError,
    EngineFinish,
    EngineRefusedError,
    EngineTimeoutError,
    EngineToken,
    GenerateRequest,
    HttpEngine,
)
from basilroad.standin.engine import EngineStandin
from basilroad.standin.settings import EngineStandinSettings
from basilroad.standin.tokens import expect_tokens
from basilroad.world.prefix import hash_prefixes

PROMPT = " ".join(f"word{number}" for number in range(16))


@pytest.fixture
async def standin() -> AsyncIterator[EngineStandin]:
    settings = EngineStandinSettings("e1", "127.0.0.1:0", "m", token_interval_s=0.001)
    async with EngineStandin(settings, embedded=True) as standin:
        yield standin


@pytest.fixture
async def engine(standin: EngineStandin) -> AsyncIterator[HttpEngine]:
    engine = HttpEngine(standin.url)
    yield engine
    await engine.close()


def make_order(**changes: Any) -> GenerateRequest:
    fields = {"request_id": "r", "prompt": PROMPT, "model": "m", "max_tokens": 5, "seed": 3}
    return GenerateRequest(**(fields | changes))


async def test_stream_ends_with_its_finish(engine: HttpEngine) -> None:
    messages = [message async for message in engine.generate(make_order())]
    expected = expect_tokens("m", "", "1", PROMPT, 3, 5)
    assert messages == [
        *(EngineToken(offset, token) for offset, token in enumerate(expected)),
        EngineFinish("length", 16, 5, 0),
    ]


async def test_other_version_is_refused(engine: HttpEngine) -> None:
    with pytest.raises(EngineRefusedError) as caught:
        await anext(engine.generate(make_order(version="9")))
    assert caught.value.status == 409


async def test_unloaded_model_refuses_the_rest(engine: HttpEngine) -> None:
    stream = engine.generate(make_order(max_tokens=100_000))
    await anext(stream)
    assert (await engine.order(EngineCommand("unload"))).state == "empty"
    with pytest.raises(EngineRefusedError, match="unloaded"):
        async for _ in stream:
            pass


async def test_death_in_a_stream_is_told(standin: EngineStandin, engine: HttpEngine) -> None:
    stream = engine.generate(make_order(max_tokens=100_000))
    await anext(stream)
    await standin.die()
    with pytest.raises(EngineConnectionError):
        async for _ in stream:
            pass
    with pytest.raises(EngineConnectionError):
        await engine.read_load()


async def test_silence_is_not_death(standin: EngineStandin) -> None:
    engine = HttpEngine(standin.url, timeout_s=0.05)
    standin.freeze(60.0)
    with pytest.raises(EngineTimeoutError):
        await engine.read_load()
    await engine.close()


async def test_closed_iterator_frees_the_slot(engine: HttpEngine) -> None:
    async with aclosing(engine.generate(make_order(max_tokens=100_000))) as stream:
        await anext(stream)
        assert (await engine.read_load()).running == 1
    while (await engine.read_load()).running:
        await asyncio.sleep(0)


async def test_cancel_ends_the_stream(engine: HttpEngine) -> None:
    stream = engine.generate(make_order(max_tokens=100_000))
    await anext(stream)
    await engine.cancel("r")
    messages = [message async for message in stream]
    assert isinstance(messages[-1], EngineFinish)
    assert messages[-1].finish == "cancelled"


async def test_cache_events_and_snapshot_agree(engine: HttpEngine) -> None:
    reading = asyncio.create_task(engine.read_cache_events(0))
    async for _ in engine.generate(make_order(max_tokens=1)):
        pass
    (event,) = await reading
    snapshot = await engine.read_cache()
    assert list(event.added) == hash_prefixes(PROMPT)
    assert (snapshot.sequence, snapshot.hashes) == (event.sequence, event.added)


async def test_old_fence_is_refused(engine: HttpEngine) -> None:
    await engine.order(EngineCommand("role", role="draft", fence=3))
    with pytest.raises(EngineRefusedError) as caught:
        await engine.order(EngineCommand("role", fence=2))
    assert caught.value.status == 409
    assert (await engine.read_health()).role == "draft"
