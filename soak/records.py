"""Records of requests, runs and injected faults."""

from __future__ import annotations

import enum
import itertools
import math

import attrs

from basilroad.standin.appserver import ReceivedRequest
from basilroad.standin.promptcache import PromptLoad
from soak.releaseschedule import KillAllGateways, RestartEndpoint
from soak.schedule import (
    ENDPOINT_LINK,
    PLANNED,
    STORE_LINK,
    AskForPause,
    CorruptResponses,
    DelayLink,
    Fault,
    HoldLink,
    KillGateway,
    NameLimit,
    PauseGateway,
    ResetLink,
    RestoreStore,
    StopGateway,
    StoreOutage,
)
from soak.settings import APPLY_S, CONTACT_S, DEADLINE_S

IMPAIRING = (CorruptResponses, AskForPause, NameLimit)
"""Faults for which an endpoint serves less than others, beside those of its link."""


class Kind(enum.Enum):
    """Kind of request; it decides whether the request may run twice.

    ``ORDER`` is not idempotent and runs at most once; ``LOOK`` and ``MOVED`` are idempotent, and
    the route of ``MOVED`` changes its service; ``STREAM`` is a resumable event stream.
    """

    ORDER = "order"
    LOOK = "look"
    STREAM = "stream"
    MOVED = "moved"


