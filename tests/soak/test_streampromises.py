"""The promises of streams over all tries of their callers."""

from __future__ import annotations

import attrs
import pytest

from basilroad.standin.streamevents import StreamEvent
from soak.records import InjectedFault, Kind, Record, Request, ServingTime
from soak.releaseschedule import KillAllGateways, RestartEndpoint
from soak.schedule import (
    ENDPOINT_LINK,
    STORE_LINK,
    AskForPause,
    DropStoreHistory,
    Fault,
    HoldLink,
    KillGateway,
    RestoreStore,
    StoreOutage,
)
from soak.settings import APPLY_S, CONTACT_S
from soak.streampromises import StreamsKeepTheirVersion, TakenUpStreamsResume, TakeUps

AT = 100.0
EVENTS = 3
STREAMS = TakenUpStreamsResume.MIN_STREAMS
UNSERVED = Request("new", Kind.STREAM, 0, "/s/x", "k", "w", b"b", AT, AT + 0.1, status=503)


def write_events(first: int, last: int, version: str = "v1") -> bytes:
    events = (StreamEvent(n, version, f"i-{version}/1") for n in range(first, last + 1))
    return b"".join(event.encode() for event in events)


def build_new(name: str, *, served: bool = True) -> Request:
    if not served:
        return attrs.evolve(UNSERVED, id=name)
    answer = write_events(1, EVENTS)
    return attrs.evolve(UNSERVED, id=name, status=200, answer=answer, whole=True)


def build_stream(name: str, later: bytes | None, version: str = "v1") -> list[Request]:
    """:return: a request that broke off after an event, and one that took it up."""
    first = attrs.evolve(UNSERVED, id=name, status=200, answer=write_events(1, 1, version))
    again = attrs.evolve(
        UNSERVED, id=f"{name}-2", gateway=1, sent_at=AT + 0.5, ended_at=AT + 0.6, last_event=1
    )
    again.resumes = name
    if later is not None:
        again.status, again.answer = 200, later
    return [first, again]


def build_record(*requests: Request) -> Record:
    record = Record(requests={request.id: request for request in requests}, events=EVENTS)
    record.serving = [ServingTime(number, "v1", 0.0) for number in (2, 5)]
    return record


def find(record: Record) -> list[str]:
    return list(StreamsKeepTheirVersion().find_breaches(record))


def test_a_stream_with_events_of_two_versions() -> None:
    assert find(build_record(*build_stream("s", write_events(2, 3)))) == []
    assert find(build_record(*build_stream("s", write_events(2, 3), "v2")))
    joined = build_new("s")
    joined.answer = write_events(1, 1, "v2") + write_events(2, 3)
    assert find(build_record(joined))


def test_streams_of_several_versions_side_by_side_are_no_breach() -> None:
    other = build_stream("t", write_events(2, 3, "v2"), "v2")
    assert find(build_record(*build_stream("s", write_events(2, 3)), *other)) == []


def build_taken_up(resumed: int, began: int, new: int = STREAMS) -> Record:
    """:return: a record of streams that were taken up, and new ones beside them."""
    later = [write_events(2, 3) if n < resumed else None for n in range(STREAMS)]
    streams = [request for n, data in enumerate(later) for request in build_stream(f"s{n}", data)]
    news = [build_new(f"n{n}", served=n < began) for n in range(new)]
    record = build_record(*streams, *news)
    # the first requests of the streams are new ones too, that began
    for request in streams:
        if not request.resumes:
            request.sent_at = AT - 10.0
    return record


def is_kept(record: Record) -> bool:
    return not list(TakenUpStreamsResume().find_breaches(record))


@pytest.mark.parametrize(
    ("resumed", "began", "kept"), [(6, 12, True), (5, 12, False), (3, 6, True), (2, 6, False)]
)
def test_half_as_many_streams_resume_as_new_ones_begin(
    resumed: int, began: int, kept: bool
) -> None:
    assert is_kept(build_taken_up(resumed, began)) is kept


def test_a_few_streams_that_do_not_resume_are_no_breach() -> None:
    record = build_taken_up(0, 12)
    assert not is_kept(record)
    del record.requests["s0-2"]
    assert TakeUps.measure(record) == TakeUps(STREAMS - 1, 0, STREAMS, STREAMS)
    assert is_kept(record)


