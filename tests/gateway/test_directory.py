"""Endpoints as the platform lists them."""

from __future__ import annotations

from basilroad.gateway.directory import ABSENCE_S, Directory
from basilroad.gateway.endpoint import EndpointState
from builders import build_entry


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_an_endpoint_that_is_listed_no_more_takes_no_work() -> None:
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


def test_a_restart_under_the_same_name_forgets_what_was_seen() -> None:
    directory = Directory(Clock())
    directory.put(build_entry("e1"))
    endpoint = directory.get("e1")
    assert endpoint is not None
    endpoint.record_unreachable(0.0)
    assert not endpoint.is_available(0.1)
    directory.put(build_entry("e1", started_ms=2))
    assert endpoint.is_available(0.1)


def test_absence_after_an_outage_of_the_list_counts_only_when_it_lasts() -> None:
    clock = Clock()
    directory = Directory(clock)
    directory.replace([build_entry("e1"), build_entry("e2")])
    directory.mark_listing_unreliable()
    directory.replace([build_entry("e2")])
    assert directory.get("e1") is not None
    directory.put(build_entry("e1"))
    clock.now += ABSENCE_S + 0.1
    directory.expire()
    assert directory.get("e1") is not None

    directory.mark_listing_unreliable()
    directory.remove("e1")
    clock.now += ABSENCE_S + 0.1
    directory.expire()
    assert directory.get("e1") is None
