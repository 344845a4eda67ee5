"""Each promise finds the breach that it is for, and nothing in a sound record."""

from __future__ import annotations

import pytest

from basilroad.standin.appserver import ReceivedRequest
from soak.promises import PROMISES, Promise
from soak.records import Happening, Kind, Record, Request, Run
from soak.schedule import KillGateway, Schedule, StopGateway
from soak.settings import CONTACT_S, DEADLINE_S, DRAIN_S, GRACE_S, REVOKE_S, SoakSettings

FAULT = Happening(KillGateway(0.0, 1, 0.5), 100.0, 101.0)
CALM_AT = 101.0 + CONTACT_S + 1.0
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))


def build_request(kind: Kind = Kind.ORDER, at: float = CALM_AT) -> Request:
    answer = EVENTS if kind is Kind.STREAM else b"answer of i-1 to r1"
    return Request(
        id="r1",
        kind=kind,
        gateway=0,
        target="/x",
        key="k",
        workspace="w",
        body=b"b",
        sent_at=at,
        ended_at=at + 0.1,
        status=200,
        seal="i-1",
        answer=answer,
        whole=True,
    )


def build_run(at: float = CALM_AT, endpoint: str = "i-1", service: str = "app") -> Run:
    headers = {"x-attempt-id": "r1", "x-tenant": "w"}
    return Run(endpoint, service, ReceivedRequest("POST", "/x", headers, b"b", at))


def build_record(request: Request, *runs: Run) -> Record:
    return Record(
        requests={request.id: request},
        runs=list(runs),
        happenings=[FAULT],
        moves=[(0.0, "app")],
        events=3,
    )


def find(record: Record) -> set[str]:
    return {promise.name for promise in PROMISES if list(promise.find_breaches(record))}


@pytest.mark.parametrize("kind", list(Kind))
def test_a_sound_record_breaks_nothing(kind: Kind) -> None:
    assert find(build_record(build_request(kind), build_run())) == set()


def test_an_order_that_ran_twice() -> None:
    assert find(build_record(build_request(), build_run(), build_run())) == {"RunsOnce"}
    assert find(build_record(build_request(Kind.LOOK), build_run(), build_run())) == set()


def test_an_order_that_ran_though_it_was_refused() -> None:
    request = build_request(at=50.0)
    request.status = 503
    record = build_record(request, build_run(50.0))
    record.requests["r2"] = build_request(Kind.LOOK)
    assert find(record) == {"NotRunIsTrue"}


@pytest.mark.parametrize(("answer", "seal"), [(b"answer of i-1 to r2", "i-1"), (b"", "i-1")])
def test_an_answer_of_another_request(answer: bytes, seal: str) -> None:
    request = build_request()
    request.answer, request.seal = answer, seal
    assert find(build_record(request, build_run())) == {"AnswersAreWhole"}


@pytest.mark.parametrize(
    "answer", [EVENTS + EVENTS[-24:], EVENTS[:24], EVENTS[24:], EVENTS[:24] + EVENTS]
)
def test_a_stream_with_other_events(answer: bytes) -> None:
    request = build_request(Kind.STREAM)
    request.answer = answer
    assert find(build_record(request, build_run())) == {"StreamsAreWhole"}


def test_a_run_that_nobody_asked_for() -> None:
    request = build_request()
    stranger = Run("i-1", "app", ReceivedRequest("POST", "/x", {"x-attempt-id": "r9"}, b"b", 1.0))
    assert find(build_record(request, build_run(), stranger)) == {"NothingIsInvented"}
    changed = Run("i-1", "app", ReceivedRequest("POST", "/y", {"x-attempt-id": "r1"}, b"b", 1.0))
    assert find(build_record(request, changed)) == {"NothingIsInvented"}


def test_a_run_under_a_key_that_was_taken_away_counts_in_trouble_too() -> None:
    record = build_record(build_request(at=100.5), build_run(100.5))
    record.key_taken["k"] = 100.5 - REVOKE_S - 0.1
    assert "TakenKeysRunNothing" in find(record)
    record.key_taken["k"] = 100.5 - REVOKE_S + 0.1
    assert "TakenKeysRunNothing" not in find(record)


def test_a_call_at_an_endpoint_that_left() -> None:
    at = CALM_AT + DRAIN_S + CONTACT_S + 2.0
    record = build_record(build_request(at=at), build_run(at))
    record.endpoint_left["i-1"] = at - DRAIN_S - 0.5
    assert find(record) == {"LeavingEndpointsRest"}


def test_a_call_at_the_service_that_a_route_left() -> None:
    at = CALM_AT + 20.0
    record = build_record(build_request(Kind.MOVED, at), build_run(at))
    record.moves.append((at - 10.0, "app-2"))
    assert find(record) == {"ConfigIsInForce"}


def test_a_request_that_a_planned_stop_cut() -> None:
    request = build_request()
    request.status, request.whole = 0, False
    record = build_record(request, build_run())
    record.requests["r2"] = build_request(Kind.LOOK, CALM_AT + 20.0)
    stop = Happening(StopGateway(0.0, 0, 0.0), CALM_AT - 0.5, CALM_AT + 3.0)
    record.happenings.append(stop)
    assert find(record) == {"PlannedStopsCutNothing"}


def test_a_stop_beyond_its_grace_and_a_gateway_that_ended() -> None:
    record = build_record(build_request(), build_run())
    record.stops_s.append(GRACE_S + 0.01)
    record.ended.append(2)
    assert find(record) == {"StopsEndInTime", "GatewaysLive"}


def test_a_request_that_was_held() -> None:
    request = build_request()
    request.ended_at = request.sent_at + DEADLINE_S + 1.0
    assert find(build_record(request, build_run())) == {"NothingIsHeld"}


def test_calm_that_is_not_served() -> None:
    request = build_request(Kind.LOOK)
    request.status = 503
    assert find(build_record(request)) == {"CalmIsServed"}
    early = build_request(Kind.LOOK, FAULT.began)
    assert find(build_record(early, build_run(FAULT.began))) == {"CalmIsServed"}


def test_promises_have_names_of_their_own() -> None:
    assert len({promise.name for promise in PROMISES}) == len(PROMISES)
    assert all(isinstance(promise, Promise) for promise in PROMISES)


def test_a_seed_decides_the_faults() -> None:
    faults = Schedule(SoakSettings(seed=7)).draw()
    assert faults == Schedule(SoakSettings(seed=7)).draw()
    assert faults != Schedule(SoakSettings(seed=8)).draw()
