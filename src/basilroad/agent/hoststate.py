"""State of a host as its agent reports it in the status row."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.status import EndpointLoad, HostState
from basilroad.world.loaded import Loaded

RUNNING_STEPS = 4
"""Number of steps to which an endpoint's reported load is rounded, to limit row writes."""


class Driver(Protocol):
    """Drives one endpoint."""

    def build_state(self) -> wire.EndpointState:
        """:return: the endpoint's state for the entries."""


def build_host_state(drivers: Iterable[Driver]) -> HostState:
    """Build the state of a host.

    :param drivers: drivers of its endpoints
    :return: loads, rounded up to a step, and drains with the work in flight
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
        loaded=_format_loaded(state.service, state.adapter, state.version) if is_engine else "",
        pending=_format_pending(state),
        state=state.state,
    )


def _format_pending(state: wire.EndpointState) -> str:
    if not state.HasField("pending"):
        return ""
    return _format_loaded(state.pending.model, state.pending.adapter, state.pending.version)


def _format_loaded(model: str, adapter: str, version: str) -> str:
    return str(Loaded(model, adapter, version)) if model else ""


__all__ = ["build_host_state"]
