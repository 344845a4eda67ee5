"""Probes of engines for other gateways; messages are delivered by the test.

Pattern: a gateway has lost the way to an engine that the other engines still reach.
"""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from basilroad.gateway.exchange.engineprobes import (
    MAX_RUNNING,
    PROBERS,
    EngineProbe,
    EngineProbeReply,
    EngineProbes,
    ProbeMessage,
)
from basilroad.gateway.exchange.peertable import PeerState
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.peers.address import Address
from builders import PLACE, build_entry
from support.timelimit import await_within, limit_time

_DECODER = msgspec.msgpack.Decoder(ProbeMessage)


class Host:
    """One gateway that reaches an engine or doesn't.

    :param fleet: all gateways
    :param number: its number
    :param data_centre: its data centre
    """

    def __init__(self, fleet: list[Host], number: int, data_centre: str = "riga-a") -> None:
        self.fleet, self.name = fleet, f"g{number}"
        self.address = Address("127.0.0.1", 9000 + number)
        self.data_centre = data_centre
        self.reaches, self.answers, self.stopping = False, True, False
        self.loads: dict[str, tuple[int, int, int]] = {}
        self.probed = 0
        self.release = asyncio.Event()
        self.release.set()
        self.directory = Directory()
        self.directory.put(build_entry("e1", service="llm"))
        self.probes = EngineProbes(
            PLACE, self.directory, self._probe, self._list_states, self._send
        )

    async def _probe(self, _endpoint: Endpoint) -> bool:
        self.probed += 1
        await self.release.wait()
        return self.reaches

    def _list_states(self) -> dict[str, PeerState]:
        return {
            host.name: PeerState(
                1, 1, 0.0, host.loads, host.address, host.data_centre, host.stopping
            )
            for host in self.fleet
            if host is not self
        }

    def _send(self, message: ProbeMessage, peer: Address) -> None:
        other = self.fleet[peer.port - 9000]
        if not (other.answers and self.answers):
            return
        decoded = _DECODER.decode(msgspec.msgpack.encode(message))
        if isinstance(decoded, EngineProbe):
            other.probes.take_probe(decoded, self.address)
        else:
            other.probes.take_reply(decoded)

    async def ask(self) -> bool:
        endpoint = self.directory.get("e1")
        assert endpoint is not None
        return await await_within(self.probes.ask(endpoint), 1.0)


def build_fleet(count: int) -> list[Host]:
    fleet: list[Host] = []
    fleet += [Host(fleet, number) for number in range(count)]
    return fleet


# fault: the prompt of a stream was read anew, as its engine was silent to one gateway only
async def test_an_engine_that_another_gateway_reaches_is_alive() -> None:
    fleet = build_fleet(4)
    assert not await fleet[0].ask()
    fleet[2].reaches = True
    assert await fleet[0].ask()


async def test_an_engine_that_nobody_reaches_is_not_alive() -> None:
    fleet = build_fleet(10)
    assert not await fleet[0].ask()
    assert sum(host.probed for host in fleet) == PROBERS


async def test_a_gateway_without_others_asks_nobody() -> None:
    assert not await build_fleet(1)[0].ask()


async def test_gateways_with_calls_at_the_engine_are_asked_first() -> None:
    fleet = build_fleet(20)
    for host in fleet[10 : 10 + PROBERS]:
        host.loads = {"e1": (1, 1, 0)}
    await fleet[0].ask()
    assert [host.probed for host in fleet[10 : 10 + PROBERS]] == [1] * PROBERS


async def test_gateways_that_stop_are_asked_last() -> None:
    fleet = build_fleet(1 + 2 * PROBERS)
    for host in fleet[1 : 1 + PROBERS]:
        host.stopping = True
        host.loads = {"e1": (1, 1, 0)}
    await fleet[0].ask()
    assert not any(host.probed for host in fleet[1 : 1 + PROBERS])


async def test_gateways_of_the_region_of_the_engine_are_asked_first() -> None:
    fleet = build_fleet(20)
    for host in fleet[1:15]:
        host.data_centre = "kurzeme-a"
    await fleet[0].ask()
    assert sum(host.probed for host in fleet[15:]) == PROBERS


async def test_gateways_that_do_not_answer_are_not_waited_for() -> None:
    # fault: a stream waited for gateways that had been killed
    fleet = build_fleet(4)
    for host in fleet[1:]:
        host.answers = False
    started = time.monotonic()
    assert not await fleet[0].ask()
    assert time.monotonic() - started < 0.5
    assert not fleet[0].probes._questions


async def test_an_engine_that_is_not_listed_or_restarted_is_not_probed() -> None:
    fleet = build_fleet(3)
    for host in fleet[1:]:
        host.reaches = True
    fleet[1].directory.remove("e1")
    fleet[2].directory.put(build_entry("e1", service="llm", started_ms=2))
    assert not await fleet[0].ask()
    assert not any(host.probed for host in fleet)


# fault: requests of others could start any number of probes
async def test_the_probes_for_others_are_limited() -> None:
    fleet = build_fleet(2)
    fleet[1].release.clear()
    for number in range(MAX_RUNNING + 5):
        fleet[1].probes.take_probe(EngineProbe(number, "e1", 1), fleet[0].address)
    async with limit_time(1):
        while fleet[1].probed < MAX_RUNNING:
            await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert fleet[1].probed == MAX_RUNNING
    await fleet[1].probes.close()


async def test_a_failed_probe_is_answered() -> None:
    fleet = build_fleet(2)

    async def fail(_endpoint: Endpoint) -> bool:
        raise RuntimeError("probe")

    fleet[1].probes.probe = fail
    assert not await fleet[0].ask()


@pytest.mark.parametrize(
    "message",
    [EngineProbe(-1, "e1", 1), EngineProbe(1, "e" * 300, 1), EngineProbeReply(-1, alive=True)],
)
def test_malformed_messages_are_not_decoded(message: ProbeMessage) -> None:
    with pytest.raises(msgspec.ValidationError):
        _DECODER.decode(msgspec.msgpack.encode(message))
