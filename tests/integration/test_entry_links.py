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

IDLE_STOP_S = 1.0
"""Seconds for the stop of an agent with nothing in flight."""


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


@pytest.mark.holds_stop
@pytest.mark.parametrize("killed", [False, True], ids=["stopped", "killed"])
def test_an_agent_does_not_wait_for_entries_that_are_gone(fleet: Fleet, killed: bool) -> None:
    fleet.add_platform()
    agent = fleet.add_engine("engine", model="spec-llm").agent
    entries = [fleet.add_entry(f"entry-{number}") for number in range(2)]
    fleet.wait_ready()
    for entry in entries:
        if killed:
            entry.kill()
        else:
            entry.stop()
            assert entry.wait_ended() == 0, entry.read_tail()
    agent.stop()
    assert agent.wait_ended(IDLE_STOP_S) == 0, agent.read_tail()
    assert "did not receive the last messages" not in agent.logs.read_text()
