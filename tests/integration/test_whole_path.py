"""Check the path from caller to engine with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilroad.standin.tokens import expect_tokens
from support.callers import StreamedAnswer, stream_completion

if TYPE_CHECKING:
    from support.background import Background
    from support.fleet import Fleet

MODEL = "spec-llm"
ANSWERS = 50
TOKENS = 200
SEED = 7


async def _ask_all(entry: str, kill_at: int, kill: object) -> list[StreamedAnswer]:
    answers = [StreamedAnswer() for _ in range(ANSWERS)]
    tasks = [
        asyncio.ensure_future(
            stream_completion(
                entry,
                f"review cask {number}",
                model=MODEL,
                max_tokens=TOKENS,
                seed=SEED,
                answer=answer,
            )
        )
        for number, answer in enumerate(answers)
    ]
    await answers[0].wait_tokens(kill_at)
    kill()  # type: ignore[operator]
    await asyncio.gather(*tasks)
    return answers


def test_answers_are_whole_when_an_engine_is_killed(fleet: Fleet, background: Background) -> None:
    fleet.add_platform()
    for number in range(3):
        fleet.add_engine(f"engine-{number}", model=MODEL, slots=20, token_interval_s=0.01)
    entry = fleet.add_entry("entry-1")
    fleet.wait_ready()

    victim = fleet.endpoints[0].backend
    answers = background.run(_ask_all(entry.url, TOKENS // 2, victim.kill))

    for number, answer in enumerate(answers):
        expected = expect_tokens(MODEL, "", "1", f"review cask {number}", SEED, TOKENS)
        assert answer.text == "".join(expected), answer.error
        assert answer.ended
        assert len(answer.generations) == 1
