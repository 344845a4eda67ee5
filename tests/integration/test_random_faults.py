"""Check that answers are complete under several faults in a random order."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from support.background import Background
from support.fleet import Endpoint, Fleet
from support.steps.answers import check_whole
from support.steps.context import MODEL, CompletionRequest, ScenarioContext
from support.steps.fleets import get_proxy

ENGINES = 4
CALLERS = 16
TOKENS = 560
STEP_TOKENS = 80
FAULTS_EACH = 5

Change = Callable[[Endpoint], object]

FAULTS: dict[str, tuple[Change, Change]] = {
    "engine killed": (lambda e: e.backend.kill(), lambda e: e.backend.restart()),
    "agent killed": (lambda e: e.agent.kill(), lambda e: e.agent.restart()),
    "agent paused": (lambda e: e.agent.freeze(), lambda e: e.agent.wake()),
    "agent cut off": (lambda e: get_proxy(e.agent).cut(), lambda e: get_proxy(e.agent).heal()),
    "agent frozen": (lambda e: get_proxy(e.agent).freeze(), lambda e: get_proxy(e.agent).thaw()),
    "engine frozen": (
        lambda e: get_proxy(e.backend).freeze(),
        lambda e: get_proxy(e.backend).thaw(),
    ),
}


def plan_changes(fleet: Fleet, seed: int, lasting: int) -> list[tuple[int, Endpoint, Change]]:
    """Choose faults, and the token counts at which they begin and end."""
    chosen = random.Random(seed)
    changes: list[tuple[int, Endpoint, Change]] = []
    for step, fault in enumerate(chosen.sample(sorted(FAULTS), FAULTS_EACH), start=1):
        endpoint = chosen.choice(fleet.endpoints)
        begin, end = FAULTS[fault]
        print(f"{endpoint.backend.name}: {fault} from {step * STEP_TOKENS} tokens")
        changes.append((step * STEP_TOKENS, endpoint, begin))
        changes.append((step * STEP_TOKENS + lasting, endpoint, end))
    return sorted(changes, key=lambda change: change[0])


@pytest.mark.holds_tokens
@pytest.mark.holds_answers
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "lasting", [STEP_TOKENS // 2, STEP_TOKENS * 3 // 2], ids=["apart", "overlapping"]
)
def test_answers_are_whole(fleet: Fleet, background: Background, seed: int, lasting: int) -> None:
    fleet.add_platform()
    for number in range(ENGINES):
        fleet.add_engine(f"engine-{number}", model=MODEL, proxied=True)
    fleet.add_entry("entry")
    fleet.wait_ready()
    context = ScenarioContext(fleet, background)
    for number in range(CALLERS):
        context.send_request(CompletionRequest(f"caller-{number}", TOKENS, key="same"))
    for count, endpoint, change in plan_changes(fleet, seed, lasting):
        context.wait_tokens(count)
        change(endpoint)
    context.wait_answers()
    for request in context.requests:
        check_whole(request)
