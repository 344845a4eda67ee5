"""Times in which the machine keeps the soak or a gateway from running."""

from __future__ import annotations

import os

import pytest

from soak.records import Record
from soak.stalls import STALL_S, StallWatch

GATEWAY = 7
CHECK_S = 0.2


class Machine:
    """Clock and waits for a processor that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.delays_s = {os.getpid(): 50.0, GATEWAY: 5.0}
        self.record = Record()
        self.watch = StallWatch(
            self.record, lambda: [GATEWAY], self.delays_s.__getitem__, lambda: self.now_s
        )

    def pass_time(self, length_s: float, **delays_s: float) -> None:
        """Let time pass in which "own" and "gateway" wait, then check."""
        self.now_s += length_s
        self.delays_s[os.getpid()] += delays_s.get("own", 0.0)
        self.delays_s[GATEWAY] += delays_s.get("gateway", 0.0)
        self.watch.check()


# fault: the soak, in which all endpoints and the store run, stood still unnoticed
@pytest.mark.parametrize("waiting", ["own", "gateway"])
def test_a_long_wait_for_a_processor_is_a_stall(waiting: str) -> None:
    machine = Machine()
    machine.pass_time(CHECK_S)
    machine.pass_time(1.5, **{waiting: 1.1})
    (stall,) = machine.record.stalls
    assert stall.began == pytest.approx(100.0 + CHECK_S)
    assert stall.ended == pytest.approx(101.5 + CHECK_S)
    assert stall.waited_s == pytest.approx(1.1)


# fault: a wait that was counted at its end seemed to have begun at the check before
def test_a_stall_begins_with_its_wait() -> None:
    machine = Machine()
    machine.pass_time(CHECK_S)
    machine.pass_time(CHECK_S, gateway=0.35)
    assert machine.record.stalls[0].began == pytest.approx(100.0 + 2 * CHECK_S - 0.35)


# fault: a process that hangs, or waits for something else, passed for a stall of the machine
def test_other_standstills_are_no_stalls() -> None:
    machine = Machine()
    machine.pass_time(10.0, own=STALL_S - 0.01, gateway=STALL_S - 0.01)
    assert machine.record.stalls == []
    assert machine.watch.measure_quiet() > 10.0


# fault: traffic ended within the time that the gateways have to recover from a stall
def test_the_time_since_the_last_stall() -> None:
    machine = Machine()
    machine.pass_time(1.0, own=1.0)
    machine.now_s += 2.0
    assert machine.watch.measure_quiet() == pytest.approx(2.0)
