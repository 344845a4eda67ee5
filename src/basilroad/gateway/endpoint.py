"""What the gateway believes of one endpoint."""

from __future__ import annotations

import enum
import math
import time
from typing import TYPE_CHECKING

import attrs

from basilroad.endpoints.channels import ChannelPool

if TYPE_CHECKING:
    from basilroad.endpoints.channels import Channel
    from basilroad.gateway.call import PromptSize
    from basilroad.peers.address import Address

SUSPECT_S = 0.25
"""Seconds for which an endpoint that could not be reached is left alone, at first; less than
the second that crashed endpoints of these fleets stay away."""

SUSPECT_MAX_S = 1.0
"""Longest such pause; a retry of one call costs no more than a refused connection."""

FULL_S = 0.2
"""Seconds for which an endpoint that turned a call away counts as full; its own reports are as
old."""

FAILURE_HALF_LIFE_S = 2.0
"""Seconds after which a failure weighs half; a few calls per endpoint arrive in that time."""

FAILURE_STEP = 0.3
"""Weight of one outcome in the average of failures; three in a row count as mostly failing."""


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class EndpointEntry:
    """An endpoint as the platform lists it.

    :param id: names one endpoint
    :param service: service that it belongs to
    :param address: where it listens
    :param data_centre: where it stands
    :param slots: requests that it runs at once
    :param state: whether it takes new work
    :param started_ms: Unix milliseconds of its start, 0 if it does not say; another value means
        that it restarted and holds nothing of before
    """

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: EndpointState = EndpointState.READY
    started_ms: int = 0


@attrs.define(eq=False)
class Load:
    """Work that this gateway has at an endpoint.

    :param calls: calls that run or wait there
    :param memory_tokens: engine memory that they take in the end
    :param unread_tokens: prompt tokens of generations without a first event
    """

    calls: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0


class Endpoint:
    """One endpoint: its entry, what was seen of it, and what runs there.

    :param entry: as the platform lists it
    """

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.listed_at = time.monotonic()
        self.load = Load()
        self.remote = Load()
        self.pool = ChannelPool(entry.address)
        self.heard_at = -math.inf
        self.lost_at = -math.inf
        self.full_until = -math.inf
        self.suspect_until = -math.inf
        self.removed = False
        self._suspect_s = SUSPECT_S
        self._failing = 0.0
        self._failing_at = 0.0
        self._channels: set[Channel] = set()
        self._waited_since = 0.0

    @property
    def id(self) -> str:
        """:return: the endpoint's name."""
        return self.entry.id

    def is_available(self, now: float) -> bool:
        """:return: whether a call may be sent there."""
        return (
            not self.removed
            and self.entry.state is EndpointState.READY
            and now >= self.suspect_until
            and now >= self.full_until
        )

    def watch(self, channel: Channel, now: float) -> None:
        """Count a connection on which an answer is awaited.

        :param channel: the connection
        :param now: monotonic seconds
        """
        if not self._channels:
            self._waited_since = now
        self._channels.add(channel)

    def unwatch(self, channel: Channel) -> None:
        """Count a connection no more.

        :param channel: the connection
        """
        self._channels.discard(channel)

    def silence_s(self, now: float) -> float:
        """:return: seconds for which answers have been awaited in vain; 0 if none are."""
        if not self._channels:
            return 0.0
        return now - max(self.heard_at, self._waited_since)

    def record_heard(self, now: float) -> None:
        """Note that bytes arrived from it.

        :param now: monotonic seconds
        """
        self.heard_at = now
        self._suspect_s = SUSPECT_S
        self.suspect_until = -math.inf

    def record_unreachable(self, now: float) -> None:
        """Leave it alone for a while, longer each time.

        :param now: monotonic seconds
        """
        self.lost_at = now
        if now < self.suspect_until:
            return
        self.suspect_until = now + self._suspect_s
        self._suspect_s = min(SUSPECT_MAX_S, 2 * self._suspect_s)
        self.pool.close()

    def record_broken(self, now: float) -> None:
        """Note that it broke off an answer: it may have crashed, and others beside it.

        :param now: monotonic seconds
        """
        self.lost_at = now

    def record_full(self, now: float) -> None:
        """Note that it turned a call away.

        :param now: monotonic seconds
        """
        self.full_until = now + FULL_S

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Count one outcome in the average of failures.

        :param now: monotonic seconds
        :param failed: whether the call failed there
        """
        average = self.failing(now)
        self._failing = average + FAILURE_STEP * (float(failed) - average)
        self._failing_at = now

    def failing(self, now: float) -> float:
        """:return: share of recent calls that failed there; fades with time."""
        age_s = now - self._failing_at
        return self._failing * math.exp2(-age_s / FAILURE_HALF_LIFE_S)

    def declare_lost(self, now: float) -> None:
        """End all that runs there: it is gone or silent.

        :param now: monotonic seconds
        """
        self.record_unreachable(now)
        self._drop_channels()

    def restart(self, entry: EndpointEntry) -> None:
        """Forget what was seen of an earlier life.

        :param entry: as the platform lists the new life
        """
        self._drop_channels()
        self.pool.close()
        self.pool = ChannelPool(entry.address)
        self.entry = entry
        self.listed_at = time.monotonic()
        self.full_until = -math.inf
        self.suspect_until = -math.inf
        self._suspect_s = SUSPECT_S
        self._failing = 0.0

    def _drop_channels(self) -> None:
        for channel in list(self._channels):
            channel.close()


class Reservation:
    """Capacity of one endpoint that one call takes.

    :param endpoint: where
    :param size: tokens of the generation
    :param reads_prompt: whether the endpoint has to read the prompt first
    """

    def __init__(self, endpoint: Endpoint, size: PromptSize, *, reads_prompt: bool = True) -> None:
        self.endpoint = endpoint
        self._memory = size.total
        self._unread = size.prompt_tokens if reads_prompt else 0
        self._held = True
        endpoint.load.calls += 1
        endpoint.load.memory_tokens += self._memory
        endpoint.load.unread_tokens += self._unread

    def record_read(self) -> None:
        """Note that the prompt has been read: the first event came."""
        self.endpoint.load.unread_tokens -= self._unread
        self._unread = 0

    def release(self) -> None:
        """Give the capacity back; more than once does no harm."""
        if not self._held:
            return
        self._held = False
        self.record_read()
        self.endpoint.load.calls -= 1
        self.endpoint.load.memory_tokens -= self._memory


__all__ = ["Endpoint", "EndpointEntry", "EndpointState", "Load", "Reservation"]
