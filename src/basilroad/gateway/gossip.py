"""Tells other gateways about load and losses, and hears theirs, by datagrams."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, cast

import attrs
import msgspec

from basilroad.gateway.promptlocations import Told
from basilroad.peers.address import Address, parse_address

if TYPE_CHECKING:
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.promptlocations import PromptLocations

GOSSIP_INTERVAL_S = 0.05
"""Seconds between looks at what has changed; a prompt takes about twenty times as long to read."""

REST_S = 1.0
"""Seconds after which the state is told though nothing changed, as datagrams get lost."""

FANOUT = 6
"""Peers that one round reaches; bounds the cost of a gateway whatever the size of the fleet."""

SENT_BYTES_PER_S = 11_000.0
"""Bytes a second that rounds may take, the stated cost of control; larger rounds are rarer."""

VIEW_S = 3.0
"""Seconds after which a silent peer's load counts no more, where one round reaches all peers; some
rounds may be lost."""

LOSS_S = 4.0
"""Seconds for which losses are passed on; endpoints that are gone are unlisted by then."""

PEERS_LIMIT = 1024
"""Peers that are remembered; beyond the fleets of hundreds of hosts that are planned."""

DATAGRAM_BYTES = 1400
"""Largest datagram that is sent, below the usual size of a packet."""

SAME_LOSS_S = 1.0
"""Losses of one endpoint that are told closer together than this are one: what is told again looks
younger by each datagram's way. Endpoints of these fleets stay away for longer."""

LOSSES_LIMIT = 24
"""Losses in one datagram: about a third of its room."""

RUNS_LIMIT = 24
"""Prompts in one datagram: about a third of its room."""

_LOGGER = logging.getLogger(__name__)


class _Message(msgspec.Struct, array_like=True):
    host: str
    started_ms: int
    sequence: int
    address: str
    loads: dict[str, tuple[int, int, int]]
    losses: dict[str, int]
    peers: list[str]
    runs: list[Told] = []
    data_centre: str = ""


@attrs.define
class _View:
    started_ms: int
    sequence: int
    heard_at: float
    loads: dict[str, tuple[int, int, int]]
    data_centre: str = ""


