"""Locations of prompts at their keepers; messages are delivered by the test.

Pattern: all gateways are stopped one after the other, and a caller whose stream is cut comes to one
that has just started.
"""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from basilroad.gateway.dispatch.promptlocations import PromptLocation, PromptLocations
from basilroad.gateway.exchange.peertable import PeerState
from basilroad.gateway.exchange.promptexchange import (
    FIRST_PEER_WAIT_S,
    SILENT_S,
    PromptExchange,
)
from basilroad.gateway.exchange.promptkeepers import KEEPERS
from basilroad.gateway.exchange.promptmessages import (
    MAX_RECORDS,
    PromptMessage,
    PromptRecord,
    PromptRecords,
    PromptReply,
    PromptRequest,
)
from basilroad.gateway.exchange.state import MAX_DATAGRAM_BYTES
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.peers.address import Address
from builders import PLACE, build_entry
from support.timelimit import await_within

KEY = b"12345678"
OTHER_KEY = b"abcdefgh"
TIME_LEFT_S = 25.0
DATA_CENTRES = ("riga-a", "riga-b", "kurzeme-a")
HOSTS = 23

_DECODER = msgspec.msgpack.Decoder(PromptMessage)


class Host:
    """One gateway.

    :param fleet: its fleet
    :param number: its number
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"g{number:02d}"
        self.address = Address("127.0.0.1", 9000 + number)
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.started_ms = 0
        self.start()

    def start(self) -> None:
        """Start anew, without knowledge of anything but the other gateways."""
        self.started_ms += 1000
        self.up, self.stopping, self.sent = True, False, []
        self.known: set[str] | None = None
        self.exchange = PromptExchange(
            self.name,
            PLACE,
            PromptLocations(lambda: self.fleet.now),
            self.address,
            list_states=self.list_states,
            is_stopping=lambda: self.stopping,
            knows=lambda address: address in {s.address for s in self.list_states().values()},
            send=self._send,
            clock=lambda: self.fleet.now,
        )

    def list_states(self) -> dict[str, PeerState]:
        return {
            host.name: PeerState(
                host.started_ms, 1, 0.0, {}, host.address, host.data_centre, host.stopping
            )
            for host in self.fleet.hosts
            if host is not self and host.up and (self.known is None or host.name in self.known)
        }

    def run(self, key: bytes = KEY, endpoint: str = "e1"):
        """:return: context manager for the time of a run at an engine."""
        found = Endpoint(build_entry(endpoint, service="llm"))
        return self.exchange.record(key, found, TIME_LEFT_S)

    def _send(self, message: PromptMessage, peer: Address) -> None:
        data = msgspec.msgpack.encode(message)
        self.sent.append(data)
        self.fleet.deliver(data, self.address, peer)


class Fleet:
    """Gateways that know each other, and the time."""

    def __init__(self, count: int = HOSTS) -> None:
        self.now = 100.0
        self.lost: set[str] = set()
        self.hosts: list[Host] = []
        self.hosts = [Host(self, number) for number in range(count)]

    def deliver(self, data: bytes, sender: Address, peer: Address) -> None:
        host = self.hosts[peer.port - 9000]
        if not host.up or host.name in self.lost:
            return
        message = _DECODER.decode(data)
        if isinstance(message, PromptRecords):
            host.exchange.take_records(message)
        elif isinstance(message, PromptRequest):
            host.exchange.take_request(message, sender)
        elif isinstance(message, PromptReply):
            host.exchange.take_reply(message)

    def tick(self, after_s: float = 0.05) -> None:
        self.now += after_s
        for host in self.hosts:
            if host.up:
                host.exchange.tick()

    def list_keepers(self, key: bytes = KEY) -> list[Host]:
        return [host for host in self.hosts if host.exchange.locations.find(key) is not None]


async def find(host: Host, key: bytes = KEY, *, is_repeated: bool = True) -> PromptLocation | None:
    return await host.exchange.find(key, is_repeated=is_repeated)


async def is_found(host: Host, endpoint: str = "e1") -> bool:
    found = await find(host)
    return found is not None and found.endpoint_id == endpoint


# fault: a caller came to a gateway that the gossip of its stream's location had not reached yet
async def test_each_gateway_finds_the_location_of_a_run() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        assert len(fleet.list_keepers()) <= KEEPERS + 1
        for host in fleet.hosts:
            assert await is_found(host)


async def test_the_keepers_are_in_two_regions() -> None:
    fleet = Fleet()
    for number in range(50):
        keepers = fleet.hosts[0].exchange.choose_keepers(number.to_bytes(8))
        places = [fleet.hosts[int(name[1:])].data_centre for name in keepers]
        assert len({PLACE.regions[place] for place in places}) == KEEPERS


# fault: locations were reported to a gateway that exited before it could hand them over
def test_gateways_that_stop_are_no_keepers_while_there_are_others() -> None:
    fleet = Fleet()
    for host in fleet.hosts[1:11]:
        host.stopping = True
    for asks in fleet.hosts[:2]:
        for number in range(50):
            keepers = asks.exchange.choose_keepers(number.to_bytes(8))
            assert not any(fleet.hosts[int(name[1:])].stopping for name in keepers)


async def test_the_location_outlives_a_region() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
    for host in fleet.hosts:
        host.up = PLACE.regions[host.data_centre] != "riga"
    for host in fleet.hosts:
        if host.up:
            assert await is_found(host)


# fault: each new stream waited for a gateway of another region
async def test_a_new_prompt_is_asked_for_in_its_region_only() -> None:
    fleet = Fleet()
    asks = fleet.hosts[0]
    assert await find(asks, is_repeated=False) is None
    assert len(asks.sent) == 1
    with fleet.hosts[4].run():
        fleet.tick()
        for host in fleet.hosts:
            assert await find(host, is_repeated=False) is not None


# fault: the keeper of the region passed requests on to another region, and streams waited for that
async def test_a_request_for_a_new_prompt_stays_in_its_region() -> None:
    fleet = Fleet()
    for number in range(50):
        assert await find(fleet.hosts[0], number.to_bytes(8), is_repeated=False) is None
    passed = [host for host in fleet.hosts if any(b"request" in data for data in host.sent)]
    assert passed == fleet.hosts[:1]


async def test_the_location_outlives_the_gateway_that_ran_it() -> None:
    # fault: a gateway was killed, and its callers came to others
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        fleet.hosts[0].up = False
    for host in fleet.hosts[1:]:
        assert await is_found(host)


async def test_the_location_outlives_a_keeper() -> None:
    fleet = Fleet()
    runs_at = fleet.hosts[0]
    with runs_at.run():
        fleet.tick()
        keepers = [host for host in fleet.list_keepers() if host is not runs_at]
        keepers[0].up = runs_at.up = False
    assert await is_found(next(host for host in fleet.hosts if host.up and host not in keepers))


# fault: the prompts of cut streams were read anew at gateways that had started a second before
async def test_a_location_is_found_in_a_wave_of_stops() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        for index, host in enumerate(fleet.hosts):
            host.stopping = True
            fleet.tick(0.25)
            if index >= 10:
                # it exits and has started again
                fleet.hosts[index - 10].up = False
                fleet.tick(1.0)
                fleet.hosts[index - 10].start()
                fleet.tick()
        for host in fleet.hosts:
            assert await is_found(host)


async def test_a_gateway_that_stops_hands_over_what_it_keeps() -> None:
    # fault: a location was lost with its keepers after the gateway that ran the stream was killed
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        keepers = fleet.list_keepers()
        fleet.hosts[0].up = False
    for host in keepers:
        host.stopping = True
    fleet.tick()
    for host in keepers:
        host.up = False
    for host in fleet.hosts:
        if host.up:
            assert await is_found(host)


async def test_a_keeper_that_restarted_is_told_again() -> None:
    fleet = Fleet()
    runs_at = fleet.hosts[0]
    with runs_at.run():
        fleet.tick()
        keeper = next(host for host in fleet.list_keepers() if host is not runs_at)
        keeper.start()
        assert keeper not in fleet.list_keepers()
        fleet.tick()
        assert keeper in fleet.list_keepers()


async def test_a_gateway_that_knows_few_others_has_its_request_passed_on() -> None:
    # fault: one that had just started asked gateways that it took for the keepers
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        keepers = fleet.list_keepers()
        others = [host for host in fleet.hosts if host not in keepers]
        others[0].known = {others[1].name}
        assert await is_found(others[0])


# fault: a prompt was read anew as the reply that a request was passed on came after another one
async def test_replies_may_arrive_in_another_order() -> None:
    fleet = Fleet(4)
    asks, passes, without, keeps = fleet.hosts
    asks.known = {passes.name}
    passes.exchange = PromptExchange(
        passes.name, PLACE, PromptLocations(lambda: fleet.now), passes.address
    )
    search = asyncio.ensure_future(find(asks))
    await asyncio.sleep(0)
    number = asks.exchange._number
    for reply in (
        PromptReply(without.name, number),
        PromptReply(passes.name, number, None, 2),
        PromptReply(keeps.name, number, PromptRecord(KEY, "e1", 1, 0, 9000)),
    ):
        asks.exchange.take_reply(reply)
    assert await await_within(search, 1.0) is not None


# fault: a caller that came in the first moments of a gateway had its prompt read anew
async def test_a_gateway_that_has_just_started_waits_for_the_first_other_one() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        fleet.hosts[5].start()
        fleet.hosts[5].known = set()
        search = asyncio.ensure_future(find(fleet.hosts[5]))
        await asyncio.sleep(0.02)
        assert not search.done()
        fleet.hosts[5].known = {fleet.hosts[7].name}
        assert (await await_within(search, 1.0)) is not None


async def test_a_new_stream_does_not_wait_for_other_gateways() -> None:
    fleet = Fleet(1)
    assert await await_within(find(fleet.hosts[0], is_repeated=False), 0.1) is None


async def test_a_gateway_without_others_does_not_wait_for_long() -> None:
    fleet = Fleet(1)
    search = asyncio.ensure_future(find(fleet.hosts[0]))
    await asyncio.sleep(0.02)
    fleet.now += FIRST_PEER_WAIT_S
    assert await await_within(search, 1.0) is None


async def test_keepers_that_do_not_answer_are_left_out_for_a_while() -> None:
    fleet = Fleet()
    fleet.lost = {host.name for host in fleet.hosts}
    asks = fleet.hosts[0]
    started = time.monotonic()
    assert await await_within(find(asks), 1.0) is None
    assert time.monotonic() - started < 0.5
    sent = len(asks.sent)
    assert await find(asks) is None
    assert len(asks.sent) == sent
    fleet.now += SILENT_S
    assert await find(asks) is None
    assert len(asks.sent) > sent


async def test_a_prompt_that_nobody_ran_is_not_waited_for() -> None:
    fleet = Fleet()
    for host in fleet.hosts:
        assert await await_within(find(host), 0.04) is None
        assert not host.exchange._silent_until


async def test_the_later_run_is_found() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run(endpoint="e1"):
        fleet.tick()
    fleet.now += 1.0
    with fleet.hosts[1].run(endpoint="e2"):
        fleet.tick()
        # the first one reports again, as its keepers have changed
        fleet.hosts[0].exchange._reported[KEY] = frozenset()
        fleet.tick()
        keepers = [host for host in fleet.list_keepers() if host is not fleet.hosts[0]]
        for host in keepers:
            assert await is_found(host, "e2")


# fault: an engine that rejected a prompt replaced the one that had it
async def test_a_rejected_run_leaves_the_location_as_it_was() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run(endpoint="e1"):
        fleet.tick()
    with fleet.hosts[0].run(endpoint="e2") as run:
        run.was_unread = True
    fleet.tick()
    assert await is_found(fleet.hosts[3], "e1")
    with fleet.hosts[0].run(OTHER_KEY, "e2") as run:
        run.was_unread = True
    fleet.tick()
    assert await find(fleet.hosts[3], OTHER_KEY) is None


# fault: keepers that had been told of a run went on to name its engine, which had rejected it
async def test_a_run_that_is_rejected_late_leaves_the_location_at_all_keepers() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run(endpoint="e1"):
        fleet.tick()
    with fleet.hosts[0].run(endpoint="e2") as run:
        fleet.tick()
        assert await is_found(fleet.hosts[3], "e1")
        run.was_unread = True
    fleet.tick()
    for host in fleet.list_keepers():
        assert await is_found(host, "e1")


# fault: of two take-ups at once, one fetched from the engine of the other, which read it itself
async def test_an_engine_that_does_not_have_the_prompt_yet_replaces_none_that_has_it() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run(endpoint="e1"):
        fleet.tick()
    with fleet.hosts[0].run(endpoint="e2") as run:
        fleet.tick()
        for host in fleet.hosts:
            assert await is_found(host, "e1")
        run.record_location()
        fleet.tick()
        for host in fleet.hosts:
            assert await is_found(host, "e2")


def test_unchanged_locations_are_reported_once() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        fleet.tick()
        sent = [len(host.sent) for host in fleet.hosts]
        for _ in range(20):
            fleet.tick()
        assert [len(host.sent) for host in fleet.hosts] == sent


def test_reports_fit_into_datagrams() -> None:
    fleet = Fleet(3)
    runs = [fleet.hosts[0].run(number.to_bytes(8), "i-0123456789") for number in range(100)]
    for run in runs:
        run.__enter__()
    fleet.tick()
    kept = [message for data in fleet.hosts[0].sent for message in _DECODER.decode(data).records]
    assert len(kept) > 100
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in fleet.hosts[0].sent)
    assert all(len(_DECODER.decode(data).records) <= MAX_RECORDS for data in fleet.hosts[0].sent)


def test_expired_locations_are_not_reported() -> None:
    fleet = Fleet()
    with fleet.hosts[0].run():
        pass
    fleet.now += 100.0
    fleet.tick()
    assert not fleet.hosts[0].sent
    assert not fleet.hosts[0].exchange._reported


@pytest.mark.parametrize(
    "message",
    [
        PromptRecords([PromptRecord(b"short", "e1", 1, 0, 0)]),
        PromptRecords([PromptRecord(KEY, "e" * 300, 1, 0, 0)]),
        PromptRecords([PromptRecord(KEY, "e1", 1, -1, 0)]),
        PromptRecords([PromptRecord(KEY, "e1", 1, 0, 0)] * (MAX_RECORDS + 1)),
        PromptRequest("g0", "127.0.0.1:9000", 1, KEY, ["g1"] * (KEEPERS + 1)),
        PromptReply("g0", 1, None, KEEPERS + 1),
        # fault: a gateway that passed these on used up its control traffic of several seconds
        PromptRequest("g" * 50_000, "127.0.0.1:9000", 1, KEY, ["g1"]),
        PromptRequest("g0", "1" * 50_000, 1, KEY, ["g1"]),
        PromptRequest("g0", "127.0.0.1:9000", 1, KEY, ["g" * 50_000]),
    ],
)
def test_malformed_messages_are_not_decoded(message: PromptMessage) -> None:
    with pytest.raises(msgspec.ValidationError):
        _DECODER.decode(msgspec.msgpack.encode(message))
