"""What the planner knows of the engines, and what it wants changed."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

NO_BOUNDS = ReplicaBounds()


class Action(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class EngineReport:
    """One engine as its agent reports it.

    :param endpoint: name of the engine
    :param host: host that it runs on
    :param region: region of the host
    :param data_centre: data centre of the host
    :param loaded: what it has loaded; ``None`` for nothing
    :param pending: what it loads, or will load when what runs has ended
    :param ready: whether it serves what is loaded and has no order
    :param running: generations that run on it
    :param slots: generations that it runs at once
    :param draining: whether an operator drains it
    :param orderable: whether its agent obeys this planner now
    """

    endpoint: str
    host: str
    region: str
    data_centre: str
    loaded: Loaded | None = None
    pending: Loaded | None = None
    ready: bool = True
    running: int = 0
    slots: int = 16
    draining: bool = False
    orderable: bool = True

    @property
    def holds(self) -> Loaded | None:
        """:return: what it has loaded once its orders are carried out."""
        return self.pending or (self.loaded if self.ready else None)

    @property
    def is_leaving(self) -> bool:
        """:return: whether its order waits yet and can be replaced."""
        waits = self.pending is not None and not self.ready and self.loaded is not None
        return self.orderable and waits and self.pending != self.loaded

    @property
    def is_settled(self) -> bool:
        """:return: whether it can be given an order that changes nothing under way."""
        return self.orderable and self.pending is None and (self.ready or self.loaded is None)


@attrs.frozen
class PlanningInput:
    """All that a plan depends on.

    :param models: models that are placed, by name
    :param engines: the engines that are known
    :param waiting: requests that wait, by model and region
    """

    models: Mapping[str, Model]
    engines: tuple[EngineReport, ...]
    waiting: Mapping[tuple[str, str], int] = attrs.field(factory=dict)

    def bounds(self, model: str, region: str) -> ReplicaBounds | None:
        """:return: bounds of a model in a region; ``None`` if it is left alone there."""
        known = self.models.get(model)
        return known.replicas.get(region) if known is not None else None


@attrs.frozen
class Change:
    """One engine that is to load something else.

    :param endpoint: name of the engine
    :param action: what it is to do
    :param target: what it is to load; ``None`` to unload
    :param region: region of the engine
    :param data_centre: data centre of the engine
    :param reason: short text for the log
    :param follows_demand: whether it moves capacity because requests wait
    """

    endpoint: str
    action: Action
    target: Loaded | None
    region: str
    data_centre: str
    reason: str
    follows_demand: bool = False


@attrs.frozen
class Shortage:
    """Something that the settings want and no change can bring about now.

    :param model: name of the model
    :param region: where
    :param reason: text for the status
    """

    model: str
    region: str
    reason: str


@attrs.frozen
class Plan:
    """Changes that bring the engines nearer to the settings.

    :param changes: the most important first
    :param shortages: what can't be had now
    """

    changes: tuple[Change, ...] = ()
    shortages: tuple[Shortage, ...] = ()


__all__ = ["NO_BOUNDS", "Action", "Change", "EngineReport", "Plan", "PlanningInput", "Shortage"]
