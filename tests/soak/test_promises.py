"""Each promise reports the violations it covers, and nothing for a valid record."""

from __future__ import annotations

import attrs
import pytest

from basilroad.standin.appserver import ReceivedRequest
from basilroad.standin.streamevents import StreamEvent
from soak.promises import PROMISES, Promise
from soak.records import (
    InjectedFault,
    Kind,
    Limit,
    Pause,
    Record,
    Request,
    Run,
    Stall,
    StopTimes,
)
from soak.schedule import (
    ENDPOINT_LINK,
    AskForPause,
    HoldLink,
    KillGateway,
    LeaveUnlisted,
    NameLimit,
    PauseGateway,
    ResetLink,
    RestoreStore,
    Schedule,
    StopGateway,
)
from soak.settings import DEADLINE_S, DRAIN_S, GRACE_S, RECOVERY_S, REVOKE_S, SoakSettings

FAULT = InjectedFault(KillGateway(0.0, 1, 0.5), 100.0, 101.0)
FAULT_FREE_AT = 101.0 + RECOVERY_S + 1.0
EVENT_LIST = [StreamEvent(number, "v1", "i-1/1").encode() for number in (1, 2, 3)]
EVENTS = b"".join(EVENT_LIST)


def build_request(kind: Kind = Kind.ORDER, at: float = FAULT_FREE_AT) -> Request:
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


def build_run(at: float = FAULT_FREE_AT, endpoint: str = "i-1", service: str = "app") -> Run:
    headers = {"x-attempt-id": "r1", "x-tenant": "w"}
    return Run(endpoint, service, ReceivedRequest("POST", "/x", headers, b"b", at))


def build_record(request: Request, *runs: Run) -> Record:
    return Record(
        requests={request.id: request},
        runs=list(runs),
        injected_faults=[FAULT],
        route_moves=[(0.0, "app")],
        events=3,
    )


def find(record: Record) -> set[str]:
    return {promise.name for promise in PROMISES if list(promise.find_breaches(record))}


def find_unjudged(record: Record) -> set[str]:
    return {promise.name for promise in PROMISES if promise.explain_unjudged(record)}


@pytest.mark.parametrize("kind", list(Kind))
def test_a_valid_record_has_no_breaches(kind: Kind) -> None:
    record = build_record(build_request(kind), build_run())
    assert (find(record), find_unjudged(record)) == (set(), set())


def test_a_non_idempotent_request_that_ran_twice() -> None:
    assert find(build_record(build_request(), build_run(), build_run())) == {"RunsOnce"}
    assert find(build_record(build_request(Kind.LOOK), build_run(), build_run())) == set()


def test_a_non_idempotent_request_that_ran_though_reported_as_not_run() -> None:
    request = build_request(at=50.0)
    request.status = 503
    record = build_record(request, build_run(50.0))
    record.requests["r2"] = build_request(Kind.LOOK)
    assert find(record) == {"NotRunIsTrue"}


@pytest.mark.parametrize(("answer", "seal"), [(b"answer of i-1 to r2", "i-1"), (b"", "i-1")])
def test_a_response_to_another_request(answer: bytes, seal: str) -> None:
    request = build_request()
    request.answer, request.seal = answer, seal
    assert find(build_record(request, build_run())) == {"AnswersAreWhole"}


@pytest.mark.parametrize(
    "answer",
    [
        EVENTS + EVENT_LIST[-1],
        EVENT_LIST[0],
        b"".join(EVENT_LIST[1:]),
        EVENT_LIST[0] + EVENTS,
    ],
)
def test_a_stream_with_wrong_events(answer: bytes) -> None:
    request = build_request(Kind.STREAM)
    request.answer = answer
    assert find(build_record(request, build_run())) == {"StreamsAreWhole"}


def test_a_run_of_an_unknown_or_changed_request() -> None:
    request = build_request()
    unknown = Run("i-1", "app", ReceivedRequest("POST", "/x", {"x-attempt-id": "r9"}, b"b", 1.0))
    assert find(build_record(request, build_run(), unknown)) == {"NothingIsInvented"}
    changed = Run("i-1", "app", ReceivedRequest("POST", "/y", {"x-attempt-id": "r1"}, b"b", 1.0))
    assert find(build_record(request, changed)) == {"NothingIsInvented"}


