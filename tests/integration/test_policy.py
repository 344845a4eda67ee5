"""Check the scheduling order of requests with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from basilroad.standin.tokens import expect_tokens
from support.callers import StreamedAnswer, stream_completion

if TYPE_CHECKING:
    from support.background import Background
    from support.fleet import Fleet, Process

MODEL = "spec-llm"
LONG = 150
SHORT = 5
SEED = 7


class _Callers:
    def __init__(self, entries: list[Process]) -> None:
        self.entries = entries
        self.tasks: list[asyncio.Task[StreamedAnswer]] = []
        self.ended: list[str] = []

    def send(self, prompt: str, rank: str, caller: str, tokens: int) -> StreamedAnswer:
        answer = StreamedAnswer()
        entry = self.entries[len(self.tasks) % len(self.entries)]
        headers = {"X-Rank": rank, "X-Caller": caller}
        coroutine = stream_completion(
            entry.url,
            prompt,
            model=MODEL,
            max_tokens=tokens,
            seed=SEED,
            headers=headers,
            answer=answer,
        )
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(lambda _: self.ended.append(prompt))
        self.tasks.append(task)
        return answer


def _check_whole(prompt: str, answer: StreamedAnswer, tokens: int) -> None:
    expected = expect_tokens(MODEL, "", "1", prompt, SEED, tokens)
    assert answer.text == "".join(expected), answer.error
    assert answer.ended


@pytest.mark.parametrize("preemption", [True, False])
def test_urgent_work_goes_before_what_runs_if_operators_allow_it(
    fleet: Fleet, background: Background, preemption: bool
) -> None:
    fleet.add_platform()
    fleet.add_engine("engine", model=MODEL, slots=2, token_interval_s=0.02)
    entry = fleet.add_entry("entry")
    fleet.wait_ready()
    fleet.put_setting("limits/default", {"preemption": preemption})
    for process in (entry, fleet.endpoints[0].agent):
        process.wait_logged("settings/limits/default")

    async def ask() -> list[str]:
        callers = _Callers([entry])
        late = [callers.send(f"late {n}", "batch", "keeper", LONG) for n in range(2)]
        for answer in late:
            await answer.wait_tokens(1)
        urgent = callers.send("urgent", "urgent", "master", SHORT)
        await asyncio.gather(*callers.tasks)
        for number, answer in enumerate(late):
            _check_whole(f"late {number}", answer, LONG)
        _check_whole("urgent", urgent, SHORT)
        return callers.ended

    ended = background.run(ask())
    assert (ended[0] == "urgent") is preemption


def test_small_caller_goes_before_the_backlog_of_a_large_one_at_two_entries(
    fleet: Fleet, background: Background
) -> None:
    fleet.add_platform()
    fleet.add_engine("engine", model=MODEL, slots=1, token_interval_s=0.02)
    entries = [fleet.add_entry(f"entry-{number}") for number in range(2)]
    fleet.wait_ready()

    async def ask() -> list[str]:
        callers = _Callers(entries)
        first = callers.send("large 0", "standard", "large", 2 * SHORT)
        await first.wait_tokens(1)
        for number in range(1, 7):
            callers.send(f"large {number}", "standard", "large", 2 * SHORT)
        callers.send("small", "standard", "small", 2 * SHORT)
        await asyncio.gather(*callers.tasks)
        return callers.ended

    ended = background.run(ask())
    assert ended.index("small") <= 2, ended
