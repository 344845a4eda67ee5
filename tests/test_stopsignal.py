"""The time of a stop signal."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator

import pytest

from basilroad.stopsignal import StopSignal


@pytest.fixture
async def handled() -> AsyncIterator[list[float]]:
    """:return: times at which the event loop handled the signal."""
    times: list[float] = []
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, lambda: times.append(time.monotonic()))
    yield times
    loop.remove_signal_handler(signal.SIGTERM)


def block_event_loop(length_s: float) -> None:
    time.sleep(length_s)


async def test_the_time_of_a_signal_does_not_depend_on_a_busy_event_loop(
    handled: list[float],
) -> None:
    # fault: a stop counted from when the event loop got round to its signal
    stop_signal = StopSignal()
    stop_signal.watch()
    sent_at = time.monotonic()
    os.kill(os.getpid(), signal.SIGTERM)
    block_event_loop(0.3)
    while not handled:
        await asyncio.sleep(0.01)
    assert handled[0] >= sent_at + 0.3
    assert stop_signal.received_at is not None
    assert stop_signal.received_at < sent_at + 0.1


@pytest.mark.usefixtures("handled")
async def test_the_first_of_several_signals_counts() -> None:
    stop_signal = StopSignal()
    stop_signal.watch()
    os.kill(os.getpid(), signal.SIGTERM)
    first = stop_signal.received_at
    os.kill(os.getpid(), signal.SIGTERM)
    stop_signal.record()
    assert first is not None
    assert stop_signal.received_at == first


def test_a_signal_that_nothing_handles_still_ends_the_process() -> None:
    # fault: recording it would have taken the place of its default action
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL
    StopSignal().watch()
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL


class Clocks:
    """The clocks of a machine that can be suspended."""

    def __init__(self) -> None:
        self.now = 100.0
        self.suspended_s = 7.0
        self.pause_s = 0.0

    def read(self) -> float:
        self.now += self.pause_s
        return self.now

    def read_boot(self) -> float:
        self.now += self.pause_s
        return self.now + self.suspended_s


# fault: a machine that was suspended in a stop went on beyond the grace period
@pytest.mark.parametrize("is_recorded", [True, False])
def test_the_time_since_a_signal_includes_a_suspension(is_recorded: bool) -> None:
    clocks = Clocks()
    stop_signal = StopSignal(None if is_recorded else 99.0, clocks.read, clocks.read_boot)
    if is_recorded:
        stop_signal.record()
        clocks.now += 1.0
    assert stop_signal.age_s() == 1.0
    clocks.suspended_s += 2.0
    clocks.now += 0.5
    assert stop_signal.age_s() == 3.5


@pytest.mark.parametrize("pauses", [(0.0, 0.3), (0.3, 0.0), (0.3, 0.3)])
def test_a_pause_between_two_readings_is_no_suspension(pauses: tuple[float, float]) -> None:
    clocks = Clocks()
    stop_signal = StopSignal(clock=clocks.read, boot_clock=clocks.read_boot)
    clocks.pause_s = pauses[0]
    stop_signal.record()
    clocks.pause_s = pauses[1]
    assert stop_signal.read_clock() == clocks.now


def test_without_a_signal_a_suspension_does_not_count() -> None:
    clocks = Clocks()
    stop_signal = StopSignal(clock=clocks.read, boot_clock=clocks.read_boot)
    stop_signal.read_clock()
    clocks.suspended_s += 2.0
    assert stop_signal.read_clock() == clocks.now
    assert stop_signal.age_s() == 0.0
