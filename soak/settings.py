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


@attrs.frozen
class SoakSettings:
    """Settings of one run.

    :param seed: determines all faults and requests
    :param length_s: seconds of traffic with faults
    :param gateways: number of gateway processes
    :param endpoints: number of endpoints of each of the three services
    :param callers: number of callers, each with one request at a time
    :param fault_gap_s: mean seconds between faults
    """

    seed: int = 1
    length_s: float = 10.0
    gateways: int = 3
    endpoints: int = 3
    callers: int = 12
    fault_gap_s: float = 0.6


__all__ = [
    "APPLY_S",
    "CALLER_TIMEOUT_MARGIN_S",
    "CONTACT_S",
    "DEADLINE_S",
    "DRAIN_S",
    "GRACE_S",
    "RECOVERY_S",
    "REVOKE_S",
    "SoakSettings",
]
