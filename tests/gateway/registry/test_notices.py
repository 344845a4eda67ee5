"""Notices of endpoints: how long they hold, and which requests they forbid; no network."""

from __future__ import annotations

import random

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.availability import find_service_pause
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint, EndpointState
from basilroad.gateway.registry.notices import (
    LEAVING_REPORT_S,
    MAX_LEAVING_SENT,
    MAX_PAUSE_S,
    MAX_REMEMBERED,
    RETURN_SPREAD_MAX_S,
    RETURN_SPREAD_SHARE,
    UNKNOWN_START_MEMORY_S,
    Notice,
    NoticeRegister,
    Purpose,
    Source,
)
from builders import ENGINE, PLACE, build_entry

LEAVING = Notice(leaving=True)
NOW = 100.0


class Fleet:
    """A directory whose clock is set by the test."""

    def __init__(self, seed: int = 1) -> None:
        self.now = NOW
        self.counted: list[tuple[str, Source]] = []
        register = NoticeRegister(
            random.Random(seed),
            lambda kind, source: self.counted.append((kind, source)),
            lambda: self.now,
        )
        self.directory = Directory(lambda: self.now, register)

    def add(self, name: str = "e1", **changes: object) -> Endpoint:
        self.directory.put(build_entry(name, **changes))  # type: ignore[arg-type]
        endpoint = self.directory.get(name)
        assert endpoint is not None
        return endpoint

    def report(self, endpoint: Endpoint, notice: Notice, source: Source = Source.ANSWER) -> None:
        endpoint.notices.record(notice, source, self.now)


def test_an_endpoint_that_leaves_gets_probes_only() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, LEAVING)
    assert not endpoint.is_available(NOW)
    allowed = {purpose for purpose in Purpose if endpoint.notices.permits(purpose, NOW)}
    assert allowed == {Purpose.PROBE}


def test_a_later_answer_without_the_notice_takes_nothing_back() -> None:
    # fault: the answer to an earlier request makes a leaving endpoint usable again
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, LEAVING)
    fleet.report(endpoint, Notice())
    assert not endpoint.is_available(NOW + 1000)


def test_leaving_survives_a_newer_entry_that_says_ready() -> None:
    # fault: a store that is behind makes a leaving endpoint usable again
    fleet = Fleet()
    endpoint = fleet.add(slots=6)
    fleet.report(endpoint, LEAVING)
    assert fleet.add(slots=7) is endpoint
    assert not endpoint.is_available(NOW)


def test_leaving_survives_an_entry_that_lapses_and_returns() -> None:
    # fault: a leaving endpoint whose entry expired while the store was away is used again
    fleet = Fleet()
    fleet.report(fleet.add(), LEAVING)
    fleet.directory.remove("e1")
    assert not fleet.add().is_available(NOW)


def test_an_answer_after_the_entry_lapsed_counts_when_it_returns() -> None:
    # fault: a stream that outlasts the entry records the leaving at a discarded object
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.directory.remove("e1")
    returned = fleet.add()
    fleet.report(endpoint, LEAVING)
    assert not returned.is_available(NOW)


def test_leaving_ends_with_the_lifetime() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, LEAVING)
    assert fleet.add(started_ms=2).is_available(NOW)
    # an older entry again, as from a store that is behind
    assert not fleet.add(started_ms=1).is_available(NOW)


def test_leaving_ends_at_another_address_when_the_start_is_unknown() -> None:
    fleet = Fleet()
    fleet.report(fleet.add(started_ms=0), LEAVING)
    assert fleet.add(started_ms=0, port=2).is_available(NOW)


def test_an_endpoint_without_known_start_is_not_lost_for_good() -> None:
    # fault: a restart at the same address can't be distinguished from the leaving lifetime
    fleet = Fleet()
    fleet.report(fleet.add(started_ms=0), LEAVING)
    fleet.directory.remove("e1")
    assert not fleet.add(started_ms=0).is_available(NOW)
    fleet.directory.remove("e1")
    fleet.now += UNKNOWN_START_MEMORY_S + 1
    assert fleet.add(started_ms=0).is_available(fleet.now)


