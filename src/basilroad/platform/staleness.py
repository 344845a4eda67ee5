"""Time after which what a gateway knows of the store counts as out of date, and how it is spent.

A gateway that received no change can't know whether there was none or whether its
connection to the store fell silent. The steps from a silent connection to a change that is known
add up to the bounds of the platform:

- the pause after a change, the wait of a long poll and the allowance for its response end at most
  ``silence_s`` after the last response on the connection;
- what is left of ``contact_s`` is for the read on a new connection and for the relay of its result.

The followers of a reader are held to the shorter limits of draining and of the config all the
while, as nothing happens to them when their reader is cut off from the store. For them the kernel's
probes of the reader's connections (``KeepAlive.limit_s``), its withdrawal (one interval of gossip)
and the check and the read of a follower add up.

A store that closes a connection, or whose history is gone, isn't lost: its reader has ``reread_s``
to read again before it withdraws.
"""

from __future__ import annotations

import attrs

REREAD_RESERVE_S = 0.5
"""Part of the contact limit that is left to read again and to inform followers: a connection
between regions, a full read and a datagram take about 0.2 s."""

RESPONSE_ALLOWANCE_S = 0.6
"""Time allowed for the response to a long poll beyond the requested wait."""

MIN_POLL_S = 0.5
"""Shortest wait of a long poll, whatever the bounds are; requests to the store are billed."""

DRAIN_PAUSE_SHARE = 0.4
"""Maximum share of the drain limit that a pause may take; the rest is left for a read and for
calls in flight."""


DRAIN_REREAD_SHARE = 0.4
"""Share of the drain limit that a reader may take to read again; the rest is left for the read of
its followers after a withdrawal and for calls in flight."""


@attrs.frozen
class StalenessBudget:
    """Time limits of the watches on the store.

    :param contact_s: seconds after a disturbance from which a host is held to all other bounds
    :param drain_s: seconds within which a draining endpoint must stop receiving calls
    """

    contact_s: float
    drain_s: float

    @property
    def silence_s(self) -> float:
        """:return: seconds after the last response at which a poll without one is given up."""
        return max(MIN_POLL_S + RESPONSE_ALLOWANCE_S, self.contact_s - REREAD_RESERVE_S)

    @property
    def reread_s(self) -> float:
        """:return: seconds after a lost poll at which a reader that hasn't read again withdraws."""
        return DRAIN_REREAD_SHARE * self.drain_s

    def limit_poll(self, wait_s: float, since_response_s: float) -> float:
        """Limit the wait of a long poll.

        :param wait_s: wanted wait in seconds
        :param since_response_s: seconds since the last response on the connection
        :return: wait in seconds after which a silent connection is noticed in time
        """
        left_s = self.silence_s - RESPONSE_ALLOWANCE_S - since_response_s
        return min(wait_s, max(MIN_POLL_S, left_s))

    def limit_pause(self, pause_s: float) -> float:
        """Limit the pause after a change.

        :param pause_s: wanted pause in seconds
        :return: pause in seconds
        """
        left_s = max(0.0, self.silence_s - RESPONSE_ALLOWANCE_S - MIN_POLL_S)
        return min(pause_s, DRAIN_PAUSE_SHARE * self.drain_s, left_s)


__all__ = [
    "DRAIN_PAUSE_SHARE",
    "DRAIN_REREAD_SHARE",
    "MIN_POLL_S",
    "REREAD_RESERVE_S",
    "RESPONSE_ALLOWANCE_S",
    "StalenessBudget",
]
