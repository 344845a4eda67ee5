"""Invariants, checked on what callers and endpoints recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from basilroad.standin.streamevents import decode_events
from soak.promise import OK, UNCONNECTED, Promise
from soak.records import Kind, Limit, Record, Request
from soak.schedule import StopGateway
from soak.settings import APPLY_S, DRAIN_S, GRACE_S, RECOVERY_S, REVOKE_S
from soak.streampromises import StreamsKeepTheirVersion, TakenUpStreamsResume

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Status codes that state that a request did not run."""

RESPONSE_MARGIN_S = 0.5
"""Seconds after its deadline within which a request must have its response."""


class RunsOnce(Promise):
    """A non-idempotent request runs at most once."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: non-idempotent requests that ran more than once."""
        counts = Counter(run.request.id for run in record.runs)
        for request in record.requests.values():
            if request.kind is Kind.ORDER and counts[request.id] > 1:
                places = [run.endpoint for run in record.runs_of(request.id)]
                yield f"{request.id} ran {counts[request.id]} times: {places}"


class NotRunIsTrue(Promise):
    """A non-idempotent request reported as not run has not run, and does not run later."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: non-idempotent requests that ran but were reported as not run."""
        ran = {run.request.id for run in record.runs}
        for request in record.requests.values():
            if (
                request.kind is Kind.ORDER
                and request.status in NOT_RUN_STATUSES
                and request.id in ran
            ):
                yield f"{request.id} ran, answered {request.status}"


class AnswersAreWhole(Promise):
    """A call's complete response with status 200 is one endpoint's sealed response to that call."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: successful responses with another body or without a seal."""
        for request in record.requests.values():
            if request.status != OK or not request.whole or request.kind is Kind.STREAM:
                continue
            expected = f"answer of {request.seal} to {request.id}".encode()
            if not request.seal or request.answer != expected:
                yield f"{request.id} got {request.answer[:80]!r} under seal {request.seal!r}"


class StreamsAreWhole(Promise):
    """Events arrive once and in order; a stream ends as complete only after its last event."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: streams with missing, repeated or reordered events."""
        for request in record.requests.values():
            if request.kind is not Kind.STREAM or request.status != OK:
                continue
            numbers = [event.number for event in decode_events(request.answer)]
            first, last = request.last_event + 1, request.last_event + len(numbers)
            if numbers != list(range(first, last + 1)):
                yield f"{request.id} got events {numbers} from {first} on"
            elif request.whole and last != record.events:
                yield f"{request.id} ended as whole after {last} events"


class NothingIsInvented(Promise):
    """Endpoints run only what callers sent: unchanged, for the key's workspace, without the key."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: runs of unknown or changed requests."""
        for run in record.runs:
            seen, request = run.request, record.requests.get(run.request.id)
            if request is None:
                yield f"{run.endpoint} ran {seen.id!r} {seen.target!r}, which no caller sent"
            elif (seen.target, seen.body) != (request.target, request.body):
                yield f"{run.endpoint} ran {seen.id} as {seen.target} {seen.body!r}"
            elif seen.headers.get("x-tenant") != request.workspace or "x-key" in seen.headers:
                yield f"{run.endpoint} ran {seen.id} for {seen.headers.get('x-tenant')!r}"


class TakenKeysRunNothing(Promise):
    """A request sent over ``REVOKE_S`` after its key was revoked does not run, even in faults."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that ran with a revoked key."""
        ran = {run.request.id for run in record.runs}
        for request in record.requests.values():
            revoked_at = record.key_revoked_at.get(request.key)
            if revoked_at is None or request.id not in ran:
                continue
            late_s = request.sent_at - revoked_at - REVOKE_S
            if late_s > 0:
                yield f"{request.id} ran, sent {late_s:.2f} s after the time for its key"


class LeavingEndpointsRest(Promise):
    """In fault-free periods an endpoint gets no request sent after ``DRAIN_S`` of draining."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: calls that reached a draining endpoint too late."""
        for run in record.runs:
            draining_at = record.draining_since.get(run.endpoint)
            request = record.requests.get(run.request.id)
            if draining_at is None or request is None or request.sent_at <= draining_at + DRAIN_S:
                continue
            if record.is_fault_free(draining_at - RECOVERY_S, run.request.at):
                yield f"{request.id} reached {run.endpoint}, which had left"


class AnnouncedLeavingCounts(Promise):
    """A gateway sends an endpoint nothing ``DRAIN_S`` after it passed on that this one leaves."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that reached an endpoint too late; a restart or pause excuses."""
        passed_on: dict[tuple[int, str], float] = {}
        for request in record.requests.values():
            if request.leaving and request.seal:
                key = request.gateway, request.seal
                passed_on[key] = min(passed_on.get(key, request.answered_at), request.answered_at)
        for run in record.reached:
            late = record.requests.get(run.request.id)
            reported_at = passed_on.get((late.gateway, run.endpoint)) if late else None
            if late is None or reported_at is None or late.sent_at <= reported_at + DRAIN_S:
                continue
            if not record.is_interrupted(late.gateway, reported_at, run.request.at):
                yield f"{late.id} reached {run.endpoint}, which had said that it leaves"


