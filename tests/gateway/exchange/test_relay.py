"""Gateways of one data centre share a reader of the store: roles, losses and gaps, without network.

Pattern: 68 gateways read every change of the listing by themselves, so that the store's calls grow
with the fleet.
"""

from __future__ import annotations

import random

import attrs
import pytest

from basilroad.gateway.exchange.changes import MAX_CHANGES_SENT, REPEAT_S
from basilroad.gateway.exchange.relay import (
    GROUP_HOSTS,
    MAX_CONFIRMATION_AGE_S,
    MAX_TAKEOVER_S,
    UPDATE_INTERVAL_S,
    UPDATE_TIMEOUT_S,
    WITHDRAWALS_SENT,
    Confirmation,
    ListedChange,
    Relay,
    Update,
    Withdrawal,
    pack_change,
    unpack_changes,
)
from basilroad.gateway.revision import Revision
from basilroad.peers.address import Address
from builders import build_entry

TABLE = "servers"

TICK_S = 0.05
POLL_S = 2.0
"""Duration of a reader's long poll in these tests."""


@attrs.define(eq=False)
class Member:
    """A gateway of the simulated data centre.

    :param relay: its relay
    :param address: address of its datagrams
    :param reachable: whether it reaches the store
    :param running: whether it runs; false while it is stopped or suspended
    """

    relay: Relay
    address: Address
    reachable: bool = True
    running: bool = True
    revision: Revision = attrs.field(factory=lambda: Revision(0, 0))
    entries: dict[str, object] = attrs.field(factory=dict)
    confirmed_at: float = -1e9
    reads: int = 0
    polled_at: float = -1e9
    gap: bool = False


