"""State of one endpoint as this gateway knows it."""

from __future__ import annotations

import enum
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from attrs.validators import ge, le, max_len

from basilroad.gateway.registry.buffer import BufferLimit
from basilroad.gateway.registry.failurerate import FailureRate
from basilroad.gateway.registry.load import Load, ReportedLoad
from basilroad.gateway.registry.notices import Lifetime, NoticeRegister
from basilroad.gateway.registry.pendingcalls import PendingCalls
from basilroad.http.channelpool import ChannelPool

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from basilroad.gateway.calls.call import PromptSize
    from basilroad.peers.address import Address

UNREACHABLE_BACKOFF_S = 0.25
"""Initial backoff after an endpoint could not be reached; less than the 1 s for which crashed
endpoints of these fleets are down."""

UNREACHABLE_BACKOFF_MAX_S = 1.0
"""Upper limit of the backoff; a retry costs no more than a refused connection."""

UNCONFIRMED_BACKOFF_S = 0.5
"""Time for which streams that need the start of an endpoint confirmed leave it after its report did
not name the listed one; the listing shows a restart within seconds."""

FULL_BACKOFF_S = 0.2
"""Time for which an endpoint that rejected a call counts as full; its own load reports are as
old."""

HEARD_S = 0.25
"""Time after data from an endpoint for which it needs no probe; engines send each stream an event
several times in it."""

SILENT_MEMORY_S = 2.0
"""Time after a probe without an answer for which an endpoint counts as silent; sound engines fall
silent for a second or so."""

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
"""Limit of all responses of one endpoint that are being buffered; an eighth of the memory of the
smallest hosts."""

MAX_SLOTS = 2**31 - 1

MAX_START_MS = 2**53

MAX_NAME_CHARS = 200
"""Longest id, service, data centre and version of an entry; other gateways get it in a
datagram."""


class EndpointState(enum.Enum):
    """State that an endpoint publishes."""

    READY = "ready"
    DRAINING = "draining"


def _check_name(_instance: object, field: attrs.Attribute[str], value: str) -> None:
    if not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(f"{field.name} has {len(value)} characters, limit is {MAX_NAME_CHARS}")


def _check_id(_instance: object, field: attrs.Attribute[str], value: str) -> None:
    _check_name(_instance, field, value)
    # calls name their endpoint in a header
    if not (value.isascii() and value.isprintable() and value.strip() == value):
        raise ValueError(f"{field.name} is no value of a header: {value!r}")


@attrs.frozen
class EndpointEntry:
    """Entry of an endpoint in the platform's listing.

    :param id: id of the endpoint
    :param service: service that it belongs to
    :param address: its listening address
    :param data_centre: its data centre
    :param slots: maximum number of concurrent requests
    :param state: whether it accepts new calls
    :param started_ms: start time in Unix milliseconds, 0 if unknown; another value means that it
        restarted and lost its state
    :param version: version of its software; streams resume only at the version that began them
    :raises ValueError: calls can't name the endpoint, or it exceeds a message to other gateways
    """

    id: str = attrs.field(validator=_check_id)
    service: str = attrs.field(validator=_check_name)
    address: Address
    data_centre: str = attrs.field(validator=max_len(MAX_NAME_CHARS))
    slots: int = attrs.field(validator=[ge(0), le(MAX_SLOTS)])
    state: EndpointState = EndpointState.READY
    started_ms: int = attrs.field(default=0, validator=[ge(0), le(MAX_START_MS)])
    version: str = attrs.field(default="", validator=max_len(MAX_NAME_CHARS))

    @property
    def lifetime(self) -> Lifetime:
        """:return: the lifetime that the entry describes."""
        return Lifetime(self.id, self.started_ms, self.address)


@attrs.frozen
class EngineReport:
    """Load of an engine by its own account, some hundred milliseconds old.

    :param calls: running and queued calls of all gateways
    :param memory_tokens: memory in use, in tokens
    :param pending_prefill_tokens: tokens of prompts that are not processed completely; at most
    """

    calls: int
    memory_tokens: int
    pending_prefill_tokens: int