def test_a_run_with_a_revoked_key_is_reported_during_faults_too() -> None:
    record = build_record(build_request(at=100.5), build_run(100.5))
    record.key_revoked_at["k"] = 100.5 - REVOKE_S - 0.1
    assert "TakenKeysRunNothing" in find(record)
    record.key_revoked_at["k"] = 100.5 - REVOKE_S + 0.1
    assert "TakenKeysRunNothing" not in find(record)


def test_a_call_at_a_drained_endpoint() -> None:
    at = FAULT_FREE_AT + DRAIN_S + RECOVERY_S + 2.0
    record = build_record(build_request(at=at), build_run(at))
    record.draining_since["i-1"] = at - DRAIN_S - 0.5
    assert find(record) == {"LeavingEndpointsRest"}


def build_leaving_record(gap_s: float) -> Record:
    """:return: a record in which an endpoint gets a call some time after it said that it leaves."""
    first, late = build_request(Kind.LOOK), build_request(Kind.LOOK, FAULT_FREE_AT + gap_s)
    first.id, first.leaving, first.answered_at = "r0", True, FAULT_FREE_AT
    first.answer = b"answer of i-1 to r0"
    record = build_record(late, build_run(late.sent_at))
    record.requests["r0"] = first
    record.reached = record.runs
    return record


def test_a_call_at_an_endpoint_that_said_that_it_leaves() -> None:
    assert find(build_leaving_record(DRAIN_S + 0.1)) == {"AnnouncedLeavingCounts"}
    assert find(build_leaving_record(DRAIN_S - 0.1)) == set()
    other_gateway = build_leaving_record(DRAIN_S + 0.1)
    other_gateway.requests["r0"].gateway = 1
    assert find(other_gateway) == set()


@pytest.mark.parametrize("kind", [KillGateway, PauseGateway])
def test_a_restart_or_pause_of_the_gateway_excuses_a_call_at_a_leaving_endpoint(kind) -> None:
    record = build_leaving_record(DRAIN_S + 0.5)
    at = FAULT_FREE_AT + 0.5
    for number, excused in ((1, False), (0, True)):
        record.injected_faults.append(InjectedFault(kind(0.0, number, 0.1), at, at + 0.1))
        assert ("AnnouncedLeavingCounts" not in find(record)) is excused


def build_paused_record(calls: int, first_s: float = 0.6) -> Record:
    """:return: a record in which calls reach an endpoint that wanted nothing for 2 s."""
    record = build_record(build_request(), build_run())
    record.pauses = [Pause("i-1", 1, build_run().request, 2.0)]
    record.reached = [build_run(FAULT_FREE_AT + first_s + 0.1 * n) for n in range(calls)]
    return record


def test_calls_at_an_endpoint_that_wants_nothing() -> None:
    assert find(build_paused_record(3)) == {"PausesAreKept"}
    assert find(build_paused_record(2)) == set()
    assert find(build_paused_record(9, first_s=-0.5)) == set()
    assert find(build_paused_record(9, first_s=2.0)) == set()
    aborted = build_paused_record(3)
    aborted.requests["r1"].aborted = True
    assert "PausesAreKept" not in find(aborted)


@pytest.mark.parametrize(
    "fault",
    [
        KillGateway(0.0, 0, 0.1),
        PauseGateway(0.0, 0, 0.1),
        HoldLink(0.0, 1, 0.1, ENDPOINT_LINK, True, False),
        ResetLink(0.0, 1, 0.0, ENDPOINT_LINK),
    ],
)
def test_a_restart_pause_or_cut_excuses_calls_at_an_endpoint_that_wants_nothing(fault) -> None:
    record = build_paused_record(3)
    elsewhere = attrs.evolve(fault, target=fault.target + 1)
    at = FAULT_FREE_AT + 0.3
    for injected, excused in ((elsewhere, False), (fault, True)):
        record.injected_faults.append(InjectedFault(injected, at, at + 0.1))
        assert ("PausesAreKept" not in find(record)) is excused


def build_limited_record(calls: int, apart_s: float = 0.1, per_s: float = 1.0) -> Record:
    """:return: a record in which calls reach an endpoint that named a limit for 8 s."""
    request = attrs.evolve(build_request(), limited=True, answered_at=FAULT_FREE_AT)
    record = build_record(request, build_run())
    began, ended = FAULT_FREE_AT - 0.1, FAULT_FREE_AT + 8.0
    record.limits = [Limit("i-1", 1, per_s, began, ended)]
    record.reached = [build_run(FAULT_FREE_AT + 0.6 + apart_s * n) for n in range(calls)]
    return record


