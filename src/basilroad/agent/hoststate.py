"""What an agent tells of its host in the status row."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.status import EndpointLoad, HostState
from basilroad.world.loaded import Loaded

RUNNING_STEPS = 4
"""Parts of an endpoint's slots in which its load is told, so that few changes are written."""


class Driver(Protocol):
    """Drives one endpoint."""

    def build_state(self) -> wire.EndpointState:
        """:return: the endpoint's state for the entries."""


def build_host_state(drivers: Iterable[Driver]) -> HostState:
    """Describe a host.

    :param drivers: of its endpoints
    :return: loads rounded up to a part of the slots, and the drains with what is in flight
    """
    loads = tuple(_describe(driver.build_state()) for driver in drivers)
    drains = tuple((load.endpoint, load.running) for load in loads if load.draining)
    return HostState(role="agent", drains=drains, loads=loads)


def _describe(state: wire.EndpointState) -> EndpointLoad:
    step = max(1, state.slots // RUNNING_STEPS)
    is_engine = state.kind == "engine"
    return EndpointLoad(
        endpoint=state.endpoint,
        running=min(-(-state.running // step) * step, state.slots),
        slots=state.slots,
        draining=state.draining,
        loaded=_show(state.service, state.adapter, state.version) if is_engine else "",
        pending=_show_pending(state),
        state=state.state,
    )


def _show_pending(state: wire.EndpointState) -> str:
    if not state.HasField("pending"):
        return ""
    return _show(state.pending.model, state.pending.adapter, state.pending.version)


def _show(model: str, adapter: str, version: str) -> str:
    return str(Loaded(model, adapter, version)) if model else ""


__all__ = ["build_host_state"]
