"""Exchange of crashes between gateways; messages are delivered by the test."""

from __future__ import annotations

import random

import msgspec
import pytest

from basilroad.coordination.crashledger import (
    CRASHES_TO_REFUSE,
    CrashLedger,
    CrashRecord,
    CrashSettings,
)
from basilroad.gateway.exchange.crashreports import (
    COLLECT_S,
    MAX_PARTS,
    MAX_REPORTS,
    REPEAT_INTERVAL_S,
    Crashes,
    CrashExchange,
)
from basilroad.gateway.exchange.gossip import _DECODER
from basilroad.gateway.exchange.state import MAX_DATAGRAM_BYTES
from basilroad.peers.address import Address

DEADLY = "1bad1bad1bad"


class Net:
    """Gateways whose messages are delivered at once, unless they are cut off or lost."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.sent = [0] * count
        self.largest = 0
        self.cut_off: set[int] = set()
        self.addresses = [Address("127.0.0.1", 9000 + number) for number in range(count)]
        self.gateways = [self.build(number) for number in range(count)]

    def build(self, number: int) -> CrashExchange:
        clock = lambda: self.now  # noqa: E731
        exchange = CrashExchange(
            f"g{number}",
            CrashLedger(CrashSettings(), clock),
            generator=random.Random(number),
            clock=clock,
        )
        exchange.list_peers = lambda: [a for a in self.addresses if a.port != 9000 + number]
        exchange.send = lambda message, peers: self.deliver(number, message, peers)
        return exchange

    def deliver(self, sender: int, message: Crashes, peers) -> None:
        data = msgspec.msgpack.encode(message)
        self.largest = max(self.largest, len(data))
        for peer in peers:
            self.sent[sender] += 1
            number = peer.port - 9000
            if not {sender, number} & self.cut_off:
                received = _DECODER.decode(data)
                self.gateways[number].take(received, self.addresses[sender])

    def crash(self, number: int, name: str, *parts: str) -> None:
        self.now += 5.0
        record = CrashRecord(name, f"={name}", frozenset(parts), began=True, ran_s=1.5)
        self.gateways[number].ledger.merge([record])
        self.gateways[number].announce_crash(record)
        self.run(2 * COLLECT_S)

    def refused(self, number: int) -> list[list[str]]:
        return [sorted(r.keys) for r in self.gateways[number].ledger.refused]

    def run(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self.now < until:
            self.now += 0.05
            for gateway in self.gateways:
                gateway.tick(self.now)


def test_crashes_at_different_gateways_are_counted_together() -> None:
    net = Net(3)
    for number in range(CRASHES_TO_REFUSE):
        net.crash(number, f"e{number}/1", f"own{number}", DEADLY)
    assert [net.refused(number) for number in range(3)] == [[[DEADLY]]] * 3


# fault: a gateway where a part passes refuses it, as crashes are sent and what passed is not
def test_a_part_that_passed_at_one_gateway_is_left_out_at_all() -> None:
    net = Net(3)
    net.gateways[2].ledger.record_passed("shared")
    for number in range(CRASHES_TO_REFUSE):
        net.crash(number % 2, f"e{number}/1", "shared", DEADLY)
    assert [net.refused(number) for number in range(3)] == [[[DEADLY]]] * 3


# fault: a part is refused until its crashes expire at gateways that miss one datagram
@pytest.mark.parametrize("cut_off", [0, 1])
def test_what_was_missed_is_repeated(cut_off: int) -> None:
    net = Net(3)
    net.cut_off = {cut_off}
    for number in range(CRASHES_TO_REFUSE):
        net.crash(2, f"e{number}/1", "shared", DEADLY)
    assert not net.refused(cut_off)
    net.run(300.0)
    net.cut_off = set()
    net.run(4.0)
    assert net.refused(cut_off) == [[DEADLY, "shared"]]


# fault: after a restart a gateway sends what all others refuse
def test_a_restarted_gateway_receives_what_is_refused_within_the_limit_of_contact() -> None:
    net = Net(28)
    for number in range(CRASHES_TO_REFUSE + 1):
        net.crash(number, f"e{number}/1", f"own{number % 2}", DEADLY)
    net.run(CrashSettings().retain_s - 60.0)
    for number in range(10):
        net.gateways[number] = net.build(number)
        net.run(4.0)
        assert net.refused(number) == [[DEADLY]]


# fault: the crashes of a whole data centre hold up the reports of load of all gateways
def test_the_failure_of_a_data_centre_is_not_sent_to_all_at_once() -> None:
    net = Net(10)
    for number in range(40):
        record = CrashRecord(f"e{number // 4}/1", f"={number}", frozenset([f"own{number}"]))
        net.gateways[0].ledger.merge([record])
        net.gateways[0].announce_crash(record)
    net.run(REPEAT_INTERVAL_S / 2)
    assert net.sent[0] <= 9 + 2, "the first one, and those that are repeated"
    net.run(10.0)
    assert all(len(gateway.ledger) for gateway in net.gateways)


# fault: one request with a short prompt ends several endpoints before another gateway is informed
def test_crashes_that_show_what_is_refused_are_sent_at_once() -> None:
    net = Net(10)
    for number in range(CRASHES_TO_REFUSE):
        net.now += 0.02
        record = CrashRecord(f"e{number}/1", "=one", frozenset([DEADLY]), began=True, ran_s=0.01)
        net.gateways[0].ledger.merge([record])
        net.gateways[0].announce_crash(record)
    assert [net.refused(number) for number in range(10)] == [[[DEADLY, "=one"]]] * 10


# fault: reports with long keys exceed a datagram
def test_long_keys_are_sent_in_more_messages() -> None:
    net = Net(2)
    parts = [f"{number:064}" for number in range(8)]
    for number in range(6):
        net.crash(0, f"e{number}/1", *parts)
    net.run(20.0)
    assert net.refused(1) == [parts]
    assert net.largest <= MAX_DATAGRAM_BYTES


def test_messages_are_few_and_fit_in_datagrams() -> None:
    net = Net(10)
    for number in range(12):
        net.crash(0, f"i-{number:010}/1764000000000", "303f382f7be8", "33186cc311a2", DEADLY)
    net.sent = [0] * 10
    net.run(60.0)
    assert net.largest <= MAX_DATAGRAM_BYTES
    assert max(net.sent) <= 2 * 60.0 / REPEAT_INTERVAL_S


@pytest.mark.parametrize(
    "fields",
    [
        ("crashes", "g", [["e/1", -1, "=c", [], True, 0]], {}, False),
        ("crashes", "g", [["e/1", 1, "=c", ["p"] * (MAX_PARTS + 1), True, 0]], {}, False),
        ("crashes", "g", [["e/1", 1, "=c", ["p" * 65], True, 0]], {}, False),
        ("crashes", "g", [["e/1", 1, "=c", [""], True, 0]], {}, False),
        ("crashes", "g", [["e" * 257, 1, "=c", [], True, 0]], {}, False),
        ("crashes", "g", [["e/1", 1, "=c", [], True, 0]] * (MAX_REPORTS + 1), {}, False),
        ("crashes", "g", [], {"p": -1}, False),
        ("crashes", "g", [], {"p" * 65: 1}, False),
    ],
)
def test_malformed_reports_are_refused(fields: tuple[object, ...]) -> None:
    with pytest.raises(msgspec.ValidationError):
        _DECODER.decode(msgspec.msgpack.encode(fields))
