"""Load state of an engine, read from settings, commands and health responses."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from basilroad.endpoints.messages import EngineCommand, EngineHealth
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from basilroad.settings.daemon import EndpointSettings


class LoadState(enum.Enum):
    """Load state of an engine; it accepts work only when ready."""

    READY = "ready"
    LEAVING = "leaving"
    """A command is pending until the running work has ended."""
    LOADING = "loading"
    EMPTY = "empty"


def read_settings(settings: EndpointSettings) -> Loaded:
    """:return: the loaded model according to the agent's settings file."""
    return Loaded(settings.service, settings.adapter, settings.version)


def read_command(command: wire.PlaceModel) -> Loaded:
    """:return: the model that a command requests."""
    return Loaded(command.model, command.adapter, command.version)


def read_health(health: EngineHealth) -> Loaded | None:
    """:return: the model that an engine has loaded or is loading; ``None`` if there is none."""
    if not health.model:
        return None
    return Loaded(health.model, health.adapter, health.version)


def read_state(health: EngineHealth) -> LoadState:
    """:return: the load state that an engine reports; unknown states count as ready."""
    if health.state in (LoadState.LOADING.value, LoadState.EMPTY.value):
        return LoadState(health.state)
    return LoadState.READY


def build_command(command: wire.PlaceModel) -> EngineCommand:
    """:return: the command as a message to the engine."""
    return EngineCommand(
        action=command.action,
        model=command.model,
        adapter=command.adapter,
        version=command.version,
        role=command.role,
        fence=command.fence,
    )


__all__ = [
    "LoadState",
    "build_command",
    "read_command",
    "read_health",
    "read_settings",
    "read_state",
]
