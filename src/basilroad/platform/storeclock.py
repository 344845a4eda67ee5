"""Dates the store's answers by its own clock."""

from __future__ import annotations

import math

DRIFT = 1e-4
"""Most that two steady clocks part in a second; quartz clocks stay well below."""


class StoreClock:
    """Relates the store's steady clock to this host's.

    An answer made at an unknown moment of a long call is dated by one whose moment is better known.
    """

    def __init__(self) -> None:
        self._offset_s = math.inf
        self._known_at = 0.0

    def forget(self) -> None:
        """Drop what is known: the store may be another one after a loss."""
        self._offset_s = math.inf

    def date(self, earliest: float, received_at: float, store_s: float | None) -> float:
        """Date an answer; never later than it was made.

        :param earliest: seconds of the boot clock before which it can't have been made
        :param received_at: seconds of the boot clock at which it came
        :param store_s: seconds of the store's clock that it shows; ``None`` if it shows none
        :return: seconds of the boot clock at which it was made at the earliest
        """
        if store_s is None:
            return earliest
        drifted_s = self._offset_s + DRIFT * max(0.0, received_at - self._known_at)
        self._offset_s = min(drifted_s, store_s - earliest)
        self._known_at = received_at
        return min(received_at, max(earliest, store_s - self._offset_s))


__all__ = ["StoreClock"]
