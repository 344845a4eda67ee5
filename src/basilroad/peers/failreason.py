"""Reasons for the failure of an attempt."""

from __future__ import annotations

import enum


class FailReason(enum.Enum):
    """Why an agent ended an attempt; determines how the entry continues."""

    BUSY = "busy"
    """No slot was free; the request did not run."""
    DRAINING = "draining"
    """The endpoint accepts no new work; the request did not run."""
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    """The agent has no such endpoint, model or version; the request did not run."""
    ENDPOINT_DIED = "endpoint_died"
    """The endpoint refused, reset or closed the connection."""
    ENDPOINT_SILENT = "endpoint_silent"
    """The endpoint stopped sending tokens."""
    ENDPOINT_REFUSED = "endpoint_refused"
    """The endpoint refused this request; others are not affected."""
    PREEMPTED = "preempted"
    """A request of a more urgent rank took the slot."""
    MOVED = "moved"
    """The drain exceeded its time limit, so the request moves to another endpoint."""
    CANCELLED = "cancelled"
    """The entry cancelled the attempt."""
    LINK_LOST = "link_lost"
    """The entry lost its connection to the agent; set by the entry."""
    STALE = "stale"
    """A later attempt exists."""


NOT_STARTED_REASONS = frozenset(
    {FailReason.BUSY, FailReason.DRAINING, FailReason.UNKNOWN_ENDPOINT, FailReason.STALE}
)
"""Reasons for which the attempt never started."""

ENDPOINT_DEATH_REASONS = frozenset(
    {FailReason.ENDPOINT_DIED, FailReason.ENDPOINT_SILENT, FailReason.LINK_LOST}
)
"""Failures of the endpoint or of the link to its agent; the caller sees a short stall at most."""


__all__ = ["ENDPOINT_DEATH_REASONS", "NOT_STARTED_REASONS", "FailReason"]
