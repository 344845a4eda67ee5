"""Measure the planner's time, and loads against the weight store's rate."""

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
ROUND_S = 0.1
POLL_S = 0.02
OTHER_S = 2.0


def make_situation(engines: int, *, filled: bool) -> PlanningInput:
    """:return: a fleet whose models want a third of it at least, each region its share."""
    least = max(1, engines // (2 * MODELS * REGIONS))
    regions = [f"region-{number}" for number in range(REGIONS)]
    bounds = {region: ReplicaBounds(min=least) for region in regions}
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


def settle(situation: PlanningInput) -> PlanningInput:
    """:return: the same fleet after all its plans were carried out."""
    while changes := {c.endpoint: c for c in make_plan(situation).changes}:
        engines = [
            (
                attrs.evolve(e, loaded=changes[e.endpoint].target, ready=True)
                if e.endpoint in changes
                else e
            )
            for e in situation.engines
        ]
        situation = attrs.evolve(situation, engines=tuple(engines))
    return situation


def measure_plan(situation: PlanningInput) -> tuple[float, int]:
    """:return: processor time of one plan, in milliseconds, and its changes."""
    start = time.process_time()
    for _ in range(ROUNDS):
        plan = make_plan(situation)
    spent_s = time.process_time() - start
    return spent_s / ROUNDS * MILLISECONDS, len(plan.changes)


@attrs.define
class LoadFigures:
    """What one way of loading all replicas cost.

    :param all_s: seconds until the last replica was ready
    :param refused: pulls that the store refused
    :param other: pulls of others that the store let through at once
    :param other_tries: pulls of others
    """

    all_s: float
    refused: int
    other: int
    other_tries: int


async def load_replicas(load_limiter: LoadRateLimiter) -> LoadFigures:
    """Load all replicas while another user of the store pulls now and then.

    :param stagger: lets the loads through
    :return: what it cost
    """
    store = PlatformStandinSettings(
        listen="127.0.0.1:0",
        weight_pulls_per_s=STORE_PULLS_PER_S,
        weight_burst=STORE_BURST,
    )
    async with PlatformStandin(store, embedded=True) as platform:
        url = f"http://{platform.address}"
        loaders = {f"e{n}": _make_loader(f"e{n}", url) for n in range(REPLICAS)}
        other = asyncio.ensure_future(_pull_now_and_then(url))
        start = time.monotonic()
        await _load_all(loaders, load_limiter)
        all_s = time.monotonic() - start
        other.cancel()
        tries = (await asyncio.gather(other, return_exceptions=True))[0]
        assert isinstance(tries, list)
        refused = platform._counters.weight_refusals
        return LoadFigures(all_s, refused, sum(tries), len(tries))


async def _load_all(loaders: dict[str, Loader], load_limiter: LoadRateLimiter) -> None:
    waiting = {name: _make_change(name, n) for n, name in enumerate(loaders)}
    while waiting or any(loader.health.state != "ready" for loader in loaders.values()):
        for change in load_limiter.admit(list(waiting.values())):
            del waiting[change.endpoint]
            loaders[change.endpoint].execute(EngineCommand("load", "spec", version="2"))
        await asyncio.sleep(ROUND_S if waiting else POLL_S)


async def _pull_now_and_then(url: str) -> list[bool]:
    store = HttpWeightStore(url, 5.0)
    served: list[bool] = []
    spread = random.Random(7)
    try:
        while True:
            await asyncio.sleep(OTHER_S * spread.uniform(0.5, 1.5))
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
        empty = make_situation(engines, filled=False)
        rolling = make_situation(engines, filled=True)
        cases = {"empty": empty, "rolling": rolling, "at rest": settle(rolling)}
        for what, situation in cases.items():
            spent_ms, changes = measure_plan(situation)
            print(
                f"{engines} engines, {MODELS} models, {what}: {spent_ms:.1f} ms, {changes} changes"
            )
    ways = {
        "at once": LoadRateSettings(loads_per_s=1000.0, burst=1000),
        "staggered at the store's rate": LoadRateSettings(loads_per_s=2.0, burst=2),
        "staggered at half of it (default)": LoadRateSettings(),
    }
    for what, settings in ways.items():
        figures = asyncio.run(load_replicas(LoadRateLimiter(settings)))
        print(
            f"{REPLICAS} replicas {what}: {figures.all_s:.1f} s, {figures.refused} pulls refused, "
            f"others served {figures.other} of {figures.other_tries}"
        )


if __name__ == "__main__":
    main()