def test_calls_at_an_endpoint_beyond_its_limit() -> None:
    assert find(build_limited_record(12)) == {"LimitsAreKept"}
    assert find(build_limited_record(11)) == set()
    assert find(build_limited_record(12, apart_s=0.37)) == set()
    assert find(build_limited_record(30, per_s=5.0)) == set()
    untold = build_limited_record(12)
    untold.requests["r1"].limited = False
    assert find(untold) == set()


@pytest.mark.parametrize(
    "fault",
    [
        KillGateway(0.0, 0, 0.1),
        PauseGateway(0.0, 0, 0.1),
        HoldLink(0.0, 1, 0.1, ENDPOINT_LINK, True, False),
        ResetLink(0.0, 1, 0.0, ENDPOINT_LINK),
    ],
)
def test_a_restart_pause_or_cut_excuses_calls_beyond_a_limit(fault) -> None:
    record = build_limited_record(12)
    elsewhere = attrs.evolve(fault, target=fault.target + 1)
    at = FAULT_FREE_AT + 0.61
    for injected, excused in ((elsewhere, False), (fault, True)):
        record.injected_faults.append(InjectedFault(injected, at, at + 0.1))
        assert ("LimitsAreKept" not in find(record)) is excused


def test_a_run_of_some_length_has_endpoints_that_name_limits() -> None:
    for seed in range(20):
        faults = Schedule(SoakSettings(seed=seed, length_s=4.0)).draw()
        assert any(isinstance(fault, NameLimit) for fault in faults)


def test_a_call_at_the_previous_service_of_a_moved_route() -> None:
    at = FAULT_FREE_AT + 20.0
    record = build_record(build_request(Kind.MOVED, at), build_run(at))
    record.route_moves.append((at - 10.0, "app-2"))
    assert find(record) == {"ConfigIsInForce"}


def build_moved_record(*calls: tuple[float, str]) -> Record:
    """:return: a record of calls of one gateway around moves, all while the store is restored."""
    at = FAULT_FREE_AT
    record = build_record(build_request(Kind.LOOK, at + 100.0))
    restore = RestoreStore(0.0, 0, 1.0, True, 5.0, 0.5)
    record.injected_faults.append(InjectedFault(restore, at, at + 50.0))
    record.requests["r1"].sent_at = at + 100.0
    record.route_moves += [(at + 10.0, "app-2"), (at + 20.0, "app")]
    for number, (after_s, service) in enumerate(calls):
        name = f"m{number}"
        record.requests[name] = attrs.evolve(
            build_request(Kind.MOVED, at + after_s),
            id=name,
            answer=f"answer of i-1 to {name}".encode(),
        )
        run = build_run(at + after_s + 0.01, service=service)
        headers = {**run.request.headers, "x-attempt-id": name}
        record.runs.append(attrs.evolve(run, request=attrs.evolve(run.request, headers=headers)))
    return record


def test_a_gateway_that_undoes_a_move() -> None:
    assert find(build_moved_record((11.0, "app-2"), (11.5, "app"))) == {"VersionsDoNotGoBack"}
    three = [(11.0, "app-2"), (21.0, "app"), (21.5, "app-2")]
    # the last move may not have been known yet, until the route was seen there
    assert find(build_moved_record(*three)) == {"VersionsDoNotGoBack"}
    assert find(build_moved_record((9.0, "app"), *three[:2])) == set()
    assert find(build_moved_record((21.0, "app"), (22.0, "app-2"), (23.0, "app"))) == set()
    assert find(build_moved_record((11.0, "app"), (15.0, "app"), (19.0, "app-2"))) == set()


def test_a_request_sent_beside_the_first_at_the_new_service_may_run_at_the_old_one() -> None:
    assert find(build_moved_record((11.0, "app-2"), (11.25, "app"))) == set()
    record = build_moved_record((11.0, "app-2"), (11.5, "app"))
    record.requests["m1"].gateway = 1
    assert find(record) == set()


@pytest.mark.parametrize(
    ("fault", "excused"),
    [
        (KillGateway(0.0, 0, 0.1), True),
        (StopGateway(0.0, 0, 0.1), True),
        (KillGateway(0.0, 1, 0.1), False),
        (PauseGateway(0.0, 0, 0.1), False),
        (RestoreStore(0.0, 0, 1.0, True, 5.0, 0.5), False),
    ],
)
def test_only_a_restart_excuses_a_gateway_that_undoes_a_move(fault, excused: bool) -> None:
    record = build_moved_record((11.0, "app-2"), (11.5, "app"))
    at = FAULT_FREE_AT + 11.2
    record.injected_faults.append(InjectedFault(fault, at, at + 0.1))
    assert ("VersionsDoNotGoBack" not in find(record)) is excused


