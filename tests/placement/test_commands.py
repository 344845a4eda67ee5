"""Check that commands are sent only while the lease is held."""

from __future__ import annotations

import attrs

from basilroad.entry.links.link import EndpointView, LinkLostError
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.placement.commands import LEASE_NOT_HELD, CommandSender
from basilroad.placement.plan import Action, Change
from basilroad.placement.service import build_report
from basilroad.world.loaded import Loaded

CHANGE = Change("e1", Action.LOAD, Loaded("spec", "oak", "2"), "riga", "riga-a", "test")


@attrs.define
class FakeLease:
    number: int | None = 7

    def fence(self) -> int | None:
        return self.number


@attrs.define(eq=False)
class FakeLink:
    reply: wire.ModelPlaced | None = None
    hello: wire.AgentHello = attrs.field(
        factory=lambda: wire.AgentHello(host="h1", region="riga", data_centre="riga-a")
    )
    sent: list[wire.PlaceModel] = attrs.field(factory=list)

    def next_call_number(self) -> int:
        return 3

    async def ask(self, call: int, message: wire.EntryMessage, timeout_s: float) -> object:
        del call, timeout_s
        self.sent.append(message.place)
        if self.reply is None:
            raise LinkLostError("no reply in time")
        return self.reply


def make_view(link: FakeLink, **fields: object) -> EndpointView:
    state = wire.EndpointState(endpoint="e1", kind="engine", **fields)
    return EndpointView(link, state)  # type: ignore[arg-type]


async def test_command_contains_the_target_and_the_fence() -> None:
    link = FakeLink(wire.ModelPlaced(call=3))
    result = await CommandSender(FakeLease()).change(make_view(link), CHANGE)  # type: ignore[arg-type]
    assert result.accepted
    (command,) = link.sent
    assert (command.call, command.endpoint, command.action, command.fence) == (3, "e1", "load", 7)
    assert (command.model, command.adapter, command.version) == ("spec", "oak", "2")


async def test_no_command_is_sent_once_the_lease_has_lapsed() -> None:
    link = FakeLink(wire.ModelPlaced(call=3))
    commands = CommandSender(FakeLease(None))  # type: ignore[arg-type]
    assert (await commands.change(make_view(link), CHANGE)).reason == LEASE_NOT_HELD
    assert (await commands.announce(make_view(link))).reason == LEASE_NOT_HELD
    assert not link.sent


async def test_refused_or_unanswered_command_is_not_accepted() -> None:
    commands = CommandSender(FakeLease())  # type: ignore[arg-type]
    refused = FakeLink(wire.ModelPlaced(call=3, kind="stale_order", fence=9))
    assert (await commands.change(make_view(refused), CHANGE)).reason == "stale_order"
    assert not (await commands.change(make_view(FakeLink()), CHANGE)).accepted


def test_only_an_engine_with_the_same_fence_accepts_commands() -> None:
    for fence, accepts_commands in ((0, False), (6, False), (7, True), (8, False)):
        view = make_view(FakeLink(), fence=fence, state="ready", service="spec", version="1")
        report = build_report(view, 7)
        assert report.accepts_commands is accepts_commands
        assert (report.loaded, report.pending) == (Loaded("spec", "", "1"), None)
