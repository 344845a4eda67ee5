"""Check that a poisonous request is contained and its neighbours are not harmed."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.copylimiter import CopyLimiter
from basilroad.coordination.poison import (
    PASSED_TOKENS,
    REFUSED_ANYWAY_AFTER,
    PoisonLedger,
    PoisonMark,
    PoisonSettings,
    PoisonStatus,
)

FINGERPRINTS = ["f", "g"]
MARKS = st.lists(
    st.builds(
        PoisonMark,
        fingerprint=st.sampled_from(FINGERPRINTS),
        death=st.sampled_from(["d1", "d2", "d3", "d4"]),
        alone=st.booleans(),
        cleared=st.booleans(),
        age_s=st.sampled_from([0.0, 5.0, 5000.0]),
    ),
    max_size=10,
)


def _ledger(clock=lambda: 0.0, **changes) -> PoisonLedger:
    return PoisonLedger(PoisonSettings(**changes), clock)


def _view(ledger: PoisonLedger) -> set[tuple[str, str, bool, bool]]:
    marks = ledger.marks_since(0).marks
    return {(mark.fingerprint, mark.death, mark.alone, mark.cleared) for mark in marks}


@pytest.mark.holds_poison
def test_third_death_refuses_what_ran_alone(clock) -> None:
    ledger = _ledger(clock)
    assert ledger.standing("f") is PoisonStatus.CLEAN
    assert ledger.record_death(PoisonMark("f", "d1")) is PoisonStatus.SUSPECT
    assert ledger.record_death(PoisonMark("f", "d1")) is PoisonStatus.SUSPECT
    assert ledger.record_death(PoisonMark("f", "d2")) is PoisonStatus.ISOLATED
    assert ledger.record_death(PoisonMark("f", "d3", alone=True)) is PoisonStatus.REFUSED


@pytest.mark.holds_poison
def test_neighbour_is_never_refused_and_is_cleared_when_it_finishes(clock) -> None:
    ledger = _ledger(clock)
    for number in range(20):
        ledger.record_death(PoisonMark("f", f"d{number}"))
    assert ledger.standing("f") is PoisonStatus.ISOLATED
    ledger.clear("f")
    assert ledger.standing("f") is PoisonStatus.CLEAN
    assert ledger.record_death(PoisonMark("f", "later", alone=True)) is PoisonStatus.SUSPECT


@given(MARKS, st.randoms())
def test_marks_merge_in_any_order_and_any_number_of_times(marks, order) -> None:
    one, other = _ledger(), _ledger()
    one.merge(marks)
    shuffled = marks * 2
    order.shuffle(shuffled)
    for mark in shuffled:
        other.merge([mark])
    assert _view(one) == _view(other)
    assert not one.merge(other.marks_since(0).marks)
    for fingerprint in FINGERPRINTS:
        assert one.standing(fingerprint) is other.standing(fingerprint)


def test_batches_hold_only_what_is_new(clock) -> None:
    ledger, peer = _ledger(clock), _ledger(clock)
    ledger.record_death(PoisonMark("f", "d1"))
    batch = ledger.marks_since(0)
    assert peer.merge(batch.marks)
    assert ledger.marks_since(batch.serial).marks == ()
    ledger.clear("f")
    news = ledger.marks_since(batch.serial)
    assert [mark.cleared for mark in news.marks] == [True]
    peer.merge(news.marks)
    assert peer.standing("f") is PoisonStatus.CLEAN


def test_marks_expire_by_their_age_however_often_they_are_passed_on(clock) -> None:
    ledgers = [_ledger(clock, retain_s=100) for _ in range(2)]
    ledgers[0].record_death(PoisonMark("f", "d1"))
    for _ in range(10):
        clock.advance(11)
        ledgers[1].merge(ledgers[0].marks_since(0).marks)
        ledgers[0].expire()
        ledgers.reverse()
    assert [ledger.standing("f") for ledger in ledgers] == [PoisonStatus.CLEAN] * 2
    for ledger in ledgers:
        ledger.expire()
    assert [len(ledger) for ledger in ledgers] == [0, 0]


def test_memory_is_bounded(clock) -> None:
    ledger = _ledger(clock, limit=10, deaths_limit=4)
    for number in range(100):
        ledger.record_death(PoisonMark(f"f{number}", "d"))
        ledger.record_death(PoisonMark("f99", f"d{number}", alone=number < 3))
    assert len(ledger) == 10
    assert len(ledger.marks_since(0).marks) <= 9 + 4
    assert ledger.standing("f99") is PoisonStatus.REFUSED


@attrs.define
class _Job:
    fingerprint: str
    left: int = 3


class _Fleet:
    """Endpoints that die of the poison; every lost job is sent again at once."""

    def __init__(self, seed: int, innocents: int, copies: int) -> None:
        self.random = random.Random(seed)
        self.ledger = _ledger()
        self.limiter = CopyLimiter(self.ledger)
        self.endpoints: dict[str, list[_Job]] = {f"e{number}": [] for number in range(8)}
        jobs = [_Job(f"innocent-{number}") for number in range(innocents)]
        self.waiting = jobs + [_Job("poison") for _ in range(copies)]
        self.deaths = 0
        self.refused: list[str] = []

    def step(self) -> None:
        self.random.shuffle(self.waiting)
        self.waiting = [job for job in self.waiting if not self._start(job)]
        for endpoint, jobs in self.endpoints.items():
            if any(job.fingerprint == "poison" for job in jobs) and self.random.random() < 0.7:
                self._kill(endpoint)
                continue
            self._run(endpoint)

    def _start(self, job: _Job) -> bool:
        standing = self.ledger.standing(job.fingerprint)
        if standing is PoisonStatus.REFUSED:
            self.refused.append(job.fingerprint)
            return True
        endpoint = self.random.choice(sorted(self.endpoints))
        if not self._has_room(endpoint, standing):
            return False
        if not self.limiter.enter(job.fingerprint, endpoint):
            return False
        self.endpoints[endpoint].append(job)
        return True

    def _has_room(self, endpoint: str, standing: PoisonStatus) -> bool:
        jobs = self.endpoints[endpoint]
        if standing is PoisonStatus.ISOLATED:
            return not jobs
        taken = [self.ledger.standing(job.fingerprint) for job in jobs]
        return len(jobs) < 4 and PoisonStatus.ISOLATED not in taken

    def _kill(self, endpoint: str) -> None:
        self.deaths += 1
        jobs = self.endpoints[endpoint]
        self.endpoints[endpoint] = []
        for job in jobs:
            alone = len(jobs) == 1
            self.limiter.lose(job.fingerprint, endpoint, f"death-{self.deaths}", alone=alone)
        self.waiting += jobs

    def _run(self, endpoint: str) -> None:
        for job in list(self.endpoints[endpoint]):
            if job.fingerprint == "poison":
                continue
            job.left -= 1
            if job.left == 0:
                self.endpoints[endpoint].remove(job)
                self.limiter.leave(job.fingerprint, endpoint)
                self.ledger.clear(job.fingerprint)


@pytest.mark.holds_poison
@given(st.integers(0, 10_000), st.integers(0, 12), st.integers(1, 6))
def test_poison_kills_three_endpoints_and_no_neighbour_is_refused(seed, innocents, copies) -> None:
    fleet = _Fleet(seed, innocents, copies)
    for _ in range(300):
        fleet.step()
    assert fleet.deaths <= 3
    assert set(fleet.refused) <= {"poison"}
    assert fleet.refused.count("poison") == copies
    assert fleet.waiting == []
    assert not any(fleet.endpoints.values())


def test_copies_share_the_endpoints_that_run_them(clock) -> None:
    ledger = _ledger(clock)
    limiter = CopyLimiter(ledger)
    assert [limiter.enter("f", name) for name in ("a", "b", "c", "a")] == [True, True, False, True]
    limiter.leave("f", "a")
    assert limiter.endpoints("f") == ["a", "b"]
    assert limiter.lose("f", "a", "d1", alone=False) is PoisonStatus.SUSPECT
    assert not limiter.enter("f", "c")
    limiter.lose("f", "b", "d2", alone=False)
    assert [limiter.enter("f", name) for name in ("c", "c", "d")] == [True, False, False]
    limiter.leave("f", "c")
    assert limiter.endpoints("f") == []


def test_deaths_at_unlike_places_do_not_refuse() -> None:
    ledger = PoisonLedger(PoisonSettings())
    for number, progress in enumerate((10, 200, 900)):
        mark = PoisonMark("f", f"d{number}", alone=True, progress=progress, offset=1000 * number)
        ledger.record_death(mark)
    assert ledger.standing("f") is PoisonStatus.ISOLATED


def test_many_deaths_refuse_wherever_they_came() -> None:
    ledger = PoisonLedger(PoisonSettings())
    for number in range(REFUSED_ANYWAY_AFTER):
        mark = PoisonMark("f", f"d{number}", True, progress=10**number, offset=11**number)
        ledger.record_death(mark)
    assert ledger.standing("f") is PoisonStatus.REFUSED


@pytest.mark.parametrize("places", [(0, 3, 1), (100, 120, 140), (5000, 6000, 7000)])
def test_deaths_after_as_many_tokens_refuse(places: tuple[int, ...]) -> None:
    ledger = PoisonLedger(PoisonSettings())
    for number, progress in enumerate(places):
        offset = sum(places[: number + 1])
        ledger.record_death(PoisonMark("f", f"d{number}", True, progress=progress, offset=offset))
    assert ledger.standing("f") is PoisonStatus.REFUSED


def test_deaths_at_one_offset_refuse() -> None:
    ledger = PoisonLedger(PoisonSettings())
    for number, progress in enumerate((300, 0, 2)):
        ledger.record_death(PoisonMark("f", f"d{number}", True, progress=progress, offset=300))
    assert ledger.standing("f") is PoisonStatus.REFUSED


def test_place_is_passed_after_twice_the_longest_fatal_run() -> None:
    ledger = PoisonLedger(PoisonSettings())
    assert ledger.clearance_tokens("f") is None
    ledger.record_death(PoisonMark("f", "d1", progress=50))
    ledger.record_death(PoisonMark("f", "d2", progress=20))
    assert ledger.clearance_tokens("f") == 2 * 50 + PASSED_TOKENS