def test_a_restored_store_excuses_what_any_unplanned_fault_excuses() -> None:
    request = build_request()
    request.ended_at = request.sent_at + DEADLINE_S + 1.0
    record = build_record(request, build_run())
    assert find(record) == {"NothingIsHeld"}
    restore = RestoreStore(0.0, 0, 1.0, True, 5.0, 0.5)
    record.injected_faults.append(InjectedFault(restore, FAULT.began, FAULT_FREE_AT))
    assert "NothingIsHeld" not in find(record)


def test_a_restored_store_does_not_excuse_what_holds_in_faults() -> None:
    record = build_record(build_request(), build_run(), build_run(FAULT_FREE_AT + 0.1, "i-2"))
    record.key_revoked_at["k"] = FAULT_FREE_AT - REVOKE_S - 0.1
    restore = RestoreStore(0.0, 0, 1.0, True, 5.0, 0.5)
    record.injected_faults.append(InjectedFault(restore, FAULT.began, FAULT_FREE_AT))
    record.requests["r2"] = build_request(Kind.LOOK, FAULT_FREE_AT + 20.0)
    assert {"RunsOnce", "TakenKeysRunNothing"} <= find(record)


@pytest.mark.parametrize("seed", range(20))
def test_a_run_of_ten_seconds_has_a_store_that_is_restored(seed: int) -> None:
    faults = Schedule(SoakSettings(seed)).draw()
    restores = [fault for fault in faults if isinstance(fault, RestoreStore)]
    assert len(restores) in (1, 2)
    for fault in restores:
        assert 0.3 <= fault.duration_s <= 2.5
        assert 1.0 <= fault.copy_age_s <= 8.0
        assert 0.1 <= fault.config_after_s <= 1.0
    shorter = Schedule(SoakSettings(seed, length_s=9.9)).draw()
    assert not any(isinstance(fault, RestoreStore) for fault in shorter)


def test_a_request_cut_off_by_a_planned_stop() -> None:
    request = build_request()
    request.status, request.whole = 0, False
    record = build_record(request, build_run())
    record.requests["r2"] = build_request(Kind.LOOK, FAULT_FREE_AT + 20.0)
    stop = InjectedFault(StopGateway(0.0, 0, 0.0), FAULT_FREE_AT - 0.5, FAULT_FREE_AT + 3.0)
    record.injected_faults.append(stop)
    assert find(record) == {"PlannedStopsCutNothing"}


@pytest.mark.parametrize(
    ("detail", "names"),
    [
        ("ServerDisconnectedError", {"StopsAnswerWhatIsNotRun"}),
        ("ClientConnectorError", set()),
    ],
)
def test_a_request_that_a_stop_leaves_unanswered(detail: str, names: set[str]) -> None:
    request = build_request(at=FAULT.began)
    request.status, request.whole, request.detail = 0, False, detail
    record = build_record(request)
    record.requests["r2"] = build_request(Kind.LOOK, FAULT_FREE_AT + 20.0)
    stop = StopGateway(0.0, 0, 0.0)
    record.injected_faults.append(InjectedFault(stop, request.sent_at, request.sent_at + 3.0))
    assert find(record) == names


def test_a_stop_beyond_its_grace_and_a_gateway_that_exited() -> None:
    record = build_record(build_request(), build_run())
    record.stops.append(StopTimes(GRACE_S - 0.01, GRACE_S + 0.01))
    record.exited_gateways.append(2)
    assert find(record) == {"StopsEndInTime", "GatewaysLive"}


# fault: a stop was too late because the machine had not let the gateway run
@pytest.mark.parametrize(("lost_s", "names"), [(1.1, set()), (0.9, {"StopsEndInTime"})])
def test_waits_for_a_processor_do_not_count_for_a_stop(lost_s: float, names: set[str]) -> None:
    record = build_record(build_request(), build_run())
    record.stops.append(StopTimes(GRACE_S, GRACE_S + 1.0, lost_s))
    assert find(record) == names


def test_a_request_that_ended_after_its_deadline() -> None:
    request = build_request()
    request.ended_at = request.sent_at + DEADLINE_S + 1.0
    assert find(build_record(request, build_run())) == {"NothingIsHeld"}


