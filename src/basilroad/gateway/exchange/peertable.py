"""What this gateway knows of the other gateways."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from basilroad.peers.address import Address

if TYPE_CHECKING:
    import random

    from basilroad.gateway.exchange.state import LoadReport

FANOUT = 6
"""Peers per round; bounds the cost of a gateway regardless of the fleet size."""

PEER_TIMEOUT_S = 3.0
"""Time after which the load of a silent peer is dropped, if one round reaches all peers; allows for
lost rounds."""

REGISTERED_S = 15.0
"""Time for which a registered gateway counts as near before its first message; all have sent one by
then, also in fleets of hundreds."""

STOP_MEMORY_S = 60.0
"""Time for which a gateway that stops is expected back; longer than any grace period."""

MAX_PEERS = 1024
"""Maximum number of known peers; planned fleets have hundreds of hosts."""


@attrs.frozen
class PeerState:
    """State of another gateway by its last message.

    :param started_ms: start of its process in Unix milliseconds
    :param sequence: number of the message in that process
    :param last_received_at: monotonic seconds at which it arrived
    :param loads: its load at each endpoint
    :param address: its listening address for datagrams
    :param data_centre: its data centre
    :param stopping: whether its shutdown was requested
    """

    started_ms: int
    sequence: int
    last_received_at: float
    loads: dict[str, LoadReport]
    address: Address
    data_centre: str = ""
    stopping: bool = False


class PeerTable:
    """Addresses of the other gateways, and the state of those that send gossip.

    :param host: name of this host
    :param data_centre: data centre of this host
    :param address: listening address of this gateway
    :param generator: source of random numbers
    """

    def __init__(
        self, host: str, data_centre: str, address: Address, generator: random.Random
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._random = generator
        self.addresses: set[Address] = set()
        self.states: dict[str, PeerState] = {}
        self._stopping_since: dict[str, float] = {}
        self._registered: dict[str, Address] = {}
        self._registered_at = -math.inf
        self._rotation: list[Address] = []

    @property
    def has_roster(self) -> bool:
        """:return: whether the registered gateways were recorded."""
        return self._registered_at > -math.inf

    def add(self, addresses: Iterable[Address]) -> None:
        """Add known gateways.

        :param addresses: their listening addresses
        """
        for address in addresses:
            if address != self._address and len(self.addresses) < MAX_PEERS:
                self.addresses.add(address)

    def choose(self) -> list[Address]:
        """:return: the peers of the next round."""
        # round robin in random order, so that no peer is skipped for long
        if len(self._rotation) < FANOUT:
            fresh = list(self.addresses.difference(self._rotation))
            self._random.shuffle(fresh)
            self._rotation += fresh
        chosen, self._rotation = self._rotation[:FANOUT], self._rotation[FANOUT:]
        return chosen

    def record(self, host: str, state: PeerState) -> bool:
        """Record the state of a gateway.

        :param host: its name
        :param state: its state
        :return: whether it was recorded; that of this host or older than the known one isn't
        """
        known = self.states.get(host)
        order = (state.started_ms, state.sequence)
        if host == self._host:
            return False
        if known is not None and order <= (known.started_ms, known.sequence):
            return False
        self.states[host] = state
        if state.stopping:
            self._stopping_since.setdefault(host, state.last_received_at)
        else:
            self._stopping_since.pop(host, None)
        return True

    def record_registered(self, near: dict[str, Address], now: float) -> None:
        """Record the registered gateways of this data centre, once.

        :param near: their addresses by host
        :param now: monotonic seconds
        """
        if not self.has_roster:
            self._registered, self._registered_at = near, now

    def remove_silent(self, now: float) -> dict[str, PeerState]:
        """Remove the state of silent peers, and the stops of those that don't return.

        :param now: monotonic seconds
        :return: state of each silent peer by host
        """
        # each peer is reached once in len(addresses) / FANOUT rounds
        timeout_s = PEER_TIMEOUT_S * max(1.0, len(self.addresses) / FANOUT)
        silent = {h: s for h, s in self.states.items() if now - s.last_received_at > timeout_s}
        for host in silent:
            del self.states[host]
        for host in [h for h, since in self._stopping_since.items() if now - since > STOP_MEMORY_S]:
            del self._stopping_since[host]
        return silent

    def sum_loads(self, endpoint_id: str) -> LoadReport:
        """:return: load of all peers at an endpoint."""
        found = [s.loads[endpoint_id] for s in self.states.values() if endpoint_id in s.loads]
        return sum(n[0] for n in found), sum(n[1] for n in found), sum(n[2] for n in found)

    def list_near(self, now: float) -> list[tuple[str, Address]]:
        """List the gateways of this data centre.

        :param now: monotonic seconds
        :return: name and address of each other one that sends gossip, and shortly after this one
            has started of those that are registered
        """
        near = dict(self._registered) if now - self._registered_at < REGISTERED_S else {}
        for host, state in self.states.items():
            if state.data_centre == self._data_centre:
                near[host] = state.address
        near.pop(self._host, None)
        return list(near.items())

    def list_stops(self) -> list[float]:
        """:return: monotonic seconds at which each other gateway that stops was first seen to."""
        return list(self._stopping_since.values())

    def are_most_stopping(self, *, is_stopping: bool) -> bool:
        """Compare the gateways that stop with those that don't.

        :param is_stopping: whether this one stops
        :return: whether fewer gateways send gossip and aren't stopping than are stopping, this one
            counted if it is
        """
        stopping = sum(state.stopping for state in self.states.values())
        running = len(self.states) - stopping
        return running < stopping + is_stopping


__all__ = ["FANOUT", "PeerState", "PeerTable"]
