"""Tests of the heartbeat timeout of agents, and of how agents count start messages."""

from __future__ import annotations

from typing import Any, cast

import pytest

from basilroad.agent.handlers import handle_message
from basilroad.agent.link import REMOTE_FLUSH_S, EntryLink
from basilroad.entry.links.link import IDLE_TIMEOUT_FACTOR, AgentLink
from basilroad.metrics import Metrics
from basilroad.peers.address import parse_address
from basilroad.peers.traffic import LinkMeter
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import EntrySettings

DEAD_AFTER_S = 1.5


class FakeOwner:
    """Counts losses."""

    lost = 0

    def on_lost(self, link: AgentLink, endpoints: list[str]) -> None:
        del link, endpoints
        self.lost += 1


class FakeAgent:
    """Has no engines."""

    def find_engine(self, name: str) -> None:
        del name


@pytest.fixture
def owner() -> FakeOwner:
    return FakeOwner()


@pytest.fixture
def link(owner: FakeOwner) -> AgentLink:
    settings = EntrySettings(listen="127.0.0.1:1", dead_after_s=DEAD_AFTER_S)
    link = AgentLink(parse_address("127.0.0.1:2"), settings, cast("Any", owner))
    link.up.set()
    return link


async def test_an_agent_of_the_region_is_lost_after_the_timeout(
    link: AgentLink, owner: FakeOwner
) -> None:
    link.check_heartbeat(DEAD_AFTER_S)
    assert not owner.lost
    link.check_heartbeat(DEAD_AFTER_S + 0.1)
    assert owner.lost == 1


async def test_an_idle_agent_of_another_region_may_be_silent_for_longer(
    link: AgentLink, owner: FakeOwner
) -> None:
    link.codec.compresses = True
    link.check_heartbeat(IDLE_TIMEOUT_FACTOR * DEAD_AFTER_S)
    assert not owner.lost
    link.check_heartbeat(IDLE_TIMEOUT_FACTOR * DEAD_AFTER_S + 0.1)
    assert owner.lost == 1


async def test_the_short_timeout_starts_with_the_work(link: AgentLink, owner: FakeOwner) -> None:
    link.codec.compresses = True
    link.check_heartbeat(4.0)
    link.attempts["generation"] = cast("Any", None)
    link.check_heartbeat(4.0 + DEAD_AFTER_S)
    assert not owner.lost
    link.attempts["generation"] = cast("Any", FakeAttempt())
    link.check_heartbeat(4.1 + DEAD_AFTER_S)
    assert owner.lost == 1


class FakeAttempt:
    def fail_locally(self, reason: object) -> None:
        del reason


async def test_an_agent_counts_the_starts_that_hold_no_slot_yet() -> None:
    meter = LinkMeter("kurzeme", Metrics(""))
    link = EntryLink(cast("Any", None), 0.005, meter)
    for credit in ("", "promised", ""):
        start = wire.StartGeneration(endpoint="engine-1", credit=credit)
        handle_message(start, cast("Any", FakeAgent()), link)
    assert link.seen["engine-1"] == 2
    assert link.is_busy
    link.record_hello(wire.EntryHello(region="riga"))
    assert link.is_remote
    assert link.codec.compresses
    assert link._outbox.flush_s == REMOTE_FLUSH_S
