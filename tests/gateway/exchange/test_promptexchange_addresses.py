"""Addresses to which a gateway sends what it knows of prompts; datagrams come from the test.

Pattern: one datagram names an address that is no gateway's, by mistake or on purpose.
"""

from __future__ import annotations

import msgspec
import pytest

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.gateway.dispatch.promptlocations import PromptLocation, PromptLocations
from basilroad.gateway.exchange.gossip import Gossip
from basilroad.gateway.exchange.loans import RetryLoans
from basilroad.gateway.exchange.promptexchange import PromptExchange
from basilroad.gateway.exchange.promptkeepers import KEEPERS
from basilroad.gateway.exchange.promptmessages import PromptMessage, PromptReply, PromptRequest
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.exchange.state import StateMessage
from basilroad.gateway.registry.directory import Directory
from basilroad.peers.address import Address
from builders import PLACE

KEY = b"12345678"
NOW = 100.0
OWN = Address("10.0.0.1", 9000)
KNOWN = Address("10.0.0.2", 9000)
OTHER_KEEPER = Address("10.0.0.3", 9000)
NEW = Address("10.0.0.4", 9000)
STRANGER = Address("192.0.2.7", 53)

_DECODER = msgspec.msgpack.Decoder(PromptMessage)


class Keeper:
    """A gateway that knows two others, which are the keepers of all prompts.

    :param has_location: whether it knows the location of the prompt
    """

    def __init__(self, *, has_location: bool = True) -> None:
        self.sent: list[tuple[PromptMessage, Address]] = []
        self.locations = PromptLocations(lambda: NOW)
        if has_location:
            self.locations.merge(KEY, PromptLocation("e1", 1, NOW, NOW + 30.0))
        exchange = PromptExchange(
            "g1", PLACE, self.locations, is_stopping=lambda: True, clock=lambda: NOW
        )
        loans = RetryLoans("g1", lambda _: RetryBudget(RetrySettings()))
        relay = Relay("g1", lambda: NOW, lambda: NOW)
        self.gossip = Gossip(
            "g1", "riga-a", OWN, Directory(), relay, loans, lambda: NOW, prompts=exchange
        )
        exchange.send = lambda message, peer: self.sent.append((message, peer))
        for host, address in (("g2", KNOWN), ("g3", OTHER_KEEPER)):
            state = StateMessage(host, 1, 1, str(address), {}, {}, [])
            self.gossip.take(state, address, [])

    def receive(self, message: PromptMessage, sender: Address) -> None:
        data = msgspec.msgpack.encode(message)
        self.gossip.datagram_received(data, (sender.ip, sender.port))


# fault: one forged datagram made a gateway send to any address
@pytest.mark.parametrize("has_location", [True, False])
def test_a_reply_goes_to_the_sender_of_the_request(*, has_location: bool) -> None:
    keeper = Keeper(has_location=has_location)
    keeper.receive(PromptRequest("g4", str(STRANGER), 7, KEY, ["g1"]), NEW)
    replies = [(message, peer) for message, peer in keeper.sent if isinstance(message, PromptReply)]
    assert [peer for _, peer in replies] == [NEW]
    assert replies[0][0].number == 7


# fault: a gateway passed an address on that was forged or mistaken
def test_a_request_is_passed_on_with_the_address_of_its_sender() -> None:
    keeper = Keeper(has_location=False)
    keeper.receive(PromptRequest("g4", str(STRANGER), 7, KEY, ["g1"]), NEW)
    passed = [message for message, _ in keeper.sent if isinstance(message, PromptRequest)]
    assert len(passed) == KEEPERS
    assert {message.address for message in passed} == {str(NEW)}


# fault: a forged request that pretended to be passed on made a gateway send to any address
def test_a_request_that_a_stranger_passes_on_for_another_has_no_reply() -> None:
    keeper = Keeper()
    keeper.receive(PromptRequest("g4", str(STRANGER), 7, KEY), NEW)
    assert not keeper.sent


@pytest.mark.parametrize(("passes", "asks"), [(KNOWN, NEW), (NEW, KNOWN)])
def test_a_request_that_was_passed_on_is_answered_at_the_gateway_that_asked(
    passes: Address, asks: Address
) -> None:
    keeper = Keeper()
    keeper.receive(PromptRequest("g4", str(asks), 7, KEY), passes)
    ((message, peer),) = keeper.sent
    assert isinstance(message, PromptReply)
    assert (message.number, peer) == (7, asks)


def test_a_request_that_names_no_address_is_skipped() -> None:
    keeper = Keeper()
    keeper.receive(PromptRequest("g4", "x", 7, KEY), KNOWN)
    assert not keeper.sent
