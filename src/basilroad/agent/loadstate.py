"""Load state of an engine, read from settings, orders and health responses."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from basilroad.endpoints.messages import EngineHealth, EngineOrder
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from basilroad.settings.daemon import EndpointSettings


class LoadState(enum.Enum):
    """Load state of an engine; it accepts work only when ready."""

    READY = "ready"
    LEAVING = "leaving"
    """An order is pending until the running work has ended."""
    LOADING = "loading"
    EMPTY = "empty"


def read_settings(settings: EndpointSettings) -> Loaded:
    """:return: the loaded model according to the agent's settings file."""
    return Loaded(settings.service, settings.adapter, settings.version)


def read_order(order: wire.PlaceModel) -> Loaded:
    """:return: the model that an order requests."""
    return Loaded(order.model, order.adapter, order.version)


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


def build_order(order: wire.PlaceModel) -> EngineOrder:
    """:return: the order as a message to the engine."""
    return EngineOrder(
        action=order.action,
        model=order.model,
        adapter=order.adapter,
        version=order.version,
        role=order.role,
        fence=order.fence,
    )


__all__ = ["LoadState", "build_order", "read_health", "read_order", "read_settings", "read_state"]