class Gossip(asyncio.DatagramProtocol):
    """Exchanges state with the other gateways.

    :param host: name of this host
    :param data_centre: where it stands
    :param address: where it listens for datagrams
    :param directory: the endpoints
    :param recent_runs: where prompts were read
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        address: Address,
        directory: Directory,
        prompt_locations: PromptLocations,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._directory = directory
        self._recent_runs = prompt_locations
        self._clock = clock
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._peers: set[Address] = set()
        self._views: dict[str, _View] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._random = random.Random()
        self._turn: list[Address] = []
        self._rest_until = -math.inf
        self._told: tuple[object, ...] | None = None
        self._told_at = 0.0

    @property
    def peers(self) -> frozenset[Address]:
        """:return: addresses of the other gateways, as far as they are known."""
        return frozenset(self._peers)

    def list_live_peers(self) -> dict[str, str]:
        """:return: data centre of each other gateway that tells of itself, by its host."""
        return {host: view.data_centre for host, view in self._views.items()}

    async def start(self) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        local = (self._address.ip, self._address.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=local)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def add_peers(self, addresses: Iterable[Address]) -> None:
        """Learn of other gateways.

        :param addresses: where they listen
        """
        for address in addresses:
            if address != self._address and len(self._peers) < PEERS_LIMIT:
                self._peers.add(address)

    def tick(self) -> None:
        """Tell the peers what has changed; forget what silent peers told."""
        now = self._clock()
        self._expire(now)
        if now < self._rest_until:
            return
        loads, losses = self._read_loads(), self._read_losses(now)
        runs = self._recent_runs.list_own(RUNS_LIMIT)
        state = (loads, frozenset(losses), runs)
        if state == self._told and now - self._told_at < REST_S:
            return
        self._told, self._told_at = state, now
        self._sequence += 1
        data = self._encode(loads, losses, runs)
        peers = self._choose_peers()
        self._rest_until = now + len(data) * len(peers) / SENT_BYTES_PER_S
        for peer in peers:
            self._send(data, peer)

    def _choose_peers(self) -> list[Address]:
        # in turn, so that none goes without for long by chance
        if len(self._turn) < FANOUT:
            fresh = list(self._peers.difference(self._turn))
            self._random.shuffle(fresh)
            self._turn += fresh
        chosen, self._turn = self._turn[:FANOUT], self._turn[FANOUT:]
        return chosen

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over what a peer tells."""
        try:
            message = msgspec.msgpack.decode(data, type=_Message)
            address = parse_address(message.address)
            others = [parse_address(text) for text in message.peers]
        except (msgspec.MsgspecError, ValueError) as error:
            _LOGGER.warning("datagram skipped", extra={"peer": addr[0], "detail": str(error)})
            return
        self.take(message, address, others)

    def error_received(self, exc: Exception) -> None:
        """Leave a peer that can't be reached to the next rounds."""
        _LOGGER.debug("datagram not delivered", extra={"detail": repr(exc)})

    def take(self, message: _Message, address: Address, others: list[Address]) -> None:
        """Take over a peer's state, unless it is older than what is known.

        :param message: the peer's state
        :param address: where the peer listens
        :param others: peers that it knows
        """
        if message.host == self._host:
            return
        known = self._views.get(message.host)
        order = (message.started_ms, message.sequence)
        if known is not None and order <= (known.started_ms, known.sequence):
            return
        now = self._clock()
        if known is None:
            _LOGGER.info("peer heard", extra={"peer": message.host, "address": str(address)})
        self._views[message.host] = _View(*order, now, message.loads, message.data_centre)
        self.add_peers([address, *others])
        self._recent_runs.take_told(message.runs)
        self._sum_remote({*message.loads, *(known.loads if known else ())})
        for endpoint_id, age_ms in message.losses.items():
            self._take_loss(endpoint_id, now - age_ms / 1000)

    def _take_loss(self, endpoint_id: str, lost_at: float) -> None:
        endpoint = self._directory.get(endpoint_id)
        if endpoint is None or endpoint.heard_at >= lost_at:
            return
        if lost_at - endpoint.lost_at < SAME_LOSS_S:
            return
        _LOGGER.info(
            "loss heard",
            extra={
                "endpoint": endpoint_id,
                "data_centre": endpoint.entry.data_centre,
                "age_ms": round(1000 * (self._clock() - lost_at)),
            },
        )
        endpoint.lost_at = lost_at

    def _expire(self, now: float) -> None:
        # a peer's turn comes once in so many rounds
        view_s = VIEW_S * max(1.0, len(self._peers) / FANOUT)
        for host in [h for h, view in self._views.items() if now - view.heard_at > view_s]:
            view = self._views.pop(host)
            self._sum_remote(view.loads)
            _LOGGER.info("peer silent", extra={"peer": host})

    def _sum_remote(self, endpoint_ids: Iterable[str]) -> None:
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.get(endpoint_id)
            if endpoint is None:
                continue
            found = [v.loads[endpoint_id] for v in self._views.values() if endpoint_id in v.loads]
            endpoint.remote.calls = sum(load[0] for load in found)
            endpoint.remote.memory_tokens = sum(load[1] for load in found)
            endpoint.remote.unread_tokens = sum(load[2] for load in found)

    def _read_loads(self) -> dict[str, tuple[int, int, int]]:
        return {e.id: _pack_load(e) for e in self._directory if e.load.calls}

    def _read_losses(self, now: float) -> dict[str, int]:
        lost = [e for e in self._directory if now - e.lost_at < LOSS_S and e.heard_at <= e.lost_at]
        lost.sort(key=lambda e: -e.lost_at)
        return {e.id: round(1000 * (now - e.lost_at)) for e in lost[:LOSSES_LIMIT]}

    def _encode(
        self, loads: dict[str, tuple[int, int, int]], losses: dict[str, int], runs: list[Told]
    ) -> bytes:
        known = [str(peer) for peer in self._peers]
        message = _Message(
            self._host,
            self._started_ms,
            self._sequence,
            str(self._address),
            loads,
            losses,
            self._random.sample(known, min(FANOUT, len(known))),
            runs,
            self._data_centre,
        )
        data = msgspec.msgpack.encode(message)
        while len(data) > DATAGRAM_BYTES and (message.loads or message.runs):
            # the largest loads and the newest runs matter most
            message.runs = message.runs[: len(message.runs) // 2]
            kept = sorted(message.loads.items(), key=lambda item: -item[1][1])
            message.loads = dict(kept[: len(kept) // 2])
            data = msgspec.msgpack.encode(message)
        return data

    def _send(self, data: bytes, peer: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (peer.ip, peer.port))


def _pack_load(endpoint: Endpoint) -> tuple[int, int, int]:
    load = endpoint.load
    return load.calls, load.memory_tokens, load.unread_tokens


__all__ = ["GOSSIP_INTERVAL_S", "Gossip"]
