"""Locations of prompts over the time of their runs."""

from __future__ import annotations

from basilroad.gateway.dispatch.promptlocations import (
    MAX_PROMPTS,
    RETENTION_S,
    PromptLocation,
    PromptLocations,
)
from basilroad.gateway.registry.endpoint import Endpoint
from builders import build_entry

KEY = b"12345678"
TIME_LEFT_S = 25.0
FORMER_LIFETIME_S = 6.0


class Clock:
    """A clock that the test sets."""

    now = 100.0

    def read(self) -> float:
        """:return: seconds."""
        return self.now


def build_locations() -> tuple[Clock, PromptLocations]:
    clock = Clock()
    return clock, PromptLocations(clock.read)


def build_endpoint(name: str = "e1", started_ms: int = 1) -> Endpoint:
    return Endpoint(build_entry(name, service="llm", started_ms=started_ms))


def build_report(name: str, began_at: float, expires_at: float = 200.0) -> PromptLocation:
    return PromptLocation(name, 1, began_at, expires_at)


# fault: the location of a stream was forgotten 6 s after it was sent, while the stream still ran
def test_a_location_lives_as_long_as_its_run() -> None:
    clock, locations = build_locations()
    locations.begin(KEY, build_endpoint(), TIME_LEFT_S)
    for _ in range(4):
        clock.now += FORMER_LIFETIME_S
        assert locations.find(KEY) is not None


# fault: a caller that came back after a cut found no location, as its time began at the send
def test_the_time_of_a_location_begins_at_the_end_of_its_run() -> None:
    clock, locations = build_locations()
    endpoint = build_endpoint()
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    clock.now += 2 * FORMER_LIFETIME_S
    locations.end(KEY, endpoint.entry.lifetime)
    clock.now += RETENTION_S - 0.1
    assert locations.find(KEY) is not None
    clock.now += 0.2
    assert locations.find(KEY) is None


def test_a_location_whose_run_ends_unseen_lives_beyond_its_deadline() -> None:
    clock, locations = build_locations()
    locations.begin(KEY, build_endpoint(), TIME_LEFT_S)
    clock.now += TIME_LEFT_S + RETENTION_S - 0.1
    assert locations.find(KEY) is not None
    clock.now += 0.2
    assert locations.find(KEY) is None
    locations.expire()
    assert not list(locations)


# fault: the report of an earlier run, on its way back, replaced the location of a later one
def test_only_a_later_run_replaces_a_location() -> None:
    _, locations = build_locations()
    locations.merge(KEY, build_report("e1", 90.0))
    locations.merge(KEY, build_report("e2", 80.0))
    assert locations.find(KEY) == build_report("e1", 90.0)
    locations.merge(KEY, build_report("e3", 95.0))
    assert locations.find(KEY) == build_report("e3", 95.0)


def test_the_end_of_an_earlier_run_does_not_shorten_a_later_one() -> None:
    clock, locations = build_locations()
    first, second = build_endpoint("e1"), build_endpoint("e2")
    locations.begin(KEY, first, TIME_LEFT_S)
    locations.begin(KEY, second, TIME_LEFT_S)
    locations.end(KEY, first.entry.lifetime)
    clock.now += RETENTION_S + 0.1
    found = locations.find(KEY)
    assert found is not None
    assert found.is_at(second.entry.lifetime)


# fault: the location of a stream was forgotten 15 s after a cut one of its prompt had ended
def test_the_end_of_an_earlier_run_at_the_same_engine_does_not_shorten_a_later_one() -> None:
    clock, locations = build_locations()
    endpoint = build_endpoint()
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    clock.now += 1.0
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    locations.end(KEY, endpoint.entry.lifetime)
    clock.now += RETENTION_S + 0.1
    assert locations.find(KEY) is not None


def test_the_end_of_a_later_run_at_the_same_engine_does_not_shorten_an_earlier_one() -> None:
    clock, locations = build_locations()
    endpoint = build_endpoint()
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    locations.begin(KEY, endpoint, 1.0)
    locations.end(KEY, endpoint.entry.lifetime)
    clock.now += TIME_LEFT_S
    locations.end(KEY, endpoint.entry.lifetime)
    clock.now += RETENTION_S - 0.1
    assert locations.find(KEY) is not None
    clock.now += 0.2
    assert locations.find(KEY) is None


# fault: the location of a stream was lost when its engine rejected another one of its prompt
def test_a_rejected_run_does_not_remove_the_location_of_a_later_one() -> None:
    _, locations = build_locations()
    endpoint = build_endpoint()
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    locations.begin(KEY, endpoint, TIME_LEFT_S)
    locations.withdraw(KEY, endpoint.entry.lifetime)
    assert locations.find(KEY) is not None


