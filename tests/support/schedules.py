"""Random fault schedules while callers place orders that must not run twice."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from support.callers import OrderAnswer, place_order
from support.fleet import Endpoint, Fleet, Process
from support.proxy import FaultProxy
from support.steps.context import SERVICE
from support.steps.order_faults import read_effect

ORDERS = 6
"""Orders per schedule."""

ATTEMPTS = 4
"""Attempts of a caller per order while the faults last."""

SCHEDULE_INTERVAL_S = 1.2
"""Window in which the orders and faults of a schedule start; the next schedule starts after it."""

SHORT_TIMEOUT_S = 0.4
LONG_TIMEOUT_S = 8.0
FAULT_DURATION_S = (0.2, 2.5)
SLOW_STORE_S = 0.4

FAULTS = (
    "freeze entry",
    "kill entry",
    "freeze agent",
    "kill agent",
    "cut agent link",
    "freeze agent link",
    "drop agent answers",
    "cut service link",
    "drop service answers",
    "cut store",
    "slow store",
    "lose store answers",
)
"""Each schedule injects one or two of these."""


@attrs.define(eq=False)
class TrackedOrder:
    """One order and the effects reported to its caller.

    :param name: name of the order, also its idempotency key
    :param effects: effect that each response reported
    :param contradictions: responses whose effect contradicts the number of runs
    """

    name: str
    effects: list[str] = attrs.field(factory=list)
    contradictions: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class Schedules:
    """Runs schedules on one fleet.

    :param fleet: its processes, ready
    """

    fleet: Fleet
    orders: list[TrackedOrder] = attrs.field(factory=list)
    _locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)

    async def run(self, seeds: range) -> None:
        """Run one schedule per seed, then send every order once more without faults.

        :param seeds: of the schedules
        """
        running = []
        for seed in seeds:
            running.append(asyncio.ensure_future(self._run_one(random.Random(seed), seed)))
            await asyncio.sleep(SCHEDULE_INTERVAL_S)
        await asyncio.gather(*running)
        await asyncio.to_thread(self.fleet.wait_ready)
        await asyncio.gather(
            *(self._send_order(each, 0, LONG_TIMEOUT_S * 2) for each in self.orders)
        )

    async def count(self) -> Counter[str]:
        """:return: number of runs by order."""
        counts: Counter[str] = Counter()
        for endpoint in self.fleet.endpoints:
            found = await asyncio.to_thread(endpoint.backend.ask, "GET", "/control/counts")
            counts.update(found)
        return counts

    async def _run_one(self, rng: random.Random, seed: int) -> None:
        faults = [self._fault(rng, rng.choice(FAULTS)) for _ in range(rng.choice((1, 2)))]
        orders = [TrackedOrder(f"s{seed}-{number}") for number in range(ORDERS)]
        self.orders.extend(orders)
        callers = [self._call(random.Random(rng.random()), each) for each in orders]
        await asyncio.gather(*faults, *callers)

    async def _call(self, rng: random.Random, order: TrackedOrder) -> None:
        await asyncio.sleep(rng.uniform(0, SCHEDULE_INTERVAL_S))
        for _ in range(ATTEMPTS):
            entry = rng.randrange(len(self.fleet.entries))
            await self._send_order(order, entry, rng.choice((SHORT_TIMEOUT_S, LONG_TIMEOUT_S)))
            if order.effects[-1] in ("done", "ran"):
                return
            await asyncio.sleep(rng.uniform(0, 0.5))

    async def _send_order(self, order: TrackedOrder, entry: int, caller_timeout_s: float) -> None:
        call = place_order(
            self.fleet.entries[entry].url,
            SERVICE,
            "orders",
            body={"order": order.name},
            key=order.name,
            headers={"X-Order": order.name},
        )
        try:
            answer = await asyncio.wait_for(call, caller_timeout_s)
        except TimeoutError:
            answer = OrderAnswer(0, b"")
        effect = read_effect(answer)
        order.effects.append(effect)
        runs = (await self.count())[order.name]
        if (effect == "not_run" and runs) or (effect in ("done", "ran") and runs != 1):
            order.contradictions.append(f"{effect} with {runs} runs: {answer}")

    async def _fault(self, rng: random.Random, what: str) -> None:
        await asyncio.sleep(rng.uniform(0, SCHEDULE_INTERVAL_S))
        action, _, target = what.partition(" ")
        endpoint = rng.choice(self.fleet.endpoints)
        processes = {"entry": rng.choice(self.fleet.entries), "agent": endpoint.agent}
        seconds = rng.uniform(*FAULT_DURATION_S)
        if target in processes:
            await self._disturb_process(processes[target], action, seconds)
        elif target in ("store", "store answers"):
            await self._disturb_store(action, seconds)
        else:
            await self._disturb_link(_find_proxy(endpoint, target), action, seconds)

    async def _disturb_process(self, process: Process, action: str, seconds: float) -> None:
        async with self._lock(process.name):
            await asyncio.to_thread(process.freeze if action == "freeze" else process.kill)
            await asyncio.sleep(seconds)
            await asyncio.to_thread(process.wake if action == "freeze" else process.restart)

    async def _disturb_store(self, action: str, seconds: float) -> None:
        platform = self.fleet.platform
        assert platform is not None
        assert platform.proxy is not None
        if action == "lose":
            await asyncio.to_thread(platform.ask, "POST", "/control", {"lose_answers": 3})
            return
        if action == "cut":
            await self._disturb_link(platform.proxy, action, seconds)
            return
        async with self._lock("slow store"):
            await asyncio.to_thread(platform.ask, "POST", "/control", {"slow_s": SLOW_STORE_S})
            await asyncio.sleep(seconds)
            await asyncio.to_thread(platform.ask, "POST", "/control", {"slow_s": 0.0})

    async def _disturb_link(self, proxy: FaultProxy, action: str, seconds: float) -> None:
        async with self._lock(proxy.listen):
            if action == "drop":
                await asyncio.to_thread(proxy.drop_answers, 2)
                return
            await asyncio.to_thread(proxy.freeze if action == "freeze" else proxy.cut)
            await asyncio.sleep(seconds)
            await asyncio.to_thread(proxy.thaw if action == "freeze" else proxy.heal)

    def _lock(self, name: str) -> asyncio.Lock:
        return self._locks.setdefault(name, asyncio.Lock())


def _find_proxy(endpoint: Endpoint, target: str) -> FaultProxy:
    process = endpoint.agent if target.startswith("agent") else endpoint.backend
    assert process.proxy is not None
    return process.proxy


__all__ = ["Schedules", "TrackedOrder"]
