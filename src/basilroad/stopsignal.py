"""Time at which the process was asked to stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType

import attrs

from basilroad.clocks import read_boot_clock


@attrs.define
class StopSignal:
    """Records when SIGTERM arrived.

    The event loop runs its own handler in one of its next turns, which a busy host delays. This one
    runs between two instructions of the interpreter, so that only a long call into a library or a
    process that gets no processor time delays it.

    The platform's grace period goes on while the machine is suspended, and the monotonic clock does
    not; what a stop has to end in that period goes by :meth:`read_clock`.

    :param received_at: monotonic seconds; ``None`` before the signal
    :param clock: monotonic seconds
    :param boot_clock: seconds since boot, including suspend time
    """

    received_at: float | None = None
    clock: Callable[[], float] = time.monotonic
    boot_clock: Callable[[], float] = read_boot_clock
    _lead_s: float | None = None  # upper bound of how far the boot clock was ahead at the signal

    def watch(self) -> None:
        """Record the signal; the event loop must handle it already, and continues to do so."""
        if not callable(signal.getsignal(signal.SIGTERM)):
            return
        # the interpreter notifies the event loop of signals, whatever their handler does
        signal.signal(signal.SIGTERM, self._handle)
        signal.siginterrupt(signal.SIGTERM, False)

    def record(self) -> float:
        """Record a request to stop; the first one counts.

        :return: monotonic seconds of the request
        """
        if self.received_at is None:
            self.received_at = self.clock()
            self._lead_s = self.boot_clock() - self.received_at
        return self.received_at

    def _handle(self, _: int, __: FrameType | None) -> None:
        self.record()

    def read_clock(self) -> float:
        """:return: monotonic seconds, and those for which the machine was suspended since the
        signal."""
        if self.received_at is None:
            return self.clock()
        if self._lead_s is None:
            before = self.clock()
            self._lead_s = self.boot_clock() - before
        # a pause between the two readings must not look like a suspension
        boot_s, now = self.boot_clock(), self.clock()
        return now + max(0.0, boot_s - now - self._lead_s)

    def age_s(self) -> float:
        """:return: seconds since the signal; 0 without one."""
        return 0.0 if self.received_at is None else self.read_clock() - self.received_at


__all__ = ["StopSignal"]
