"""Detection of engines that accept streams and never start them; no network."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.promptplan import (
    COPIED,
    PREFILL_TOKENS_PER_S,
    PromptAccess,
    PromptPlan,
)
from basilroad.gateway.metrics import GatewayMetrics
from basilroad.gateway.registry.endpoint import Endpoint, Reservation
from basilroad.gateway.streams.firstevent import (
    CONCURRENT_CALL_DELAY_S,
    FIRST_EVENT_MARGIN_S,
    PREFILL_FACTOR,
    FirstEventWait,
    Patience,
    count_unplanned_tokens,
    decide_move,
)
from basilroad.gateway.streams.promptreading import PromptReading
from builders import ENGINE, build_call, build_entry, build_stream_route

PROMPT = PromptSize(8000, 1000)
PLAN = PromptPlan(PromptAccess.COMPUTED, 1.0)


def build_wait(
    endpoint: Endpoint,
    unplanned_tokens: int = 0,
    estimate_elsewhere: Callable[[], float | None] = lambda: 0.0,
    patience: Patience | None = None,
) -> FirstEventWait:
    call = build_call(build_stream_route(), size=PROMPT)
    reading = PromptReading(call, endpoint, PLAN, ENGINE, GatewayMetrics())
    return FirstEventWait(
        call,
        endpoint,
        0.0,
        estimate_elsewhere,
        lambda: True,
        lambda: None,
        reading,
        patience or Patience(),
        unplanned_tokens,
    )


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


# fault: an engine that computed a prompt which could not be fetched was given up while it did
@pytest.mark.parametrize("access", [PromptAccess.FETCHED, PromptAccess.CACHED])
@pytest.mark.parametrize("prompt_tokens", [8000, 17600])
def test_a_prompt_that_may_have_to_be_computed_after_all_extends_the_limit(
    access: PromptAccess, prompt_tokens: int
) -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    size = PromptSize(prompt_tokens, 1000)
    reservation = Reservation(endpoint, size, needs_prefill=False)
    unplanned = count_unplanned_tokens(reservation, PromptPlan(access, 0.0), size)
    wait = build_wait(endpoint, unplanned)
    prefill_s = prompt_tokens / PREFILL_TOKENS_PER_S
    limit_s = FIRST_EVENT_MARGIN_S + PREFILL_FACTOR * prefill_s + CONCURRENT_CALL_DELAY_S
    assert not wait.is_overdue(limit_s - 0.01)
    assert wait.is_overdue(limit_s + 0.01)


def test_an_engine_that_holds_a_copy_of_the_stream_gets_no_time_for_prefill() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    reservation = Reservation(endpoint, PROMPT, needs_prefill=False)
    wait = build_wait(endpoint, count_unplanned_tokens(reservation, COPIED, PROMPT))
    assert not wait.is_overdue(FIRST_EVENT_MARGIN_S)
    assert wait.is_overdue(FIRST_EVENT_MARGIN_S + CONCURRENT_CALL_DELAY_S + 0.01)


def test_a_prompt_that_was_counted_as_prefill_counts_once() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    reservation = Reservation(endpoint, PROMPT)
    assert count_unplanned_tokens(reservation, PLAN, PROMPT) == 0
    # the source of a fetched prompt did not answer after the engine was chosen
    reservation = Reservation(endpoint, PROMPT, needs_prefill=False)
    assert count_unplanned_tokens(reservation, PLAN, PROMPT) == PROMPT.prompt_tokens


# fault: engines were given up for others that were expected to take longer
@pytest.mark.parametrize(
    ("late_s", "elsewhere_s", "moves"),
    [(2.4, None, False), (2.4, 5.0, False), (2.4, 2.3, True), (5.1, 5.0, True)],
)
def test_a_late_stream_moves_to_an_engine_that_begins_sooner_than_it_is_late(
    late_s: float, elsewhere_s: float | None, moves: bool
) -> None:
    assert decide_move(late_s, elsewhere_s).moves is moves


def test_an_engine_that_never_begins_is_left_for_a_crowded_one_in_the_end() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint, estimate_elsewhere=lambda: 5.0)
    assert wait.is_overdue(3.5)
    assert not wait.try_move(3.5)
    assert wait.try_move(wait.expected_s + 5.1)


def test_what_becomes_of_an_overdue_stream_is_logged_once_for_each_reason(caplog) -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    estimates = [None, 5.0, 5.0, 5.0, 1.0]
    wait = build_wait(endpoint, estimate_elsewhere=lambda: estimates.pop(0))
    assert [wait.try_move(3.5 + 0.05 * n) for n in range(5)] == [False] * 4 + [True]
    assert [(r.moves, r.elsewhere_ms) for r in caplog.records] == [
        (False, None),
        (False, 5000),
        (True, 1000),
    ]


# fault: a stream that was slow everywhere was moved five times, each after the same limit
def test_each_engine_that_a_stream_leaves_doubles_its_next_limit() -> None:
    patience = Patience()
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    limits = []
    for _ in range(3):
        wait = build_wait(endpoint, patience=patience)
        limits.append(wait.limit_s)
        assert not wait.try_move(wait.limit_s - 0.01)
        assert wait.try_move(wait.limit_s + 0.01)
    assert limits == [limits[0], 2 * limits[0], 4 * limits[0]]


def test_an_engine_that_is_not_left_changes_no_limit() -> None:
    patience = Patience()
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint, estimate_elsewhere=lambda: None, patience=patience)
    assert not wait.try_move(wait.limit_s + 0.01)
    assert patience.factor == 1.0
