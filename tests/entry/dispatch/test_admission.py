"""Tests of admission control at an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.entry.dispatch.admission import Admission
from basilroad.entry.dispatch.modelqueue import ModelQueue, QueuedRequest
from basilroad.errors import Effect, ErrorKind, RefusedError
from basilroad.settings.objects import Limits
from basilroad.settings.view import SettingsView
from basilroad.world.workspace import Workspace

URGENT, STANDARD, BATCH = 0, 1, 2
COST = 100
LENGTH = 10

Push = Callable[..., QueuedRequest]


def _flight(flow: Flow) -> Any:
    return SimpleNamespace(flow=flow, remaining=COST, request=SimpleNamespace(model="spec-llm"))


@pytest.fixture
def model_queue() -> ModelQueue:
    return ModelQueue(FairSettings())


@pytest.fixture
async def push(model_queue: ModelQueue) -> Push:
    def push(rank: int, caller: str, *, has_started: bool = False) -> QueuedRequest:
        flow = Flow(rank, "w", caller)
        placed = asyncio.get_running_loop().create_future()
        queued = QueuedRequest(_flight(flow), flow, placed, has_started)
        model_queue.push(queued)
        return queued

    return push


def _admission(**limits: Any) -> Admission:
    objects = {
        "limits": {"default": Limits(name="default", queue_length=LENGTH, **limits)},
        "workspaces": {"w": Workspace(name="w", max_concurrent=2)},
    }
    return Admission(SimpleNamespace(view=SettingsView(objects=objects)))  # type: ignore[arg-type]


def _refused(
    admission: Admission, model_queue: ModelQueue, rank: int, caller: str
) -> RefusedError | None:
    try:
        admission.check_wait(_flight(Flow(rank, "w", caller)), model_queue)
    except RefusedError as error:
        return error if error.refusal.answer.effect is Effect.NOT_RUN else None
    return None


def _evicted(queued_requests: list[QueuedRequest]) -> list[int]:
    evicted = [number for number, queued in enumerate(queued_requests) if queued.placed.done()]
    for number in evicted:
        error = queued_requests[number].placed.exception()
        assert isinstance(error, RefusedError)
        assert error.refusal.kind is ErrorKind.OVERLOADED
    return evicted


async def test_full_queue_makes_room_for_the_smaller_caller(
    model_queue: ModelQueue, push: Push
) -> None:
    queued_requests = [push(STANDARD, "large") for _ in range(LENGTH)]
    admission = _admission()
    assert _refused(admission, model_queue, STANDARD, "large")
    assert _evicted(queued_requests) == []
    assert not _refused(admission, model_queue, STANDARD, "small")
    assert _evicted(queued_requests) == [LENGTH - 1]


async def test_full_queue_makes_room_for_the_more_urgent(
    model_queue: ModelQueue, push: Push
) -> None:
    queued_requests = [push(BATCH, f"caller-{number}") for number in range(LENGTH)]
    assert not _refused(_admission(), model_queue, URGENT, "master")
    assert len(_evicted(queued_requests)) == 1


async def test_rank_keeps_its_guaranteed_share_of_the_queue(
    model_queue: ModelQueue, push: Push
) -> None:
    queued_requests = [push(URGENT, "master") for _ in range(LENGTH)]
    admission = _admission()
    assert not _refused(admission, model_queue, BATCH, "keeper")
    push(BATCH, "keeper")
    assert _evicted(queued_requests) == [LENGTH - 1]
    assert _refused(admission, model_queue, BATCH, "keeper")
    assert _refused(admission, model_queue, URGENT, "master")


async def test_work_that_has_started_is_never_evicted(model_queue: ModelQueue, push: Push) -> None:
    queued_requests = [push(BATCH, "keeper", has_started=True) for _ in range(LENGTH)]
    assert _refused(_admission(), model_queue, URGENT, "master")
    assert _evicted(queued_requests) == []


@pytest.fixture
def saturated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ModelQueue, "saturated", True)
    monkeypatch.setattr(ModelQueue, "rate", 100.0)


@pytest.mark.usefixtures("saturated")
async def test_early_refusal_depends_on_the_callers_own_share(
    model_queue: ModelQueue, push: Push
) -> None:
    for _ in range(8):
        push(STANDARD, "large")
    admission = _admission()
    refused = _refused(admission, model_queue, STANDARD, "large")
    assert refused is not None
    assert refused.refusal.kind is ErrorKind.TARGET_MISSED
    assert refused.refusal.retry_after == 3
    assert not _refused(admission, model_queue, STANDARD, "small")
    assert not _refused(_admission(early_refusal=False), model_queue, STANDARD, "large")


@pytest.mark.usefixtures("saturated")
async def test_wait_of_a_lower_rank_is_bounded_by_its_floor(
    model_queue: ModelQueue, push: Push
) -> None:
    for _ in range(9):
        push(URGENT, "master")
    push(BATCH, "keeper")
    assert model_queue.estimate_wait(Flow(STANDARD, "w", "c"), COST) == 0
    assert model_queue.estimate_wait(Flow(BATCH, "w", "keeper"), COST) == pytest.approx(10.0)


async def test_wait_is_estimated_as_zero_while_the_rate_is_unknown(
    model_queue: ModelQueue, push: Push
) -> None:
    for _ in range(9):
        push(URGENT, "master")
    model_queue.record_served(1)
    assert model_queue.estimate_wait(Flow(BATCH, "w", "keeper"), COST) == 0


def test_workspace_may_not_exceed_its_in_flight_limit() -> None:
    admission = _admission()
    for _ in range(2):
        admission.check_workspace("w")
        admission.open("w")
    with pytest.raises(RefusedError):
        admission.check_workspace("w")
    admission.check_workspace("another")
    admission.close("w")
    admission.check_workspace("w")
