"""Engines that take streams, answer probes and begin nothing; without network."""

from __future__ import annotations

import pytest

from basilroad.gateway.call import PromptSize
from basilroad.gateway.endpoint import Endpoint, Reservation
from basilroad.gateway.firstevent import BESIDE_S, MARGIN_S, READ_FACTOR, FirstEventWait
from basilroad.gateway.selection import READ_TOKENS_PER_S
from builders import build_call, build_entry, build_stream_route

PROMPT = PromptSize(8000, 1000)


def build_wait(endpoint: Endpoint) -> FirstEventWait:
    call = build_call(build_stream_route(), size=PROMPT)
    return FirstEventWait(call, endpoint, 0.0, lambda: True, lambda: None)


def test_an_idle_engine_may_read_the_prompt_and_be_late() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    read_s = PROMPT.prompt_tokens / READ_TOKENS_PER_S
    assert not wait.is_overdue(MARGIN_S + read_s)
    assert wait.is_overdue(MARGIN_S + READ_FACTOR * read_s + BESIDE_S + 0.01)


@pytest.mark.parametrize("queued", [2, 5, 10])
def test_under_a_burst_the_queue_of_the_engine_counts(queued: int) -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    for _ in range(queued):
        Reservation(endpoint, PROMPT)
    read_s = queued * PROMPT.prompt_tokens / READ_TOKENS_PER_S
    assert not build_wait(endpoint).is_overdue(MARGIN_S + READ_FACTOR * read_s)


def test_streams_of_other_gateways_that_run_there_slow_the_reading() -> None:
    # pattern: after the loss of three engines one of those left runs eight streams, of four hosts
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert wait.is_overdue(4.3)
    endpoint.remote.calls = 7
    assert not wait.is_overdue(6.0)


def test_prompts_that_come_later_and_go_first_make_it_wait_longer() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert wait.is_overdue(5.0)
    endpoint.remote.unread_tokens = 4 * PROMPT.prompt_tokens
    assert not wait.is_overdue(5.0)


def test_what_was_read_meanwhile_counts_no_more() -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    other = Reservation(endpoint, PROMPT)
    Reservation(endpoint, PROMPT)
    wait = build_wait(endpoint)
    assert not wait.is_overdue(5.0)
    other.record_read()
    assert wait.is_overdue(5.0)