class Endpoint:
    """One endpoint: its entry, observed health and load.

    :param entry: its entry in the listing
    :param register: notices of all endpoints about themselves
    """

    def __init__(self, entry: EndpointEntry, register: NoticeRegister | None = None) -> None:
        self.entry = entry
        self._register = register or NoticeRegister()
        self.notices = self._register.find(entry.lifetime)
        self.listed_at = time.monotonic()
        self.load = Load()
        self.remote = Load()
        self._reported = ReportedLoad()
        self.pool = ChannelPool(entry.address)
        self.last_received_at = -math.inf
        self.last_failed_at = -math.inf
        self.lost_at = -math.inf
        self.cut_at = -math.inf
        self.full_until = -math.inf
        self.backoff_until = -math.inf
        self.unconfirmed_until = -math.inf
        self.removed = False
        self.reports_start = False
        self._backoff_s = UNREACHABLE_BACKOFF_S
        self._failure_rate = FailureRate()
        self.pending = PendingCalls()
        self._buffered = BufferLimit(MAX_BUFFERED_BYTES)

    @property
    def id(self) -> str:
        """:return: the endpoint's id."""
        return self.entry.id

    @property
    def is_leaving(self) -> bool:
        """:return: whether it takes no further calls in this lifetime."""
        drains = self.entry.state is not EndpointState.READY
        return self.removed or drains or self.notices.leaving_since is not None

    def is_available(self, now: float) -> bool:
        """Check whether a call may be sent to it, with a permit if it named a limit.

        :param now: monotonic seconds
        :return: whether it may
        """
        limit = self.notices.limit
        return (
            not self.removed
            and self.entry.state is EndpointState.READY
            and now >= self.backoff_until
            and now >= self.full_until
            and now >= self.notices.no_calls_until
            and (now >= limit.refused_until or limit.has_permit(now))
        )

    def record_report(self, report: EngineReport, now: float) -> None:
        """Record the engine's own account of its load.

        :param report: the report
        :param now: monotonic seconds
        """
        load = Load(report.calls, report.memory_tokens, report.pending_prefill_tokens)
        self._reported.record(load, now)

    def is_reported(self, now: float) -> bool:
        """:return: whether a recent report is known."""
        return self._reported.is_recent(now)

    def estimate_load(self, now: float) -> Load:
        """Estimate the work of all gateways here.

        :param now: monotonic seconds
        :return: by a recent report and what this gateway has added since; without one, by local
            data and the reports of other gateways
        """
        return self._reported.estimate(self.load, self.remote, now)

    def add_reserved(self, memory_tokens: int, pending_prefill_tokens: int) -> None:
        """Count a call that was assigned since the last report.

        :param memory_tokens: tokens that it takes when complete
        :param pending_prefill_tokens: tokens of its prompt that have to be processed
        """
        self._reported.add(memory_tokens, pending_prefill_tokens)

    def count_buffered(self) -> AbstractContextManager[Callable[[int], bool]]:
        """Count the bytes of one response while it is being buffered.

        :return: function that counts a part by its size; false if the limit is exceeded
        """
        return self._buffered.count()

    def silence_s(self, now: float) -> float:
        """:return: seconds without data while responses are pending; 0 if none are."""
        if not self.pending:
            return 0.0
        return now - max(self.last_received_at, self.pending.since)

    def is_heard(self, now: float) -> bool:
        """:return: whether data arrived from it just now, and no failure was known since."""
        lost_at = max(self.lost_at, self.cut_at, self.last_failed_at)
        return self.last_received_at > max(lost_at, now - HEARD_S)

    def is_silent(self, now: float) -> bool:
        """:return: whether it did not answer a probe lately and sent nothing since."""
        return self.lost_at > max(self.last_received_at, now - SILENT_MEMORY_S)

    def record_received(self, now: float) -> None:
        """Record that data arrived from it.

        :param now: monotonic seconds
        """
        self.last_received_at = now
        self._backoff_s = UNREACHABLE_BACKOFF_S
        self.backoff_until = -math.inf

    def record_unreachable(self, now: float) -> None:
        """Record a failure that is reported to other gateways, and start a backoff.

        :param now: monotonic seconds
        """
        self.last_failed_at = now
        self._back_off(now)

    def record_silent(self, now: float) -> None:
        """Record that it did not answer a probe, and start a backoff.

        :param now: monotonic seconds
        """
        self.lost_at = now
        self._back_off(now)

    def _back_off(self, now: float) -> None:
        """Take no calls for a time, which doubles with each failure."""
        if now < self.backoff_until:
            return
        self.backoff_until = now + self._backoff_s
        self._backoff_s = min(UNREACHABLE_BACKOFF_MAX_S, 2 * self._backoff_s)
        self.pool.close()

    def record_broken(self, now: float) -> None:
        """Record that it cut off a response: it may have crashed with others of its data centre.

        :param now: monotonic seconds
        """
        self.last_failed_at = now

    def record_cut(self, now: float) -> None:
        """Record that it refused or ended a connection, as one that restarts does.

        :param now: monotonic seconds
        """
        self.cut_at = now

    def record_unconfirmed(self, now: float) -> None:
        """Record that its report did not name the listed start; calls that need none go on.

        :param now: monotonic seconds
        """
        self.unconfirmed_until = now + UNCONFIRMED_BACKOFF_S

    def record_full(self, now: float) -> None:
        """Record that it rejected a call for lack of capacity.

        :param now: monotonic seconds
        """
        self.full_until = now + FULL_BACKOFF_S

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the failure rate with one outcome.

        :param now: monotonic seconds
        :param failed: whether the call failed
        """
        self._failure_rate.record(now, failed=failed)

    def failure_rate(self, now: float) -> float:
        """:return: share of recent calls that failed; decays with time."""
        return self._failure_rate.estimate(now)

    def restart(self, entry: EndpointEntry) -> None:
        """Reset the observed state after a restart.

        :param entry: its entry after the restart
        """
        self.pending.drop()
        self.pool.close()
        self.pool = ChannelPool(entry.address)
        self.entry = entry
        self.notices = self._register.find(entry.lifetime)
        self.listed_at = time.monotonic()
        self.full_until = -math.inf
        self.backoff_until = -math.inf
        self.unconfirmed_until = -math.inf
        self._backoff_s = UNREACHABLE_BACKOFF_S
        self._failure_rate = FailureRate()
        self._reported.clear()


class Reservation:
    """Capacity of one endpoint reserved for one call.

    :param endpoint: the endpoint
    :param size: tokens of the generation
    :param needs_prefill: whether the endpoint has to process the prompt first
    :param transfer_tokens: tokens of prefill that take as long as the transfer of its prompt
    """

    def __init__(
        self,
        endpoint: Endpoint,
        size: PromptSize,
        *,
        needs_prefill: bool = True,
        transfer_tokens: int = 0,
    ) -> None:
        self.endpoint = endpoint
        self._memory_tokens = size.total
        self._pending_prefill_tokens = size.prompt_tokens if needs_prefill else transfer_tokens
        self._active = True
        self._started = False
        endpoint.load.calls += 1
        endpoint.load.memory_tokens += self._memory_tokens
        endpoint.load.pending_prefill_tokens += self._pending_prefill_tokens
        endpoint.add_reserved(self._memory_tokens, self._pending_prefill_tokens)

    @property
    def pending_prefill_tokens(self) -> int:
        """:return: tokens of its prompt that it counts as work of the endpoint."""
        return self._pending_prefill_tokens

    def record_prefill_done(self) -> None:
        """Record that the first event arrived, so the prompt has been processed."""
        self.endpoint.load.pending_prefill_tokens -= self._pending_prefill_tokens
        self._pending_prefill_tokens = 0

    def record_started(self) -> None:
        """Record that events arrive."""
        self.record_prefill_done()
        if not self._started:
            self._started = True
            self.endpoint.load.started += 1

    def release(self) -> None:
        """Release the capacity; idempotent."""
        if not self._active:
            return
        self._active = False
        self.record_prefill_done()
        self.endpoint.load.started -= self._started
        self.endpoint.load.calls -= 1
        self.endpoint.load.memory_tokens -= self._memory_tokens


__all__ = [
    "Endpoint",
    "EndpointEntry",
    "EndpointState",
    "EngineReport",
    "Reservation",
]
