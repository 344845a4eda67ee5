"""What this gateway reports of its endpoints to other gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from basilroad.gateway.exchange.permits import build_limit_report
from basilroad.gateway.exchange.state import LoadReport

if TYPE_CHECKING:
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.notices import EndpointNotices

FAILURE_REPORT_S = 4.0
"""Time for which a failure is reported; failed endpoints are unlisted by then."""

MAX_FAILURES_SENT = 24
"""Failures per datagram, about a third of its size."""


def list_loads(endpoints: Iterable[Endpoint]) -> dict[str, LoadReport]:
    """:return: load of this gateway at each endpoint that has calls of it."""
    loads = ((endpoint.id, endpoint.load) for endpoint in endpoints if endpoint.load.calls)
    return {
        endpoint_id: (load.calls, load.memory_tokens, load.pending_prefill_tokens)
        for endpoint_id, load in loads
    }


def list_failures(endpoints: Iterable[Endpoint], now: float) -> dict[str, int]:
    """List the latest failures that no data has followed.

    :param endpoints: known endpoints
    :param now: monotonic seconds
    :return: milliseconds since the failure of each failed endpoint
    """
    lost = [
        e
        for e in endpoints
        if now - e.last_failed_at < FAILURE_REPORT_S and e.last_received_at <= e.last_failed_at
    ]
    lost.sort(key=lambda e: -e.last_failed_at)
    return {e.id: round(1000 * (now - e.last_failed_at)) for e in lost[:MAX_FAILURES_SENT]}


def list_limits(limited: Iterable[EndpointNotices], now: float) -> dict[str, tuple[int, int, int]]:
    """List the limits that endpoints named.

    :param limited: notices of these endpoints
    :param now: monotonic seconds
    :return: start time of each, requests per 1000 seconds, and milliseconds since that was known
    """
    reports = {
        notices.lifetime.id: (
            notices.lifetime.started_ms,
            build_limit_report(notices.limit.named, now),
        )
        for notices in limited
    }
    return {
        endpoint_id: (started_ms, report.milli_per_s, report.age_ms)
        for endpoint_id, (started_ms, report) in reports.items()
    }


__all__ = ["list_failures", "list_limits", "list_loads"]
