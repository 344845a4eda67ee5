"""Check that calls to plain services count as load while they run."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from basilroad.entry.calls.calls import ServiceCaller
from basilroad.entry.calls.servicecall import ServiceCall
from basilroad.entry.links.link import EndpointView, LinkLostError
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.contract import Contract


@pytest.mark.parametrize("lost", [False, True])
async def test_ended_call_no_longer_counts_as_load(lost: bool) -> None:
    during: list[int] = []

    async def ask(number: int, *_: object) -> wire.CallAnswer:
        during.append(view.unreported_work)
        if lost:
            raise LinkLostError("cut")
        return wire.CallAnswer(call=number)

    link = SimpleNamespace(next_call_number=lambda: 1, ask=ask)
    view = EndpointView(link, wire.EndpointState(endpoint="orders-1"))
    caller = ServiceCaller(SimpleNamespace(table=None))
    deadline_s = time.monotonic() + 1
    call = ServiceCall("order-app", "POST", "/", (), b"", Contract(name="order-app"), deadline_s)
    try:
        await caller.send(view, call)
    except LinkLostError:
        assert lost
    assert (during, view.unreported_work) == ([1], 0)
