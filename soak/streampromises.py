"""Invariants of streams over all tries of their callers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar

import attrs

from basilroad.standin.streamevents import StreamEvent, decode_events
from soak.promise import OK, UNCONNECTED, Promise
from soak.records import Kind, Record, Request


@attrs.frozen
class Stream:
    """A stream with all tries of its caller.

    :param first: the request that brought its first event
    :param later: those that took it up again, in order
    """

    first: Request
    later: tuple[Request, ...]

    @property
    def events(self) -> list[StreamEvent]:
        """:return: all events that the caller received, in order."""
        return [event for one in (self.first, *self.later) for event in decode_events(one.answer)]

    @property
    def version(self) -> str:
        """:return: software version of the endpoint that made the first event."""
        return decode_events(self.first.answer)[0].version


def list_streams(record: Record) -> list[Stream]:
    """List the streams that began.

    :param record: record of the run
    :return: one for each request that brought a first event
    """
    later: dict[str, list[Request]] = {}
    for request in record.requests.values():
        if request.resumes:
            later.setdefault(request.resumes, []).append(request)
    begun = (r for r in record.requests.values() if r.kind is Kind.STREAM and not r.resumes)
    return [Stream(r, tuple(later.get(r.id, ()))) for r in begun if decode_events(r.answer)]


class StreamsKeepTheirVersion(Promise):
    """No stream holds events of two software versions, in one answer or over all tries."""

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: streams with events of several versions."""
        for stream in list_streams(record):
            versions = sorted({event.version for event in stream.events})
            if len(versions) > 1:
                tries = [(one.id, one.gateway) for one in (stream.first, *stream.later)]
                yield f"{stream.first.id} holds events of {versions}; tries and gateways {tries}"


@attrs.frozen
class TakeUps:
    """How many streams resume when they are taken up, beside how many new ones begin.

    Only tries count during which ``MIN_ENDPOINTS`` sound endpoints of the version of the stream
    serve, and only new streams that were sent within ``WINDOW_S`` of one of these, all of them at
    gateways that the store serves, as the platform specifies.

    :param taken_up: streams that were taken up
    :param resumed: those of them that brought more events
    :param new: new streams
    :param began: those of them that brought events
    """

    MIN_ENDPOINTS: ClassVar[int] = 2
    WINDOW_S: ClassVar[float] = 1.0

    taken_up: int
    resumed: int
    new: int
    began: int

    @classmethod
    def measure(cls, record: Record) -> TakeUps:
        """Count the streams of a run.

        :param record: record of the run
        :return: the counts
        """
        counted = [tries for stream in list_streams(record) if (tries := cls._pick(record, stream))]
        moments = [request.sent_at for tries in counted for request in tries]
        new = [
            request
            for request in record.requests.values()
            if request.kind is Kind.STREAM
            and not request.resumes
            and _is_answered(record, request)
            and any(abs(request.sent_at - at) <= cls.WINDOW_S for at in moments)
        ]
        resumed = sum(any(_brings_events(one) for one in tries) for tries in counted)
        return cls(len(counted), resumed, len(new), sum(_brings_events(one) for one in new))

    @classmethod
    def _pick(cls, record: Record, stream: Stream) -> list[Request]:
        """:return: tries to resume a stream that count."""
        return [
            request
            for request in stream.later
            if _is_answered(record, request)
            and record.count_serving(stream.version, request.sent_at, request.ended_at)
            >= cls.MIN_ENDPOINTS
        ]


class TakenUpStreamsResume(Promise):
    """Of ``MIN_STREAMS`` or more that are taken up, at least half the share of new ones resume."""

    MIN_STREAMS = 12

    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: one line if too few streams resumed."""
        found = TakeUps.measure(record)
        if found.taken_up < self.MIN_STREAMS:
            return
        if 2 * found.resumed * found.new < found.began * found.taken_up:
            resumed = f"{found.resumed} of {found.taken_up} resumed"
            yield f"{resumed}, {found.began} of {found.new} new ones began"


def _is_answered(record: Record, request: Request) -> bool:
    """:return: whether a request must have an answer, or has one; faults of the store excuse."""
    if request.aborted or request.key in record.key_revoked_at:
        return False
    if not record.is_store_stable(request.gateway, request.sent_at, request.ended_at):
        return False
    if request.status:
        return True
    interrupted = record.is_interrupted(request.gateway, request.sent_at, request.ended_at)
    return request.detail not in UNCONNECTED and not interrupted


def _brings_events(request: Request) -> bool:
    return request.status == OK and (request.whole or bool(decode_events(request.answer)))


__all__ = ["StreamsKeepTheirVersion", "TakeUps", "TakenUpStreamsResume"]
