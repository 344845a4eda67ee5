"""What the exchange of the locations of prompts keeps and computes in a large fleet."""

from __future__ import annotations

import contextlib
import random

import msgspec
import pytest

from basilroad.gateway.dispatch.promptlocations import (
    RETENTION_S,
    PromptLocation,
    PromptLocations,
)
from basilroad.gateway.exchange import promptkeepers
from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S, MAX_SENT_BYTES_PER_S
from basilroad.gateway.exchange.peertable import PeerState
from basilroad.gateway.exchange.promptexchange import (
    PromptExchange,
)
from basilroad.gateway.exchange.promptkeepers import KEEPERS, PromptKeepers
from basilroad.gateway.exchange.promptmessages import (
    PromptMessage,
    PromptRecord,
    PromptRecords,
)
from basilroad.gateway.gateway import Gateway
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.peers.address import Address
from builders import PLACE, build_entry, build_stream_route, build_table

TIME_LEFT_S = 25.0
HOSTS = 410
RUNS = 50
DATA_CENTRES = ("riga-a", "riga-b", "kurzeme-a")


class ReportingGateway:
    """A gateway, the other gateways that it knows, and the messages that it sends them."""

    def __init__(self, hosts: int = HOSTS) -> None:
        self.now = 100.0
        self.is_stopping = False
        self.states: dict[str, PeerState] = {}
        self.sent: list[tuple[str, int, bytes]] = []
        self.sent_bytes = 0
        for number in range(hosts - 1):
            self.put(number)
        self.exchange = PromptExchange(
            "g",
            PLACE,
            PromptLocations(lambda: self.now),
            list_states=lambda: self.states,
            is_stopping=lambda: self.is_stopping,
            send=self._send,
            clock=lambda: self.now,
        )

    def put(
        self, number: int, *, started_ms: int = 1, stopping: bool = False, moved: int = 0
    ) -> None:
        address = Address("127.0.0.1", 9000 + number)
        place = DATA_CENTRES[(number + moved) % len(DATA_CENTRES)]
        state = PeerState(started_ms, 1, 0.0, {}, address, place, stopping)
        self.states[f"g{number:03}"] = state

    def remove(self, number: int) -> None:
        self.states.pop(f"g{number:03}", None)

    def tick(self) -> None:
        self.now += GOSSIP_INTERVAL_S
        self.exchange.tick()

    def run(self, key: bytes):
        """:return: context manager for the time of a run."""
        return self.exchange.record(key, Endpoint(build_entry()), TIME_LEFT_S)

    def list_reported(self, key: bytes) -> set[tuple[str, int]]:
        """:return: name and start time of the gateways that have the report of a prompt."""
        return {(host, started_ms) for host, started_ms, sent in self.sent if sent == key}

    def list_keepers(self, key: bytes) -> set[tuple[str, int]]:
        """:return: name and start time of the other gateways that are to keep a location."""
        keepers = PromptKeepers("g", PLACE, lambda: self.states, lambda: self.is_stopping)
        return {(host, self.states[host].started_ms) for host in keepers.choose(key) if host != "g"}

    def _send(self, message: PromptMessage, peer: Address) -> None:
        assert isinstance(message, PromptRecords)
        host = f"g{peer.port - 9000:03}"
        started_ms = self.states[host].started_ms
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        self.sent += [(host, started_ms, record.key) for record in message.records]


def make_keys(count: int) -> list[bytes]:
    return [number.to_bytes(8, "big") for number in range(count)]


# fault: while no gateway came or went, each run left its prompt in memory for good
def test_prompts_that_have_left_the_caches_are_dropped_in_a_fleet_at_rest() -> None:
    gateway = ReportingGateway(hosts=4)
    for key in make_keys(200):
        with gateway.run(key):
            gateway.tick()
    held = len(list(gateway.exchange.locations))
    gateway.now += RETENTION_S
    for _ in range(40):
        gateway.tick()
    assert held > 100
    assert not list(gateway.exchange.locations)
    assert not gateway.exchange._reported


