"""Limits that endpoints in need name for the requests of all gateways together."""

from __future__ import annotations

import math
import random
from collections import deque
from weakref import WeakKeyDictionary

import attrs

PERMIT_VALIDITY_S = 0.3
"""Time for which a permit may be used; calls ask for it when they are placed."""

RETURN_SPREAD_S = 4.0
"""Time after the end of a limit within which gateways return to an endpoint, each at a moment of
its own."""


@attrs.frozen
class NamedLimit:
    """Limit of an endpoint that one of its responses named.

    :param per_s: requests a second of all gateways together; infinite if none was named
    :param asked_at: monotonic seconds at which the request of the response was sent
    """

    per_s: float
    asked_at: float

    def age_s(self, now: float) -> float:
        """:return: seconds since the request was sent."""
        return max(0.0, now - self.asked_at)


@attrs.define(eq=False)
class EndpointLimit:
    """Limit of one lifetime of an endpoint, and the permits of this gateway for requests to it.

    :param named: the limit in the response to the newest request
    :param per_s: the last limit, in force until ``ends_at``; infinite without one
    :param ends_at: monotonic seconds at which this gateway returns after the end of the limit
    :param refused_until: monotonic seconds until which no permit is to be had
    :param interval_s: seconds between permits of this gateway, as far as they are known
    """

    named: NamedLimit = NamedLimit(math.inf, -math.inf)
    per_s: float = math.inf
    ends_at: float = -math.inf
    refused_until: float = -math.inf
    interval_s: float = 0.0
    _permits: deque[float] = attrs.field(factory=deque)
    _used: WeakKeyDictionary[object, float] = attrs.field(factory=WeakKeyDictionary)

    def is_in_force(self, now: float) -> bool:
        """:return: whether requests need a permit."""
        return now < self.ends_at

    def has_permit(self, now: float) -> bool:
        """:return: whether a request may be sent at once."""
        if now >= self.ends_at:
            return True
        while self._permits and self._permits[0] <= now:
            self._permits.popleft()
        return bool(self._permits)

    def is_refused(self, now: float) -> bool:
        """:return: whether no permit is in hand or to be had now."""
        return now < self.refused_until and not self.has_permit(now)

    def take_permit(self, now: float, user: object = None) -> bool:
        """Use a permit.

        :param now: monotonic seconds
        :param user: what may give it back; ``None`` if nothing does
        :return: whether there was one, or none is needed
        """
        if now >= self.ends_at:
            return True
        if not self.has_permit(now):
            return False
        expires_at = self._permits.popleft()
        if user is not None:
            self._used[user] = expires_at
        return True

    def give_back(self, user: object) -> None:
        """Give a permit back for which no request was sent; it lapses when it would have.

        :param user: what took it; without one, nothing is given back
        """
        expires_at = self._used.pop(user, None)
        if expires_at is not None:
            self._permits.appendleft(expires_at)

    def add_permit(self, now: float) -> None:
        """Add a permit of this gateway.

        :param now: monotonic seconds
        """
        self._permits.append(now + PERMIT_VALIDITY_S)

    def record_refused(self, wait_s: float, now: float) -> None:
        """Record that no permit is to be had for a time.

        :param wait_s: seconds until the next one
        :param now: monotonic seconds
        """
        self.refused_until, self.interval_s = now + wait_s, wait_s

    def record(self, named: NamedLimit, now: float, generator: random.Random) -> bool:
        """Record the limit that a response named, unless a response to a later request is known.

        :param named: the limit
        :param now: monotonic seconds
        :param generator: random number generator
        :return: whether a limit began, changed or ended
        """
        if named.asked_at < self.named.asked_at:
            return False
        before, self.named = self.named, named
        if named.per_s == before.per_s:
            return False
        if math.isfinite(named.per_s):
            self.per_s, self.ends_at = named.per_s, math.inf
        else:
            self.ends_at = now + generator.uniform(0, RETURN_SPREAD_S)
        return True


__all__ = ["PERMIT_VALIDITY_S", "RETURN_SPREAD_S", "EndpointLimit", "NamedLimit"]
