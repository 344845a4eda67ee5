"""Detection of engines that accept streams and never start them; no network."""

from __future__ import annotations

import pytest

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S, PromptAccess, PromptPlan
from basilroad.gateway.metrics import GatewayMetrics
from basilroad.gateway.registry.endpoint import Endpoint, Reservation
from basilroad.gateway.streams.firstevent import (
    CONCURRENT_CALL_DELAY_S,
    FIRST_EVENT_MARGIN_S,
    PREFILL_FACTOR,
    FirstEventWait,
)
from basilroad.gateway.streams.promptreading import PromptReading
from builders import ENGINE, build_call, build_entry, build_stream_route

PROMPT = PromptSize(8000, 1000)
PLAN = PromptPlan(PromptAccess.COMPUTED, 1.0)


def build_wait(endpoint: Endpoint) -> FirstEventWait:
    call = build_call(build_stream_route(), size=PROMPT)
    reading = PromptReading(call, endpoint, PLAN, ENGINE, GatewayMetrics())
    return FirstEventWait(call, endpoint, 0.0, lambda: True, lambda: None, reading)


def test_an_idle_engine_gets_time_for_prefill_and_a_margin() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    prefill_s = PROMPT.prompt_tokens / PREFILL_TOKENS_PER_S
    assert not wait.is_overdue(FIRST_EVENT_MARGIN_S + prefill_s)
    assert wait.is_overdue(
        FIRST_EVENT_MARGIN_S + PREFILL_FACTOR * prefill_s + CONCURRENT_CALL_DELAY_S + 0.01
    )


@pytest.mark.parametrize("queued", [2, 5, 10])
def test_prefill_queued_at_the_engine_extends_the_limit(queued: int) -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    for _ in range(queued):
        Reservation(endpoint, PROMPT)
    prefill_s = queued * PROMPT.prompt_tokens / PREFILL_TOKENS_PER_S
    assert not build_wait(endpoint).is_overdue(FIRST_EVENT_MARGIN_S + PREFILL_FACTOR * prefill_s)


def test_streams_of_other_gateways_extend_the_limit() -> None:
    # after three engines failed, a remaining one runs eight streams of four hosts
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert wait.is_overdue(4.3)
    endpoint.remote.calls = 7
    assert not wait.is_overdue(6.0)


def test_later_prompts_that_go_first_extend_the_limit() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert wait.is_overdue(5.0)
    endpoint.remote.pending_prefill_tokens = 4 * PROMPT.prompt_tokens
    assert not wait.is_overdue(5.0)


def test_completed_prefill_no_longer_extends_the_limit() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    other = Reservation(endpoint, PROMPT)
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert not wait.is_overdue(5.0)
    other.record_prefill_done()
    assert wait.is_overdue(5.0)