class DataCentre:
    """Gateways, a store and a lossy network on a simulated clock."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.now = 1000.0
        self.random = random.Random(7)
        self.loss = loss
        self.revision = Revision(0, 1)
        self.history: list[ListedChange] = []
        self.bytes_sent = 0
        self.members = [self._build(number) for number in range(count)]
        for member in self.members:
            member.relay.update_peers(
                [(f"g{n:03}", m.address) for n, m in enumerate(self.members) if m is not member]
            )

    def _build(self, number: int) -> Member:
        relay = Relay(f"g{number:03}", lambda: self.now, lambda: self.now)
        member = Member(relay, Address("10.0.0.1", 9000 + number))
        relay.subscribe(lambda update: self._apply(member, update))
        return member

    def change(self, name: str, *, removed: bool = False) -> None:
        self.revision = attrs.evolve(self.revision, number=self.revision.number + 1)
        entry = None if removed else build_entry(name, started_ms=self.revision.number)
        self.history.append(ListedChange(self.revision, name, entry))

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for member in self.members:
                if member.running:
                    self._tick(member)

    def _tick(self, member: Member) -> None:
        if not member.relay.follows or member.gap:
            self._read(member)
        updates, recipients = member.relay.list_due()
        for update in updates:
            for address in recipients:
                changes = 0 if isinstance(update, Withdrawal) else len(update.changes)
                self.bytes_sent += 100 * (1 + changes)
                peer = self.members[address.port - 9000]
                if not peer.running or self.random.random() < self.loss:
                    continue
                if isinstance(update, Withdrawal):
                    peer.relay.take_withdrawal(update, member.address)
                else:
                    peer.relay.take(update, member.address)

    def _read(self, member: Member) -> None:
        changes = [c for c in self.history if c.revision > member.revision]
        due = member.gap or changes or self.now - member.polled_at >= POLL_S
        if not due:
            return
        if not member.reachable:
            member.relay.suspend(TABLE)
            member.relay.record_confirmation(None)
            member.relay.record_listing_lost()
            return
        member.reads += 1
        member.relay.resume(TABLE)
        member.gap, member.polled_at = False, self.now
        member.revision = self.revision
        self._put(member, changes)
        member.relay.record_changes(changes, member.revision)
        member.relay.record_confirmation(Confirmation(1, self.now, self.now))
        member.confirmed_at = self.now

    def _apply(self, member: Member, update: Update) -> None:
        member.confirmed_at = max(member.confirmed_at, self.now - update.age_ms / 1000)
        if update.complete_from > member.revision:
            member.gap = True
            return
        changes = [c for c in unpack_changes(update) if c.revision > member.revision]
        member.revision = max(member.revision, update.complete_to)
        self._put(member, changes)
        member.relay.record_changes(changes, member.revision)

    def _put(self, member: Member, changes: list[ListedChange]) -> None:
        for change in changes:
            if change.entry is None:
                member.entries.pop(change.endpoint_id, None)
            else:
                member.entries[change.endpoint_id] = change.entry

    @property
    def truth(self) -> dict[str, object]:
        entries: dict[str, object] = {}
        for change in self.history:
            entries.pop(change.endpoint_id, None)
            if change.entry is not None:
                entries[change.endpoint_id] = change.entry
        return entries

    def all_know(self) -> bool:
        return all(member.entries == self.truth for member in self.members if member.running)

    @property
    def reads(self) -> int:
        return sum(member.reads for member in self.members)


def test_one_gateway_reads_and_all_know_the_changes() -> None:
    fleet = DataCentre(11)
    fleet.pass_time(3.0)
    before = [member.reads for member in fleet.members]
    for number in range(10):
        fleet.change(f"e{number}")
        fleet.pass_time(0.5)
        assert fleet.all_know()
    assert [m.reads for m in fleet.members[1:]] == before[1:], "followers read nothing"


def test_a_follower_knows_a_drained_endpoint_as_soon_as_its_reader() -> None:
    fleet = DataCentre(11)
    fleet.pass_time(3.0)
    fleet.change("e1")
    fleet.pass_time(2 * TICK_S)
    assert fleet.all_know()


def test_more_changes_than_fit_in_one_update_are_all_relayed() -> None:
    fleet = DataCentre(4)
    fleet.pass_time(3.0)
    reads = fleet.members[3].reads
    for number in range(5 * MAX_CHANGES_SENT + 3):
        fleet.change(f"e{number}", removed=number % 7 == 3)
    fleet.pass_time(0.2)
    assert fleet.all_know()
    assert fleet.members[3].reads == reads


@pytest.mark.parametrize("fault", ["running", "reachable"])
def test_the_next_gateway_takes_over_when_the_reader_falls_silent(fault: str) -> None:
    fleet = DataCentre(11)
    fleet.pass_time(3.0)
    setattr(fleet.members[0], fault, False)
    reads = fleet.reads
    fleet.change("e1")
    fleet.pass_time(UPDATE_TIMEOUT_S + MAX_CONFIRMATION_AGE_S + MAX_TAKEOVER_S)
    rest = fleet.members[1:]
    assert all("e1" in member.entries for member in rest)
    assert fleet.reads - reads < 2 * len(rest), "not every follower keeps reading"
    reads = [member.reads for member in rest[1:]]
    fleet.pass_time(5.0)
    assert [member.reads for member in rest[1:]] == reads


@pytest.mark.parametrize("served", range(6))
def test_gateways_that_the_store_refuses_follow_one_that_it_serves(served: int) -> None:
    fleet = DataCentre(6)
    fleet.pass_time(3.0)
    for member in fleet.members:
        member.reachable = member is fleet.members[served]
    fleet.pass_time(MAX_CONFIRMATION_AGE_S + UPDATE_TIMEOUT_S)
    fleet.change("e1")
    fleet.pass_time(4.0)
    assert fleet.all_know()
    assert all(fleet.now - m.confirmed_at < POLL_S + UPDATE_INTERVAL_S + 0.1 for m in fleet.members)


# followers relied for seconds on a reader that had lost the store
def test_followers_read_at_once_when_their_reader_may_have_lost_the_store() -> None:
    fleet = DataCentre(11)
    fleet.pass_time(3.0)
    fleet.members[0].reachable = False
    fleet.members[0].relay.suspend(TABLE)
    fleet.change("e1")
    fleet.pass_time(3 * TICK_S)
    assert all("e1" in member.entries for member in fleet.members[1:])


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_a_lost_withdrawal_is_repeated(loss: float) -> None:
    late = 0
    for _ in range(10):
        fleet = DataCentre(11, loss)
        fleet.random.seed(late)
        fleet.pass_time(3.0)
        fleet.members[0].reachable = False
        fleet.members[0].relay.suspend(TABLE)
        fleet.change("e1")
        fleet.pass_time((WITHDRAWALS_SENT + 1) * TICK_S)
        late += sum("e1" not in member.entries for member in fleet.members[1:])
    assert late <= 100 * loss**WITHDRAWALS_SENT + 3


def test_followers_return_to_a_reader_that_reads_again() -> None:
    fleet = DataCentre(11)
    fleet.pass_time(3.0)
    fleet.members[0].relay.suspend(TABLE)
    fleet.pass_time(0.2)
    fleet.members[0].relay.resume(TABLE)
    fleet.pass_time(UPDATE_TIMEOUT_S + MAX_TAKEOVER_S)
    reads = [member.reads for member in fleet.members[1:]]
    fleet.pass_time(5.0)
    assert [member.reads for member in fleet.members[1:]] == reads


def test_a_withdrawal_of_another_gateway_changes_nothing() -> None:
    fleet = DataCentre(3)
    fleet.pass_time(3.0)
    follower = fleet.members[2].relay
    follower.take_withdrawal(Withdrawal("g001"), fleet.members[1].address)
    assert follower.follows


def test_a_follower_sends_no_withdrawal() -> None:
    fleet = DataCentre(3)
    fleet.pass_time(3.0)
    fleet.members[1].relay.suspend(TABLE)
    assert fleet.members[1].relay.list_due()[0] == []


def test_keys_age_at_all_while_no_gateway_reaches_the_store() -> None:
    fleet = DataCentre(6)
    fleet.pass_time(3.0)
    for member in fleet.members:
        member.reachable = False
    fleet.pass_time(6.0)
    assert all(fleet.now - member.confirmed_at >= 6.0 - POLL_S for member in fleet.members)


def test_updates_older_than_the_confirmation_limit_are_not_sent() -> None:
    fleet = DataCentre(2)
    fleet.pass_time(0.2)
    reader = fleet.members[0].relay
    reader.record_confirmation(Confirmation(1, 0.0, fleet.now - MAX_CONFIRMATION_AGE_S - 0.1))
    fleet.now += 1.0
    assert reader.list_due() == ([], [])


@pytest.mark.parametrize("loss", [0.03, 0.3])
def test_lost_datagrams_lead_to_no_missing_change(loss: float) -> None:
    fleet = DataCentre(11, loss)
    fleet.pass_time(3.0)
    for number in range(40):
        fleet.change(f"e{number % 9}", removed=number % 4 == 3)
        fleet.pass_time(0.3)
    fleet.pass_time(UPDATE_TIMEOUT_S + MAX_TAKEOVER_S + REPEAT_S)
    assert fleet.all_know()


def test_a_gateway_that_was_suspended_reads_what_it_missed() -> None:
    fleet = DataCentre(5)
    fleet.pass_time(3.0)
    fleet.members[3].running = False
    fleet.change("e1")
    fleet.pass_time(10.0)
    fleet.change("e2")
    fleet.pass_time(3.0)
    fleet.members[3].running = True
    fleet.pass_time(1.0)
    assert fleet.all_know()


@pytest.mark.parametrize("hosts", [4, 12, 68])
def test_calls_grow_with_groups_and_bytes_of_a_host_stay_bounded(hosts: int) -> None:
    fleet = DataCentre(hosts)
    fleet.pass_time(5.0)
    reads, sent = fleet.reads, fleet.bytes_sent
    fleet.pass_time(20.0)
    groups = -(-hosts // GROUP_HOSTS)
    assert fleet.reads - reads <= groups * 20.0 / POLL_S + groups
    assert (fleet.bytes_sent - sent) / 20.0 <= 11_000 * groups


def test_a_change_is_the_same_after_it_was_sent() -> None:
    for entry in (build_entry("e1"), None):
        change = ListedChange(Revision(2, 7), "e1", entry)
        update = Update("g", 1, 0.0, 0, 6, 7, [pack_change(change)], epoch=2)
        assert unpack_changes(update) == [change]
