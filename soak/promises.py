"""What must hold, checked on what callers and endpoints saw."""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator

from soak.records import Kind, Record
from soak.schedule import StopGateway
from soak.settings import APPLY_S, CONTACT_S, DEADLINE_S, DRAIN_S, GRACE_S, REVOKE_S

OK = 200
NOT_RUN = frozenset({408, 421, 429, 503})
"""Status codes that say that a request did not run."""

FINAL_S = 0.5
"""Seconds beyond its time in which a request must have its answer."""

_EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+)\n\n")


class Promise(ABC):
    """One thing that must hold."""

    @property
    def name(self) -> str:
        """:return: name in reports."""
        return type(self).__name__

    @abstractmethod
    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: one line for each case in which it does not hold."""


class RunsOnce(Promise):
    """What may not be repeated runs at most once."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: orders that ran more than once."""
        counts = Counter(run.request.id for run in record.runs)
        for request in record.requests.values():
            if request.kind is Kind.ORDER and counts[request.id] > 1:
                places = [run.endpoint for run in record.runs_of(request.id)]
                yield f"{request.id} ran {counts[request.id]} times: {places}"


class NotRunIsTrue(Promise):
    """An order that is told not to have run has not run, and does not run later."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: orders that ran though their caller was told otherwise."""
        ran = {run.request.id for run in record.runs}
        for request in record.requests.values():
            if request.kind is Kind.ORDER and request.status in NOT_RUN and request.id in ran:
                yield f"{request.id} ran, answered {request.status}"


class AnswersAreWhole(Promise):
    """A success is the whole answer of one endpoint to this request."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: successes that are not."""
        for request in record.requests.values():
            if request.status != OK or not request.whole or request.kind is Kind.STREAM:
                continue
            expected = f"answer of {request.seal} to {request.id}".encode()
            if not request.seal or request.answer != expected:
                yield f"{request.id} got {request.answer[:80]!r} under seal {request.seal!r}"


class StreamsAreWhole(Promise):
    """Events come once and in order; a stream ends as whole after its last one."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: streams with other events."""
        for request in record.requests.values():
            if request.kind is not Kind.STREAM or request.status != OK:
                continue
            numbers = [int(a) for a, b in _EVENT.findall(request.answer) if a == b]
            if numbers != list(range(1, len(numbers) + 1)):
                yield f"{request.id} got events {numbers}"
            elif request.whole and len(numbers) != record.events:
                yield f"{request.id} ended as whole after {len(numbers)} events"


class NothingIsInvented(Promise):
    """Endpoints run what callers sent, unchanged, for the key's workspace and without the key."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: runs of anything else."""
        for run in record.runs:
            seen, request = run.request, record.requests.get(run.request.id)
            if request is None:
                yield f"{run.endpoint} ran {seen.id!r}, which nobody sent"
            elif (seen.target, seen.body) != (request.target, request.body):
                yield f"{run.endpoint} ran {seen.id} as {seen.target} {seen.body!r}"
            elif seen.headers.get("x-tenant") != request.workspace or "x-key" in seen.headers:
                yield f"{run.endpoint} ran {seen.id} for {seen.headers.get('x-tenant')!r}"


class TakenKeysRunNothing(Promise):
    """A request sent some time after its key was taken away does not run, whatever failed."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that ran all the same."""
        ran = {run.request.id for run in record.runs}
        for request in record.requests.values():
            taken_at = record.key_taken.get(request.key)
            if taken_at is None or request.id not in ran:
                continue
            late_s = request.sent_at - taken_at - REVOKE_S
            if late_s > 0:
                yield f"{request.id} ran, sent {late_s:.2f} s after the time for its key"


class LeavingEndpointsRest(Promise):
    """In calm times an endpoint that leaves gets no calls after its time."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: calls that reached one."""
        for run in record.runs:
            left_at = record.endpoint_left.get(run.endpoint)
            request = record.requests.get(run.request.id)
            if left_at is None or request is None or request.sent_at <= left_at + DRAIN_S:
                continue
            if record.is_calm(left_at - CONTACT_S, run.request.at):
                yield f"{request.id} reached {run.endpoint}, which had left"


class ConfigIsInForce(Promise):
    """In calm times a moved route is served by its new service after the time to apply it."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: calls that ran at another service."""
        for run in record.runs:
            request = record.requests.get(run.request.id)
            if request is None or request.kind is not Kind.MOVED:
                continue
            first = record.service_at(request.sent_at - APPLY_S)
            later = {s for at, s in record.moves if request.sent_at - APPLY_S < at < run.request.at}
            if run.service in {first, *later}:
                continue
            if record.is_calm(request.sent_at - APPLY_S - CONTACT_S, run.request.at):
                yield f"{request.id} ran at {run.service}, not at {first}"


class PlannedStopsCutNothing(Promise):
    """A request that a stopping gateway passed on gets its answer, in calm times."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that were cut."""
        stops = [one for one in record.happenings if isinstance(one.fault, StopGateway)]
        for request in record.requests.values():
            if request.left or request.status or not record.runs_of(request.id):
                continue
            if not record.is_calm(request.sent_at - CONTACT_S, request.ended_at):
                continue
            around = [
                one
                for one in stops
                if one.fault.target == request.gateway
                and one.began <= request.ended_at
                and one.ended >= request.sent_at
            ]
            if around:
                yield f"{request.id} was cut by a planned stop: {request.detail}"


class StopsEndInTime(Promise):
    """A planned stop ends by itself within its grace."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: stops that had to be ended."""
        for took_s in record.stops_s:
            if took_s >= GRACE_S:
                yield f"a stop took {took_s:.2f} s"


class NothingIsHeld(Promise):
    """In calm times each request has its answer when its time is over."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: requests that waited longer."""
        for request in record.requests.values():
            took_s = request.ended_at - request.sent_at
            if request.left or took_s <= DEADLINE_S + FINAL_S:
                continue
            if record.is_calm(request.sent_at - CONTACT_S, request.ended_at):
                yield f"{request.id} waited {took_s:.2f} s, answered {request.status}"


class GatewaysLive(Promise):
    """No gateway ends by itself."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: gateways that did."""
        for number in record.ended:
            yield f"gateway {number} ended by itself"


class CalmIsServed(Promise):
    """After all faults have ended, requests are served."""

    SHARE = 0.95

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: too few successes, if so."""
        last = max((one.ended for one in record.happenings), default=0.0)
        late = [r for r in record.requests.values() if r.sent_at > last + CONTACT_S and not r.left]
        known = [r for r in late if r.key not in record.key_taken]
        served = [r for r in known if r.status == OK and r.whole]
        if not known:
            yield "nothing was asked after the last fault"
        elif len(served) < self.SHARE * len(known):
            failed = Counter((r.status, r.detail) for r in known if r not in served)
            yield f"{len(served)} of {len(known)} served after the last fault: {dict(failed)}"


PROMISES: tuple[Promise, ...] = (
    RunsOnce(),
    NotRunIsTrue(),
    AnswersAreWhole(),
    StreamsAreWhole(),
    NothingIsInvented(),
    TakenKeysRunNothing(),
    LeavingEndpointsRest(),
    ConfigIsInForce(),
    PlannedStopsCutNothing(),
    StopsEndInTime(),
    NothingIsHeld(),
    GatewaysLive(),
    CalmIsServed(),
)

__all__ = ["PROMISES", "Promise"]
