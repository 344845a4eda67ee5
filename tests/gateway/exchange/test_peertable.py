"""Table of the other gateways, with plain states."""

from __future__ import annotations

import random

import pytest

from basilroad.gateway.exchange.peertable import (
    FANOUT,
    MAX_PEERS,
    PEER_TIMEOUT_S,
    REGISTERED_S,
    STOP_MEMORY_S,
    PeerState,
    PeerTable,
)
from basilroad.peers.address import Address

NOW = 100.0
OWN = Address("127.0.0.1", 9000)


def build_table() -> PeerTable:
    return PeerTable("g0", "riga-a", OWN, random.Random(7))


def build_state(
    sequence: int = 1,
    at: float = NOW,
    *,
    started_ms: int = 1000,
    port: int = 9001,
    data_centre: str = "riga-a",
    stopping: bool = False,
    **loads: tuple[int, int, int],
) -> PeerState:
    address = Address("127.0.0.1", port)
    return PeerState(started_ms, sequence, at, loads, address, data_centre, stopping)


@pytest.mark.parametrize(
    ("started_ms", "sequence", "newer"),
    [(1000, 6, True), (1000, 5, False), (1000, 4, False), (2000, 1, True), (999, 9, False)],
)
def test_only_a_newer_state_is_recorded(started_ms: int, sequence: int, newer: bool) -> None:
    table = build_table()
    first = build_state(5)
    assert table.record("g1", first)
    state = build_state(sequence, started_ms=started_ms)
    assert table.record("g1", state) is newer
    assert table.states == {"g1": state if newer else first}


def test_the_state_of_this_host_is_not_recorded() -> None:
    table = build_table()
    assert not table.record("g0", build_state(stopping=True))
    assert not table.states
    assert not table.list_stops()


def test_the_addresses_are_those_of_others_and_limited_in_number() -> None:
    table = build_table()
    table.add([OWN, Address("127.0.0.1", 9001), Address("127.0.0.1", 9001)])
    assert table.addresses == {Address("127.0.0.1", 9001)}
    table.add(Address("127.0.0.1", 10_000 + n) for n in range(2 * MAX_PEERS))
    assert len(table.addresses) == MAX_PEERS


@pytest.mark.parametrize("count", [0, 1, FANOUT, 26])
def test_no_peer_is_chosen_again_before_all_were(count: int) -> None:
    table = build_table()
    table.add(Address("127.0.0.1", 10_000 + n) for n in range(count))
    rounds = -(-count // FANOUT)
    chosen = [peer for _ in range(rounds) for peer in table.choose()]
    assert set(chosen) == table.addresses
    assert len(chosen[:count]) == len(set(chosen[:count])) == count


@pytest.mark.parametrize(("peers", "rounds"), [(1, 1.0), (FANOUT, 1.0), (3 * FANOUT, 3.0)])
def test_a_peer_is_silent_after_the_rounds_that_reach_all(peers: int, rounds: float) -> None:
    table = build_table()
    table.add(Address("127.0.0.1", 10_000 + n) for n in range(peers))
    state = build_state()
    table.record("g1", state)
    assert not table.remove_silent(NOW + rounds * PEER_TIMEOUT_S)
    assert table.remove_silent(NOW + rounds * PEER_TIMEOUT_S + 0.1) == {"g1": state}
    assert not table.states


def test_the_load_at_an_endpoint_is_the_sum_over_its_peers() -> None:
    table = build_table()
    table.record("g1", build_state(e0=(1, 9000, 8000), e1=(1, 1, 1)))
    table.record("g2", build_state(e0=(2, 500, 0)))
    assert table.sum_loads("e0") == (3, 9500, 8000)
    assert table.sum_loads("e2") == (0, 0, 0)


def test_near_are_peers_of_this_data_centre_and_at_first_the_registered_ones() -> None:
    table = build_table()
    assert not table.has_roster
    registered = {"g0": OWN, "g1": Address("127.0.0.1", 8001), "g9": Address("127.0.0.1", 9009)}
    table.record_registered(registered, NOW)
    table.record_registered({"g8": Address("127.0.0.1", 9008)}, NOW + 1.0)
    assert table.has_roster
    table.record("g1", build_state(port=9001))
    table.record("g2", build_state(port=9002, data_centre="riga-b"))
    heard = ("g1", Address("127.0.0.1", 9001))
    assert table.list_near(NOW) == [heard, ("g9", Address("127.0.0.1", 9009))]
    assert table.list_near(NOW + REGISTERED_S) == [heard]


def test_a_stop_is_known_from_its_first_message_until_the_peer_is_back_or_forgotten() -> None:
    table = build_table()
    table.record("g1", build_state(1, NOW, stopping=True))
    table.record("g1", build_state(2, NOW + 1.0, stopping=True))
    table.record("g2", build_state(1, NOW + 2.0, stopping=True))
    assert table.list_stops() == [NOW, NOW + 2.0]
    table.record("g2", build_state(1, NOW + 3.0, started_ms=2000))
    assert table.list_stops() == [NOW]
    table.remove_silent(NOW + STOP_MEMORY_S)
    assert table.list_stops() == [NOW]
    table.remove_silent(NOW + STOP_MEMORY_S + 0.1)
    assert table.list_stops() == []


@pytest.mark.parametrize(
    ("running", "stopping", "is_stopping", "expected"),
    [(0, 0, False, False), (0, 0, True, True), (1, 1, False, False), (1, 1, True, True)],
)
def test_most_are_stopping_if_fewer_run(
    running: int, stopping: int, is_stopping: bool, expected: bool
) -> None:
    table = build_table()
    for number in range(running + stopping):
        table.record(f"g{1 + number}", build_state(stopping=number >= running))
    assert table.are_most_stopping(is_stopping=is_stopping) is expected
