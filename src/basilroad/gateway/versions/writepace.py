"""Pace of a host's calls to the archive."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from basilroad.gateway.versions.records import BATCH_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable

WRITES_PER_S = 100.0
"""Transactions a second of all hosts together: half of what a part of the store takes."""

BURST = 4
"""Transactions that a host may make at once after a pause."""

MAX_BATCH_DELAY_S = 1.0
"""Longest time for which records are batched; many streams have their first event by then."""

DURATION_VALIDITY_S = 5.0
"""Time for which the duration of a transaction serves as an estimate for the next one."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
"""Limits of the backoff after a failed call."""

_LOGGER = logging.getLogger(__name__)


class WritePace:
    """Spaces out the calls of this host.

    :param count_hosts: counts the hosts that share the archive
    """

    def __init__(self, count_hosts: Callable[[], int]) -> None:
        self._count_hosts = count_hosts
        self._spent_until = -math.inf
        self._retry_s = RETRY_MIN_S
        self.retry_at = -math.inf
        self._write_failed = False
        self._sent_at: float | None = None
        self._took_s = 0.0
        self._took_at = -math.inf
        self.is_away = False

    @property
    def _interval_s(self) -> float:
        return max(1, self._count_hosts()) / WRITES_PER_S

    @property
    def next_at(self) -> float:
        """:return: when the next transaction may be made in seconds."""
        return max(self.retry_at, self._spent_until - (BURST - 1) * self._interval_s)

    def may_read(self, now: float) -> bool:
        """:return: whether the archive may be read now, which is not done for a caller."""
        return now >= self.retry_at

    def may_write(self, now: float) -> bool:
        """:return: whether a transaction may be made now."""
        return now >= self.next_at

    def record_write(self, now: float) -> None:
        """Record a transaction.

        :param now: seconds
        """
        self._spent_until = max(self._spent_until, now) + self._interval_s
        self._sent_at = now

    def record_response(self, now: float) -> None:
        """Record the end of a transaction.

        :param now: seconds
        """
        if self._sent_at is not None:
            self._took_s, self._took_at, self._sent_at = now - self._sent_at, now, None

    def estimate_write(self, now: float) -> float:
        """Estimate how long a record takes that is requested now.

        :param now: seconds
        :return: seconds until the next transaction may be made, and for which one takes lately
        """
        return max(0.0, self.next_at - now) + self._estimate_duration(now)

    def find_batch_delay(self, now: float) -> float:
        """Find how long a new record is batched unless its stream has its first event before.

        :param now: seconds
        :return: seconds, more the fewer transactions this host may make, until all are saved up
        """
        # a slow transaction has to run while the stream waits for its first event
        is_slow = self._estimate_duration(now) >= BATCH_DELAY_S
        if is_slow or self._spent_until <= now:
            return BATCH_DELAY_S
        return max(BATCH_DELAY_S, min(self._interval_s, MAX_BATCH_DELAY_S))

    def _estimate_duration(self, now: float) -> float:
        running_s = now - self._sent_at if self._sent_at is not None else 0.0
        recent_s = self._took_s if now - self._took_at < DURATION_VALIDITY_S else 0.0
        return max(running_s, recent_s)

    def record_read(self) -> None:
        """Record a successful read, which doesn't show whether writes are possible."""
        if not self._write_failed:
            self.record_success()

    def record_success(self) -> None:
        """Record that writes are possible."""
        if self.is_away:
            _LOGGER.info("stream versions reached again")
        self.is_away = self._write_failed = False
        self.retry_at, self._retry_s = -math.inf, RETRY_MIN_S

    def record_failure(self, now: float, detail: str, *, wrote: bool = False) -> None:
        """Record a call without a valid response.

        :param now: seconds
        :param detail: cause
        :param wrote: whether it was a transaction
        """
        self._write_failed = self._write_failed or wrote
        if not self.is_away:
            _LOGGER.warning("stream versions not reached", extra={"detail": detail})
        self.is_away, self.retry_at = True, now + self._retry_s
        self._retry_s = min(RETRY_MAX_S, 2 * self._retry_s)


__all__ = ["BURST", "MAX_BATCH_DELAY_S", "WRITES_PER_S", "WritePace"]
