"""What a gateway reports of its endpoints."""

from __future__ import annotations

import math

from basilroad.gateway.exchange.localstate import (
    FAILURE_REPORT_S,
    MAX_FAILURES_SENT,
    list_failures,
    list_limits,
    list_loads,
)
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.load import Load
from basilroad.gateway.registry.notices import Source
from builders import build_entry

NOW = 100.0


def build_endpoints(count: int) -> list[Endpoint]:
    return [Endpoint(build_entry(f"e{number}", started_ms=7)) for number in range(count)]


def test_loads_are_reported_of_endpoints_with_calls() -> None:
    endpoints = build_endpoints(2)
    endpoints[1].load = Load(2, 9000, 8000, 1)
    assert list_loads(endpoints) == {"e1": (2, 9000, 8000)}


def test_failures_are_reported_for_a_time_and_until_data_arrives() -> None:
    never, recent, old, answered = endpoints = build_endpoints(4)
    recent.last_failed_at = NOW - 0.5
    old.last_failed_at = NOW - FAILURE_REPORT_S
    answered.last_failed_at = NOW - 0.5
    answered.last_received_at = NOW - 0.4
    assert list_failures(endpoints, NOW) == {recent.id: 500}
    assert never.last_failed_at == -math.inf


def test_the_latest_failures_are_reported() -> None:
    endpoints = build_endpoints(MAX_FAILURES_SENT + 2)
    for number, endpoint in enumerate(endpoints):
        endpoint.last_failed_at = NOW - 1.0 + number / 100
    reported = list_failures(endpoints, NOW)
    assert list(reported) == [endpoint.id for endpoint in reversed(endpoints[2:])]


def test_limits_are_reported_by_start_and_age() -> None:
    endpoints = build_endpoints(2)
    for endpoint, per_s in zip(endpoints, (2.5, math.inf), strict=True):
        endpoint.notices.record_limit(NamedLimit(per_s, NOW - 0.5), Source.ANSWER, NOW)
    limits = list_limits([endpoint.notices for endpoint in endpoints], NOW)
    assert limits == {"e0": (7, 2500, 500), "e1": (7, 0, 500)}
