"""State exchanged between gateways; datagrams are delivered by the test."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.promptlocations import RETENTION_S, PromptLocation, PromptLocations
from basilroad.gateway.dispatch.promptplan import PromptHolder, find_holder
from basilroad.gateway.dispatch.selection import (
    Chooser,
    estimate_prefill_savings,
    estimate_suspicion_cost,
    find_last_failures,
)
from basilroad.gateway.exchange.gossip import (
    GOSSIP_INTERVAL_S,
    MAX_SENT_BYTES_PER_S,
    REFRESH_INTERVAL_S,
    Gossip,
)
from basilroad.gateway.exchange.loans import RetryLoans
from basilroad.gateway.exchange.localstate import list_failures
from basilroad.gateway.exchange.peertable import FANOUT, PEER_TIMEOUT_S, REGISTERED_S, STOP_MEMORY_S
from basilroad.gateway.exchange.promptexchange import PromptExchange
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.exchange.state import MAX_DATAGRAM_BYTES
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Reservation
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Notice, Source
from basilroad.peers.address import Address
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route

if TYPE_CHECKING:
    from collections.abc import Callable

SIZE = PromptSize(8000, 1000)
DATA_CENTRES = ("riga-a", "riga-b", "kurzeme-a")


class Net:
    """Gateways whose datagrams are queued until :meth:`deliver`."""

    def __init__(self, count: int = 2, endpoints: int = 3) -> None:
        self.now = 100.0
        self.sent: list[tuple[bytes, Address, Address]] = []
        self.stopping: set[int] = set()
        self.gateways = [self._build(number, endpoints) for number in range(count)]
        self.directories: list[Directory]

    def _build(self, number: int, endpoints: int) -> Gossip:
        directory = Directory(lambda: self.now)
        for index in range(endpoints):
            directory.put(build_entry(f"e{index}", service="llm"))
        address = Address("127.0.0.1", 9000 + number)
        clock, is_stopping = lambda: self.now, lambda: number in self.stopping
        locations = PromptLocations(clock)
        prompts = PromptExchange(
            f"g{number}", PLACE, locations, is_stopping=is_stopping, clock=clock
        )
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        relay = Relay(f"g{number}", lambda: self.now, lambda: self.now)
        loans = RetryLoans(f"g{number}", lambda _: RetryBudget(RetrySettings()))
        gossip = Gossip(
            f"g{number}",
            place,
            address,
            directory,
            relay,
            loans,
            clock,
            prompts=prompts,
            is_stopping=is_stopping,
        )
        gossip._directory = directory
        gossip._prompts = prompts
        gossip._send = lambda data, peer: self.sent.append((data, peer, address))  # type: ignore[method-assign]
        gossip.add_peers(Address("127.0.0.1", 9000 + n) for n in range(1000) if n < 2)
        return gossip

    def deliver(self, keep: Callable[[int], bool] = lambda _: True) -> None:
        sent, self.sent = self.sent, []
        for index, (data, peer, sender) in enumerate(sent):
            number = peer.port - 9000
            if keep(index) and number < len(self.gateways):
                self.gateways[number].datagram_received(data, (sender.ip, sender.port))


def get(gossip: Gossip, endpoint_id: str):
    endpoint = gossip._directory.get(endpoint_id)
    assert endpoint is not None
    return endpoint


def test_a_gateway_sees_the_load_of_another_one_at_an_engine() -> None:
    net = Net()
    reservation = Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    remote = get(net.gateways[1], "e1").remote
    assert (remote.calls, remote.memory_tokens, remote.pending_prefill_tokens) == (1, 9000, 8000)

    reservation.release()
    net.now += 0.1
    net.gateways[0].tick()
    net.deliver()
    assert get(net.gateways[1], "e1").remote.calls == 0


# fault: a stopping gateway didn't know that its callers would reach others that were stopping too
@pytest.mark.parametrize(
    ("stopping", "expected"), [({0}, False), ({0, 1}, False), ({0, 1, 2}, True), ({1, 2, 3}, True)]
)
def test_a_gateway_sees_whether_most_gateways_are_stopping(
    stopping: set[int], expected: bool
) -> None:
    net = Net(4)
    for gateway in net.gateways:
        gateway.add_peers(Address("127.0.0.1", 9000 + n) for n in range(4))
        gateway.tick()
    net.deliver()
    assert not net.gateways[0].are_most_stopping()

    net.stopping = stopping
    net.now += GOSSIP_INTERVAL_S
    for gateway in net.gateways:
        gateway.tick()
    net.deliver()
    assert net.gateways[0].are_most_stopping() is expected


def test_a_gateway_that_has_started_again_counts_as_running() -> None:
    net = Net()
    net.stopping = {1}
    net.gateways[1].tick()
    net.deliver()
    assert net.gateways[0].are_most_stopping()

    net.stopping = set()
    net.gateways[1] = net._build(1, 3)
    net.gateways[1]._started_ms += 1000
    net.gateways[1].tick()
    net.deliver()
    assert not net.gateways[0].are_most_stopping()


def test_a_gateway_remembers_when_others_stopped_until_they_have_started_again() -> None:
    # fault: a stopping gateway knew neither which host had stopped first nor when
    net = Net()
    stopped_at = net.now
    net.stopping = {1}
    for _ in range(2):
        net.gateways[1].tick()
        net.deliver()
        net.now += 2.0
    assert net.gateways[0].list_stops() == [stopped_at]

    net.now += PEER_TIMEOUT_S + 1.0
    net.gateways[0].tick()
    assert not net.gateways[0].list_live_peers()
    assert net.gateways[0].list_stops() == [stopped_at], "it sends nothing until it is back"

    net.stopping = set()
    net.gateways[1] = net._build(1, 3)
    net.gateways[1]._started_ms += 1000
    net.gateways[1].tick()
    net.deliver()
    assert net.gateways[0].list_stops() == []


# fault: a gateway that stopped handed over its locations of prompts first, and the others took it
# for a running one for seconds
def test_a_stop_is_known_before_the_locations_of_prompts_are_handed_over() -> None:
    net = Net()
    for _ in range(30):
        net.now += GOSSIP_INTERVAL_S
        for gossip in net.gateways:
            gossip.tick()
        net.deliver()
    stops, prompts = net.gateways[0], net.gateways[0]._prompts
    assert prompts is not None
    for number in range(3000):
        location = PromptLocation("e1", 1, net.now, net.now + 30.0)
        prompts.locations.merge(number.to_bytes(8), location)
    net.stopping.add(0)
    net.now += GOSSIP_INTERVAL_S
    stops.tick()
    net.deliver()
    assert len(net.gateways[1].list_stops()) == 1
    other = net.gateways[1]._prompts
    assert other is not None
    assert list(other.locations)
    # fault: a gateway that handed over more sent no gossip until it exited
    sequence = net.gateways[1]._table.states["g0"].sequence
    for _ in range(30):
        net.now += GOSSIP_INTERVAL_S
        stops.tick()
        net.deliver()
    assert net.gateways[1]._table.states["g0"].sequence > sequence
    # fault: what had not been handed over was lost at the exit
    stops.close()
    net.deliver()
    assert len(list(other.locations)) == 3000


def test_a_gateway_that_does_not_return_is_forgotten() -> None:
    net = Net()
    net.stopping = {1}
    net.gateways[1].tick()
    net.deliver()
    net.now += STOP_MEMORY_S + 1.0
    net.gateways[0].tick()
    assert net.gateways[0].list_stops() == []


def test_a_reordered_older_datagram_is_ignored() -> None:
    net = Net()
    reservation = Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    late, net.sent = net.sent, []
    reservation.release()
    net.now += 0.1
    net.gateways[0].tick()
    net.sent += late
    net.deliver()
    assert get(net.gateways[1], "e1").remote.calls == 0


def test_the_load_of_a_silent_gateway_is_dropped() -> None:
    net = Net()
    Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    net.now += PEER_TIMEOUT_S + 0.1
    net.gateways[1].tick()
    assert get(net.gateways[1], "e1").remote.calls == 0


def test_a_failure_seen_by_one_gateway_makes_endpoints_suspect_for_all() -> None:
    # fault: the engines of a data centre crash while only one gateway uses them
    net = Net()
    for gossip in net.gateways:
        for number in range(3):
            get(gossip, f"e{number}").listed_at = 0.0
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    endpoints = [get(net.gateways[1], f"e{number}") for number in range(3)]
    failures = find_last_failures(endpoints)
    assert all(estimate_suspicion_cost(e, failures, net.now + 0.1) > 0 for e in endpoints)


def test_a_failure_expires_though_gateways_keep_relaying_it() -> None:
    # fault: each relay of a failure report makes it look newer by the transit time
    net = Net()
    last_failed_at = net.now
    get(net.gateways[0], "e0").record_unreachable(last_failed_at)
    for _ in range(200):
        for gossip in net.gateways:
            gossip.tick()
        net.now += 0.05
        net.deliver()
    for gossip in net.gateways:
        assert get(gossip, "e0").last_failed_at - last_failed_at < 0.2
        assert not list_failures(gossip._directory, net.now)


def test_a_second_failure_is_applied_after_the_first() -> None:
    net = Net()
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    net.now += 2.0
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    assert get(net.gateways[1], "e0").last_failed_at == net.now


def test_a_failure_is_ignored_for_an_endpoint_that_has_responded_since() -> None:
    net = Net()
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.now += 1.0
    endpoint = get(net.gateways[1], "e0")
    endpoint.record_received(net.now)
    net.deliver()
    assert endpoint.last_failed_at < net.now - 1.0


def test_malformed_datagrams_are_skipped() -> None:
    net = Net()
    net.gateways[0].datagram_received(b"\xc1junk", ("127.0.0.1", 1))
    net.gateways[0].datagram_received(b"", ("127.0.0.1", 1))
    assert net.gateways[0].peers == {Address("127.0.0.1", 9001)}


def test_a_round_costs_the_same_in_a_fleet_of_any_size() -> None:
    net = Net(endpoints=600)
    gossip = net.gateways[0]
    gossip.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(410))
    for number in range(600):
        Reservation(get(gossip, f"e{number}"), SIZE)
        get(gossip, f"e{number}").last_failed_at = net.now
    gossip.tick()
    assert len(net.sent) == FANOUT
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data, *_ in net.sent)


def test_each_peer_of_a_large_fleet_is_reached() -> None:
    # 28 gateways with unchanged state
    net = Net()
    gossip = net.gateways[0]
    gossip.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(26))
    for _ in range(5):
        gossip.tick()
        net.now += REFRESH_INTERVAL_S
    assert {peer for _, peer, _ in net.sent} == gossip.peers


def test_peers_of_a_large_fleet_do_not_expire_between_reports() -> None:
    # 28 gateways; each gets a report of a peer every 5 s
    net = Net()
    listener = net.gateways[1]
    listener.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(26))
    Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    net.now += 5.0
    listener.tick()
    assert get(listener, "e1").remote.calls == 1


def test_traffic_stays_within_the_limit_under_load() -> None:
    # hundreds of endpoints whose load changes constantly
    net = Net(endpoints=600)
    gossip = net.gateways[0]
    gossip.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(27))
    for number in range(200):
        Reservation(get(gossip, f"e{number}"), SIZE)
        gossip.tick()
        net.now += GOSSIP_INTERVAL_S
    seconds = 200 * GOSSIP_INTERVAL_S
    rate = sum(len(data) for data, *_ in net.sent) / seconds
    assert rate <= MAX_SENT_BYTES_PER_S + FANOUT * MAX_DATAGRAM_BYTES / seconds


def test_unchanged_state_is_sent_rarely() -> None:
    net = Net()
    for _ in range(30):
        net.gateways[0].tick()
        net.now += 0.1
    assert len(net.sent) == 3


async def test_a_caller_of_a_failed_gateway_resumes_where_its_prompt_is_cached() -> None:
    # fault: a gateway loses power, and its callers reconnect to the others at once
    net = Net()
    for gateway in net.gateways:
        gateway.tick()
    net.deliver()
    call = build_call(build_stream_route(), prompt_key="prompt")
    with net.gateways[0]._prompts.record(call.cache_key, get(net.gateways[0], "e2"), 25.0):
        net.gateways[0].tick()
    net.deliver()
    found = net.gateways[1]._prompts.locations.find(call.cache_key)
    assert found is not None
    assert found.endpoint_id == "e2"
    endpoints = [get(net.gateways[1], f"e{number}") for number in range(3)]
    chooser = Chooser(PLACE, random.Random(1))
    holder = PromptHolder(endpoints[2])
    assert chooser.choose(endpoints, call, ENGINE, net.now, holder=holder) is endpoints[2]
    net.now += 25.0 + RETENTION_S + 0.1
    assert net.gateways[1]._prompts.locations.find(call.cache_key) is None


async def test_a_gateway_asks_the_other_for_the_location_of_a_prompt() -> None:
    net = Net()
    for gateway in net.gateways:
        gateway.tick()
    net.deliver()
    first, second = net.gateways
    first._prompts.locations.begin(b"12345678", get(first, "e2"), 25.0)
    search = asyncio.ensure_future(second._prompts.find(b"12345678", is_repeated=True))
    for _ in range(2):
        await asyncio.sleep(0)
        net.deliver()
    found = await search
    assert found is not None
    assert found.endpoint_id == "e2"


def test_a_restarted_endpoint_has_no_cached_prompts() -> None:
    net = Net()
    endpoint = get(net.gateways[0], "e2")
    locations = net.gateways[0]._prompts.locations
    directory = net.gateways[0]._directory
    call = build_call(build_stream_route(), prompt_key="prompt")
    locations.begin(call.cache_key, endpoint, 25.0)
    holder = find_holder(call, locations, directory)
    assert estimate_prefill_savings(endpoint, call, ENGINE, holder) > 0.0
    directory.put(build_entry("e2", service="llm", started_ms=2))
    holder = find_holder(call, locations, directory)
    assert estimate_prefill_savings(endpoint, call, ENGINE, holder) == 0.0


def test_registered_gateways_are_near_until_their_first_message() -> None:
    net = Net(3)
    first = net.gateways[0]
    other = Address("127.0.0.1", 9100)
    first.record_registered({"g0": Address("127.0.0.1", 9000), "g9": other})
    assert first.list_near_peers() == [("g9", other)]
    net.now += REGISTERED_S
    assert first.list_near_peers() == []


def test_a_notice_of_leaving_is_sent_to_others_with_its_age() -> None:
    # fault: each gateway sends a leaving server requests until the server announces it itself
    net = Net()
    first, second = (get(gossip, "e1") for gossip in net.gateways)
    first.notices.record(Notice(leaving=True), Source.ANSWER, net.now)
    net.now += 0.5
    net.gateways[0].tick()
    net.deliver()
    assert not second.is_available(net.now)
    assert second.notices.leaving_source is Source.GOSSIP
    assert second.notices.leaving_since == net.now - 0.5
    assert get(net.gateways[1], "e0").is_available(net.now)


def test_the_state_of_a_gateway_that_knows_no_notices_is_understood() -> None:
    # fault: gateways of two versions do not understand each other during a roll-out
    net = Net()
    Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    [(data, peer, sender)] = net.sent
    fields = msgspec.msgpack.decode(data)
    net.sent = [(msgspec.msgpack.encode(fields[:-2]), peer, sender)]
    net.deliver()
    assert get(net.gateways[1], "e1").remote.calls == 1


def test_a_limit_and_its_end_are_sent_to_others_with_their_age() -> None:
    # fault: each gateway sends as before until a response of the endpoint names its limit
    net = Net()
    first, second = (get(gossip, "e1") for gossip in net.gateways)
    for per_s, is_named in ((2.5, True), (math.inf, False)):
        first.notices.record_limit(NamedLimit(per_s, net.now), Source.ANSWER, net.now)
        net.now += 0.5
        net.gateways[0].tick()
        net.deliver()
        assert second.notices.limit.named == NamedLimit(per_s, net.now - 0.5)
        assert second.notices.limit.is_in_force(net.now + 60.0) is is_named
        net.now += 1.0
    assert get(net.gateways[1], "e0").is_available(net.now)
