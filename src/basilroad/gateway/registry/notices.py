"""Notices of endpoints about themselves: that they leave, want no requests for a while, or few."""

from __future__ import annotations

import enum
import logging
import math
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING
from weakref import WeakValueDictionary

import attrs

from basilroad.gateway.registry.limits import EndpointLimit, NamedLimit

if TYPE_CHECKING:
    from basilroad.peers.address import Address

MAX_PAUSE_S = 60.0
"""Longest pause that an endpoint may ask for; a mistaken value does not cost a sound endpoint for
longer."""

RETURN_SPREAD_SHARE = 0.1
"""Largest part of a pause that is added to it at random, so that gateways return at different
times."""

RETURN_SPREAD_MAX_S = 0.4
"""Upper limit of that addition: several round trips, and less than the target of a short call."""

MAX_REMEMBERED = 1024
"""Endpoints whose notices are kept while they are not listed; fleets have hundreds of servers."""

UNKNOWN_START_MEMORY_S = 120.0
"""Time for which an unlisted endpoint without a known start is remembered as leaving: a restart at
the same address can't be distinguished from it."""

LEAVING_REPORT_S = 30.0
"""Time for which a notice of leaving is sent to other gateways; most endpoints exit earlier."""

MAX_LEAVING_SENT = 16
"""Leaving endpoints per datagram, about a third of its size."""

LIMIT_REPORT_S = 30.0
"""Time after a response for which its limit is sent to other gateways."""

MAX_LIMITS_SENT = 8
"""Limits per datagram, about a sixth of its size."""

_LOGGER = logging.getLogger(__name__)


class Purpose(enum.Enum):
    """What a request to an endpoint is for; the value names the response to it."""

    CALL = "answer"
    REPORT = "report"
    PROBE = "probe"
    START = "start"


class Source(enum.Enum):
    """Origin of a notice: from a response to a request of this gateway, or by gossip."""

    ANSWER = Purpose.CALL.value
    REPORT = Purpose.REPORT.value
    PROBE = Purpose.PROBE.value
    START = Purpose.START.value
    GOSSIP = "gossip"


@attrs.frozen
class Notice:
    """Notice of an endpoint in one of its responses.

    :param leaving: whether it will exit and wants no further calls
    :param pause_s: seconds for which it wants no requests of this gateway; ``None`` without a pause
    """

    leaving: bool = False
    pause_s: float | None = None


@attrs.frozen
class Lifetime:
    """One lifetime of an endpoint, from its start to its exit.

    :param id: id of the endpoint
    :param started_ms: start time in Unix milliseconds, 0 if unknown
    :param address: its listening address
    """

    id: str
    started_ms: int
    address: Address