# fault: a keeper that ran a cut stream forgot that another gateway ran its take-up there
def test_the_end_of_a_run_does_not_shorten_a_later_one_of_another_gateway() -> None:
    clock, locations = build_locations()
    locations.begin(KEY, build_endpoint(), TIME_LEFT_S)
    clock.now += 1.0
    report = build_report("e1", clock.now, clock.now + TIME_LEFT_S + RETENTION_S)
    locations.merge(KEY, report)
    locations.end(KEY, build_endpoint().entry.lifetime)
    assert locations.find(KEY) == report


def test_an_engine_that_rejects_a_prompt_is_not_its_location() -> None:
    _, locations = build_locations()
    holder, full = build_endpoint("e1"), build_endpoint("e2")
    locations.begin(KEY, full, TIME_LEFT_S)
    locations.withdraw(KEY, full.entry.lifetime)
    assert locations.find(KEY) is None
    locations.begin(KEY, holder, TIME_LEFT_S)
    known = locations.find(KEY)
    locations.withdraw(KEY, full.entry.lifetime)
    assert locations.find(KEY) == known


def test_a_restarted_engine_is_another_location() -> None:
    _, locations = build_locations()
    locations.begin(KEY, build_endpoint(started_ms=1), TIME_LEFT_S)
    found = locations.find(KEY)
    assert found is not None
    assert found.is_at(build_entry("e1", started_ms=1).lifetime)
    assert not found.is_at(build_entry("e1", started_ms=2).lifetime)


def test_the_oldest_locations_leave_first() -> None:
    _, locations = build_locations()
    for number in range(MAX_PROMPTS + 1):
        locations.merge(number.to_bytes(8), build_report("e1", 90.0))
    assert locations.find((0).to_bytes(8)) is None
    assert len(list(locations)) == MAX_PROMPTS


# fault: a forged or mistaken report that named a far expiry stayed until others displaced it
def test_a_report_is_kept_no_longer_than_a_run_may_last() -> None:
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    locations.merge(KEY, build_report("e1", clock.now, expires_at=1e12))
    clock.now += TIME_LEFT_S + RETENTION_S - 0.1
    assert locations.find(KEY) is not None
    clock.now += 0.2
    assert locations.find(KEY) is None
    locations.expire()
    assert not list(locations)


# fault: a report of a run that began before the longest one could have begun counted
def test_a_report_counts_from_the_begin_of_its_run() -> None:
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    began_at = clock.now - TIME_LEFT_S
    locations.merge(KEY, build_report("e1", began_at, expires_at=1e12))
    clock.now += RETENTION_S - 0.1
    assert locations.find(KEY) is not None
    clock.now += 0.2
    assert locations.find(KEY) is None


def test_a_report_that_no_run_can_have_replaces_nothing() -> None:
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    clock.now += 1000.0
    locations.merge(KEY, build_report("e1", clock.now - 1.0, expires_at=clock.now + 1.0))
    locations.merge(KEY, build_report("e2", clock.now - 100.0, expires_at=1e12))
    found = locations.find(KEY)
    assert found is not None
    assert found.endpoint_id == "e1"
    clock.now += 2.0
    locations.merge(KEY, build_report("e2", clock.now - 100.0, expires_at=1e12))
    assert locations.find(KEY) is None


# fault: what a gateway was told before it had a configuration had no limit
def test_the_limit_holds_for_earlier_reports() -> None:
    clock, locations = build_locations()
    locations.merge(KEY, build_report("e1", clock.now, expires_at=1e12))
    locations.limit_runs(TIME_LEFT_S)
    clock.now += TIME_LEFT_S + RETENTION_S + 0.1
    assert locations.find(KEY) is None


def test_a_limit_that_is_shortened_counts_on() -> None:
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    locations.limit_runs(1.0)
    locations.merge(KEY, build_report("e1", clock.now, expires_at=1e12))
    clock.now += TIME_LEFT_S
    assert locations.find(KEY) is not None


def test_the_report_of_the_longest_run_keeps_its_time() -> None:
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    sent = locations.begin(KEY, build_endpoint(), TIME_LEFT_S)
    clock.now += TIME_LEFT_S
    locations.end(KEY, sent)
    known = locations.find(KEY)
    assert known is not None
    kept = PromptLocations(clock.read)
    kept.limit_runs(TIME_LEFT_S)
    kept.merge(KEY, known)
    assert kept.find(KEY) == known


def test_a_jump_of_the_clock_ends_no_later_report_early() -> None:
    # the machine was suspended for longer than any run
    clock, locations = build_locations()
    locations.limit_runs(TIME_LEFT_S)
    locations.merge(KEY, build_report("e1", clock.now, expires_at=1e12))
    clock.now += 10_000.0
    assert locations.find(KEY) is None
    locations.merge(KEY, build_report("e2", clock.now, expires_at=clock.now + TIME_LEFT_S))
    clock.now += TIME_LEFT_S - 0.1
    assert locations.find(KEY) is not None
