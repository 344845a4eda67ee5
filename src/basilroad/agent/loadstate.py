"""What an engine has loaded, as orders and its health tell it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from basilroad.endpoints.messages import EngineCommand, EngineHealth
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from basilroad.settings.daemon import EndpointSettings


class LoadState(enum.Enum):
    """Whether an engine takes work."""

    READY = "ready"
    LEAVING = "leaving"
    """An order waits until what runs has ended."""
    LOADING = "loading"
    EMPTY = "empty"


def read_settings(settings: EndpointSettings) -> Loaded:
    """:return: what the agent's settings file says is loaded."""
    return Loaded(settings.service, settings.adapter, settings.version)


def read_order(order: wire.PlaceModel) -> Loaded:
    """:return: what an order wants loaded."""
    return Loaded(order.model, order.adapter, order.version)


def read_health(health: EngineHealth) -> Loaded | None:
    """:return: what an engine has loaded or loads; ``None`` for nothing."""
    if not health.model:
        return None
    return Loaded(health.model, health.adapter, health.version)


def read_state(health: EngineHealth) -> LoadState:
    """:return: whether an engine serves; a state that is not known counts as ready."""
    if health.state in (LoadState.LOADING.value, LoadState.EMPTY.value):
        return LoadState(health.state)
    return LoadState.READY


def build_order(order: wire.PlaceModel) -> EngineCommand:
    """:return: the order in the engine's own words."""
    return EngineCommand(
        action=order.action,
        model=order.model,
        adapter=order.adapter,
        version=order.version,
        role=order.role,
        fence=order.fence,
    )


__all__ = ["LoadState", "build_order", "read_health", "read_order", "read_settings", "read_state"]
