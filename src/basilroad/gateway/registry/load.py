"""Work at an endpoint, and its estimate by a report of the engine."""

from __future__ import annotations

import math

import attrs

REPORT_VALIDITY_S = 0.5
"""Time for which the load that an engine reports is used; prefill of a mean prompt takes twice as
long."""


@attrs.define(eq=False)
class Load:
    """Work of one or more gateways at an endpoint.

    :param calls: running and queued calls
    :param memory_tokens: tokens of engine memory that they take when complete
    :param pending_prefill_tokens: prompt tokens of generations without a first event
    :param started: generations with a first event; only known for this gateway
    """

    calls: int = 0
    memory_tokens: int = 0
    pending_prefill_tokens: int = 0
    started: int = 0


class ReportedLoad:
    """Last load that an engine reported, and the work that this gateway has added since."""

    def __init__(self) -> None:
        self._report: Load | None = None
        self._reported_at = -math.inf
        self._added = Load()

    def record(self, report: Load, now: float) -> None:
        """Record the engine's own account of its load.

        :param report: work of all gateways
        :param now: monotonic seconds
        """
        self._report, self._reported_at, self._added = report, now, Load()

    def clear(self) -> None:
        """Forget the load, as the engine has restarted."""
        self._report = None

    def is_recent(self, now: float) -> bool:
        """:return: whether the last report is recent, also if it was cleared since."""
        return now - self._reported_at < REPORT_VALIDITY_S

    def add(self, memory_tokens: int, pending_prefill_tokens: int) -> None:
        """Count a call that was assigned since the last report.

        :param memory_tokens: tokens that it takes when complete
        :param pending_prefill_tokens: tokens of its prompt that have to be processed
        """
        self._added.calls += 1
        self._added.memory_tokens += memory_tokens
        self._added.pending_prefill_tokens += pending_prefill_tokens

    def estimate(self, own: Load, remote: Load, now: float) -> Load:
        """Estimate the work of all gateways.

        :param own: work of this gateway
        :param remote: work of the other gateways by their reports
        :param now: monotonic seconds
        :return: by a recent report and what this gateway has added since; without one, by local
            data and the reports of other gateways
        """
        report, added = self._report, self._added
        if report is None or not self.is_recent(now):
            return Load(
                own.calls + remote.calls,
                own.memory_tokens + remote.memory_tokens,
                own.pending_prefill_tokens + remote.pending_prefill_tokens,
            )
        return Load(
            max(own.calls, report.calls + added.calls),
            max(own.memory_tokens, report.memory_tokens + added.memory_tokens),
            max(
                own.pending_prefill_tokens,
                report.pending_prefill_tokens + added.pending_prefill_tokens,
            ),
        )


__all__ = ["REPORT_VALIDITY_S", "Load", "ReportedLoad"]
