"""What callers and endpoints saw."""

from __future__ import annotations

import enum
import itertools

import attrs

from basilroad.standin.appserver import ReceivedRequest
from soak.schedule import PLANNED, Fault


class Kind(enum.Enum):
    """What a request asks for; whether it may run twice follows."""

    ORDER = "order"
    LOOK = "look"
    STREAM = "stream"
    MOVED = "moved"


@attrs.define
class Request:
    """A request of a caller, and its answer.

    :param id: names it
    :param kind: what it asks for
    :param gateway: number of the gateway that it was sent to
    :param target: path
    :param key: key that it carries
    :param workspace: whose key that is
    :param body: its body
    :param sent_at: monotonic seconds
    :param ended_at: monotonic seconds of the answer's end
    :param status: status of the answer; 0 without one
    :param seal: name of the endpoint that the answer shows; empty without one
    :param answer: body of the answer, as far as it came
    :param whole: whether the answer came to its end
    :param left: whether the caller hung up itself
    :param detail: why there is no whole answer
    """

    id: str
    kind: Kind
    gateway: int
    target: str
    key: str
    workspace: str
    body: bytes
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    answer: bytes = b""
    whole: bool = False
    left: bool = False
    detail: str = ""


@attrs.frozen
class Run:
    """A request that an endpoint ran.

    :param endpoint: name of the endpoint
    :param service: its service
    :param request: as it arrived
    """

    endpoint: str
    service: str
    request: ReceivedRequest


@attrs.frozen
class Happening:
    """A fault as it took place.

    :param fault: what was planned
    :param began: monotonic seconds
    :param ended: monotonic seconds
    """

    fault: Fault
    began: float
    ended: float

    @property
    def is_planned(self) -> bool:
        """:return: whether it is work that callers must not notice."""
        return isinstance(self.fault, PLANNED)


@attrs.define
class Record:
    """All that is known after a run.

    :param requests: what callers sent, by name
    :param runs: what endpoints ran
    :param happenings: faults as they took place
    :param key_taken: when each key was gone from the acknowledged config
    :param endpoint_left: when each endpoint was listed as leaving
    :param moves: when the moved route came to a service, in order
    :param stops_s: how long planned stops took
    :param ended: gateways that ended by themselves
    :param events: events of a whole stream
    """

    requests: dict[str, Request] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    happenings: list[Happening] = attrs.field(factory=list)
    key_taken: dict[str, float] = attrs.field(factory=dict)
    endpoint_left: dict[str, float] = attrs.field(factory=dict)
    moves: list[tuple[float, str]] = attrs.field(factory=list)
    stops_s: list[float] = attrs.field(factory=list)
    ended: list[int] = attrs.field(factory=list)
    events: int = 0

    def runs_of(self, request_id: str) -> list[Run]:
        """:return: runs of one request."""
        return [run for run in self.runs if run.request.id == request_id]

    def is_calm(self, begin: float, end: float) -> bool:
        """:return: whether no unplanned fault touches a span of time."""
        unplanned = (one for one in self.happenings if not one.is_planned)
        return not any(one.began <= end and one.ended >= begin for one in unplanned)

    def service_at(self, moment: float) -> str:
        """:return: service of the moved route in the config in force at a moment."""
        past = itertools.takewhile(lambda move: move[0] <= moment, self.moves)
        return list(past)[-1][1]


__all__ = ["Happening", "Kind", "Record", "Request", "Run"]
