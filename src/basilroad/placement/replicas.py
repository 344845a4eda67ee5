"""Replica counts of one region during planning."""

from __future__ import annotations

from collections import Counter

from basilroad.placement.plan import NO_BOUNDS, Action, Change, EngineReport, PlanningInput
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

EMPTY_ENGINE = 0
SURPLUS_ENGINE = 1
DONOR_ENGINE = 2


class Replicas:
    """Replicas of a region with the changes planned so far applied.

    :param planning_input: input of the planner
    :param region: the region
    """

    def __init__(self, planning_input: PlanningInput, region: str) -> None:
        self.planning_input = planning_input
        self.region = region
        self.changes: dict[str, Change] = {}
        engines = [e for e in planning_input.engines if e.region == region and not e.draining]
        self.engines = sorted(engines, key=lambda e: e.endpoint)
        self._assigned = {engine.endpoint: engine.assigned for engine in self.engines}
        self._counts = Counter(held.model for held in self._assigned.values() if held is not None)
        self._ready = Counter(
            e.loaded.model for e in self.engines if e.ready and e.loaded and e.pending is None
        )
        self._data_centres: Counter[tuple[str, str]] = Counter()
        self._hosts: Counter[tuple[str, str]] = Counter()
        for engine in self.engines:
            self._count_location(engine, self._assigned[engine.endpoint], 1)

    @property
    def models(self) -> list[Model]:
        """:return: models with bounds in the region, by name."""
        models = self.planning_input.models
        return [m for _, m in sorted(models.items()) if self.region in m.replicas]

    def bounds(self, model: str) -> ReplicaBounds:
        """:return: bounds of a model in the region."""
        return self.planning_input.bounds(model, self.region) or NO_BOUNDS

    def count(self, model: str) -> int:
        """:return: replicas once all commands are carried out."""
        return self._counts[model]

    def count_assigned(self, loaded: Loaded | None) -> int:
        """:return: replicas with exactly this loaded once all commands are carried out."""
        return sum(held is not None and held == loaded for held in self._assigned.values())

    def count_ready(self, model: str) -> int:
        """:return: replicas that serve now and are not to be changed."""
        return self._ready[model]

    def count_waiting(self, model: str) -> int:
        """:return: queued requests for a model in the region."""
        return self.planning_input.waiting.get((model, self.region), 0)

    def can_add(self, model: str) -> bool:
        """:return: whether one more replica stays within the bounds."""
        maximum = self.bounds(model).max
        return maximum == 0 or self.count(model) < maximum

    def can_release(self, engine: EngineReport) -> bool:
        """:return: whether the minimum is still served without an engine's replica."""
        held = self._assigned[engine.endpoint]
        return held is None or self.count_ready(held.model) > self.bounds(held.model).min

    def list_changeable(self, model: str) -> list[EngineReport]:
        """:return: ready replicas of a model that can be changed."""
        return [
            engine
            for engine in self.engines
            if self._may_change(engine) and engine.ready and self._get_model(engine) == model
        ]

    def list_retargetable(self, model: str) -> list[EngineReport]:
        """:return: engines whose queued load of a model can still be replaced."""
        return [
            engine
            for engine in self.engines
            if engine.is_retargetable
            and engine.endpoint not in self.changes
            and self._get_model(engine) == model
        ]

    def choose_engine(self, model: str, max_kind: int = DONOR_ENGINE) -> EngineReport | None:
        """Choose the engine for one more replica.

        :param model: name of the model
        :param max_kind: most expensive kind of engine that may be taken
        :return: the one whose change costs least, then the one that spreads replicas best
        """
        ranked = [
            (kind, self._measure_crowding(engine, model), engine.running, engine.endpoint, engine)
            for engine in self.engines
            if (kind := self._classify(engine, model)) is not None and kind <= max_kind
        ]
        return min(ranked, key=lambda r: r[:4])[-1] if ranked else None

    def choose_excess(self, model: str, wanted: Loaded | None) -> EngineReport | None:
        """Choose the replica to release.

        :param model: name of the model
        :param wanted: what its replicas should have loaded, if that is known
        :return: one with an old version, else in the most crowded location, else the least busy
        """
        spare = [engine for engine in self.list_changeable(model) if self.can_release(engine)]
        return min(spare, key=lambda e: self._rank_excess(e, wanted), default=None)

    def change(
        self,
        engine: EngineReport,
        target: Loaded | None,
        reason: str,
        *,
        follows_demand: bool = False,
    ) -> None:
        """Add a change to the plan.

        :param engine: the engine
        :param target: what it is to load; ``None`` to unload
        :param reason: short text for the log
        :param follows_demand: whether capacity moves because of queued requests
        """
        held = self._assigned[engine.endpoint]
        if held is not None:
            self._counts[held.model] -= 1
            self._ready[held.model] -= engine.ready
            self._count_location(engine, held, -1)
        if target is not None:
            self._counts[target.model] += 1
            self._count_location(engine, target, 1)
        self._assigned[engine.endpoint] = target
        self.changes[engine.endpoint] = Change(
            endpoint=engine.endpoint,
            action=Action.UNLOAD if target is None else Action.LOAD,
            target=target,
            region=self.region,
            data_centre=engine.data_centre,
            reason=reason,
            follows_demand=follows_demand,
        )

    def _may_change(self, engine: EngineReport) -> bool:
        return engine.is_settled and engine.endpoint not in self.changes

    def _get_model(self, engine: EngineReport) -> str:
        held = self._assigned[engine.endpoint]
        return held.model if held is not None else ""

    def _classify(self, engine: EngineReport, model: str) -> int | None:
        if not self._may_change(engine):
            return None
        held = self._assigned[engine.endpoint]
        if held is None:
            return EMPTY_ENGINE
        bounds = self.planning_input.bounds(held.model, self.region)
        if bounds is None or held.model == model or not self.can_release(engine):
            return None
        if bounds.max and self.count(held.model) > bounds.max:
            return SURPLUS_ENGINE
        spare = self.count(held.model) > bounds.min and not self.count_waiting(held.model)
        return DONOR_ENGINE if spare else None

    def _measure_crowding(self, engine: EngineReport, model: str) -> tuple[int, int]:
        return self._data_centres[model, engine.data_centre], self._hosts[model, engine.host]

    def _rank_excess(
        self, engine: EngineReport, wanted: Loaded | None
    ) -> tuple[bool, int, int, int, str]:
        centre, host = self._measure_crowding(engine, self._get_model(engine))
        current = self._assigned[engine.endpoint] == wanted
        return current, -centre, -host, engine.running, engine.endpoint

    def _count_location(self, engine: EngineReport, held: Loaded | None, step: int) -> None:
        if held is not None:
            self._data_centres[held.model, engine.data_centre] += step
            self._hosts[held.model, engine.host] += step


__all__ = ["DONOR_ENGINE", "EMPTY_ENGINE", "SURPLUS_ENGINE", "Replicas"]
