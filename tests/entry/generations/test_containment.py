"""Tests of the containment of requests implicated in endpoint failures."""

from __future__ import annotations

import pytest

from basilroad.coordination.poison import PoisonMark
from basilroad.entry.generations.containment import Containment
from basilroad.errors import ErrorKind, RefusedError
from basilroad.peers.wire import peer_pb2 as wire


class BroadcastRecorder:
    """Records the marks that were broadcast."""

    def __init__(self) -> None:
        self.sent: list[wire.PoisonMarks] = []

    def __call__(self, marks: wire.PoisonMarks) -> None:
        self.sent.append(marks)


@pytest.fixture
def broadcast() -> BroadcastRecorder:
    return BroadcastRecorder()


@pytest.fixture
def containment(broadcast: BroadcastRecorder) -> Containment:
    return Containment(lambda fingerprint: fingerprint == "copied", broadcast)


def test_each_death_is_broadcast_once(
    containment: Containment, broadcast: BroadcastRecorder
) -> None:
    containment.record_death("r1", PoisonMark("f", "d1"))
    containment.record_death("r1", PoisonMark("f", "d2"))
    assert [[mark.death for mark in marks.marks] for marks in broadcast.sent] == [["d1"], ["d2"]]
    assert [mark.death for mark in containment.pack_all().marks] == ["d1", "d2"]


def test_suspect_is_isolated_only_while_it_has_duplicates(containment: Containment) -> None:
    for fingerprint in ("single", "copied"):
        containment.record_death("r", PoisonMark(fingerprint, "d1"))
        assert containment.is_suspect(fingerprint)
    assert not containment.requires_isolation("single")
    assert containment.requires_isolation("copied")


def test_content_implicated_while_isolated_is_refused_until_cleared(
    containment: Containment, broadcast: BroadcastRecorder
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
    assert broadcast.sent[-1].marks[0].cleared


def test_clearing_an_unknown_content_sends_nothing(
    containment: Containment, broadcast: BroadcastRecorder
) -> None:
    containment.clear("f")
    assert not broadcast.sent


def test_marks_of_other_entries_count(containment: Containment) -> None:
    other = Containment(lambda _: False, lambda _: None)
    for death in ("d1", "d2"):
        other.record_death("r", PoisonMark("f", death))
    containment.merge_remote(other.pack_all())
    assert containment.requires_isolation("f")