class PausesAreKept(Promise):
    """At most ``MAX_REACHED`` calls of a gateway reach an endpoint that wants nothing of it."""

    MAX_REACHED = 2
    MARGIN_S = 0.5

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: pauses with too many calls; a restart, pause or cut excuses."""
        gateways = {request.id: request.gateway for request in record.requests.values()}
        for pause in record.pauses:
            request = record.requests.get(pause.request.id)
            begin, end = pause.request.at, pause.request.at + pause.length_s
            if request is None or request.aborted:
                continue
            reached = [
                run.request.id
                for run in record.reached
                if run.endpoint == pause.endpoint
                and begin + self.MARGIN_S < run.request.at < end
                and gateways.get(run.request.id) == request.gateway
            ]
            if len(reached) <= self.MAX_REACHED or record.is_cut(pause.number, begin, end):
                continue
            if not record.is_interrupted(request.gateway, begin, end):
                yield f"{pause.endpoint} wanted nothing for {pause.length_s} s, got {reached}"


class LimitsAreKept(Promise):
    """Gateways that passed on a limit keep it together, but for half of it and ``SLACK`` more."""

    WINDOW_S = 4.0
    SLACK = 5
    MARGIN_S = 0.5

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: limits with too many requests; a restart, pause or cut excuses."""
        for limit in record.limits:
            times = sorted(self._list_counted(record, limit))
            allowed = 1.5 * limit.per_s * self.WINDOW_S + self.SLACK
            for number, at in enumerate(times):
                got = sum(at <= later < at + self.WINDOW_S for later in times[number:])
                if got > allowed and not record.is_cut(limit.number, at, at + self.WINDOW_S):
                    yield f"{limit.endpoint} named {limit.per_s} a second, got {got} in 4 s"
                    break

    def _list_counted(self, record: Record, limit: Limit) -> Iterator[float]:
        """:return: times of the requests of gateways that knew of the limit."""
        reported_at: dict[int, float] = {}
        for request in record.requests.values():
            if not request.limited or request.seal != limit.endpoint:
                continue
            if limit.began <= request.answered_at <= limit.ended:
                known = reported_at.get(request.gateway, request.answered_at)
                reported_at[request.gateway] = min(known, request.answered_at)
        for run in record.reached:
            sent = record.requests.get(run.request.id)
            known_at = reported_at.get(sent.gateway) if sent is not None else None
            if run.endpoint != limit.endpoint or sent is None or known_at is None:
                continue
            if not known_at + self.MARGIN_S < run.request.at < limit.ended:
                continue
            if not record.is_interrupted(sent.gateway, known_at, run.request.at):
                yield run.request.at


class ConfigIsInForce(Promise):
    """In fault-free periods a moved route is served by its new service after the apply time."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: calls that ran at an outdated service."""
        for run in record.runs:
            request = record.requests.get(run.request.id)
            if request is None or request.kind is not Kind.MOVED:
                continue
            first = record.service_at(request.sent_at - APPLY_S)
            later = {
                s for at, s in record.route_moves if request.sent_at - APPLY_S < at < run.request.at
            }
            if run.service in {first, *later}:
                continue
            if record.is_fault_free(request.sent_at - APPLY_S - RECOVERY_S, run.request.at):
                yield f"{request.id} ran at {run.service}, not at {first}"


class VersionsDoNotGoBack(Promise):
    """A gateway that applied a move of the route does not undo it, even in faults."""

    MARGIN_S = 0.25

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: calls that ran by an older config than earlier ones; a restart excuses."""
        # by gateway: when a request was sent and ran, and the oldest move by which it can have run
        known: dict[int, list[tuple[float, float, int]]] = {}
        runs = [(record.requests.get(run.request.id), run) for run in record.runs]
        moved = [(r, run) for r, run in runs if r is not None and r.kind is Kind.MOVED]
        for request, run in sorted(moved, key=lambda pair: pair[1].request.at):
            earlier = known.setdefault(request.gateway, [])
            oldest = max(
                (
                    move
                    for sent_at, ran_at, move in earlier
                    if ran_at + self.MARGIN_S < request.sent_at
                    and not record.is_restarted(request.gateway, sent_at, run.request.at)
                ),
                default=0,
            )
            possible = [
                move
                for move, (at, service) in enumerate(record.route_moves)
                if move >= oldest and at <= run.request.at and service == run.service
            ]
            if possible:
                earlier.append((request.sent_at, run.request.at, possible[0]))
            else:
                yield f"{request.id} ran at {run.service}, as before move {oldest}"


class PlannedStopsCutNothing(Promise):
    """In fault-free periods a request forwarded by a stopping gateway gets its response."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that were cut off."""
        stops = [one for one in record.injected_faults if isinstance(one.fault, StopGateway)]
        for request in record.requests.values():
            if request.aborted or request.status or not record.runs_of(request.id):
                continue
            if not record.is_fault_free(request.sent_at - RECOVERY_S, request.ended_at):
                continue
            overlapping = [
                one
                for one in stops
                if one.fault.target == request.gateway
                and one.began <= request.ended_at
                and one.ended >= request.sent_at
            ]
            if overlapping:
                yield f"{request.id} was cut by a planned stop: {request.detail}"


