"""Check the detection of dead peers and silent streams."""

from __future__ import annotations

import pytest

from basilroad.coordination.failuredetector import (
    FailureDetector,
    FailureDetectorSettings,
    Health,
    HealthChange,
)
from basilroad.coordination.stalldetector import StallDetector, StallSettings


def _run(clock, check, seconds: float, step: float = 0.1) -> list:
    results = []
    for _ in range(round(seconds / step)):
        clock.advance(step)
        results.append(check())
    return results


def test_silent_peer_is_suspect_then_dead_then_alive_again(clock) -> None:
    suspicion = FailureDetector(FailureDetectorSettings(), clock)
    suspicion.record_message("p")
    changes = [change for found in _run(clock, suspicion.check, 4) for change in found]
    assert [change.after for change in changes] == [Health.SUSPECT, Health.DEAD]
    suspicion.record_message("p")
    assert suspicion.check() == [HealthChange("p", Health.DEAD, Health.ALIVE)]
    suspicion.forget("p")
    assert suspicion.state("p") is Health.DEAD


def test_own_pause_gives_peers_their_time_anew(clock) -> None:
    suspicion = FailureDetector(FailureDetectorSettings(), clock)
    suspicion.record_message("p")
    clock.advance(60)
    assert suspicion.state("p") is Health.ALIVE
    assert suspicion.check() == []
    _run(clock, suspicion.check, 3.1)
    assert suspicion.state("p") is Health.DEAD


@pytest.mark.parametrize(("gap", "allowed"), [(0.02, 0.5), (0.2, 1.6), (3.0, 5.0)])
def test_silence_is_measured_in_the_gaps_of_the_stream(clock, gap, allowed) -> None:
    detector = StallDetector(StallSettings(pause_s=10), clock)
    for _ in range(20):
        clock.advance(gap)
        assert not detector.is_stalled()
        detector.record_tokens()
    assert detector.allowed() == pytest.approx(allowed)
    silent = _run(clock, detector.is_stalled, allowed + 0.2, 0.05)
    assert silent[-1]
    assert not any(silent[: round(allowed / 0.05) - 1])


def test_first_token_has_its_own_limit(clock) -> None:
    detector = StallDetector(StallSettings(), clock)
    assert not any(_run(clock, detector.is_stalled, 9.9))
    assert any(_run(clock, detector.is_stalled, 0.3))


def test_own_pause_is_no_silence_of_the_stream(clock) -> None:
    detector = StallDetector(StallSettings(), clock)
    for _ in range(10):
        clock.advance(0.1)
        detector.record_tokens()
    clock.advance(120)
    assert not detector.is_stalled()
    detector.record_tokens()
    assert detector.allowed() == pytest.approx(0.8)
    assert any(_run(clock, detector.is_stalled, 1))