# fault: each gateway that came or went made the others rank all gateways for each running prompt
@pytest.mark.parametrize("change", ["starts", "stops", "restarts", "leaves"])
def test_a_change_of_one_gateway_ranks_few_gateways(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway, ranked = ReportingGateway(), []

    def choose_hosts(key: str, hosts: set[str], count: int) -> list[str]:
        ranked.append(len(hosts))
        return choose(key, hosts, count)

    choose = promptkeepers.choose_hosts
    with contextlib.ExitStack() as runs:
        for key in make_keys(RUNS):
            runs.enter_context(gateway.run(key))
        gateway.tick()
        monkeypatch.setattr(promptkeepers, "choose_hosts", choose_hosts)
        keepers = {number for key in make_keys(RUNS) for number in gateway.list_keepers(key)}
        other = next(n for n in range(HOSTS) if (f"g{n:03}", 1) not in keepers)
        ranked.clear()
        if change == "starts":
            gateway.put(HOSTS)
        elif change == "stops":
            gateway.put(other, stopping=True)
        elif change == "restarts":
            gateway.put(other, started_ms=2)
        else:
            gateway.remove(other)
        gateway.tick()
    assert sum(ranked) <= RUNS * (2 * KEEPERS + 1) + HOSTS


@pytest.mark.parametrize("seed", range(100))
def test_after_any_changes_the_keepers_of_running_prompts_have_them(seed: int) -> None:
    generator = random.Random(seed)
    hosts = generator.choice([2, 3, 5, 12])
    gateway = ReportingGateway(hosts)
    keys = make_keys(8)
    with contextlib.ExitStack() as runs:
        for key in keys:
            runs.enter_context(gateway.run(key))
        for step in range(60):
            for _ in range(generator.randint(0, 3)):
                number = generator.randrange(hosts + 2)
                if generator.random() < 0.3:
                    gateway.remove(number)
                else:
                    stopping = generator.random() < 0.4
                    started_ms = generator.choice([1, step + 2])
                    moved = generator.choice([0, 1]) if started_ms > 1 else 0
                    gateway.put(number, started_ms=started_ms, stopping=stopping, moved=moved)
            if generator.random() < 0.05:
                gateway.is_stopping = not gateway.is_stopping
            gateway.tick()
            for key in keys:
                assert gateway.list_keepers(key) <= gateway.list_reported(key)


def test_a_location_is_reported_once_to_each_keeper() -> None:
    gateway = ReportingGateway()
    (key,) = make_keys(1)
    with gateway.run(key):
        for number in range(HOSTS, HOSTS + 100):
            gateway.tick()
            gateway.put(number)
    assert len(gateway.sent) == len(gateway.list_reported(key))


# fault: a forged or mistaken report that named a far expiry stayed until others displaced it
async def test_a_report_is_kept_for_the_longest_time_limit_of_streams(gateway: Gateway) -> None:
    gateway.apply_table(build_table(2, build_stream_route(timeout_s=300.0)))
    (key,) = make_keys(1)
    gateway.prompts.take_records(PromptRecords([PromptRecord(key, "e1", 1, 0, 2**50)]))
    location = gateway.prompts.locations.find(key)
    assert location is not None
    assert location.expires_at - location.began_at == pytest.approx(300.0 + RETENTION_S)


def build_stopping(count: int, hosts: int = HOSTS) -> ReportingGateway:
    """:return: a gateway that stops and keeps locations, each of which lives longer than the one
    before."""
    gateway = ReportingGateway(hosts)
    for number, key in enumerate(make_keys(count)):
        expires_at = gateway.now + 20.0 + number / 100
        location = PromptLocation("i-0123456789", 1 << 40, gateway.now, expires_at)
        gateway.exchange.locations.merge(key, location)
    gateway.tick()
    gateway.is_stopping = True
    return gateway


# fault: a gateway that stopped sent the control traffic of many seconds at once, which overflows
# buffers, and no gossip in these
@pytest.mark.parametrize("hosts", [3, HOSTS])
def test_a_hand_over_stays_within_the_limit_of_control_traffic(hosts: int) -> None:
    gateway = build_stopping(2000, hosts)
    for second in range(1, 6):
        for _ in range(20):
            gateway.tick()
        assert gateway.sent_bytes <= second * MAX_SENT_BYTES_PER_S
    assert len(gateway.sent) > 400


def test_the_locations_that_live_longest_are_handed_over_first() -> None:
    gateway = build_stopping(2000)
    gateway.tick()
    handed = {key for _, _, key in gateway.sent}
    assert handed == set(make_keys(2000)[-len(handed) :])


def test_a_run_that_begins_in_a_hand_over_is_reported_before_the_rest() -> None:
    gateway = build_stopping(2000)
    for _ in range(20):
        gateway.tick()
    with gateway.run(b"new-run."):
        gateway.tick()
        gateway.tick()
    assert gateway.list_reported(b"new-run.")


# fault: locations were lost with a gateway that exited before it had handed them over
@pytest.mark.parametrize("ticks", [0, 1, 20])
def test_all_locations_are_handed_over_once_at_the_exit(ticks: int) -> None:
    gateway = build_stopping(1000)
    for _ in range(ticks):
        gateway.tick()
    gateway.exchange.finish()
    for key in make_keys(1000):
        assert gateway.list_keepers(key) <= gateway.list_reported(key)
    assert len(set(gateway.sent)) == len(gateway.sent)


def test_an_exit_without_a_stop_hands_nothing_over() -> None:
    gateway = build_stopping(100)
    gateway.is_stopping = False
    gateway.exchange.finish()
    assert not gateway.sent
