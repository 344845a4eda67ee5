"""State that gateways tell each other; datagrams are handed over by hand."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from basilroad.gateway.call import PromptSize
from basilroad.gateway.directory import Directory
from basilroad.gateway.endpoint import Reservation
from basilroad.gateway.gossip import (
    DATAGRAM_BYTES,
    FANOUT,
    GOSSIP_INTERVAL_S,
    REST_S,
    SENT_BYTES_PER_S,
    VIEW_S,
    Gossip,
)
from basilroad.gateway.promptlocations import KEPT_S, PromptLocations
from basilroad.gateway.selection import Chooser, find_losses, weigh_doubt, weigh_memory
from basilroad.peers.address import Address
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route

if TYPE_CHECKING:
    from collections.abc import Callable

SIZE = PromptSize(8000, 1000)
DATA_CENTRES = ("riga-a", "riga-b", "kurzeme-a")


class Net:
    """Gateways whose datagrams wait until they are delivered."""

    def __init__(self, count: int = 2, endpoints: int = 3) -> None:
        self.now = 100.0
        self.sent: list[tuple[bytes, Address]] = []
        self.gateways = [self._build(number, endpoints) for number in range(count)]
        self.directories: list[Directory]

    def _build(self, number: int, endpoints: int) -> Gossip:
        directory = Directory(lambda: self.now)
        for index in range(endpoints):
            directory.put(build_entry(f"e{index}", service="llm"))
        address = Address("127.0.0.1", 9000 + number)
        runs = PromptLocations(lambda: self.now)
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        gossip = Gossip(f"g{number}", place, address, directory, runs, lambda: self.now)
        gossip._directory = directory
        gossip._send = lambda data, peer: self.sent.append((data, peer))  # type: ignore[method-assign]
        gossip.add_peers(Address("127.0.0.1", 9000 + n) for n in range(1000) if n < 2)
        return gossip

    def deliver(self, keep: Callable[[int], bool] = lambda _: True) -> None:
        sent, self.sent = self.sent, []
        for index, (data, peer) in enumerate(sent):
            number = peer.port - 9000
            if keep(index) and number < len(self.gateways):
                self.gateways[number].datagram_received(data, ("127.0.0.1", 1))


def get(gossip: Gossip, endpoint_id: str):
    endpoint = gossip._directory.get(endpoint_id)
    assert endpoint is not None
    return endpoint


def test_a_gateway_sees_the_load_that_another_one_puts_on_an_engine() -> None:
    net = Net()
    reservation = Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    remote = get(net.gateways[1], "e1").remote
    assert (remote.calls, remote.memory_tokens, remote.unread_tokens) == (1, 9000, 8000)

    reservation.release()
    net.now += 0.1
    net.gateways[0].tick()
    net.deliver()
    assert get(net.gateways[1], "e1").remote.calls == 0


def test_an_older_datagram_that_comes_late_changes_nothing() -> None:
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


def test_the_load_of_a_silent_gateway_counts_no_more() -> None:
    net = Net()
    Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    net.now += VIEW_S + 0.1
    net.gateways[1].tick()
    assert get(net.gateways[1], "e1").remote.calls == 0


def test_a_loss_that_one_gateway_saw_is_doubted_by_all() -> None:
    # pattern: a data centre's engines crash while only one gateway works with them
    net = Net()
    for gossip in net.gateways:
        for number in range(3):
            get(gossip, f"e{number}").listed_at = 0.0
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    endpoints = [get(net.gateways[1], f"e{number}") for number in range(3)]
    losses = find_losses(endpoints)
    assert all(weigh_doubt(e, losses, net.now + 0.1) > 0 for e in endpoints)


def test_a_loss_ages_though_gateways_go_on_telling_each_other() -> None:
    # pattern: nobody hears from a crashed endpoint, and each datagram is some time on its way
    net = Net()
    lost_at = net.now
    get(net.gateways[0], "e0").record_unreachable(lost_at)
    for _ in range(200):
        for gossip in net.gateways:
            gossip.tick()
        net.now += 0.05
        net.deliver()
    for gossip in net.gateways:
        assert get(gossip, "e0").lost_at - lost_at < 0.2
        assert not gossip._read_losses(net.now)


def test_a_second_loss_is_taken_over_after_the_first() -> None:
    net = Net()
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    net.now += 2.0
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.deliver()
    assert get(net.gateways[1], "e0").lost_at == net.now


def test_a_loss_does_not_count_against_an_endpoint_heard_since() -> None:
    net = Net()
    get(net.gateways[0], "e0").record_unreachable(net.now)
    net.gateways[0].tick()
    net.now += 1.0
    heard = get(net.gateways[1], "e0")
    heard.record_heard(net.now)
    net.deliver()
    assert heard.lost_at < net.now - 1.0


def test_bytes_that_are_no_message_are_skipped() -> None:
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
        get(gossip, f"e{number}").lost_at = net.now
    gossip.tick()
    assert len(net.sent) == FANOUT
    assert all(len(data) <= DATAGRAM_BYTES for data, _ in net.sent)


def test_each_peer_of_a_large_fleet_has_its_turn() -> None:
    # pattern: 28 gateways whose state does not change
    net = Net()
    gossip = net.gateways[0]
    gossip.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(26))
    for _ in range(5):
        gossip.tick()
        net.now += REST_S
    assert {peer for _, peer in net.sent} == gossip.peers


def test_peers_of_a_large_fleet_do_not_fall_silent_between_their_turns() -> None:
    # pattern: 28 gateways; each is told something every fifth second
    net = Net()
    listener = net.gateways[1]
    listener.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(26))
    Reservation(get(net.gateways[0], "e1"), SIZE)
    net.gateways[0].tick()
    net.deliver()
    net.now += 5.0
    listener.tick()
    assert get(listener, "e1").remote.calls == 1


def test_what_is_told_stays_within_its_rate_under_load() -> None:
    # pattern: hundreds of endpoints whose load changes all the time
    net = Net(endpoints=600)
    gossip = net.gateways[0]
    gossip.add_peers(Address("127.0.0.1", 10_000 + n) for n in range(27))
    for number in range(200):
        Reservation(get(gossip, f"e{number}"), SIZE)
        gossip.tick()
        net.now += GOSSIP_INTERVAL_S
    seconds = 200 * GOSSIP_INTERVAL_S
    rate = sum(len(data) for data, _ in net.sent) / seconds
    assert rate <= SENT_BYTES_PER_S + FANOUT * DATAGRAM_BYTES / seconds


def test_nothing_new_is_told_seldom() -> None:
    net = Net()
    for _ in range(30):
        net.gateways[0].tick()
        net.now += 0.1
    assert len(net.sent) == 3


def test_a_caller_whose_gateway_is_lost_goes_on_where_its_prompt_was_read() -> None:
    # pattern: a gateway loses power, and its callers come to the others at once
    net = Net()
    net.gateways[0]._recent_runs.note("prompt", "e2")
    net.gateways[0].tick()
    net.deliver()
    found = net.gateways[1]._recent_runs.find("prompt")
    assert found is not None
    assert found.endpoint_id == "e2"
    endpoints = [get(net.gateways[1], f"e{number}") for number in range(3)]
    for endpoint in endpoints:
        endpoint.listed_at = 0.0
    call = build_call(build_stream_route())
    chooser = Chooser(PLACE, random.Random(1))
    assert chooser.choose(endpoints, call, ENGINE, net.now, read_at=found) is endpoints[2]
    net.now += KEPT_S + 0.1
    assert net.gateways[1]._recent_runs.find("prompt") is None


def test_a_prompt_is_not_sought_at_an_endpoint_that_restarted() -> None:
    net = Net()
    net.gateways[0]._recent_runs.note("prompt", "e2")
    found = net.gateways[0]._recent_runs.find("prompt")
    endpoint = get(net.gateways[0], "e2")
    endpoint.listed_at = net.now + 1.0
    assert weigh_memory(endpoint, SIZE, found) == 0.0