def test_new_streams_of_another_time_are_not_counted() -> None:
    record = build_taken_up(0, 12)
    for number in range(STREAMS):
        record.requests[f"n{number}"].sent_at = AT + 10.0
    assert TakeUps.measure(record).new == 0
    assert is_kept(record)


@pytest.mark.parametrize("status", [0, 503])
def test_tries_that_were_revoked_or_aborted_are_not_counted(status: int) -> None:
    record = build_taken_up(0, 12)
    for number in range(STREAMS):
        record.requests[f"s{number}-2"].status = status
    assert TakeUps.measure(record).taken_up == STREAMS
    record.requests["s0-2"].aborted = True
    record.requests["s1-2"].key = "taken"
    record.key_revoked_at["taken"] = AT
    assert TakeUps.measure(record).taken_up == STREAMS - 2


@pytest.mark.parametrize(("target", "counted"), [(0, STREAMS), (1, 0)])
def test_a_killed_gateway_excuses_tries_without_an_answer(target: int, counted: int) -> None:
    record = build_taken_up(0, 12)
    for number in range(STREAMS):
        record.requests[f"s{number}-2"].status = 0
    fault = KillGateway(0.0, target, 0.1)
    record.injected_faults.append(InjectedFault(fault, AT + 0.5, AT + 0.6))
    assert TakeUps.measure(record).taken_up == counted
    kill_all = InjectedFault(KillAllGateways(0.0, 0, 0.1), AT + 0.5, AT + 0.6)
    record.injected_faults.append(kill_all)
    assert TakeUps.measure(record).taken_up == 0


def test_streams_count_only_while_two_endpoints_of_their_version_serve() -> None:
    for change in (
        {"ended": AT + 0.55},
        {"began": AT + 0.5 - APPLY_S + 0.1},
        {"version": "v2"},
    ):
        record = build_taken_up(0, 12)
        record.serving[0] = attrs.evolve(record.serving[0], **change)
        assert TakeUps.measure(record).taken_up == 0, change


@pytest.mark.parametrize(
    ("fault", "impairs"),
    [
        (HoldLink(0.0, 2, 0.1, ENDPOINT_LINK, True, False), True),
        (AskForPause(0.0, 2, 0.1, 1), True),
        (AskForPause(0.0, 8, 0.1, 1), False),
        (KillGateway(0.0, 2, 0.1), False),
    ],
)
def test_an_endpoint_that_a_fault_keeps_from_serving_is_not_counted(
    fault: Fault, impairs: bool
) -> None:
    record = build_taken_up(0, 12)
    for ago_s, excused in ((CONTACT_S + 0.1, False), (CONTACT_S - 0.2, impairs)):
        record.injected_faults = [InjectedFault(fault, AT + 0.5 - ago_s, AT + 0.5 - ago_s)]
        assert (TakeUps.measure(record).taken_up == 0) is excused


@pytest.mark.parametrize(
    ("fault", "excuses"),
    [
        (StoreOutage(0.0, 0, 0.1, True), True),
        (RestoreStore(0.0, 0, 0.1, True, 1.0, 0.1), True),
        (HoldLink(0.0, 1, 0.1, STORE_LINK, True, False), True),
        (HoldLink(0.0, 2, 0.1, STORE_LINK, True, False), False),
        (DropStoreHistory(0.0, 0, 0.0), False),
        (KillGateway(0.0, 1, 0.1), False),
    ],
)
def test_tries_at_a_gateway_that_the_store_does_not_serve_are_not_counted(
    fault: Fault, excuses: bool
) -> None:
    record = build_taken_up(0, 12)
    for ago_s, excused in ((CONTACT_S + 0.1, False), (CONTACT_S - 0.2, excuses)):
        record.injected_faults = [InjectedFault(fault, AT + 0.5 - ago_s, AT + 0.5 - ago_s)]
        assert (TakeUps.measure(record).taken_up == 0) is excused


def test_a_restart_under_the_same_name_cuts_what_the_name_had_asked_for() -> None:
    record = build_taken_up(0, 12)
    for keeps_name in (False, True):
        fault = RestartEndpoint(0.0, 2, 0.1, 2, keeps_name)
        record.injected_faults = [InjectedFault(fault, AT, AT + 0.1)]
        assert record.is_cut(2, AT - 1.0, AT + 1.0) is keeps_name
        assert not record.is_cut(2, AT + 1.0, AT + 2.0)
