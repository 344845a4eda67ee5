"""Reasons for which an attempt ends without its answer."""

from __future__ import annotations

import enum


class FailReason(enum.Enum):
    """Why an agent ended an attempt; tells the entry what to do next."""

    BUSY = "busy"
    """No slot was free; nothing ran."""
    DRAINING = "draining"
    """The endpoint takes no new work; nothing ran."""
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    """The agent has no such endpoint, model or version; nothing ran."""
    ENDPOINT_DIED = "endpoint_died"
    """The endpoint closed its connections."""
    ENDPOINT_SILENT = "endpoint_silent"
    """The endpoint stopped sending tokens."""
    ENDPOINT_REFUSED = "endpoint_refused"
    """The endpoint refused this request alone."""
    PREEMPTED = "preempted"
    """More urgent work took the slot."""
    MOVED = "moved"
    """A drain ran past its limit."""
    CANCELLED = "cancelled"
    """The entry asked for it."""
    LINK_LOST = "link_lost"
    """The entry lost the agent; set by the entry itself."""
    STALE = "stale"
    """A later attempt is known."""


NOT_STARTED_REASONS = frozenset(
    {FailReason.BUSY, FailReason.DRAINING, FailReason.UNKNOWN_ENDPOINT, FailReason.STALE}
)
"""Reasons that say that the attempt never began."""

ENDPOINT_DEATH_REASONS = frozenset(
    {FailReason.ENDPOINT_DIED, FailReason.ENDPOINT_SILENT, FailReason.LINK_LOST}
)
"""Reasons that a caller must not notice beyond a short silence."""


__all__ = ["ENDPOINT_DEATH_REASONS", "NOT_STARTED_REASONS", "FailReason"]
