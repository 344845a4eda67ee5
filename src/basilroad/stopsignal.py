"""Time at which the process was asked to stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType

import attrs


@attrs.define
class StopSignal:
    """Records when SIGTERM arrived.

    The event loop runs its own handler in one of its next turns, which a busy host delays. This one
    runs between two instructions of the interpreter, so that only a long call into a library or a
    process that gets no processor time delays it.

    :param received_at: monotonic seconds; ``None`` before the signal
    :param clock: monotonic seconds
    """

    received_at: float | None = None
    clock: Callable[[], float] = time.monotonic

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
        return self.received_at

    def _handle(self, _: int, __: FrameType | None) -> None:
        self.record()

    def age_s(self) -> float:
        """:return: seconds since the signal; 0 without one."""
        return 0.0 if self.received_at is None else self.clock() - self.received_at


__all__ = ["StopSignal"]