@attrs.define
class Request:
    """A request of a caller and its response.

    :param id: identifier of the request
    :param kind: kind of request
    :param gateway: number of the gateway that it was sent to
    :param target: path
    :param key: API key that it carries
    :param workspace: workspace of the key
    :param body: request body
    :param sent_at: monotonic seconds
    :param ended_at: monotonic seconds at which the exchange ended
    :param answered_at: monotonic seconds at which the head of the response arrived
    :param leaving: whether the response says that its endpoint leaves
    :param limited: whether the response names a limit of its endpoint
    :param status: status of the response; 0 without one
    :param seal: name of the endpoint in the seal of the response; empty without one
    :param answer: body of the response, as far as it was received
    :param whole: whether the response was received completely
    :param aborted: whether the caller aborted the request
    :param detail: why the response is missing or incomplete
    :param deadline_s: seconds that the caller waits
    :param resumes: identifier of the request that brought the first event of a stream that this
        one takes up; empty for a new request
    :param last_event: number of the last event received before; 0 for a new request
    :param retry_after_s: seconds that the response asks to wait; 0 if it does not
    :param lost_s: seconds in which the soak or the gateway waited for a processor
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
    answered_at: float = 0.0
    leaving: bool = False
    limited: bool = False
    status: int = 0
    seal: str = ""
    answer: bytes = b""
    whole: bool = False
    aborted: bool = False
    detail: str = ""
    deadline_s: float = DEADLINE_S
    resumes: str = ""
    last_event: int = 0
    retry_after_s: float = 0.0
    lost_s: float = 0.0


@attrs.frozen
class Run:
    """A request that an endpoint ran.

    :param endpoint: name of the endpoint
    :param service: service of the endpoint
    :param request: the request as received
    """

    endpoint: str
    service: str
    request: ReceivedRequest


@attrs.frozen
class Pause:
    """A request that an endpoint turned away for a time.

    :param endpoint: name of the endpoint
    :param number: number of the endpoint
    :param request: the request as received
    :param length_s: seconds for which it wants nothing
    """

    endpoint: str
    number: int
    request: ReceivedRequest
    length_s: float


@attrs.frozen
class Limit:
    """A limit that an endpoint named for all gateways together.

    :param endpoint: name of the endpoint
    :param number: number of the endpoint
    :param per_s: requests a second
    :param began: monotonic seconds
    :param ended: monotonic seconds
    """

    endpoint: str
    number: int
    per_s: float
    began: float
    ended: float


@attrs.define
class ServingTime:
    """Time for which an endpoint serves at a software version.

    :param number: number of the endpoint
    :param version: the version; empty for what is no engine
    :param began: monotonic seconds
    :param ended: monotonic seconds at which it crashed or began to leave; infinity before
    """

    number: int
    version: str
    began: float
    ended: float = math.inf


@attrs.frozen
class InjectedFault:
    """A fault and the time during which it was in effect.

    :param fault: the fault as scheduled
    :param began: monotonic seconds
    :param ended: monotonic seconds
    """

    fault: Fault
    began: float
    ended: float

    @property
    def is_planned(self) -> bool:
        """:return: whether it is planned work, which callers must not notice."""
        return isinstance(self.fault, PLANNED)


@attrs.frozen
class StopTimes:
    """How long a planned stop took.

    The exit lies between the two times; they are far apart when the soak itself waited for the
    processor.

    :param running_s: seconds from the signal until the process was last seen running
    :param took_s: seconds from the signal until its exit was seen, or until it was given up
    :param lost_s: seconds of them in which the process or the soak waited for a processor
    """

    running_s: float
    took_s: float
    lost_s: float = 0.0


@attrs.frozen
class Stall:
    """A time in which the machine kept the soak or a gateway from running.

    :param began: monotonic seconds
    :param ended: monotonic seconds
    :param waited_s: seconds of them in which the process waited for a processor
    """

    began: float
    ended: float
    waited_s: float


@attrs.define
class Record:
    """Everything recorded in one run of the soak test; times are monotonic seconds.

    :param requests: requests of the callers, by identifier
    :param runs: requests that endpoints ran
    :param reached: requests that reached the endpoint that they were meant for, run or not
    :param prompt_loads: how engines got the prompts of requests
    :param pauses: requests that endpoints turned away for a time
    :param limits: limits that endpoints named
    :param injected_faults: faults with their times
    :param key_revoked_at: when the config without the key had been written to the store, by key
    :param draining_since: when each draining endpoint was stored as draining, by instance name
    :param route_moves: when the moved route was assigned to which service, in order
    :param stops: durations of planned stops
    :param exited_gateways: numbers of the gateways that exited without being signalled
    :param events: number of events of a complete stream
    :param serving: when endpoints served, and at which version
    :param longest_stall_s: longest time for which the soak's own event loop stood still; callers,
        endpoints and the store run there
    :param stalls: times in which the machine kept the soak or a gateway from running
    """

    requests: dict[str, Request] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    reached: list[Run] = attrs.field(factory=list)
    prompt_loads: list[PromptLoad] = attrs.field(factory=list)
    pauses: list[Pause] = attrs.field(factory=list)
    limits: list[Limit] = attrs.field(factory=list)
    injected_faults: list[InjectedFault] = attrs.field(factory=list)
    key_revoked_at: dict[str, float] = attrs.field(factory=dict)
    draining_since: dict[str, float] = attrs.field(factory=dict)
    route_moves: list[tuple[float, str]] = attrs.field(factory=list)
    stops: list[StopTimes] = attrs.field(factory=list)
    exited_gateways: list[int] = attrs.field(factory=list)
    events: int = 0
    serving: list[ServingTime] = attrs.field(factory=list)
    longest_stall_s: float = 0.0
    stalls: list[Stall] = attrs.field(factory=list)

    def runs_of(self, request_id: str) -> list[Run]:
        """:return: runs of one request."""
        return [run for run in self.runs if run.request.id == request_id]

    def is_fault_free(self, begin: float, end: float) -> bool:
        """:return: whether no unplanned fault overlaps a time span."""
        unplanned = (one for one in self.injected_faults if not one.is_planned)
        return not any(one.began <= end and one.ended >= begin for one in unplanned)

    def is_stalled(self, begin: float, end: float) -> bool:
        """:return: whether the machine kept the soak or a gateway from running in a time span."""
        return any(one.began <= end and one.ended >= begin for one in self.stalls)

    def is_interrupted(self, gateway: int, begin: float, end: float) -> bool:
        """:return: whether a gateway was restarted or suspended in a time span."""
        return self._is_affected(gateway, (KillGateway, PauseGateway, StopGateway), begin, end)

    def is_restarted(self, gateway: int, begin: float, end: float) -> bool:
        """:return: whether a gateway was killed or stopped in a time span."""
        return self._is_affected(gateway, (KillGateway, StopGateway), begin, end)

    def is_stopped(self, gateway: int, begin: float, end: float) -> bool:
        """:return: whether a gateway was stopped in a time span, and not killed or suspended."""
        if self._is_affected(gateway, (KillGateway, PauseGateway), begin, end):
            return False
        return self._is_affected(gateway, (StopGateway,), begin, end)

    def _is_affected(
        self, gateway: int, kinds: tuple[type[Fault], ...], begin: float, end: float
    ) -> bool:
        faults = (
            one
            for one in self.injected_faults
            if isinstance(one.fault, kinds)
            and (one.fault.target == gateway or isinstance(one.fault, KillAllGateways))
        )
        return any(one.began <= end and one.ended >= begin for one in faults)

    def is_cut(self, endpoint: int, begin: float, end: float) -> bool:
        """:return: whether an endpoint's link was held or reset, or its name given to another."""
        faults = (
            one
            for one in self.injected_faults
            if one.fault.target == endpoint and _cuts_off(one.fault)
        )
        return any(one.began <= end and one.ended >= begin for one in faults)

    def is_store_stable(self, gateway: int, begin: float, end: float) -> bool:
        """:return: whether no fault of the store or of a gateway's link to it met a time span."""
        return not any(
            one.began <= end and one.ended >= begin - CONTACT_S
            for one in self.injected_faults
            if isinstance(one.fault, StoreOutage | RestoreStore)
            or (
                isinstance(one.fault, DelayLink | HoldLink | ResetLink)
                and (one.fault.link, one.fault.target) == (STORE_LINK, gateway)
            )
        )

    def count_serving(self, version: str, begin: float, end: float) -> int:
        """Count the engines of a software version that serve all through a time span.

        :param version: the version
        :param begin: monotonic seconds
        :param end: the same
        :return: number of those that gateways know and that no fault keeps from serving
        """
        serving = (
            one.number
            for one in self.serving
            if one.version == version and one.began + APPLY_S <= begin and one.ended >= end
        )
        return sum(not self._is_impaired(number, begin - CONTACT_S, end) for number in serving)

    def _is_impaired(self, endpoint: int, begin: float, end: float) -> bool:
        faults = (
            one
            for one in self.injected_faults
            if one.fault.target == endpoint
            and (_cuts_off(one.fault) or isinstance(one.fault, IMPAIRING))
        )
        return any(one.began <= end and one.ended >= begin for one in faults)

    def service_at(self, moment: float) -> str:
        """:return: service of the moved route in the config at a point in time."""
        past = itertools.takewhile(lambda move: move[0] <= moment, self.route_moves)
        return list(past)[-1][1]


def _cuts_off(fault: Fault) -> bool:
    if isinstance(fault, HoldLink | ResetLink):
        return fault.link == ENDPOINT_LINK
    return isinstance(fault, RestartEndpoint) and fault.keeps_name


__all__ = [
    "InjectedFault",
    "Kind",
    "Limit",
    "Pause",
    "Record",
    "Request",
    "Run",
    "ServingTime",
    "Stall",
    "StopTimes",
]