@attrs.define(eq=False)
class EndpointNotices:
    """Notices of one lifetime of an endpoint, which decide whether it may be sent a request.

    :param lifetime: the lifetime
    :param register: register that keeps them while the endpoint is not listed
    :param leaving_since: monotonic seconds at which it was first known to leave; ``None`` if not
    :param leaving_source: origin of that notice
    :param paused_until: monotonic seconds until which it wants no requests
    :param paused_since: monotonic seconds at which the current pause was last asked for
    :param pause_source: origin of that notice
    :param no_calls_until: monotonic seconds until which it wants no calls for either reason
    :param probed: whether a probe was sent during the current pause
    :param limit: limit that it named for all gateways together
    """

    lifetime: Lifetime
    register: NoticeRegister
    leaving_since: float | None = None
    leaving_source: Source = Source.ANSWER
    paused_until: float = -math.inf
    paused_since: float = -math.inf
    pause_source: Source = Source.ANSWER
    no_calls_until: float = -math.inf
    probed: bool = False
    limit: EndpointLimit = attrs.field(factory=EndpointLimit)

    def permits(self, purpose: Purpose, now: float) -> bool:
        """Check whether a request may be sent; all senders ask this, just before they send.

        ``Endpoint.is_available``, which choosers ask for each endpoint, reads ``no_calls_until``.
        A leaving endpoint that still runs streams may be probed. During a pause one probe is
        allowed, so that the streams of an endpoint that died meanwhile resume elsewhere. Calls to
        an endpoint that named a limit have their permit when they are placed, and a check of its
        start uses that of its call; a probe needs one, and reports leave them to calls.

        :param purpose: what the request is for
        :param now: monotonic seconds
        :return: whether it may be sent
        """
        if purpose is Purpose.REPORT and self.limit.is_in_force(now):
            return False
        if purpose is Purpose.PROBE and not self.limit.has_permit(now):
            return False
        if now >= self.no_calls_until:
            return True
        return purpose is Purpose.PROBE and (now >= self.paused_until or not self.probed)

    def record_probe(self) -> None:
        """Record that a probe is sent, and use a permit if it needs one."""
        self.probed = True
        self.limit.take_permit(self.register.clock())

    def record_limit(self, named: NamedLimit, source: Source, now: float) -> None:
        """Record the limit of the endpoint that a response named.

        :param named: the limit
        :param source: its origin
        :param now: monotonic seconds
        """
        if not self.limit.record(named, now, self.register.generator):
            return
        self.register.add_limited(self)
        if math.isfinite(named.per_s):
            self.register.keep(self, "limit", source)
            _LOGGER.info("endpoint limited", extra=_describe_limit(self, source, now))
        else:
            self.register.keep(self, "limit end", source)
            _LOGGER.info("limit ended", extra=_describe_limit(self, source, now))

    def record(self, notice: Notice, source: Source, now: float) -> None:
        """Record the notice of a response; a response without one revokes nothing.

        :param notice: the notice
        :param source: which response it was
        :param now: monotonic seconds
        """
        if notice.leaving:
            self.record_leaving(source, now)
        if notice.pause_s is not None:
            self._record_pause(notice.pause_s, source, now)

    def record_leaving(self, source: Source, since: float) -> None:
        """Record that the endpoint leaves; this holds to the end of its lifetime.

        :param source: its origin
        :param since: monotonic seconds at which it was known first
        """
        if self.leaving_since is not None:
            return
        self.leaving_since, self.leaving_source = since, source
        self.no_calls_until = math.inf
        self.register.keep(self, "leaving", source)
        self.register.add_reported(self, since)
        _LOGGER.info(
            "endpoint leaving",
            extra={
                "endpoint": self.lifetime.id,
                "address": str(self.lifetime.address),
                "source": source.value,
                "age_ms": round(1000 * (self.register.clock() - since)),
            },
        )

    def _record_pause(self, pause_s: float, source: Source, now: float) -> None:
        until = now + self.register.extend_pause(pause_s)
        if now >= self.paused_until:
            self.probed = False
        if until <= self.paused_until:
            return
        self.paused_until, self.paused_since, self.pause_source = until, now, source
        self.no_calls_until = max(self.no_calls_until, until)
        self.register.keep(self, "pause", source)
        _LOGGER.info(
            "endpoint paused",
            extra={
                "endpoint": self.lifetime.id,
                "address": str(self.lifetime.address),
                "source": source.value,
                "asked_ms": round(1000 * pause_s),
                "left_ms": round(1000 * (until - now)),
            },
        )

    def describe(self, now: float) -> dict[str, object]:
        """:return: why it gets no calls, with the origin and age of the notice, for the log."""
        if self.leaving_since is not None:
            return {
                "endpoint": self.lifetime.id,
                "reason": "leaving",
                "source": self.leaving_source.value,
                "age_ms": round(1000 * (now - self.leaving_since)),
            }
        if now >= self.paused_until:
            return {
                "endpoint": self.lifetime.id,
                "reason": "limited",
                "per_s": round(self.limit.per_s, 3),
                "age_ms": round(1000 * self.limit.named.age_s(now)),
                "left_ms": round(1000 * (self.limit.refused_until - now)),
            }
        return {
            "endpoint": self.lifetime.id,
            "reason": "paused",
            "source": self.pause_source.value,
            "age_ms": round(1000 * (now - self.paused_since)),
            "left_ms": round(1000 * (self.paused_until - now)),
        }


def _describe_limit(notices: EndpointNotices, source: Source, now: float) -> dict[str, object]:
    return {
        "endpoint": notices.lifetime.id,
        "address": str(notices.lifetime.address),
        "source": source.value,
        "per_s": round(notices.limit.per_s, 3),
        "age_ms": round(1000 * notices.limit.named.age_s(now)),
    }


