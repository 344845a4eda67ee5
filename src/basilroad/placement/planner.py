"""Planning as a pure function of the settings and of the agents' reports."""

from __future__ import annotations

from collections import Counter

from basilroad.placement.plan import Change, EngineReport, Plan, PlanningInput, Shortage
from basilroad.placement.replicas import SURPLUS_ENGINE, Replicas
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model

ROLLOUT_DIVISOR = 4
"""One in this many replicas of a model changes its version at a time, but at least one."""

MAX_DONOR_UTILIZATION = 0.7
"""Highest slot utilization of a donor model's remaining replicas after one is moved."""


def make_plan(planning_input: PlanningInput) -> Plan:
    """Compute the fewest changes that move the engines towards the settings.

    :param planning_input: input of the planner
    :return: the plan; deterministic
    """
    changes: list[Change] = []
    shortages: list[Shortage] = []
    for region in sorted({engine.region for engine in planning_input.engines}):
        planner = _RegionPlanner(planning_input, region)
        planner.plan()
        changes.extend(planner.replicas.changes.values())
        shortages.extend(planner.shortages)
    return Plan(tuple(changes), tuple(shortages))


class _RegionPlanner:
    def __init__(self, planning_input: PlanningInput, region: str) -> None:
        self.replicas = Replicas(planning_input, region)
        self.shortages: list[Shortage] = []
        self._region = region
        self._wanted = {m.name: _choose_loaded(m, planning_input) for m in self.replicas.models}

    def plan(self) -> None:
        """Plan the region: minimums first, then queued requests, maximums and versions."""
        self._meet_minimums()
        for model in self.replicas.models:
            self._retarget_pending(model)
        for model in self.replicas.models:
            self._follow_demand(model)
        for model in self.replicas.models:
            self._remove_excess(model)
        for model in self.replicas.models:
            self._roll_out_version(model)

    def _meet_minimums(self) -> None:
        short = {m.name for m in self.replicas.models if self._measure_shortfall(m.name) > 0}
        while short:
            # largest relative shortfall first, so that no model takes all engines
            name = max(sorted(short), key=self._rank_shortfall)
            reason = self._add_replica(name, "below its minimum")
            if reason:
                self.shortages.append(Shortage(name, self._region, reason))
            if reason or self._measure_shortfall(name) <= 0:
                short.discard(name)

    def _measure_shortfall(self, name: str) -> float:
        minimum = self.replicas.bounds(name).min
        return 1.0 - self.replicas.count(name) / minimum if minimum else 0.0

    def _rank_shortfall(self, name: str) -> tuple[float, int]:
        missing = self.replicas.bounds(name).min - self.replicas.count(name)
        return self._measure_shortfall(name), missing

    def _add_replica(self, name: str, reason: str) -> str:
        wanted = self._wanted[name]
        if wanted is None:
            return "the settings name no version and no replica runs"
        engine = self.replicas.choose_engine(name)
        if engine is None:
            return "no engine is free"
        self.replicas.change(engine, wanted, f"{name} is {reason}")
        return ""

    def _retarget_pending(self, model: Model) -> None:
        wanted = self._wanted[model.name]
        if wanted is None:
            return
        for engine in self.replicas.list_retargetable(model.name):
            if engine.pending != wanted:
                self.replicas.change(engine, wanted, f"{model.name} changes its version again")

    def _follow_demand(self, model: Model) -> None:
        replicas = self.replicas
        if not replicas.count_waiting(model.name) or not replicas.can_add(model.name):
            return
        wanted = self._wanted[model.name]
        if wanted is None or replicas.count(model.name) > replicas.count_ready(model.name):
            return
        engine = replicas.choose_engine(model.name)
        if engine is not None and self._can_spare(engine):
            reason = f"requests wait for {model.name}"
            replicas.change(engine, wanted, reason, follows_demand=True)

    def _can_spare(self, engine: EngineReport) -> bool:
        if engine.loaded is None:
            return True
        others = [e for e in self.replicas.list_changeable(engine.loaded.model) if e is not engine]
        running = engine.running + sum(other.running for other in others)
        return running <= MAX_DONOR_UTILIZATION * sum(other.slots for other in others)

    def _remove_excess(self, model: Model) -> None:
        maximum = self.replicas.bounds(model.name).max
        wanted = self._wanted[model.name]
        while maximum and self.replicas.count(model.name) > maximum:
            engine = self.replicas.choose_excess(model.name, wanted)
            if engine is None:
                return
            if engine.loaded != wanted and self.replicas.count_assigned(wanted) < maximum:
                # update versions before removing the excess: at the maximum none could be spared
                return
            self.replicas.change(engine, None, f"{model.name} is above its maximum")

    def _roll_out_version(self, model: Model) -> None:
        wanted = self._wanted[model.name]
        replicas = self.replicas
        old = [e for e in replicas.list_changeable(model.name) if e.loaded != wanted]
        if wanted is None or not old:
            return
        ready = replicas.count_ready(model.name)
        count = replicas.count(model.name)
        in_progress = count - ready
        at_once = max(1, count // ROLLOUT_DIVISOR) - in_progress
        steps = min(ready - self._get_ready_minimum(model.name), at_once)
        if steps <= 0 and not in_progress:
            self._add_surge_replica(model, wanted)
            return
        for _ in range(min(steps, len(old))):
            engine = replicas.choose_excess(model.name, wanted)
            if engine is not None:
                replicas.change(engine, wanted, f"{model.name} changes its version")

    def _get_ready_minimum(self, name: str) -> int:
        minimum = self.replicas.bounds(name).min
        return max(minimum, 1) if self.replicas.count(name) > 1 else minimum

    def _add_surge_replica(self, model: Model, wanted: Loaded) -> None:
        engine = self.replicas.choose_engine(model.name, SURPLUS_ENGINE)
        if engine is not None and self.replicas.can_add(model.name):
            self.replicas.change(engine, wanted, f"one more {model.name} to change its version")
            return
        reason = "the minimum leaves no replica to change its version"
        self.shortages.append(Shortage(model.name, self._region, reason))


def _choose_loaded(model: Model, planning_input: PlanningInput) -> Loaded | None:
    if model.versions:
        return Loaded(model.name, model.adapter, model.versions[0])
    held = (engine.assigned for engine in planning_input.engines)
    versions = Counter(h.version for h in held if h is not None and h.model == model.name)
    if not versions:
        return None
    # any version is allowed, so the most common one needs the fewest changes
    version = min(versions, key=lambda v: (-versions[v], v))
    return Loaded(model.name, model.adapter, version)


__all__ = ["make_plan"]
