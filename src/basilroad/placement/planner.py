"""Plan as a pure function of the settings and of what the agents report."""

from __future__ import annotations

from collections import Counter

from basilroad.placement.plan import Change, EngineReport, Plan, PlanningInput, Shortage
from basilroad.placement.replicas import SURPLUS_ENGINE, Replicas
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model

ROLL_DIVISOR = 4
"""One in this many replicas of a model changes its version at once, and one at least."""

BUSY_SHARE = 0.7
"""Largest share of their slots that the replicas left behind use after one is given away."""


def make_plan(situation: PlanningInput) -> Plan:
    """Decide the fewest changes towards what the settings want.

    :param situation: all that the plan depends on
    :return: the same plan for the same situation
    """
    changes: list[Change] = []
    shortages: list[Shortage] = []
    for region in sorted({engine.region for engine in situation.engines}):
        planner = _RegionPlanner(situation, region)
        planner.plan()
        changes.extend(planner.replicas.changes.values())
        shortages.extend(planner.shortages)
    return Plan(tuple(changes), tuple(shortages))


class _RegionPlanner:
    def __init__(self, situation: PlanningInput, region: str) -> None:
        self.replicas = Replicas(situation, region)
        self.shortages: list[Shortage] = []
        self._region = region
        self._wanted = {m.name: _choose_loaded(m, situation) for m in self.replicas.models}

    def plan(self) -> None:
        """Plan the region: the minimum first, then what waits, the maximum and the versions."""
        self._meet_minimums()
        for model in self.replicas.models:
            self._redirect(model)
        for model in self.replicas.models:
            self._follow_demand(model)
        for model in self.replicas.models:
            self._cut_surplus(model)
        for model in self.replicas.models:
            self._roll(model)

    def _meet_minimums(self) -> None:
        short = {m.name for m in self.replicas.models if self._measure_lack(m.name) > 0}
        while short:
            # the model that lacks the largest share comes first, so that none gets all engines
            name = max(sorted(short), key=self._rank_lack)
            reason = self._add(name, "below its minimum")
            if reason:
                self.shortages.append(Shortage(name, self._region, reason))
            if reason or self._measure_lack(name) <= 0:
                short.discard(name)

    def _measure_lack(self, name: str) -> float:
        least = self.replicas.bounds(name).min
        return 1.0 - self.replicas.count(name) / least if least else 0.0

    def _rank_lack(self, name: str) -> tuple[float, int]:
        lacking = self.replicas.bounds(name).min - self.replicas.count(name)
        return self._measure_lack(name), lacking

    def _add(self, name: str, reason: str) -> str:
        wanted = self._wanted[name]
        if wanted is None:
            return "no version is named and none runs"
        engine = self.replicas.find_engine(name)
        if engine is None:
            return "no engine is free"
        self.replicas.change(engine, wanted, f"{name} is {reason}")
        return ""

    def _redirect(self, model: Model) -> None:
        wanted = self._wanted[model.name]
        if wanted is None:
            return
        for engine in self.replicas.list_leaving(model.name):
            if engine.pending != wanted:
                self.replicas.change(engine, wanted, f"{model.name} changes its version again")

    def _follow_demand(self, model: Model) -> None:
        replicas = self.replicas
        if not replicas.count_waiting(model.name) or not replicas.may_grow(model.name):
            return
        wanted = self._wanted[model.name]
        if wanted is None or replicas.count(model.name) > replicas.count_ready(model.name):
            return
        engine = replicas.find_engine(model.name)
        if engine is not None and self._is_idle_without(engine):
            reason = f"requests wait for {model.name}"
            replicas.change(engine, wanted, reason, follows_demand=True)

    def _is_idle_without(self, engine: EngineReport) -> bool:
        if engine.loaded is None:
            return True
        others = [e for e in self.replicas.list_settled(engine.loaded.model) if e is not engine]
        running = engine.running + sum(other.running for other in others)
        return running <= BUSY_SHARE * sum(other.slots for other in others)

    def _cut_surplus(self, model: Model) -> None:
        most = self.replicas.bounds(model.name).max
        wanted = self._wanted[model.name]
        while most and self.replicas.count(model.name) > most:
            engine = self.replicas.find_excess(model.name, wanted)
            if engine is None:
                return
            if engine.loaded != wanted and self.replicas.count_held(wanted) < most:
                # the surplus changes its version first, since at the maximum nothing could
                return
            self.replicas.change(engine, None, f"{model.name} is above its maximum")

    def _roll(self, model: Model) -> None:
        wanted = self._wanted[model.name]
        replicas = self.replicas
        old = [e for e in replicas.list_settled(model.name) if e.loaded != wanted]
        if wanted is None or not old:
            return
        ready = replicas.count_ready(model.name)
        count = replicas.count(model.name)
        under_way = count - ready
        at_once = max(1, count // ROLL_DIVISOR) - under_way
        steps = min(ready - self._read_floor(model.name), at_once)
        if steps <= 0 and not under_way:
            self._add_surge(model, wanted)
            return
        for _ in range(min(steps, len(old))):
            engine = replicas.find_excess(model.name, wanted)
            if engine is not None:
                replicas.change(engine, wanted, f"{model.name} changes its version")

    def _read_floor(self, name: str) -> int:
        least = self.replicas.bounds(name).min
        return max(least, 1) if self.replicas.count(name) > 1 else least

    def _add_surge(self, model: Model, wanted: Loaded) -> None:
        engine = self.replicas.find_engine(model.name, SURPLUS_ENGINE)
        if engine is not None and self.replicas.may_grow(model.name):
            self.replicas.change(engine, wanted, f"one more {model.name} to change its version")
            return
        reason = "the minimum leaves no replica to change its version"
        self.shortages.append(Shortage(model.name, self._region, reason))


def _choose_loaded(model: Model, situation: PlanningInput) -> Loaded | None:
    if model.versions:
        return Loaded(model.name, model.adapter, model.versions[0])
    held = (engine.holds for engine in situation.engines)
    versions = Counter(h.version for h in held if h is not None and h.model == model.name)
    if not versions:
        return None
    # any version may serve, so the one that most replicas have is no change
    version = min(versions, key=lambda v: (-versions[v], v))
    return Loaded(model.name, model.adapter, version)


__all__ = ["make_plan"]
