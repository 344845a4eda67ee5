"""Keys whose request waits for an endpoint, with real processes."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.entry.generations.locationdirectory import NEW_AGENT_S
from support.callers import StreamedAnswer, stream_completion
from support.fleet import Fleet, Process

MODEL = "spec-llm"
HELD_TOKENS = 300
HELD_S = 6.0
LOST_LIMIT_S = 20.0
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


# fault: a request with the key of one whose entry and agent were lost was not answered at all
@pytest.mark.holds_answers
async def test_a_key_whose_entry_and_agent_are_lost_begins_anew(fleet: Fleet) -> None:
    fleet.add_platform()
    engines = [
        fleet.add_engine(f"engine-{number}", model=MODEL, token_interval_s=0.05)
        for number in range(2)
    ]
    entries = [fleet.add_entry(f"entry-{number}") for number in range(2)]
    fleet.wait_ready()
    # by then both entries are connected to both agents
    await asyncio.sleep(NEW_AGENT_S)

    async def ask(entry: Process, answer: StreamedAnswer) -> None:
        await stream_completion(
            entry.url, "a b", model=MODEL, max_tokens=40, key="7", headers=CALLER, answer=answer
        )

    lost, again = StreamedAnswer(), StreamedAnswer()
    asking = asyncio.ensure_future(ask(entries[0], lost))
    await lost.wait_tokens(1)
    running = max(
        engines, key=lambda engine: engine.backend.ask("GET", "/control/counters")["running"]
    )
    entries[0].kill()
    running.agent.kill()
    running.backend.kill()
    await asking
    async with asyncio.timeout(LOST_LIMIT_S):
        await ask(entries[1], again)
    assert again.count == 40
    assert not again.generations & lost.generations
