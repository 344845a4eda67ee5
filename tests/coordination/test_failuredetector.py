"""Tests of the detection of dead peers and stalled streams."""

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
    detector = FailureDetector(FailureDetectorSettings(), clock)
    detector.record_message("p")
    changes = [change for found in _run(clock, detector.check, 4) for change in found]
    assert [change.after for change in changes] == [Health.SUSPECT, Health.DEAD]
    detector.record_message("p")
    assert detector.check() == [HealthChange("p", Health.DEAD, Health.ALIVE)]
    detector.forget("p")
    assert detector.state("p") is Health.DEAD


def test_pause_of_the_process_restarts_the_timeouts_of_peers(clock) -> None:
    detector = FailureDetector(FailureDetectorSettings(), clock)
    detector.record_message("p")
    clock.advance(60)
    assert detector.state("p") is Health.ALIVE
    assert detector.check() == []
    _run(clock, detector.check, 3.1)
    assert detector.state("p") is Health.DEAD


@pytest.mark.parametrize(("gap", "allowed"), [(0.02, 0.5), (0.2, 1.6), (3.0, 5.0)])
def test_allowed_silence_is_a_multiple_of_recent_gaps(clock, gap, allowed) -> None:
    detector = StallDetector(StallSettings(pause_s=10), clock)
    for _ in range(20):
        clock.advance(gap)
        assert not detector.is_stalled()
        detector.record_tokens()
    assert detector.allowed() == pytest.approx(allowed)
    stalled = _run(clock, detector.is_stalled, allowed + 0.2, 0.05)
    assert stalled[-1]
    assert not any(stalled[: round(allowed / 0.05) - 1])


def test_first_token_has_a_separate_timeout(clock) -> None:
    detector = StallDetector(StallSettings(), clock)
    assert not any(_run(clock, detector.is_stalled, 9.9))
    assert any(_run(clock, detector.is_stalled, 0.3))


def test_pause_of_the_process_does_not_count_as_a_stall(clock) -> None:
    detector = StallDetector(StallSettings(), clock)
    for _ in range(10):
        clock.advance(0.1)
        detector.record_tokens()
    clock.advance(120)
    assert not detector.is_stalled()
    detector.record_tokens()
    assert detector.allowed() == pytest.approx(0.8)
    assert any(_run(clock, detector.is_stalled, 1))
