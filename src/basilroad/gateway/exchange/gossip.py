"""Exchange of load and endpoint failures between gateways, by datagrams that others share."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatchmethod
from typing import TYPE_CHECKING, cast

import msgspec

from basilroad.coordination.decoding import DecodeError, MsgpackDecoder
from basilroad.gateway.exchange.crashreports import Crashes, CrashExchange
from basilroad.gateway.exchange.engineprobes import (
    EngineProbe,
    EngineProbeReply,
    EngineProbes,
    ProbeMessage,
)
from basilroad.gateway.exchange.loans import Loan, LoanRequest
from basilroad.gateway.exchange.localstate import list_failures, list_limits, list_loads
from basilroad.gateway.exchange.peertable import FANOUT, PeerState, PeerTable
from basilroad.gateway.exchange.permits import (
    LimitReport,
    Peer,
    PermitExchange,
    PermitReply,
    PermitRequest,
    read_limit_report,
)
from basilroad.gateway.exchange.promptexchange import PromptExchange
from basilroad.gateway.exchange.promptmessages import (
    PromptMessage,
    PromptRecords,
    PromptReply,
    PromptRequest,
)
from basilroad.gateway.exchange.relay import Update, Withdrawal
from basilroad.gateway.exchange.state import LoadReport, StateMessage, encode_state
from basilroad.peers.address import Address, parse_remote_address

if TYPE_CHECKING:
    from basilroad.gateway.exchange.loans import RetryLoans
    from basilroad.gateway.exchange.relay import Relay
    from basilroad.gateway.registry.directory import Directory

GOSSIP_INTERVAL_S = 0.05
"""Interval of checks for changed state; prefill of a prompt takes about twenty times as long."""

REFRESH_INTERVAL_S = 1.0
"""Interval after which unchanged state is sent again, as datagrams get lost."""

MAX_SENT_BYTES_PER_S = 11_000.0
"""Limit of control traffic from the requirements; larger rounds are sent less often."""

SAME_FAILURE_S = 1.0
"""Reports of failures of one endpoint within this time count as one: a relayed report looks newer
by the transit time of each datagram. Failed endpoints of these fleets are down for longer."""

_LOGGER = logging.getLogger(__name__)


_DECODER: MsgpackDecoder[object] = MsgpackDecoder(
    StateMessage
    | Update
    | Withdrawal
    | LoanRequest
    | Loan
    | Crashes
    | PermitRequest
    | PermitReply
    | PromptRecords
    | PromptRequest
    | PromptReply
    | EngineProbe
    | EngineProbeReply
)


Datagram = (
    Update | Withdrawal | Crashes | PermitRequest | PermitReply | PromptMessage | ProbeMessage
)
"""Messages that are sent at once, and count for the limit of control traffic."""


class Gossip(asyncio.DatagramProtocol):
    """Sends state to and receives state from the other gateways.

    :param host: name of this host
    :param data_centre: data centre of this host
    :param address: listening address for datagrams
    :param directory: known endpoints
    :param relay: relay of the platform's listing, whose updates are sent too
    :param loans: loans of retries, which are sent too
    :param clock: monotonic seconds
    :param crashes: exchange of crashes, which are sent too
    :param permits: exchange of permits, which are sent too
    :param prompts: exchange of the locations of prompts, which are sent too
    :param engine_probes: probes of engines for other gateways, whose requests are sent too
    :param is_stopping: whether the shutdown of this host was requested
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        address: Address,
        directory: Directory,
        relay: Relay,
        loans: RetryLoans,
        clock: Callable[[], float] = time.monotonic,
        crashes: CrashExchange | None = None,
        permits: PermitExchange | None = None,
        prompts: PromptExchange | None = None,
        engine_probes: EngineProbes | None = None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._random = random.Random()
        self._table = PeerTable(host, data_centre, address, self._random)
        self._address = address
        self._directory = directory
        self._relay = relay
        self._loans = loans
        loans.list_peers = lambda: tuple(self._table.addresses)
        loans.send = lambda message, peer: self._send(msgspec.msgpack.encode(message), peer)
        self._crashes = crashes or CrashExchange(host)
        self._crashes.list_peers = loans.list_peers
        self._crashes.send = self._send_counted
        self._permits = permits
        if permits is not None:
            permits.list_peers = self._list_addressed_peers
            permits.address = address
            permits.list_known = lambda: self._table.addresses
            permits.has_roster = lambda: self._table.has_roster
            permits.send = lambda message, peer: self._send_counted(message, [peer])
        self._prompts = prompts
        if prompts is not None:
            prompts.address = address
            prompts.list_states = lambda: self._table.states
            prompts.knows = lambda address: address in self._table.addresses
            prompts.send = lambda message, peer: self._send_counted(message, [peer])
        self._engine_probes = engine_probes
        if engine_probes is not None:
            engine_probes.list_states = lambda: self._table.states
            engine_probes.send = lambda message, peer: self._send_counted(message, [peer])
        self._clock = clock
        self._is_stopping = is_stopping
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._next_send_at = -math.inf
        self._last_sent: tuple[object, ...] | None = None
        self._last_sent_at = 0.0

    @property
    def peers(self) -> frozenset[Address]:
        """:return: addresses of the known other gateways."""
        return frozenset(self._table.addresses)

    def list_live_peers(self) -> dict[str, str]:
        """:return: data centre by host of each other gateway that sends gossip."""
        return {host: state.data_centre for host, state in self._table.states.items()}

    def are_most_stopping(self) -> bool:
        """:return: whether fewer gateways send gossip and aren't stopping than are stopping, this
        one counted if it is."""
        return self._table.are_most_stopping(is_stopping=self._is_stopping())

    def list_stops(self) -> list[float]:
        """:return: monotonic seconds at which each other gateway that stops was first seen to."""
        return self._table.list_stops()

    def _list_addressed_peers(self) -> dict[str, Peer]:
        return {
            host: Peer(state.address, state.data_centre)
            for host, state in self._table.states.items()
        }

    def list_near_peers(self) -> list[tuple[str, Address]]:
        """:return: name and address of each other gateway of this data centre: those that send
        gossip, and shortly after this one has started those that are registered."""
        return self._table.list_near(self._clock())

    def record_registered(self, near: dict[str, Address]) -> None:
        """Record the registered gateways of this data centre at the start of this one.

        :param near: their addresses by host
        """
        self._table.record_registered(near, self._clock())

    async def start(self) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        local = (self._address.ip, self._address.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=local)

    def close(self) -> None:
        """Hand over what is left of locations at a stop, and stop listening."""
        if self._prompts is not None:
            self._prompts.finish()
        if self._transport is not None:
            self._transport.close()

    def add_peers(self, addresses: Iterable[Address]) -> None:
        """Add known gateways.

        :param addresses: their listening addresses
        """
        self._table.add(addresses)

    def tick(self) -> None:
        """Send changed state to peers and drop the state of silent peers."""
        now = self._clock()
        updates, near = self._relay.list_due()
        for update in updates:
            self._send_counted(update, near)
        self._crashes.tick(now)
        self._expire(now)
        self._send_state(now)
        if self._prompts is not None:
            # a gateway that stops hands over what it keeps, after it has said that it stops
            self._prompts.tick()

    def _send_state(self, now: float) -> None:
        if now < self._next_send_at:
            return
        loads, failures = list_loads(self._directory), list_failures(self._directory, now)
        leaving = self._directory.notices.list_leaving(now)
        limits = list_limits(self._directory.notices.list_limited(now), now)
        named = frozenset((name, limit[1]) for name, limit in limits.items())
        stopping = self._is_stopping()
        state = (loads, frozenset(failures), frozenset(leaving), named, stopping)
        if state == self._last_sent and now - self._last_sent_at < REFRESH_INTERVAL_S:
            return
        self._last_sent, self._last_sent_at = state, now
        self._sequence += 1
        data = self._encode(loads, failures, leaving, limits)
        peers = self._table.choose()
        self._next_send_at = now + len(data) * len(peers) / MAX_SENT_BYTES_PER_S
        for peer in peers:
            self._send(data, peer)

    def _send_counted(self, message: Datagram, peers: Sequence[Address]) -> None:
        data = msgspec.msgpack.encode(message)
        for peer in peers:
            self._send(data, peer)
        # these come first, gossip gets what they leave of the limit
        sent_s = len(data) * len(peers) / MAX_SENT_BYTES_PER_S
        self._next_send_at = max(self._clock(), self._next_send_at) + sent_s

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and apply a datagram from a peer."""
        try:
            self._handle(_DECODER.decode(data), Address(*addr[:2]))
        except (DecodeError, ValueError) as error:
            _LOGGER.warning("datagram skipped", extra={"peer": addr[0], "detail": str(error)})
        except Exception:
            _LOGGER.error("datagram not handled", extra={"peer": addr[0]}, exc_info=True)

    @singledispatchmethod
    def _handle(self, message: object, address: Address) -> None:
        raise TypeError(f"no handler for {message!r} from {address}")

    @_handle.register
    def _(self, message: StateMessage, _: Address) -> None:
        others = _parse_peers(message.peers)
        self.take(message, parse_remote_address(message.address), others)

    @_handle.register
    def _(self, message: Update, address: Address) -> None:
        self._relay.take(message, address)

    @_handle.register
    def _(self, message: Withdrawal, address: Address) -> None:
        self._relay.take_withdrawal(message, address)

    @_handle.register
    def _(self, message: LoanRequest, address: Address) -> None:
        self._loans.take_request(message, address)

    @_handle.register
    def _(self, message: Loan, _: Address) -> None:
        self._loans.take_loan(message)

    @_handle.register
    def _(self, message: Crashes, address: Address) -> None:
        self._crashes.take(message, address)

    @_handle.register
    def _(self, message: PermitRequest, address: Address) -> None:
        if self._permits is not None:
            self._permits.take_request(message, address)

    @_handle.register
    def _(self, message: PermitReply, _: Address) -> None:
        if self._permits is not None:
            self._permits.take_reply(message)

    @_handle.register
    def _(self, message: PromptRecords, _: Address) -> None:
        if self._prompts is not None:
            self._prompts.take_records(message)

    @_handle.register
    def _(self, message: PromptRequest, address: Address) -> None:
        if self._prompts is not None:
            self._prompts.take_request(message, address)

    @_handle.register
    def _(self, message: PromptReply, _: Address) -> None:
        if self._prompts is not None:
            self._prompts.take_reply(message)

    @_handle.register
    def _(self, message: EngineProbe, address: Address) -> None:
        if self._engine_probes is not None:
            self._engine_probes.take_probe(message, address)

    @_handle.register
    def _(self, message: EngineProbeReply, _: Address) -> None:
        if self._engine_probes is not None:
            self._engine_probes.take_reply(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; later rounds reach the peer if it recovers."""
        _LOGGER.debug("datagram not delivered", extra={"detail": repr(exc)})

    def take(self, message: StateMessage, address: Address, others: list[Address]) -> None:
        """Apply the state of a peer unless it is older than the known state.

        :param message: state of the peer
        :param address: listening address of the peer
        :param others: some of the peers that it knows
        """
        now = self._clock()
        known = self._table.states.get(message.host)
        state = PeerState(
            message.started_ms,
            message.sequence,
            now,
            message.loads,
            address,
            message.data_centre,
            message.stopping,
        )
        if not self._table.record(message.host, state):
            return
        if known is None:
            _LOGGER.info("peer heard", extra={"peer": message.host, "address": str(address)})
        self.add_peers([address, *others])
        self._update_remote_load({*message.loads, *(known.loads if known else ())})
        for endpoint_id, age_ms in message.failures.items():
            self._apply_failure(endpoint_id, now - age_ms / 1000)
        self._directory.apply_reported_leaving(message.leaving, now)
        reported = {
            endpoint_id: (started_ms, read_limit_report(LimitReport(milli_per_s, age_ms), now))
            for endpoint_id, (started_ms, milli_per_s, age_ms) in message.limits.items()
        }
        self._directory.apply_reported_limits(reported, now)

    def _apply_failure(self, endpoint_id: str, last_failed_at: float) -> None:
        endpoint = self._directory.get(endpoint_id)
        if endpoint is None or endpoint.last_received_at >= last_failed_at:
            return
        if last_failed_at - endpoint.last_failed_at < SAME_FAILURE_S:
            return
        _LOGGER.info(
            "loss heard",
            extra={
                "endpoint": endpoint_id,
                "data_centre": endpoint.entry.data_centre,
                "age_ms": round(1000 * (self._clock() - last_failed_at)),
            },
        )
        endpoint.last_failed_at = last_failed_at

    def _expire(self, now: float) -> None:
        for host, state in self._table.remove_silent(now).items():
            self._update_remote_load(state.loads)
            _LOGGER.info("peer silent", extra={"peer": host})

    def _update_remote_load(self, endpoint_ids: Iterable[str]) -> None:
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.get(endpoint_id)
            if endpoint is None:
                continue
            remote = endpoint.remote
            remote.calls, remote.memory_tokens, remote.pending_prefill_tokens = (
                self._table.sum_loads(endpoint_id)
            )

    def _encode(
        self,
        loads: dict[str, LoadReport],
        failures: dict[str, int],
        leaving: dict[str, tuple[int, int]],
        limits: dict[str, tuple[int, int, int]],
    ) -> bytes:
        known = [str(peer) for peer in self._table.addresses]
        message = StateMessage(
            self._host,
            self._started_ms,
            self._sequence,
            str(self._address),
            loads,
            failures,
            self._random.sample(known, min(FANOUT, len(known))),
            data_centre=self._data_centre,
            leaving=leaving,
            limits=limits,
            stopping=self._is_stopping(),
        )
        return encode_state(message)

    def _send(self, data: bytes, peer: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (peer.ip, peer.port))


def _parse_peers(texts: Iterable[str]) -> list[Address]:
    found = []
    for text in texts:
        try:
            found.append(parse_remote_address(text))
        except ValueError as error:
            _LOGGER.warning("peer skipped", extra={"peer": text, "detail": str(error)})
    return found


__all__ = ["GOSSIP_INTERVAL_S", "Gossip"]
