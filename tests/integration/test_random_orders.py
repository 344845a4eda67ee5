"""Check that orders run at most once under faults in a random order."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from concurrent.futures import as_completed

import pytest

from support.background import Background
from support.callers import place_order
from support.fleet import Fleet, Process
from support.steps.context import SERVICE, ScenarioContext
from support.steps.fleets import get_proxy
from support.steps.orders import count_runs

WAVE_SIZE = 20
WAVES = 5
ATTEMPTS = 5
RETRY_PAUSE_S = 0.2

Change = Callable[[Fleet], object]


def get_platform(fleet: Fleet) -> Process:
    assert fleet.platform is not None
    return fleet.platform


def control(**faults: float) -> Change:
    return lambda fleet: get_platform(fleet).ask("POST", "/control", faults)


FAULTS: dict[str, tuple[Change, Change]] = {
    "store loses answers": (control(lose_share=0.5), control(lose_share=0)),
    "store slow": (control(slow_s=0.5), control(slow_s=0)),
    "store cut off": (
        lambda f: get_proxy(get_platform(f)).cut(),
        lambda f: get_proxy(get_platform(f)).heal(),
    ),
    "store frozen": (
        lambda f: get_proxy(get_platform(f)).freeze(),
        lambda f: get_proxy(get_platform(f)).thaw(),
    ),
    "entry killed": (lambda f: f.entries[0].kill(), lambda f: f.entries[0].restart()),
    "entry paused": (lambda f: f.entries[0].freeze(), lambda f: f.entries[0].wake()),
    "agent killed": (
        lambda f: f.endpoints[0].agent.kill(),
        lambda f: f.endpoints[0].agent.restart(),
    ),
    "agent paused": (
        lambda f: f.endpoints[0].agent.freeze(),
        lambda f: f.endpoints[0].agent.wake(),
    ),
    "agent frozen": (
        lambda f: get_proxy(f.endpoints[0].agent).freeze(),
        lambda f: get_proxy(f.endpoints[0].agent).thaw(),
    ),
    "agent cut off": (
        lambda f: get_proxy(f.endpoints[0].agent).cut(),
        lambda f: get_proxy(f.endpoints[0].agent).heal(),
    ),
    "service answers lost": (
        lambda f: get_proxy(f.endpoints[0].backend).drop_answers(WAVE_SIZE // 4),
        lambda f: get_proxy(f.endpoints[0].backend).drop_answers(0),
    ),
}


async def place_until_done(fleet: Fleet, order: int) -> list[str]:
    """Place one order at the entries in turn until done; return the effect of each attempt."""
    effects: list[str] = []
    for number in range(ATTEMPTS):
        entry = fleet.entries[(order + number) % len(fleet.entries)]
        name = f"order-{order}"
        headers = {"X-Order": name}
        answer = await place_order(
            entry.url, SERVICE, "orders", body={"order": order}, key=name, headers=headers
        )
        effects.append("done" if answer.status == 200 else answer.error.get("effect", "broken"))
        if effects[-1] == "done":
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    return effects


@pytest.mark.holds_once
@pytest.mark.holds_not_run
@pytest.mark.parametrize("seed", range(2))
def test_orders_run_at_most_once(fleet: Fleet, background: Background, seed: int) -> None:
    chosen = random.Random(seed)
    fleet.add_platform(proxied=True)
    fleet.put_setting(f"services/{SERVICE}", {"patience_s": 1.0, "timeout_s": 4.0})
    for number in range(2):
        fleet.add_service(f"orders-{number}", SERVICE, proxied=True, work_s=0.05)
    for number in range(2):
        fleet.add_entry(f"entry-{number}")
    fleet.wait_ready()
    effects: dict[int, list[str]] = {}
    for wave, fault in enumerate(chosen.sample(sorted(FAULTS), WAVES)):
        print(f"orders from {wave * WAVE_SIZE}: {fault}")
        effects |= run_wave(
            fleet, background, range(wave * WAVE_SIZE, (wave + 1) * WAVE_SIZE), fault
        )
    again = {
        o: background.spawn(place_until_done(fleet, o))
        for o, t in effects.items()
        if t[-1] != "done"
    }
    for order, future in again.items():
        effects[order] += future.result()
    context = ScenarioContext(fleet, background)
    for order, tries in effects.items():
        runs = count_runs(context, f"order-{order}")
        assert runs <= 1, f"order {order} ran {runs} times: {tries}"
        if "done" in tries:
            assert runs == 1, f"order {order} did not run: {tries}"
        if set(tries) <= {"not_run", "done"}:
            assert (
                tries[-1] == "done"
            ), f"order {order} is still rejected after the faults ended: {tries}"
        else:
            assert tries[-1] != "not_run", f"order {order} may have run before: {tries}"


def run_wave(
    fleet: Fleet, background: Background, orders: range, fault: str
) -> dict[int, list[str]]:
    """Place orders concurrently; the fault lasts until half of them have ended."""
    begin, end = FAULTS[fault]
    begin(fleet)
    futures = {background.spawn(place_until_done(fleet, order)): order for order in orders}
    ended = as_completed(futures)
    for _ in range(len(orders) // 2):
        next(ended)
    end(fleet)
    return {order: future.result() for future, order in futures.items()}
