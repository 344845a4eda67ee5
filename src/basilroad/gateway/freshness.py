"""Age of cached state by a clock that includes suspend time."""

from __future__ import annotations

from collections.abc import Callable

from basilroad.clocks import read_boot_clock


class Freshness:
    """Time since cached state was last confirmed by its source.

    :param clock: monotonic seconds that include suspend time
    """

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self.clock = clock
        self._confirmed_at: float | None = None
        self._responded_at: float | None = None

    def confirm(self, at: float) -> None:
        """Record that the state was confirmed.

        :param at: clock reading; ignored if earlier than the last one
        """
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def record_response(self, at: float) -> None:
        """Record that the source responded, but can't confirm the state yet.

        :param at: clock reading
        """
        self._responded_at = at

    def has_responded_within(self, limit_s: float) -> bool:
        """Check whether the source of state that was confirmed before still responds.

        :param limit_s: seconds since its last response
        :return: whether it has responded within that time
        """
        if self._confirmed_at is None or self._responded_at is None:
            return False
        return self.clock() - self._responded_at <= limit_s

    def age_s(self) -> float | None:
        """:return: seconds since the last confirmation; ``None`` if there was none."""
        if self._confirmed_at is None:
            return None
        return max(0.0, self.clock() - self._confirmed_at)

    def is_within(self, limit_s: float) -> bool:
        """:return: whether the last confirmation is at most that old."""
        age_s = self.age_s()
        return age_s is not None and age_s <= limit_s


__all__ = ["Freshness"]
