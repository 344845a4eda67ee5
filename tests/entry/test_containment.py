"""Check how far requests may go on that endpoints died under."""

from __future__ import annotations

import pytest

from basilroad.coordination.poison import PoisonMark
from basilroad.entry.containment import Containment
from basilroad.errors import ErrorKind, RefusedError
from basilroad.peers.wire import peer_pb2 as wire


class Spread:
    """Keeps what was spread."""

    def __init__(self) -> None:
        self.sent: list[wire.PoisonMarks] = []

    def __call__(self, marks: wire.PoisonMarks) -> None:
        self.sent.append(marks)


@pytest.fixture
def spread() -> Spread:
    return Spread()


@pytest.fixture
def containment(spread: Spread) -> Containment:
    return Containment(lambda fingerprint: fingerprint == "copied", spread)


def test_each_death_is_spread_once(containment: Containment, spread: Spread) -> None:
    containment.record_death("r1", PoisonMark("f", "d1"))
    containment.record_death("r1", PoisonMark("f", "d2"))
    assert [[mark.death for mark in marks.marks] for marks in spread.sent] == [["d1"], ["d2"]]
    assert [mark.death for mark in containment.pack_all().marks] == ["d1", "d2"]


def test_suspect_runs_alone_only_beside_copies(containment: Containment) -> None:
    for fingerprint in ("single", "copied"):
        containment.record_death("r", PoisonMark(fingerprint, "d1"))
        assert containment.is_suspect(fingerprint)
    assert not containment.requires_isolation("single")
    assert containment.requires_isolation("copied")


def test_content_that_dies_alone_is_refused_until_cleared(
    containment: Containment, spread: Spread
) -> None:
    for death in ("d1", "d2"):
        containment.record_death("r", PoisonMark("f", death))
    containment.check("f")
    containment.record_death("r", PoisonMark("f", "d3", alone=True))
    with pytest.raises(RefusedError) as caught:
        containment.check("f")
    assert caught.value.refusal.kind is ErrorKind.POISONED
    containment.clear("f")
    containment.check("f")
    assert spread.sent[-1].marks[0].cleared


def test_clearing_an_unknown_content_tells_nobody(containment: Containment, spread: Spread) -> None:
    containment.clear("f")
    assert not spread.sent


def test_marks_of_others_count(containment: Containment) -> None:
    other = Containment(lambda _: False, lambda _: None)
    for death in ("d1", "d2"):
        other.record_death("r", PoisonMark("f", death))
    containment.merge_remote(other.pack_all())
    assert containment.requires_isolation("f")
