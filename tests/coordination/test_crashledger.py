"""What requests have in common that endpoints crashed on; no network."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.crashledger import (
    CRASHES_TO_REFUSE,
    SAME_OUTAGE_S,
    SOUND_S,
    CrashLedger,
    CrashRecord,
    CrashSettings,
)

RUN_S = 1.5
"""Time from the start of a request to the crash in these tests."""


class Peer:
    """A ledger with a clock that the test sets."""

    def __init__(self, settings: CrashSettings | None = None) -> None:
        self.now = 1000.0
        self.ledger = CrashLedger(settings or CrashSettings(), lambda: self.now)

    def crash(self, name: str, *parts: str, content: str = "", after_s: float = 5.0, **changes):
        self.now += after_s
        record = build_record(name, *parts, content=content, **changes)
        self.ledger.merge([record])

    def is_refused(self, *keys: str) -> bool:
        return self.ledger.find_refusal(keys) is not None


@pytest.fixture
def peer() -> Peer:
    return Peer()


def build_record(name: str, *parts: str, content: str = "", **changes) -> CrashRecord:
    values = {"began": True, "ran_s": RUN_S, **changes}
    return CrashRecord(name, content or f"={name}", frozenset(parts), **values)


def test_a_part_that_all_crashes_have_in_common_is_refused(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        assert not peer.is_refused("deadly")
        peer.crash(f"e{number}", f"own{number}", "deadly")
    assert peer.is_refused("another", "deadly", "=new")
    assert not peer.is_refused("own0", "own1", "own2", "=e0")


# fault: each part in three crashes is refused, also the one that sound requests share
def test_a_part_shared_with_sound_requests_is_refused_only_together(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "shared", "deadly")
    assert peer.is_refused("shared", "deadly")
    assert not peer.is_refused("shared", "sound")
    peer.crash("e3", "rare", "deadly")
    assert peer.is_refused("deadly")
    assert not peer.is_refused("shared", "sound")


def test_a_part_that_passes_leaves_the_deadly_one_alone(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "shared", "deadly")
    assert peer.ledger.record_passed("shared")
    assert not peer.ledger.record_passed("shared"), "it is reported once"
    assert peer.is_refused("deadly")
    assert not peer.is_refused("shared")


# fault: one request that is repeated makes its caller's other requests with its parts refused
def test_repetitions_of_one_content_refuse_only_this_content(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "shared", content="=one")
    assert peer.is_refused("shared", "=one")
    assert not peer.is_refused("shared", "=two")


# fault: parts of a refused request count once more towards another part's crashes
def test_crashes_that_are_explained_count_against_no_other_part(peer: Peer) -> None:
    peer.ledger.record_passed("shared")
    peer.now += 2 * SOUND_S
    for number in range(4):
        peer.crash(f"e{number}", "shared", f"own{number % 2}", "deadly")
    for number in range(4, 6):
        peer.crash(f"e{number}", "shared", "other")
    assert not peer.is_refused("shared", "=new")
    assert not peer.is_refused("shared", "other", "=new")


# fault: what ran beside a deadly request is refused with it
def test_what_ran_at_crashed_endpoints_beside_a_deadly_part_is_innocent(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE + 1):
        peer.crash(f"e{number}", "deadly", f"own{number}")
        if number < CRASHES_TO_REFUSE:
            peer.crash(f"e{number}", "beside", content=f"=b{number}", after_s=0.0)
    assert peer.is_refused("deadly")
    assert not peer.is_refused("beside")


def test_requests_that_were_not_begun_count_only_without_others(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "queued", content=f"=q{number}", began=False)
        peer.crash(f"e{number}", f"own{number}", after_s=0.0)
    assert not peer.is_refused("queued")
    for number in range(3, 3 + CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "queued", began=False)
    assert peer.is_refused("queued")


def test_endpoints_that_fail_at_one_moment_count_once(peer: Peer) -> None:
    for number in range(20):
        peer.crash(f"e{number}", "popular", after_s=SAME_OUTAGE_S / 30)
    assert not peer.is_refused("popular")


# fault: a short prompt ends many endpoints within the time in which crashes count once
def test_crashes_count_if_each_request_was_sent_after_the_one_before(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", f"own{number}", "deadly", after_s=0.06, ran_s=0.05)
    assert peer.is_refused("deadly")


def test_a_part_that_passed_lately_is_not_implicated(peer: Peer) -> None:
    peer.ledger.record_passed("popular")
    peer.now += SOUND_S - 20
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "popular")
    assert not peer.is_refused("popular")
    peer.now += SOUND_S
    for number in range(3, 3 + CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "popular")
    assert peer.is_refused("popular")


def test_a_refusal_ends_with_the_retention_of_its_crashes(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE + 2):
        peer.crash(f"e{number}", "deadly")
    [refused] = peer.ledger.refused
    peer.now = refused.refused_until - 1
    peer.ledger.expire()
    assert peer.is_refused("deadly")
    peer.now = refused.refused_until + 1
    peer.ledger.expire()
    assert not peer.is_refused("deadly")


def test_what_is_listed_of_a_refusal_is_enough_for_a_new_peer(peer: Peer) -> None:
    for number in range(30):
        peer.crash(f"e{number}", "shared", f"own{number % 3}", "deadly")
    listed = peer.ledger.list_refused(8, 6)
    assert len(listed) == 6
    restarted = Peer()
    restarted.ledger.merge(listed)
    assert restarted.is_refused("shared", "deadly")


PARTS = st.frozensets(st.sampled_from("abcde"), max_size=3)
RECORDS = st.lists(
    st.builds(
        CrashRecord,
        crash=st.sampled_from([f"e{n}" for n in range(6)]),
        content=st.sampled_from(["=1", "=2", "=3"]),
        parts=PARTS,
        began=st.booleans(),
        ran_s=st.floats(0, 2),
        age_s=st.floats(0, 100),
    ),
    max_size=12,
)
PASSED = st.dictionaries(st.sampled_from("abcde"), st.floats(0, 200))


@given(RECORDS, PASSED, st.randoms(use_true_random=False))
def test_the_order_and_repetition_of_messages_change_nothing(
    records: list[CrashRecord], passed: dict[str, float], order: random.Random
) -> None:
    one, two = Peer(), Peer()
    one.ledger.merge(records)
    for key, age_s in passed.items():
        one.ledger.record_passed(key, age_s)
    messages: list[object] = [*records, *order.sample(records, len(records) // 2), *passed.items()]
    order.shuffle(messages)
    for message in messages:
        if isinstance(message, CrashRecord):
            two.ledger.merge([message])
        else:
            two.ledger.record_passed(*message)
    assert [r.keys for r in one.ledger.refused] == [r.keys for r in two.ledger.refused]


@given(st.lists(st.tuples(st.integers(0, 99), st.integers(0, 99)), max_size=60))
def test_records_and_passed_keys_are_bounded(numbers: list[tuple[int, int]]) -> None:
    peer = Peer(CrashSettings(records_limit=5, sound_limit=4))
    for crash, part in numbers:
        peer.crash(f"e{crash}", f"p{part}")
        peer.ledger.record_passed(f"p{part + 1}")
        assert len(peer.ledger) <= 5
    assert len(peer.ledger.list_passed(f"p{n}" for n in range(101))) <= 4


@given(st.lists(st.sampled_from(["crash", "pass", "wait"]), max_size=40), st.integers(0, 9))
def test_a_part_that_passes_between_crashes_is_never_refused(steps: list[str], seed: int) -> None:
    peer, since = Peer(), 0
    for number, step in enumerate(steps):
        if step == "pass":
            peer.ledger.record_passed("popular")
            since = 0
        elif step == "wait":
            peer.now += SOUND_S
        elif since < CRASHES_TO_REFUSE - 1:
            peer.crash(f"e{number}", "popular", f"own{seed}{number}")
            since += 1
        assert not peer.is_refused("popular")


@given(st.lists(st.tuples(PARTS, st.floats(0, SAME_OUTAGE_S * 0.9)), max_size=40))
def test_the_loss_of_a_whole_data_centre_refuses_nothing(
    runs: list[tuple[frozenset[str], float]],
) -> None:
    peer = Peer()
    for number, (parts, offset_s) in enumerate(runs):
        record = build_record(f"e{number % 9}", *parts, content=f"={number % 5}")
        peer.ledger.merge([attrs.evolve(record, age_s=offset_s)])
    assert not peer.ledger.refused


@given(st.integers(0, 3), st.lists(st.frozensets(st.sampled_from("abc")), max_size=12))
def test_a_deadly_part_ends_few_endpoints_whatever_it_comes_with(
    passing: int, others: list[frozenset[str]]
) -> None:
    peer, crashes = Peer(), 0
    for part in "abc"[:passing]:
        peer.ledger.record_passed(part)
    for number, parts in enumerate(others):
        keys = {*parts, "deadly", f"={number}"}
        if peer.is_refused(*keys):
            continue
        peer.crash(f"e{number}", *parts, "deadly", content=f"={number}", after_s=2.0)
        crashes += 1
    assert crashes <= CRASHES_TO_REFUSE + 3


# fault: the crashes of a data centre that fails push out those that show what is refused
def test_records_of_a_refusal_are_kept_while_there_are_others() -> None:
    peer = Peer(CrashSettings(records_limit=8))
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", f"own{number}", "deadly")
    for number in range(100):
        peer.crash(f"f{number}", f"other{number}", after_s=0.0)
        assert peer.is_refused("deadly")
    assert len(peer.ledger) == 8


# fault: a gateway that was suspended notices a crash late, and it counts once more
def test_a_crash_that_peers_notice_at_different_times_counts_once(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash("e1", f"own{number}", "popular", content=f"={number}")
    assert not peer.is_refused("popular")


# fault: on equal counts the smaller set won, which refused the first part of a sound request alone
def test_a_sound_request_beside_the_deadly_ones_does_not_refuse_their_shared_part(
    peer: Peer,
) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "shared", "deadly")
    peer.crash("e0", "shared", content="=sound", after_s=0.0)
    assert peer.is_refused("shared", "deadly", "=new")
    assert not peer.is_refused("shared", "=new")


# fault: passes were evicted by those of other keys, and the crashes before them counted again
def test_the_pass_of_a_key_that_crashes_name_is_kept(peer: Peer) -> None:
    peer = Peer(CrashSettings(sound_limit=64))
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "rare", f"own{number}")
    assert peer.ledger.record_passed("rare")
    for number in range(200):
        peer.ledger.record_passed(f"other{number}")
    peer.crash("e9", "unrelated")
    assert not peer.is_refused("rare", "=new")


# fault: crashes of two contents side by side counted like those of one, which was refused alone
def test_a_part_is_refused_alone_when_two_contents_crash_side_by_side(peer: Peer) -> None:
    crashes = [("a", 0.0, 1.4), ("a", 1.38, 1.35), ("b", 0.46, 1.4), ("b", 0.96, 0.9)]
    for number, (content, after_s, ran_s) in enumerate([*crashes, ("a", 0.06, 1.4)]):
        peer.crash(
            f"e{number}", "own", "deadly", content=f"={content}", after_s=after_s, ran_s=ran_s
        )
    assert peer.is_refused("own", "deadly", "=a")
    assert peer.is_refused("own", "deadly", "=new")


# fault: heads of others had arrived where that of the deadly request was lost, so it never counted
def test_a_content_whose_head_is_lost_at_each_crash_is_refused(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", "popular", content="=lost", began=False)
        peer.crash(f"e{number}", f"own{number}", after_s=0.0)
    assert peer.is_refused("popular", "=lost")
    assert not peer.is_refused("popular")


def test_a_content_that_moved_along_with_a_deadly_part_is_innocent(peer: Peer) -> None:
    for number in range(CRASHES_TO_REFUSE):
        peer.crash(f"e{number}", content="=moved", began=False)
        peer.crash(f"e{number}", f"own{number}", "deadly", after_s=0.0)
    assert peer.is_refused("deadly")
    assert not peer.is_refused("=moved")
