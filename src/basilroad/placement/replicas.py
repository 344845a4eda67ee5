"""Replicas of one region while a plan for it is made."""

from __future__ import annotations

from collections import Counter

from basilroad.placement.plan import NO_BOUNDS, Action, Change, EngineReport, PlanningInput
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

EMPTY_ENGINE = 0
SURPLUS_ENGINE = 1
DONOR_ENGINE = 2


class Replicas:
    """Counts the replicas of a region as they stand with the changes planned so far.

    :param situation: all that the plan depends on
    :param region: the region
    """

    def __init__(self, situation: PlanningInput, region: str) -> None:
        self.situation = situation
        self.region = region
        self.changes: dict[str, Change] = {}
        engines = [e for e in situation.engines if e.region == region and not e.draining]
        self.engines = sorted(engines, key=lambda e: e.endpoint)
        self._holds = {engine.endpoint: engine.holds for engine in self.engines}
        self._counts = Counter(held.model for held in self._holds.values() if held is not None)
        self._ready = Counter(
            e.loaded.model for e in self.engines if e.ready and e.loaded and e.pending is None
        )
        self._data_centres: Counter[tuple[str, str]] = Counter()
        self._hosts: Counter[tuple[str, str]] = Counter()
        for engine in self.engines:
            self._count_place(engine, self._holds[engine.endpoint], 1)

    @property
    def models(self) -> list[Model]:
        """:return: models with bounds in the region, by name."""
        models = self.situation.models
        return [m for _, m in sorted(models.items()) if self.region in m.replicas]

    def bounds(self, model: str) -> ReplicaBounds:
        """:return: bounds of a model in the region."""
        return self.situation.bounds(model, self.region) or NO_BOUNDS

    def count(self, model: str) -> int:
        """:return: replicas there are once all orders are carried out."""
        return self._counts[model]

    def count_held(self, loaded: Loaded | None) -> int:
        """:return: replicas that have just this once all orders are carried out."""
        return sum(held is not None and held == loaded for held in self._holds.values())

    def count_ready(self, model: str) -> int:
        """:return: replicas that serve now and go on serving."""
        return self._ready[model]

    def count_waiting(self, model: str) -> int:
        """:return: requests that wait for a model in the region."""
        return self.situation.waiting.get((model, self.region), 0)

    def may_grow(self, model: str) -> bool:
        """:return: whether one more replica keeps within the bounds."""
        most = self.bounds(model).max
        return most == 0 or self.count(model) < most

    def may_give(self, engine: EngineReport) -> bool:
        """:return: whether the minimum goes on serving without an engine's replica."""
        held = self._holds[engine.endpoint]
        return held is None or self.count_ready(held.model) > self.bounds(held.model).min

    def list_settled(self, model: str) -> list[EngineReport]:
        """:return: ready replicas of a model that can be changed."""
        return [
            engine
            for engine in self.engines
            if self._may_change(engine) and engine.ready and self._get_model(engine) == model
        ]

    def list_leaving(self, model: str) -> list[EngineReport]:
        """:return: engines that wait to load a model in place of what they still have."""
        return [
            engine
            for engine in self.engines
            if engine.is_leaving
            and engine.endpoint not in self.changes
            and self._get_model(engine) == model
        ]

    def find_engine(self, model: str, worst: int = DONOR_ENGINE) -> EngineReport | None:
        """Choose the engine for one more replica.

        :param model: name of the model
        :param worst: dearest kind of engine that may be taken
        :return: the one whose change costs least, then the one that spreads the replicas most
        """
        ranked = [
            (kind, self._measure_crowding(engine, model), engine.running, engine.endpoint, engine)
            for engine in self.engines
            if (kind := self._classify(engine, model)) is not None and kind <= worst
        ]
        return min(ranked, key=lambda r: r[:4])[-1] if ranked else None

    def find_excess(self, model: str, wanted: Loaded | None) -> EngineReport | None:
        """Choose the replica to give up.

        :param model: name of the model
        :param wanted: what its replicas should have loaded, if that is known
        :return: one of an old version, else in the most crowded place, else the least busy
        """
        spare = [engine for engine in self.list_settled(model) if self.may_give(engine)]
        return min(spare, key=lambda e: self._rank_excess(e, wanted), default=None)

    def change(
        self,
        engine: EngineReport,
        target: Loaded | None,
        reason: str,
        *,
        follows_demand: bool = False,
    ) -> None:
        """Plan a change.

        :param engine: the engine
        :param target: what it is to load; ``None`` to unload
        :param reason: short text for the log
        :param follows_demand: whether capacity moves because requests wait
        """
        held = self._holds[engine.endpoint]
        if held is not None:
            self._counts[held.model] -= 1
            self._ready[held.model] -= engine.ready
            self._count_place(engine, held, -1)
        if target is not None:
            self._counts[target.model] += 1
            self._count_place(engine, target, 1)
        self._holds[engine.endpoint] = target
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
        held = self._holds[engine.endpoint]
        return held.model if held is not None else ""

    def _classify(self, engine: EngineReport, model: str) -> int | None:
        if not self._may_change(engine):
            return None
        held = self._holds[engine.endpoint]
        if held is None:
            return EMPTY_ENGINE
        bounds = self.situation.bounds(held.model, self.region)
        if bounds is None or held.model == model or not self.may_give(engine):
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
        current = self._holds[engine.endpoint] == wanted
        return current, -centre, -host, engine.running, engine.endpoint

    def _count_place(self, engine: EngineReport, held: Loaded | None, step: int) -> None:
        if held is not None:
            self._data_centres[held.model, engine.data_centre] += step
            self._hosts[held.model, engine.host] += step


__all__ = ["DONOR_ENGINE", "EMPTY_ENGINE", "SURPLUS_ENGINE", "Replicas"]
