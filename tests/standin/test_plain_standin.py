"""Check the plain service stand-in over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import pytest

from basilroad.standin.plainservice import PlainStandin
from basilroad.standin.settings import PlainStandinSettings


@pytest.fixture
async def plain() -> AsyncIterator[PlainStandin]:
    settings = PlainStandinSettings(name="p1", listen="127.0.0.1:0")
    async with PlainStandin(settings, embedded=True) as standin:
        yield standin


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


async def count(client: aiohttp.ClientSession, plain: PlainStandin) -> dict[str, int]:
    async with client.get(f"{plain.url}/control/counts") as response:
        counts: dict[str, int] = await response.json()
        return counts


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
async def test_any_call_is_executed_and_counted(
    client: aiohttp.ClientSession, plain: PlainStandin, method: str
) -> None:
    url = f"{plain.url}/orders/7"
    async with client.request(method, url, data=b"oak", headers={"X-Order": "o1"}) as response:
        answer = await response.json()
    assert answer == {"order": "o1", "count": 1, "path": "/orders/7", "body_size": 3}
    assert await count(client, plain) == {"o1": 1}


# fault: a call with a key and no order id was counted with all others of no id
async def test_a_call_is_counted_by_its_key(
    client: aiohttp.ClientSession, plain: PlainStandin
) -> None:
    for headers in ({"Idempotency-Key": "k1"}, {"Idempotency-Key": "k1", "X-Order": "o1"}, {}):
        await client.post(f"{plain.url}/x", headers=headers)
    assert await count(client, plain) == {"k1": 1, "o1": 1, "": 1}


async def test_failed_call_is_not_executed(
    client: aiohttp.ClientSession, plain: PlainStandin
) -> None:
    await client.post(f"{plain.url}/control", json={"fail_next": 1})
    async with client.post(f"{plain.url}/x", headers={"X-Order": "o1"}) as response:
        assert response.status == 500
    assert await count(client, plain) == {}


async def test_call_with_dropped_response_was_executed(
    client: aiohttp.ClientSession, plain: PlainStandin
) -> None:
    await client.post(f"{plain.url}/control", json={"drop_answer_next": 1})
    with pytest.raises(aiohttp.ClientError):
        await client.post(f"{plain.url}/x", headers={"X-Order": "o1"})
    assert await count(client, plain) == {"o1": 1}


async def test_call_with_cut_response_was_executed(
    client: aiohttp.ClientSession, plain: PlainStandin
) -> None:
    await client.post(f"{plain.url}/control", json={"cut_answer_next": 1})
    async with client.post(f"{plain.url}/x", headers={"X-Order": "o1"}) as response:
        assert response.status == 200
        assert "Content-Length" not in response.headers
        await response.read()
    assert await count(client, plain) == {"o1": 1}


async def test_crash_refuses_connections(
    client: aiohttp.ClientSession, plain: PlainStandin
) -> None:
    with pytest.raises(aiohttp.ClientError):
        await client.post(f"{plain.url}/control", json={"die": True})
    with pytest.raises(aiohttp.ClientConnectorError):
        await client.post(f"{plain.url}/x")
