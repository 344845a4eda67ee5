"""Check that an entry survives faults of its links to agents."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.standin.tokens import expect_tokens
from support.background import Background
from support.callers import stream_completion
from support.fleet import Fleet

RESETS = 100
RESETTING_AGENTS = 20


@pytest.mark.holds_tokens
def test_entry_outlives_agents_that_reset_at_once(fleet: Fleet, background: Background) -> None:
    resets = 0
    enough = asyncio.Event()

    async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal resets
        resets += 1
        writer.transport.abort()
        if resets >= RESETS:
            enough.set()

    async def listen() -> list[str]:
        servers = [
            await asyncio.start_server(reset, "127.0.0.1", 0) for _ in range(RESETTING_AGENTS)
        ]
        return [f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers]

    fleet.add_platform()
    fleet.add_engine("engine", model="spec-llm")
    entry = fleet.add_entry("entry", seeds=background.run(listen()))
    fleet.wait_ready()
    background.run(enough.wait())
    assert entry.running, entry.read_tail()
    request = stream_completion(entry.url, "oak", model="spec-llm", max_tokens=20, temperature=0)
    answer = background.run(request)
    assert answer.text == "".join(expect_tokens("spec-llm", "", "1", "oak", None, 20))
