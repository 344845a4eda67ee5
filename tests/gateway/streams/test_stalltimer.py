"""Time limit for the next event of a stream; plain values."""

from __future__ import annotations

from basilroad.gateway.streams.stalltimer import StallTimer


def test_a_run_without_an_event_does_not_stall() -> None:
    timer = StallTimer(timeout_s=1.0)
    timer.restart(10.0)
    timer.start_run()
    assert timer.expires_at is None


def test_each_event_restarts_the_timer() -> None:
    timer = StallTimer(timeout_s=1.0)
    timer.restart(10.0)
    timer.restart(10.5)
    assert timer.expires_at == 11.5


def test_a_stalled_stream_that_stays_is_checked_again_after_the_same_time() -> None:
    timer = StallTimer(timeout_s=1.0)
    timer.restart(10.0)
    timer.extend()
    assert timer.expires_at == 12.0


def test_the_time_limit_doubles_with_each_stall() -> None:
    timer = StallTimer(timeout_s=1.0)
    for expected in (11.0, 12.0, 14.0):
        timer.restart(10.0)
        assert timer.expires_at == expected
        timer.record_stall()