def test_an_answer_of_the_former_lifetime_does_not_bind_the_next() -> None:
    # fault: the last answer before a restart marks the restarted endpoint as leaving
    fleet = Fleet()
    endpoint = fleet.add()
    asked = endpoint.notices
    fleet.add(started_ms=2)
    asked.record(LEAVING, Source.ANSWER, NOW)
    assert endpoint.is_available(NOW)


def test_the_memory_of_unlisted_endpoints_is_bounded() -> None:
    fleet = Fleet()
    listed = fleet.add("listed")
    fleet.report(listed, LEAVING)
    for number in range(MAX_REMEMBERED + 10):
        fleet.report(fleet.add(f"e{number}"), LEAVING)
        fleet.directory.remove(f"e{number}")
    assert len(fleet.directory.notices._kept) == MAX_REMEMBERED
    assert fleet.add("e0").is_available(NOW)
    assert not fleet.add(f"e{MAX_REMEMBERED}").is_available(NOW)
    assert not fleet.add("listed").is_available(NOW)


def test_a_pause_forbids_all_but_one_probe() -> None:
    # fault: probes of a silent engine exceed what it still takes from this gateway
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, Notice(pause_s=5.0))
    notices = endpoint.notices
    assert not endpoint.is_available(NOW + 4.9)
    assert not notices.permits(Purpose.REPORT, NOW + 4.9)
    assert notices.permits(Purpose.PROBE, NOW + 1)
    notices.record_probe()
    assert not notices.permits(Purpose.PROBE, NOW + 2)
    fleet.now = NOW + 3
    fleet.report(endpoint, Notice(pause_s=5.0))
    assert not notices.permits(Purpose.PROBE, NOW + 4)
    assert endpoint.is_available(NOW + 9)
    fleet.now = NOW + 20
    fleet.report(endpoint, Notice(pause_s=5.0))
    assert notices.permits(Purpose.PROBE, NOW + 21)


def test_of_several_pauses_the_latest_end_counts() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, Notice(pause_s=10.0))
    fleet.report(endpoint, Notice(pause_s=1.0))
    assert not endpoint.is_available(NOW + 9.9)
    fleet.now = NOW + 5
    fleet.report(endpoint, Notice(pause_s=10.0))
    assert not endpoint.is_available(NOW + 14.9)


def test_a_pause_survives_an_entry_that_returns_and_ends_with_the_lifetime() -> None:
    fleet = Fleet()
    fleet.report(fleet.add(), Notice(pause_s=10.0))
    fleet.directory.remove("e1")
    assert not fleet.add().is_available(NOW + 1)
    assert fleet.add(started_ms=2).is_available(NOW + 1)


def test_a_pause_has_an_upper_limit() -> None:
    # fault: a mistaken value loses a sound endpoint for good
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, Notice(pause_s=1e9))
    assert endpoint.is_available(NOW + MAX_PAUSE_S + RETURN_SPREAD_MAX_S)


def test_gateways_return_at_different_times_and_never_too_early() -> None:
    # fault: all gateways return in the same instant
    for pause_s in (0.2, 2.0, 20.0):
        ends = []
        for seed in range(50):
            fleet = Fleet(seed)
            endpoint = fleet.add()
            fleet.report(endpoint, Notice(pause_s=pause_s))
            ends.append(endpoint.notices.paused_until - NOW - pause_s)
        spread_s = min(RETURN_SPREAD_MAX_S, RETURN_SPREAD_SHARE * pause_s)
        assert min(ends) >= 0
        assert max(ends) <= spread_s + 1e-9
        assert max(ends) - min(ends) > spread_s / 2


def test_new_notices_are_counted_once() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    for source in (Source.PROBE, Source.ANSWER):
        fleet.report(endpoint, LEAVING, source)
    fleet.report(endpoint, Notice(pause_s=1.0))
    assert fleet.counted == [("leaving", Source.PROBE), ("pause", Source.ANSWER)]


def test_the_log_describes_why_an_endpoint_is_passed_over() -> None:
    fleet = Fleet()
    leaving, paused = fleet.add("e1"), fleet.add("e2")
    fleet.add("e3")
    assert fleet.directory.list_passed_over("app") == []
    fleet.report(leaving, LEAVING, Source.PROBE)
    fleet.report(paused, Notice(pause_s=1e3))
    fleet.now += 2
    first, second = fleet.directory.list_passed_over("app")
    assert first == {"endpoint": "e1", "reason": "leaving", "source": "probe", "age_ms": 2000}
    left_ms = second.pop("left_ms")
    assert second == {"endpoint": "e2", "reason": "paused", "source": "answer", "age_ms": 2000}
    assert 58_000 <= left_ms <= 58_400


