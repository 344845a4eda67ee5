"""Check that the planner's fencing number stays above those that the agents have admitted."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from basilroad.entry.links.link import EndpointView
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.placement.service import Planner
from basilroad.settings.view import SettingsView
from basilroad.world.model import Model
from coordination.faketable import FakeTable


class FakeLink:
    is_up = True
    hello = wire.AgentHello(host="h1", region="riga", data_centre="riga-a")

    def __init__(self) -> None:
        self.sent: list[wire.PlaceModel] = []
        state = wire.EndpointState(endpoint="e1", kind="engine", alive=True, fence=7)
        self.endpoints = {"e1": EndpointView(self, state)}  # type: ignore[arg-type]

    def next_call_number(self) -> int:
        return 3

    async def ask(self, call: int, message: wire.EntryMessage, timeout_s: float) -> object:
        del timeout_s
        self.sent.append(message.place)
        return wire.ModelPlaced(call=call, fence=message.place.fence)


# Guards against: after the table lost a planner's lease, the next one gets a lower fencing number,
# and agents refuse its commands for as long as it holds the lease.
async def test_planner_gets_above_the_fence_of_a_lost_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = FakeLink()
    entry = SimpleNamespace(
        settings=SimpleNamespace(host="h1"),
        incarnation="i",
        store=SimpleNamespace(view=SettingsView()),
        links={"h1": link},
    )
    planner = Planner(entry, FakeTable())  # type: ignore[arg-type]
    monkeypatch.setattr(planner, "list_models", lambda: {"m": Model(name="m")})
    assert await planner.lease.acquire()
    assert planner.lease.fence() == 1
    await planner.run_round()
    await planner.keeper.keep()
    await planner.run_round()
    assert [(each.action, each.fence) for each in link.sent] == [("fence", 8)]
