"""Input and output of the planner."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

NO_BOUNDS = ReplicaBounds()


class Action(enum.Enum):
    """Command to an engine."""

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
    :param pending: what it is loading, or will load once its running generations have ended
    :param ready: whether it serves what is loaded and has no pending command
    :param running: generations running on it
    :param slots: generations it can run at once
    :param draining: whether an operator is draining it
    :param accepts_commands: whether its agent accepts commands of this planner now
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
    accepts_commands: bool = True

    @property
    def assigned(self) -> Loaded | None:
        """:return: what it will have loaded once its pending command is carried out."""
        return self.pending or (self.loaded if self.ready else None)

    @property
    def is_retargetable(self) -> bool:
        """:return: whether its pending command has not started yet and can be replaced."""
        is_queued = self.pending is not None and not self.ready and self.loaded is not None
        return self.accepts_commands and is_queued and self.pending != self.loaded

    @property
    def is_settled(self) -> bool:
        """:return: whether no command is in progress, so that it can be given one."""
        return (
            self.accepts_commands and self.pending is None and (self.ready or self.loaded is None)
        )


@attrs.frozen
class PlanningInput:
    """Complete input of the planner.

    :param models: models subject to placement, by name
    :param engines: the known engines
    :param waiting: queued requests, by model and region
    """

    models: Mapping[str, Model]
    engines: tuple[EngineReport, ...]
    waiting: Mapping[tuple[str, str], int] = attrs.field(factory=dict)

    def bounds(self, model: str, region: str) -> ReplicaBounds | None:
        """:return: bounds of a model in a region; ``None`` if it is not managed there."""
        known = self.models.get(model)
        return known.replicas.get(region) if known is not None else None


@attrs.frozen
class Change:
    """Change of what one engine has loaded.

    :param endpoint: name of the engine
    :param action: what it is to do
    :param target: what it is to load; ``None`` to unload
    :param region: region of the engine
    :param data_centre: data centre of the engine
    :param reason: short text for the log
    :param follows_demand: whether it moves capacity because of queued requests
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
    """Replica minimum or version in the settings that can't be reached at present.

    :param model: name of the model
    :param region: region of the shortage
    :param reason: text for the status
    """

    model: str
    region: str
    reason: str


@attrs.frozen
class Plan:
    """Changes that move the engines towards the settings.

    :param changes: by priority, highest first
    :param shortages: targets that can't be reached at present
    """

    changes: tuple[Change, ...] = ()
    shortages: tuple[Shortage, ...] = ()


__all__ = ["NO_BOUNDS", "Action", "Change", "EngineReport", "Plan", "PlanningInput", "Shortage"]
