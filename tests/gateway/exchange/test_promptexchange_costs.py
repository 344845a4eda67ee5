"""What the exchange of the locations of prompts keeps and computes in a large fleet."""

from __future__ import annotations

from basilroad.gateway.dispatch.promptlocations import RETENTION_S, PromptLocations
from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S
from basilroad.gateway.exchange.peertable import PeerState
from basilroad.gateway.exchange.promptexchange import (
    PromptExchange,
    PromptMessage,
    PromptRecords,
)
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.peers.address import Address
from builders import PLACE, build_entry

TIME_LEFT_S = 25.0


class Gateway:
    """A gateway, the other gateways that it knows, and the messages that it sends them."""

    def __init__(self, hosts: int) -> None:
        self.now = 100.0
        self.is_stopping = False
        self.states: dict[str, PeerState] = {}
        self.sent: list[tuple[str, int, bytes]] = []
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

    def put(self, number: int) -> None:
        address = Address("127.0.0.1", 9000 + number)
        self.states[f"g{number:03}"] = PeerState(1, 1, 0.0, {}, address)

    def tick(self) -> None:
        self.now += GOSSIP_INTERVAL_S
        self.exchange.tick()

    def run(self, key: bytes):
        """:return: context manager for the time of a run."""
        return self.exchange.record(key, Endpoint(build_entry()), TIME_LEFT_S)

    def _send(self, message: PromptMessage, peer: Address) -> None:
        assert isinstance(message, PromptRecords)
        host = f"g{peer.port - 9000:03}"
        started_ms = self.states[host].started_ms
        self.sent += [(host, started_ms, record.key) for record in message.records]


def make_keys(count: int) -> list[bytes]:
    return [number.to_bytes(8, "big") for number in range(count)]


# fault: while no gateway came or went, each run left its prompt in memory for good
def test_prompts_that_have_left_the_caches_are_dropped_in_a_fleet_at_rest() -> None:
    gateway = Gateway(hosts=4)
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
