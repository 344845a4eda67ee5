"""Check the adapter to plain services, which runs a call at most once."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from basilroad.endpoints.plainservice import (
    CallAnswered,
    CallMayHaveRun,
    CallNotSent,
    HttpPlainService,
    PlainCall,
)
from basilroad.standin.plainservice import PlainStandin
from basilroad.standin.settings import PlainStandinSettings

METHODS = ["GET", "PUT", "DELETE", "POST"]


@pytest.fixture
async def standin() -> AsyncIterator[PlainStandin]:
    settings = PlainStandinSettings("p1", "127.0.0.1:0")
    async with PlainStandin(settings, embedded=True) as standin:
        yield standin


@pytest.fixture
async def service(standin: PlainStandin) -> AsyncIterator[HttpPlainService]:
    service = HttpPlainService(standin.url)
    yield service
    await service.close()


def make_call(method: str = "POST", **changes: Any) -> PlainCall:
    return PlainCall(method, "/orders?x=%2F1", (("X-Order", "o1"),), b"oak", **changes)


async def control(standin: PlainStandin, **faults: Any) -> None:
    async with aiohttp.ClientSession() as session:
        await session.post(f"{standin.url}/control", json=faults)


async def count(standin: PlainStandin) -> dict[str, int]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{standin.url}/control/counts") as response,
    ):
        counts: dict[str, int] = await response.json()
        return counts


@pytest.mark.parametrize("idempotent", [True, False])
async def test_answer_is_passed_on(service: HttpPlainService, idempotent: bool) -> None:
    outcome = await service.call(make_call(idempotent=idempotent))
    assert isinstance(outcome, CallAnswered)
    assert outcome.status == 200
    answer = {"order": "o1", "count": 1, "path": "/orders", "body_size": 3}
    assert json.loads(outcome.body) == answer
    assert "content-length" not in {name.lower() for name, _ in outcome.headers}


async def test_error_of_the_service_is_its_answer(
    standin: PlainStandin, service: HttpPlainService
) -> None:
    await control(standin, fail_next=1)
    outcome = await service.call(make_call())
    assert isinstance(outcome, CallAnswered)
    assert outcome.status == 500


@pytest.mark.holds_once
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("idempotent", [True, False])
async def test_lost_answer_may_have_run_and_is_never_sent_again(
    standin: PlainStandin, service: HttpPlainService, method: str, idempotent: bool
) -> None:
    await service.call(make_call(method, idempotent=idempotent))
    await control(standin, drop_answer_next=1)
    outcome = await service.call(make_call(method, idempotent=idempotent))
    assert isinstance(outcome, CallMayHaveRun)
    assert await count(standin) == {"o1": 2}


@pytest.mark.holds_not_run
@pytest.mark.parametrize("method", METHODS)
async def test_refused_connection_was_not_sent(
    standin: PlainStandin, service: HttpPlainService, method: str
) -> None:
    await service.call(make_call(method))
    await standin.refuse()
    assert isinstance(await service.call(make_call(method)), CallNotSent)
    await standin.accept()
    assert await count(standin) == {"o1": 1}


@pytest.mark.holds_not_run
async def test_timeout_after_the_send_may_have_run(
    standin: PlainStandin, service: HttpPlainService
) -> None:
    await control(standin, work_s=60.0)
    outcome = await service.call(make_call(timeout_s=0.05))
    assert isinstance(outcome, CallMayHaveRun)
    assert outcome.timed_out
