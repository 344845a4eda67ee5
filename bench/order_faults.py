"""Measure how many orders get through while one thing fails.

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

RATE = 40
"""Orders a second, at two entries in turn."""

SPAN_S = 6.0
FAULT_BEGIN_S = 1.5
FAULT_END_S = 4.5
CALLER_S = 15.0
EFFECTS = ("done", "not_run", "may_have_run", "ran", "none")

Action = Callable[[Fleet], None]


@attrs.frozen
class Fault:
    """One thing that fails for a while.

    :param name: as it is printed
    :param begin: brings it about
    :param end: takes it back
    """

    name: str
    begin: Action
    end: Action


def control_platform(**fields: float) -> Action:
    """:return: tells the platform stand-in its faults."""

    def act(fleet: Fleet) -> None:
        assert fleet.platform is not None
        fleet.platform.ask("POST", "/control", fields)

    return act


def nothing(_: Fleet) -> None:
    """Do nothing."""


FAULTS = (
    Fault("nothing", nothing, nothing),
    Fault(
        "store cut off",
        lambda fleet: fleet.platform.proxy.cut(),
        lambda fleet: fleet.platform.proxy.heal(),
    ),
    Fault("store slow by 0.5 s", control_platform(slow_s=0.5), control_platform(slow_s=0.0)),
    Fault(
        "half of the store's answers lost",
        control_platform(lose_share=0.5),
        control_platform(lose_share=0.0),
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


async def place(fleet: Fleet, number: int) -> str:
    """:return: what the caller of one order was told."""
    entry = fleet.entries[number % len(fleet.entries)]
    headers = {"X-Order": str(number)}
    call = place_order(
        entry.url, SERVICE, "orders", body={}, key=f"order-{number}", headers=headers
    )
    try:
        return read_effect(await asyncio.wait_for(call, CALLER_S))
    except TimeoutError:
        return read_effect(OrderAnswer(0, b""))


async def offer(fleet: Fleet, fault: Fault) -> list[str]:
    """Place orders at a steady rate while something fails.

    :param fleet: its processes, ready
    :param fault: what fails
    :return: what each caller was told, of the orders that were placed during the fault
    """

    async def disturb() -> None:
        await asyncio.sleep(FAULT_BEGIN_S)
        await asyncio.to_thread(fault.begin, fleet)
        await asyncio.sleep(FAULT_END_S - FAULT_BEGIN_S)
        await asyncio.to_thread(fault.end, fleet)

    disturbance = asyncio.ensure_future(disturb())
    told = []
    for number in range(int(RATE * SPAN_S)):
        told.append(asyncio.ensure_future(place(fleet, number)))
        await asyncio.sleep(1 / RATE)
    await disturbance
    effects = await asyncio.gather(*told)
    return effects[int(RATE * FAULT_BEGIN_S) : int(RATE * FAULT_END_S)]


def main() -> None:
    """Print one line for each fault."""
    print("| Fault | Placed | " + " | ".join(EFFECTS) + " | run twice |")
    for fault in FAULTS:
        background = Background()
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(Path(directory), background)
            try:
                start_fleet(fleet)
                effects = asyncio.run(offer(fleet, fault))
                counts = [e.backend.ask("GET", "/control/counts") for e in fleet.endpoints]
            finally:
                fleet.close()
                background.close()
        runs: Counter[str] = Counter()
        for count in counts:
            runs.update(count)
        twice = sum(1 for times in runs.values() if times > 1)
        told = Counter(effects)
        cells = [str(told[effect]) for effect in EFFECTS]
        print(f"| {fault.name} | {len(effects)} | {' | '.join(cells)} | {twice} |", flush=True)


if __name__ == "__main__":
    main()
