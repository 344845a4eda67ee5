"""Directory of listed endpoints."""

from __future__ import annotations

import pytest

from basilroad.gateway.registry.directory import ABSENCE_LIMIT_S, REMOVED_MEMORY_S, Directory
from basilroad.gateway.registry.endpoint import EndpointState
from builders import build_entry


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_an_unlisted_endpoint_takes_no_work() -> None:
    directory = Directory(Clock())
    directory.put(build_entry("e1"))
    endpoint = directory.get("e1")
    assert endpoint is not None
    directory.remove("e1")
    assert directory.get("e1") is None
    assert not endpoint.is_available(0)


def test_a_draining_endpoint_takes_no_work() -> None:
    directory = Directory(Clock())
    directory.put(build_entry("e1"))
    directory.put(build_entry("e1", state=EndpointState.DRAINING))
    endpoint = directory.get("e1")
    assert endpoint is not None
    assert not endpoint.is_available(0)


def test_a_restart_resets_the_observed_state() -> None:
    directory = Directory(Clock())
    directory.put(build_entry("e1"))
    endpoint = directory.get("e1")
    assert endpoint is not None
    endpoint.record_unreachable(0.0)
    assert not endpoint.is_available(0.1)
    directory.put(build_entry("e1", started_ms=2))
    assert endpoint.is_available(0.1)


def test_another_version_under_the_same_id_and_start_is_a_restart() -> None:
    directory = Directory(Clock())
    directory.put(build_entry("e1"))
    endpoint = directory.get("e1")
    assert endpoint is not None
    endpoint.record_unreachable(0.0)
    pool = endpoint.pool
    directory.put(build_entry("e1", version="v2"))
    assert endpoint.is_available(0.1)
    assert endpoint.pool is not pool
    assert endpoint.entry.version == "v2"


def test_absence_after_a_listing_outage_counts_only_after_a_time_limit() -> None:
    clock = Clock()
    directory = Directory(clock)
    directory.replace([build_entry("e1"), build_entry("e2")])
    directory.mark_listing_unreliable()
    directory.replace([build_entry("e2")])
    assert directory.get("e1") is not None
    directory.put(build_entry("e1"))
    clock.now += ABSENCE_LIMIT_S + 0.1
    directory.expire()
    assert directory.get("e1") is not None

    directory.mark_listing_unreliable()
    directory.remove("e1")
    clock.now += ABSENCE_LIMIT_S + 0.1
    directory.expire()
    assert directory.get("e1") is None


@pytest.mark.parametrize(
    ("started_ms", "state", "outdated"),
    [
        (2, EndpointState.DRAINING, False),
        (2, EndpointState.READY, True),
        (1, EndpointState.READY, True),
        (3, EndpointState.READY, False),
    ],
)
def test_an_entry_of_a_copy_is_outdated_if_its_start_has_drained_or_was_followed(
    started_ms: int, state: EndpointState, outdated: bool
) -> None:
    directory = Directory()
    directory.put(build_entry("i-1", started_ms=2, state=EndpointState.DRAINING))
    entry = build_entry("i-1", started_ms=started_ms, state=state)
    assert directory.is_outdated(entry) is outdated


def test_removed_starts_of_endpoints_are_forgotten_in_time() -> None:
    now = 0.0
    directory = Directory(lambda: now)
    entry = build_entry("i-1", started_ms=2)
    directory.put(entry)
    directory.remove("i-1")
    assert directory.is_outdated(entry)
    now = REMOVED_MEMORY_S
    directory.expire()
    assert not directory.is_outdated(entry)
