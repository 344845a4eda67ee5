"""Time limit for the next event of a started stream."""

from __future__ import annotations

import attrs

STALL_TIMEOUT_S = 1.5
"""Time without an event after which a started stream is resumed elsewhere though its endpoint is
alive; twice the gap specified for the fleets. It doubles with each stall of a stream, so that one
that is slow everywhere completes."""


@attrs.define
class StallTimer:
    """Time at which one stream counts as stalled.

    :param expires_at: seconds of the clock of the event loop; ``None`` before the first event of a
        run
    """

    expires_at: float | None = None
    _timeout_s: float = attrs.field(factory=lambda: STALL_TIMEOUT_S)

    def start_run(self) -> None:
        """Stop the timer until the first event of another run."""
        self.expires_at = None

    def restart(self, now: float) -> None:
        """Restart the timer, at an event.

        :param now: seconds of the clock of the event loop
        """
        self.expires_at = now + self._timeout_s

    def extend(self) -> None:
        """Extend the time limit of a stalled stream that can't resume elsewhere."""
        assert self.expires_at is not None
        self.expires_at += self._timeout_s

    def record_stall(self) -> None:
        """Double the time limit for the next runs of a stalled stream that resumes elsewhere."""
        self._timeout_s *= 2


__all__ = ["STALL_TIMEOUT_S", "StallTimer"]