class NoticeRegister:
    """Notices by lifetime, which outlast the listing of an endpoint.

    :param generator: random number generator
    :param count: called with the kind and origin of each new notice
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        generator: random.Random | None = None,
        count: Callable[[str, Source], None] = lambda _kind, _source: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.generator = generator or random.Random()
        self._count = count
        self._known: WeakValueDictionary[Lifetime, EndpointNotices] = WeakValueDictionary()
        self._kept: OrderedDict[Lifetime, EndpointNotices] = OrderedDict()
        self._recent: deque[tuple[Lifetime, float]] = deque(maxlen=MAX_LEAVING_SENT)
        self._limited: OrderedDict[Lifetime, EndpointNotices] = OrderedDict()

    @property
    def has_any(self) -> bool:
        """:return: whether any notice is kept, also one that is over."""
        return bool(self._kept)

    def find(self, lifetime: Lifetime) -> EndpointNotices:
        """Find the notices of a lifetime.

        :param lifetime: lifetime of an endpoint that is newly listed or has restarted
        :return: its notices, the same ones as before if it was known
        """
        found = self._known.get(lifetime)
        if found is not None and self._is_outdated(found):
            del self._kept[lifetime]
            found = None
        if found is None:
            found = self._known[lifetime] = EndpointNotices(lifetime, self)
        return found

    def _is_outdated(self, notices: EndpointNotices) -> bool:
        if notices.lifetime.started_ms or notices.lifetime not in self._kept:
            return False
        since = notices.leaving_since
        return since is not None and self.clock() - since > UNKNOWN_START_MEMORY_S

    def keep(self, notices: EndpointNotices, kind: str, source: Source) -> None:
        """Keep notices and count the new one.

        :param notices: notices of one lifetime
        :param kind: kind of the new one
        :param source: its origin
        """
        self._count(kind, source)
        self._kept[notices.lifetime] = notices
        self._kept.move_to_end(notices.lifetime)
        while len(self._kept) > MAX_REMEMBERED:
            # those of listed endpoints are held by the endpoints too
            self._kept.popitem(last=False)

    def add_reported(self, notices: EndpointNotices, since: float) -> None:
        """Report to other gateways that an endpoint leaves, if its lifetime can be named.

        :param notices: its notices
        :param since: monotonic seconds at which it was known first
        """
        if notices.lifetime.started_ms:
            self._recent.append((notices.lifetime, since))

    def add_limited(self, notices: EndpointNotices) -> None:
        """Report the limit of an endpoint to other gateways, if its lifetime can be named.

        :param notices: its notices
        """
        if notices.lifetime.started_ms:
            self._limited[notices.lifetime] = notices
            self._limited.move_to_end(notices.lifetime)
        while len(self._limited) > MAX_LIMITS_SENT:
            self._limited.popitem(last=False)

    def list_limited(self, now: float) -> list[EndpointNotices]:
        """List the notices whose limit is sent to other gateways.

        :param now: monotonic seconds
        :return: those of endpoints whose limit began, changed or ended last
        """
        return [n for n in self._limited.values() if n.limit.named.age_s(now) <= LIMIT_REPORT_S]

    def extend_pause(self, pause_s: float) -> float:
        """:return: length of a pause with a random addition, in seconds."""
        pause_s = min(MAX_PAUSE_S, pause_s)
        spread_s = min(RETURN_SPREAD_MAX_S, RETURN_SPREAD_SHARE * pause_s)
        return pause_s + self.generator.uniform(0, spread_s)

    def list_leaving(self, now: float) -> dict[str, tuple[int, int]]:
        """List the notices that are sent to other gateways.

        :param now: monotonic seconds
        :return: start time and age of the notice, both in milliseconds, by id of the endpoints that
            leave; the newest, if there are many
        """
        return {
            lifetime.id: (lifetime.started_ms, max(0, round(1000 * (now - since))))
            for lifetime, since in self._recent
            if now - since <= LEAVING_REPORT_S
        }


__all__ = [
    "LEAVING_REPORT_S",
    "LIMIT_REPORT_S",
    "MAX_LEAVING_SENT",
    "MAX_LIMITS_SENT",
    "MAX_PAUSE_S",
    "MAX_REMEMBERED",
    "RETURN_SPREAD_MAX_S",
    "RETURN_SPREAD_SHARE",
    "UNKNOWN_START_MEMORY_S",
    "EndpointNotices",
    "Lifetime",
    "Notice",
    "NoticeRegister",
    "Purpose",
    "Source",
]
