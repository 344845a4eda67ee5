"""Settings and time limits of a run."""

from __future__ import annotations

import attrs

REVOKE_S = 3.0
"""Seconds after which requests with a revoked key no longer run; shorter than specified for
the fleets, so that short runs cover it."""

CONTACT_S = 4.0
"""Seconds after a disturbance from which the other bounds hold, as specified for the fleets."""

DRAIN_S = 2.0
"""Seconds after which a draining endpoint gets no more calls; shorter than specified for
the fleets, so that short runs cover it."""

APPLY_S = 2.5
"""Seconds after which a new config is applied, as specified for the fleets."""

GRACE_S = 4.0
"""Grace period of a stop in seconds; longer than any call of the soak."""

RECOVERY_S = 4.0
"""Seconds after a fault until time limits hold again, as specified for the fleets."""

DEADLINE_S = 3.0
"""Deadline of each request in seconds."""

CALLER_TIMEOUT_MARGIN_S = 2.0
"""Seconds after the deadline at which a caller stops waiting for a response."""

STREAM_TIME_S = 10.0
"""Seconds from a stream's request after which its caller takes it up no more."""

SERVICE_COUNT = 3
ENGINE_POSITION = 2
"""Position of the engines' service among the services."""

RELEASED_ENGINES = 6
"""Engines beyond those of each service, so that some serve at each of several software
versions while faults keep others from it."""

STREAM_CALLERS = 8


@attrs.frozen
class SoakSettings:
    """Settings of one run.

    :param seed: determines all faults and requests
    :param length_s: seconds of traffic with faults
    :param gateways: number of gateway processes
    :param endpoints: number of endpoints of each of the three services
    :param callers: number of callers, each with one request at a time
    :param fault_gap_s: mean seconds between faults
    :param has_releases: whether engines are released, all gateways killed at once, and streams that
        broke off taken up by their callers
    :param has_pauses: whether, beside releases, half of the engines fall silent at once
    """

    seed: int = 1
    length_s: float = 10.0
    gateways: int = 3
    endpoints: int = 3
    callers: int = 12
    fault_gap_s: float = 0.6
    has_releases: bool = True
    has_pauses: bool = True

    @property
    def stream_callers(self) -> int:
        """:return: number of callers that send streams only, so that some are always under way."""
        return STREAM_CALLERS if self.has_releases else 0

    def list_engines(self) -> list[int]:
        """:return: numbers of the endpoints that are engines."""
        own = range(ENGINE_POSITION, SERVICE_COUNT * self.endpoints, SERVICE_COUNT)
        return [*own, *self.list_released_engines()]

    def list_released_engines(self) -> list[int]:
        """:return: numbers of the engines beyond those of each service, only beside releases."""
        first = SERVICE_COUNT * self.endpoints
        return list(range(first, first + RELEASED_ENGINES)) if self.has_releases else []


__all__ = [
    "APPLY_S",
    "CALLER_TIMEOUT_MARGIN_S",
    "CONTACT_S",
    "DEADLINE_S",
    "DRAIN_S",
    "ENGINE_POSITION",
    "GRACE_S",
    "RECOVERY_S",
    "REVOKE_S",
    "SERVICE_COUNT",
    "STREAM_TIME_S",
    "SoakSettings",
]