# what is sent to other gateways


def test_the_report_of_a_leaving_endpoint_binds_in_the_same_lifetime_only() -> None:
    fleet = Fleet()
    same, later, unknown = fleet.add("e1"), fleet.add("e2", started_ms=2), fleet.add("e3")
    reports = {"e1": (1, 700), "e2": (1, 700), "e3": (0, 700), "e4": (1, 700)}
    fleet.directory.apply_reported_leaving(reports, NOW)
    assert [e.is_available(NOW) for e in (same, later, unknown)] == [False, True, True]
    assert same.notices.leaving_source is Source.GOSSIP
    assert same.notices.leaving_since == NOW - 0.7


def test_a_passed_on_report_keeps_its_age_and_ends() -> None:
    # fault: gateways repeat the notice of a leaving endpoint to each other without end
    first, second = Fleet(), Fleet()
    endpoint = first.add()
    second.add()
    first.report(endpoint, LEAVING)
    second.directory.apply_reported_leaving({"e1": (1, 900)}, NOW)
    first.now = second.now = NOW + 1
    assert first.directory.notices.list_leaving(first.now) == {"e1": (1, 1000)}
    assert second.directory.notices.list_leaving(second.now) == {"e1": (1, 1900)}
    assert first.directory.notices.list_leaving(NOW + LEAVING_REPORT_S + 1) == {}


def test_only_the_newest_reports_are_sent() -> None:
    fleet = Fleet()
    for number in range(MAX_LEAVING_SENT + 4):
        fleet.report(fleet.add(f"e{number}"), LEAVING)
    sent = fleet.directory.notices.list_leaving(NOW)
    assert len(sent) == MAX_LEAVING_SENT
    assert "e0" not in sent


def test_pauses_are_not_sent_to_others() -> None:
    fleet = Fleet()
    fleet.report(fleet.add(), Notice(pause_s=9.0))
    assert fleet.directory.notices.list_leaving(NOW) == {}


# the service as a whole


def test_a_service_is_paused_when_all_its_endpoints_are() -> None:
    fleet = Fleet()
    endpoints = [fleet.add(f"e{number}") for number in range(4)]
    fleet.report(endpoints[0], LEAVING)
    fleet.add("e1", state=EndpointState.DRAINING)
    fleet.report(endpoints[2], Notice(pause_s=9.0))
    assert find_service_pause(endpoints, NOW) is None
    assert find_service_pause(endpoints, NOW, {"e3"}) is not None
    fleet.report(endpoints[3], Notice(pause_s=5.0))
    pause = find_service_pause(endpoints, NOW)
    assert pause is not None
    assert (pause.until, pause.paused, pause.leaving) == (endpoints[3].notices.paused_until, 2, 2)
    assert pause.outlasts(NOW + 5)
    assert not pause.outlasts(NOW + 6)
    # the only paused one counts too when it is excluded
    assert find_service_pause(endpoints[3:], NOW, {"e3"}) is not None


def test_a_service_without_endpoints_or_with_leaving_ones_only_is_not_paused() -> None:
    # a new endpoint may be listed at any time, so there is no time to name
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, LEAVING)
    assert find_service_pause([endpoint], NOW) is None
    assert find_service_pause([], NOW) is None


def test_no_backup_is_kept_by_an_endpoint_that_leaves_or_wants_nothing() -> None:
    # fault: a stream keeps its backup where it can't resume
    fleet = Fleet()
    runs_at = fleet.add("e0", service="llm", slots=48)
    names = ("e1", "e2", "e3")
    first, second, third = (
        fleet.add(name, service="llm", slots=48, data_centre="riga-b") for name in names
    )
    fleet.report(first, LEAVING)
    fleet.report(second, Notice(pause_s=5.0))
    chooser = Chooser(PLACE, random.Random(1))
    endpoints = list(fleet.directory)
    chosen = {
        chooser.choose_backup_endpoint(endpoints, runs_at, PromptSize(8000, 1000), ENGINE, NOW)
        for _ in range(20)
    }
    assert chosen == {third}
