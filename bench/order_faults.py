"""Measure the outcomes of keyed calls while one component fails.

Run as ``PYTHONPATH=tests python -m bench.order_faults``.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import attrs

from support.background import Background
from support.callers import OrderAnswer, place_order
from support.fleet import Fleet
from support.steps.context import SERVICE
from support.steps.order_faults import read_effect

CALLS_PER_S = 40
"""Keyed calls per second, sent to the two entries in turn."""

LOAD_S = 6.0
FAULT_BEGIN_S = 1.5
FAULT_END_S = 4.5
CALL_TIMEOUT_S = 15.0
EFFECTS = ("done", "not_run", "may_have_run", "ran", "none")

Action = Callable[[Fleet], None]


@attrs.frozen
class Fault:
    """One temporary fault.

    :param name: name in the printed table
    :param begin: injects the fault
    :param end: removes the fault
    """

    name: str
    begin: Action
    end: Action


def set_platform_faults(**fields: float) -> Action:
    """:return: an action that sets faults of the platform stand-in."""

    def act(fleet: Fleet) -> None:
        assert fleet.platform is not None
        fleet.platform.ask("POST", "/control", fields)

    return act


def do_nothing(_: Fleet) -> None:
    """Do nothing."""


FAULTS = (
    Fault("nothing", do_nothing, do_nothing),
    Fault(
        "store cut off",
        lambda fleet: fleet.platform.proxy.cut(),
        lambda fleet: fleet.platform.proxy.heal(),
    ),
    Fault("store slow by 0.5 s", set_platform_faults(slow_s=0.5), set_platform_faults(slow_s=0.0)),
    Fault(
        "half of the store's answers lost",
        set_platform_faults(lose_share=0.5),
        set_platform_faults(lose_share=0.0),
    ),
    Fault(
        "one of two entries paused",
        lambda fleet: fleet.entries[1].freeze(),
        lambda fleet: fleet.entries[1].wake(),
    ),
    Fault(
        "one of two entries killed",
        lambda fleet: fleet.entries[1].kill(),
        lambda fleet: fleet.entries[1].restart(),
    ),
    Fault(
        "one of two agents paused",
        lambda fleet: fleet.endpoints[0].agent.freeze(),
        lambda fleet: fleet.endpoints[0].agent.wake(),
    ),
    Fault(
        "one of two agents killed",
        lambda fleet: fleet.endpoints[0].agent.kill(),
        lambda fleet: fleet.endpoints[0].agent.restart(),
    ),
    Fault(
        "link to one agent frozen",
        lambda fleet: fleet.endpoints[0].agent.proxy.freeze(),
        lambda fleet: fleet.endpoints[0].agent.proxy.thaw(),
    ),
    Fault(
        "one of two services refuses connections",
        lambda fleet: fleet.endpoints[0].backend.proxy.cut(),
        lambda fleet: fleet.endpoints[0].backend.proxy.heal(),
    ),
)


def start_fleet(fleet: Fleet) -> None:
    """Start two order services and two entries."""
    fleet.add_platform(proxied=True)
    fleet.put_setting(f"services/{SERVICE}", {"patience_s": 2.0, "timeout_s": 5.0})
    for number in range(2):
        fleet.add_service(f"orders-{number}", SERVICE, proxied=True)
    for number in range(2):
        fleet.add_entry(f"entry-{number}")
    fleet.wait_ready()


async def send_call(fleet: Fleet, number: int) -> str:
    """:return: effect that is reported to the caller of one keyed call."""
    entry = fleet.entries[number % len(fleet.entries)]
    headers = {"X-Order": str(number)}
    call = place_order(
        entry.url, SERVICE, "orders", body={}, key=f"order-{number}", headers=headers
    )
    try:
        return read_effect(await asyncio.wait_for(call, CALL_TIMEOUT_S))
    except TimeoutError:
        return read_effect(OrderAnswer(0, b""))


async def send_during_fault(fleet: Fleet, fault: Fault) -> list[str]:
    """Send keyed calls at a steady rate, and inject a fault meanwhile.

    :param fleet: the fleet, ready
    :param fault: the fault
    :return: effect that is reported to each caller, of the calls sent during the fault
    """

    async def inject_fault() -> None:
        await asyncio.sleep(FAULT_BEGIN_S)
        await asyncio.to_thread(fault.begin, fleet)
        await asyncio.sleep(FAULT_END_S - FAULT_BEGIN_S)
        await asyncio.to_thread(fault.end, fleet)

    injection = asyncio.ensure_future(inject_fault())
    calls = []
    for number in range(int(CALLS_PER_S * LOAD_S)):
        calls.append(asyncio.ensure_future(send_call(fleet, number)))
        await asyncio.sleep(1 / CALLS_PER_S)
    await injection
    effects = await asyncio.gather(*calls)
    return effects[int(CALLS_PER_S * FAULT_BEGIN_S) : int(CALLS_PER_S * FAULT_END_S)]


def main() -> None:
    """Print one line for each fault."""
    print("| Fault | Placed | " + " | ".join(EFFECTS) + " | run twice |")
    for fault in FAULTS:
        background = Background()
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(Path(directory), background)
            try:
                start_fleet(fleet)
                effects = asyncio.run(send_during_fault(fleet, fault))
                counts = [e.backend.ask("GET", "/control/counts") for e in fleet.endpoints]
            finally:
                fleet.close()
                background.close()
        runs: Counter[str] = Counter()
        for count in counts:
            runs.update(count)
        twice = sum(1 for times in runs.values() if times > 1)
        effect_counts = Counter(effects)
        cells = [str(effect_counts[effect]) for effect in EFFECTS]
        print(f"| {fault.name} | {len(effects)} | {' | '.join(cells)} | {twice} |", flush=True)


if __name__ == "__main__":
    main()
