"""Keys whose request waits for an endpoint, with real processes."""

from __future__ import annotations

import asyncio

import pytest

from support.callers import StreamedAnswer, stream_completion
from support.fleet import Fleet

MODEL = "spec-llm"
HELD_TOKENS = 300
HELD_S = 6.0
CALLER = {"X-Caller": "anna"}


# fault: a request that waited at one entry for an endpoint began at another one too
@pytest.mark.holds_answers
@pytest.mark.parametrize("waited_s", [0.5, 4.0])
async def test_a_key_that_waits_at_one_entry_is_attached_to_at_another(
    fleet: Fleet, waited_s: float
) -> None:
    fleet.add_platform()
    fleet.add_engine("engine", model=MODEL, slots=1, token_interval_s=HELD_S / HELD_TOKENS)
    entries = [fleet.add_entry(f"entry-{number}").url for number in range(2)]
    fleet.wait_ready()
    held = StreamedAnswer()
    async with asyncio.TaskGroup() as tasks:

        def ask(entry: str, tokens: int, **options) -> asyncio.Task[StreamedAnswer]:
            call = stream_completion(
                entry, "a b", model=MODEL, max_tokens=tokens, headers=CALLER, **options
            )
            return tasks.create_task(call)

        ask(entries[0], HELD_TOKENS, answer=held)
        await held.wait_tokens(1)
        first = ask(entries[0], 20, key="7")
        await asyncio.sleep(waited_s)
        second = ask(entries[1], 20, key="7")
    answers = [first.result(), second.result()]
    assert [answer.count for answer in answers] == [20, 20]
    assert len(answers[0].generations | answers[1].generations) == 1
