"""Tests of link costs, link capacity and spillover to other regions."""

from __future__ import annotations

from typing import Any, cast

import attrs
import pytest

from basilroad.entry.dispatch.dispatch import ModelQueue
from basilroad.entry.dispatch.spillover import LOCAL_WAIT_MIN_S, SpilloverPolicy
from basilroad.entry.generations.flight import Flight
from basilroad.entry.links.link import EndpointView
from basilroad.entry.links.linkcost import LinkCosts, RegionLink
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.view import SettingsView
from basilroad.world.link import Link

LINK = Link(name="kurzeme--riga", bandwidth_bits_per_s=80_000.0, share=0.5)
BYTES_PER_S = 5_000.0


class FakeClock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@attrs.define
class FakeAgentLink:
    region: str
    hello: None = None
    leaving: bool = False


@attrs.define
class FakeFlight:
    """A request with a short prompt."""

    remaining: int = 60
    interrupted_s: float | None = 1.0
    request: Any = attrs.field(factory=lambda: FakeRequest())
    identity: Any = attrs.field(factory=lambda: FakeIdentity())


@attrs.define
class FakeRequest:
    prompt: str = "review cask"


@attrs.define
class FakeIdentity:
    rank: int = 1


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


def make_costs(clock: FakeClock, link: Link = LINK) -> LinkCosts:
    view = SettingsView(objects={"links": {LINK.name: link}})
    return LinkCosts("riga", lambda: view, clock)


def make_view(region: str, **state: Any) -> EndpointView:
    state = {"endpoint": f"{region}-1", "slots": 4, "alive": True, **state}
    return EndpointView(cast("Any", FakeAgentLink(region)), wire.EndpointState(**state))


def test_prices_are_converted_to_waiting_time(clock: FakeClock) -> None:
    free = RegionLink(LINK, 1, clock).estimate(1_000, 100, 20.0)
    paid = attrs.evolve(LINK, price_per_gigabyte=1_000.0, wait_price_per_s=0.001)
    priced = RegionLink(paid, 1, clock).estimate(1_000, 100, 20.0)
    assert free.fits
    assert priced.seconds - free.seconds == pytest.approx(
        1_000.0 * free.size / 1e9 / 0.001, rel=0.01
    )


def test_a_prompt_waits_for_free_bandwidth(clock: FakeClock) -> None:
    costs = make_costs(clock)
    view = make_view("kurzeme")
    assert costs.estimate("x" * 2_000, 10, view).fits
    costs.record_sent("kurzeme", round(BYTES_PER_S))
    full = costs.estimate("x" * 2_000, 10, view)
    assert not full.fits
    assert full.seconds > 2_400 / BYTES_PER_S
    clock.now += 1.0
    assert costs.estimate("x" * 2_000, 10, view).fits


def test_answers_never_exceed_the_bandwidth_which_entries_share(clock: FakeClock) -> None:
    costs = make_costs(clock)
    view = make_view("kurzeme", tokens_per_second=100.0, running=5)
    begun = 0
    while costs.estimate("x", 10, view).fits:
        costs.record_stream_start("kurzeme")
        begun += 1
    assert begun == round(BYTES_PER_S / (20 * 30))
    costs.record_stream_end("kurzeme")
    assert costs.estimate("x", 10, view).fits
    costs.set_entry_count(2)
    assert not costs.estimate("x", 10, view).fits


def test_the_size_of_a_token_is_measured(clock: FakeClock) -> None:
    link = RegionLink(LINK, 1, clock)
    before = link.estimate(0, 1_000, 20.0).size
    for _ in range(100):
        link.record_frame(60, 10)
    clock.now += 10.0
    assert link.estimate(0, 1_000, 20.0).size < before / 2


class FakeModelQueue(ModelQueue):
    """Model queue with a preset served rate."""

    rate: float = 0.0  # type: ignore[assignment]


def test_work_stays_local_while_waiting_is_cheaper_than_the_link(clock: FakeClock) -> None:
    spill = SpilloverPolicy(make_costs(clock), SettingsView)
    local, remote = make_view("riga"), make_view("kurzeme")
    flight, model_queue = cast("Flight", FakeFlight()), FakeModelQueue()
    reach = spill.keep_reachable(flight, model_queue, [local, remote], [local, remote])
    assert reach == [local]
    model_queue.rate = 60 / (LOCAL_WAIT_MIN_S / 2)
    assert spill.keep_reachable(flight, model_queue, [remote], [local, remote]) == []
    assert not spill.is_wanted(flight, 0.0, model_queue, [local, remote], remote)
    assert spill.is_wanted(flight, 0.0, model_queue, [local, remote], local)
    assert spill.is_wanted(flight, 2 * LOCAL_WAIT_MIN_S, model_queue, [local, remote], remote)
    model_queue.rate = 60 / (LOCAL_WAIT_MIN_S * 2)
    assert spill.keep_reachable(flight, model_queue, [remote], [local, remote]) == [remote]


def test_new_work_stays_local_for_half_of_its_target(clock: FakeClock) -> None:
    spill = SpilloverPolicy(make_costs(clock), SettingsView)
    local, remote = make_view("riga"), make_view("kurzeme")
    model_queue = FakeModelQueue()
    model_queue.rate = 1e6
    for rank, limit_s in ((0, 0.7), (1, 2.5), (2, 10.0)):
        flight = cast("Flight", FakeFlight(interrupted_s=None, identity=FakeIdentity(rank)))
        assert not spill.is_wanted(flight, 0.9 * limit_s, model_queue, [local, remote], remote)
        assert spill.is_wanted(flight, 1.1 * limit_s, model_queue, [local, remote], remote)


def test_work_leaves_a_region_without_endpoints_unless_the_link_is_full(clock: FakeClock) -> None:
    costs = make_costs(clock)
    spill = SpilloverPolicy(costs, SettingsView)
    dead, remote = make_view("riga", alive=False), make_view("kurzeme")
    flight, model_queue = cast("Flight", FakeFlight()), FakeModelQueue()
    assert spill.keep_reachable(flight, model_queue, [remote], [dead, remote]) == [remote]
    costs.record_sent("kurzeme", 10 * round(BYTES_PER_S))
    assert spill.keep_reachable(flight, model_queue, [remote], [dead, remote]) == []


def test_load_counts_work_that_a_state_does_not_include_yet() -> None:
    view = make_view("riga", running=1)
    view.sent = 2
    with view.reserve_slot():
        assert view.free == 0
    assert view.free == 1
    view.state = wire.EndpointState(slots=4, running=2, seen=1)
    assert view.unreported_work == 1
    view.state = wire.EndpointState(slots=4, running=3, seen=2)
    assert view.free == 1