class StopsAnswerWhatIsNotRun(Promise):
    """A request to a stopping gateway that no endpoint ran gets a response, even in faults."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests without a response; a kill, a pause or no connection excuses."""
        for request in record.requests.values():
            if request.aborted or request.status or record.runs_of(request.id):
                continue
            if request.detail in UNCONNECTED or not record.is_stopped(
                request.gateway, request.sent_at, request.ended_at
            ):
                continue
            yield f"{request.id} got no answer in a planned stop: {request.detail}"


class StopsEndInTime(Promise):
    """A planned stop completes within the grace period, besides waits for a processor."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: stops that reached the grace period and needed SIGKILL."""
        for stop in record.stops:
            if stop.took_s - stop.lost_s >= GRACE_S:
                running = f"last seen running after {stop.running_s:.2f} s"
                lost = f"{stop.lost_s:.2f} s of waits for a processor"
                yield f"a stop took {stop.took_s:.2f} s with {lost}, {running}"


class NothingIsHeld(Promise):
    """In fault-free periods each request ends within ``RESPONSE_MARGIN_S`` after its deadline.

    Time does not count in which the soak or the gateway waits for a processor.
    """

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that ended after their deadline."""
        for request in record.requests.values():
            took_s = request.ended_at - request.sent_at - request.lost_s
            if request.aborted or took_s <= request.deadline_s + RESPONSE_MARGIN_S:
                continue
            if record.is_fault_free(request.sent_at - RECOVERY_S, request.ended_at):
                lost = f"besides {request.lost_s:.2f} s of waits for a processor"
                yield f"{request.id} waited {took_s:.2f} s {lost}, answered {request.status}"


class GatewaysLive(Promise):
    """No gateway exits without being signalled."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: gateways that exited."""
        for number in record.exited_gateways:
            yield f"gateway {number} ended by itself"


class CalmIsServed(Promise):
    """From ``RECOVERY_S`` after the last fault, nearly all requests with valid keys succeed.

    A time in which the machine keeps the soak or a gateway from running is a fault here, too.
    """

    MIN_SERVED_SHARE = 0.95

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: one line if too few requests succeeded, or none was sent."""
        requests, counted = self._list_requests(record), self.list_counted(record)
        served = [r for r in counted if r.status == OK and r.whole]
        if not requests:
            yield "nothing was asked after the last fault"
        elif len(served) < self.MIN_SERVED_SHARE * len(counted):
            failed = Counter((r.status, r.detail) for r in counted if r not in served)
            yield f"{len(served)} of {len(counted)} served after the last fault: {dict(failed)}"

    def explain_unjudged(self, record: Record) -> str:
        """:return: how often the machine stalled if it did so in all requests."""
        requests = self._list_requests(record)
        if not requests or self.list_counted(record):
            return ""
        stalls = sum(stall.ended > _find_last_fault(record) for stall in record.stalls)
        return f"{stalls} stalls of the machine met all {len(requests)} requests"

    def list_counted(self, record: Record) -> list[Request]:
        """:return: requests with valid keys after the last fault that no stall met."""
        return [
            r
            for r in self._list_requests(record)
            if not record.is_stalled(r.sent_at - RECOVERY_S, r.ended_at)
        ]

    def _list_requests(self, record: Record) -> list[Request]:
        last = _find_last_fault(record)
        # streams that are taken up may be of a version that has left
        return [
            r
            for r in record.requests.values()
            if r.sent_at > last + RECOVERY_S
            and not (r.aborted or r.resumes or r.key in record.key_revoked_at)
        ]


def _find_last_fault(record: Record) -> float:
    return max((one.ended for one in record.injected_faults), default=0.0)


PROMISES: tuple[Promise, ...] = (
    RunsOnce(),
    NotRunIsTrue(),
    AnswersAreWhole(),
    StreamsAreWhole(),
    NothingIsInvented(),
    TakenKeysRunNothing(),
    LeavingEndpointsRest(),
    AnnouncedLeavingCounts(),
    PausesAreKept(),
    LimitsAreKept(),
    ConfigIsInForce(),
    VersionsDoNotGoBack(),
    PlannedStopsCutNothing(),
    StopsAnswerWhatIsNotRun(),
    StopsEndInTime(),
    NothingIsHeld(),
    GatewaysLive(),
    CalmIsServed(),
    StreamsKeepTheirVersion(),
    TakenUpStreamsResume(),
)

__all__ = ["PROMISES", "Promise"]
