"""Measure the planner's CPU time, and model loads against the weight store's rate limit."""

from __future__ import annotations

import asyncio
import logging
import random
import time

import attrs

from basilroad.backing.weights import HttpWeightStore, WeightsPulled
from basilroad.endpoints.messages import EngineCommand
from basilroad.placement.loadlimiter import LoadRateLimiter, LoadRateSettings
from basilroad.placement.plan import Action, Change, EngineReport, PlanningInput
from basilroad.placement.planner import make_plan
from basilroad.standin.loader import Loader
from basilroad.standin.platform import PlatformStandin
from basilroad.standin.settings import EngineStandinSettings, PlatformStandinSettings
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

FLEETS = (10, 100, 600)
MODELS = 19
REGIONS = 3
CENTRES_PER_REGION = 3
ROUNDS = 10
MILLISECONDS = 1e3
REPLICAS = 12
STORE_PULLS_PER_S = 2.0
STORE_BURST = 2
PLAN_INTERVAL_S = 0.1
POLL_S = 0.02
OTHER_PULL_INTERVAL_S = 2.0


def build_planning_input(engines: int, *, filled: bool) -> PlanningInput:
    """Build a fleet in which each model needs a minimum number of replicas in every region.

    The minimums add up to about half of 100 or 600 engines, and to more than all of 10 engines.

    :param engines: number of engines
    :param filled: whether every engine has a model loaded at the start
    :return: the planning input
    """
    replicas_min = max(1, engines // (2 * MODELS * REGIONS))
    regions = [f"region-{number}" for number in range(REGIONS)]
    bounds = {region: ReplicaBounds(min=replicas_min) for region in regions}
    models = [Model(name=f"model-{n}", versions=("2", "1"), replicas=bounds) for n in range(MODELS)]
    loaded = [Loaded(model.name, "", "1") for model in models]
    reports = [
        EngineReport(
            endpoint=f"engine-{number:03}",
            host=f"host-{number:03}",
            region=regions[number % REGIONS],
            data_centre=f"centre-{number % (REGIONS * CENTRES_PER_REGION)}",
            loaded=loaded[number // REGIONS % MODELS] if filled else None,
            ready=filled,
        )
        for number in range(engines)
    ]
    return PlanningInput({model.name: model for model in models}, tuple(reports))


def apply_all_plans(planning_input: PlanningInput) -> PlanningInput:
    """:return: the same fleet after all planned changes have been carried out."""
    while changes := {c.endpoint: c for c in make_plan(planning_input).changes}:
        engines = [
            (
                attrs.evolve(e, loaded=changes[e.endpoint].target, ready=True)
                if e.endpoint in changes
                else e
            )
            for e in planning_input.engines
        ]
        planning_input = attrs.evolve(planning_input, engines=tuple(engines))
    return planning_input


def measure_plan(planning_input: PlanningInput) -> tuple[float, int]:
    """:return: CPU time of one plan, in milliseconds, and its number of changes."""
    start = time.process_time()
    for _ in range(ROUNDS):
        plan = make_plan(planning_input)
    cpu_s = time.process_time() - start
    return cpu_s / ROUNDS * MILLISECONDS, len(plan.changes)


@attrs.define
class LoadCost:
    """Cost of loading all replicas with one rate limit.

    :param total_s: seconds until the last replica was ready
    :param rejected: pulls of the replicas that the store rejected
    :param other: pulls of another client that the store served at once
    :param other_pulls: all pulls of the other client
    """

    total_s: float
    rejected: int
    other: int
    other_pulls: int


async def load_replicas(load_limiter: LoadRateLimiter) -> LoadCost:
    """Load all replicas while another client pulls from the store every few seconds.

    :param load_limiter: limits the rate of loads
    :return: cost of the loads
    """
    store = PlatformStandinSettings(
        listen="127.0.0.1:0",
        weight_pulls_per_s=STORE_PULLS_PER_S,
        weight_burst=STORE_BURST,
    )
    async with PlatformStandin(store, embedded=True) as platform:
        url = f"http://{platform.address}"
        loaders = {f"e{n}": _make_loader(f"e{n}", url) for n in range(REPLICAS)}
        other = asyncio.ensure_future(_pull_repeatedly(url))
        start = time.monotonic()
        await _load_all(loaders, load_limiter)
        total_s = time.monotonic() - start
        other.cancel()
        tries = (await asyncio.gather(other, return_exceptions=True))[0]
        assert isinstance(tries, list)
        rejected = platform._counters.weight_refusals
        return LoadCost(total_s, rejected, sum(tries), len(tries))


async def _load_all(loaders: dict[str, Loader], load_limiter: LoadRateLimiter) -> None:
    waiting = {name: _make_change(name, n) for n, name in enumerate(loaders)}
    while waiting or any(loader.health.state != "ready" for loader in loaders.values()):
        for change in load_limiter.admit(list(waiting.values())):
            del waiting[change.endpoint]
            loaders[change.endpoint].execute(EngineCommand("load", "spec", version="2"))
        await asyncio.sleep(PLAN_INTERVAL_S if waiting else POLL_S)


async def _pull_repeatedly(url: str) -> list[bool]:
    store = HttpWeightStore(url, 5.0)
    served: list[bool] = []
    rng = random.Random(7)
    try:
        while True:
            await asyncio.sleep(OTHER_PULL_INTERVAL_S * rng.uniform(0.5, 1.5))
            served.append(isinstance(await store.pull("bung", "1"), WeightsPulled))
    except asyncio.CancelledError:
        return served
    finally:
        await store.close()


def _make_loader(name: str, url: str) -> Loader:
    settings = EngineStandinSettings(name=name, listen="127.0.0.1:0", model="", weights_url=url)
    return Loader(settings, lambda: None)


def _make_change(name: str, number: int) -> Change:
    target = Loaded("spec", "", "2")
    return Change(name, Action.LOAD, target, "riga", f"riga-{number % 2}", "")


def main() -> None:
    """Print the figures."""
    logging.disable(logging.WARNING)
    for engines in FLEETS:
        empty = build_planning_input(engines, filled=False)
        rolling = build_planning_input(engines, filled=True)
        cases = {"empty": empty, "rolling": rolling, "at rest": apply_all_plans(rolling)}
        for label, planning_input in cases.items():
            cpu_ms, changes = measure_plan(planning_input)
            print(
                f"{engines} engines, {MODELS} models, {label}: {cpu_ms:.1f} ms, {changes} changes"
            )
    limiter_settings = {
        "at once": LoadRateSettings(loads_per_s=1000.0, burst=1000),
        "staggered at the store's rate": LoadRateSettings(loads_per_s=2.0, burst=2),
        "staggered at half of it (default)": LoadRateSettings(),
    }
    for label, settings in limiter_settings.items():
        cost = asyncio.run(load_replicas(LoadRateLimiter(settings)))
        print(
            f"{REPLICAS} replicas {label}: {cost.total_s:.1f} s, {cost.rejected} pulls refused, "
            f"others served {cost.other} of {cost.other_pulls}"
        )


if __name__ == "__main__":
    main()