# fault: a request ended too late as the machine had not let the soak read its response
@pytest.mark.parametrize(("lost_s", "names"), [(0.6, set()), (0.4, {"NothingIsHeld"})])
def test_waits_for_a_processor_do_not_count_for_a_request(lost_s: float, names: set[str]) -> None:
    request = build_request()
    request.ended_at = request.sent_at + DEADLINE_S + 1.0
    request.lost_s = lost_s
    assert find(build_record(request, build_run())) == names


def test_requests_not_served_after_the_last_fault() -> None:
    request = build_request(Kind.LOOK)
    request.status = 503
    assert find(build_record(request)) == {"CalmIsServed"}
    early = build_request(Kind.LOOK, FAULT.began)
    assert find(build_record(early, build_run(FAULT.began))) == {"CalmIsServed"}


# fault: requests failed in a stall of the machine, in which all endpoints and the store stood still
@pytest.mark.parametrize("stalled_s", [-RECOVERY_S + 0.1, 0.0])
def test_requests_not_served_beside_a_stall_of_the_machine(stalled_s: float) -> None:
    request, other = build_request(Kind.LOOK), build_request(Kind.LOOK)
    request.status = 503
    other.id, other.answer = "r2", b"answer of i-1 to r2"
    other.sent_at, other.ended_at = request.sent_at + 2 * RECOVERY_S, request.ended_at + 10.0
    record = build_record(request, build_run())
    record.requests[other.id] = other
    ended = request.sent_at + stalled_s
    assert find(record) == {"CalmIsServed"}
    record.stalls.append(Stall(ended - 1.0, ended, 0.9))
    assert find(record) == set()


# fault: a stall that the gateways had the time to recover from excused what was not served later
def test_requests_not_served_long_after_a_stall_of_the_machine() -> None:
    request = build_request(Kind.LOOK)
    request.status = 503
    record = build_record(request)
    ended = request.sent_at - RECOVERY_S - 0.1
    record.stalls.append(Stall(ended - 1.0, ended, 0.9))
    assert find(record) == {"CalmIsServed"}


# fault: a run in which nothing could be checked for stalls of the machine passed, or failed like
# one in which requests were not served
@pytest.mark.parametrize("status", [200, 503])
def test_stalls_of_the_machine_in_all_of_the_time_after_the_last_fault(status: int) -> None:
    request = build_request()
    request.status = status
    record = build_record(request, build_run())
    record.stalls.append(Stall(FAULT.ended, FAULT_FREE_AT, 3.0))
    assert "CalmIsServed" not in find(record)
    assert find_unjudged(record) == {"CalmIsServed"}


# fault: a promise with something to count passed as not judged
def test_a_request_that_no_stall_met_is_judged() -> None:
    met, other = build_request(Kind.LOOK), build_request(Kind.LOOK)
    other.id, other.status = "r2", 503
    other.sent_at, other.ended_at = met.sent_at + 2 * RECOVERY_S, met.ended_at + 2 * RECOVERY_S
    record = build_record(met)
    record.requests[other.id] = other
    record.stalls.append(Stall(FAULT.ended, FAULT_FREE_AT, 3.0))
    assert find(record) == {"CalmIsServed"}
    assert find_unjudged(record) == set()


# fault: a run without requests after the last fault passed for one that stalls had disturbed
@pytest.mark.parametrize("stalls", [[], [Stall(FAULT.ended, FAULT_FREE_AT, 3.0)]])
def test_no_requests_after_the_last_fault(stalls: list[Stall]) -> None:
    record = build_record(build_request(Kind.LOOK, FAULT.began), build_run(FAULT.began))
    record.stalls = stalls
    assert find(record) == {"CalmIsServed"}
    assert find_unjudged(record) == set()


def test_promises_have_unique_names() -> None:
    assert len({promise.name for promise in PROMISES}) == len(PROMISES)
    assert all(isinstance(promise, Promise) for promise in PROMISES)


def test_a_seed_determines_the_faults() -> None:
    faults = Schedule(SoakSettings(seed=7)).draw()
    assert faults == Schedule(SoakSettings(seed=7)).draw()
    assert faults != Schedule(SoakSettings(seed=8)).draw()


@pytest.mark.parametrize("seed", range(5))
def test_each_run_has_endpoints_that_leave_and_endpoints_that_want_nothing(seed: int) -> None:
    kinds = {type(fault) for fault in Schedule(SoakSettings(seed, length_s=4.0)).draw()}
    assert {LeaveUnlisted, AskForPause} <= kinds
