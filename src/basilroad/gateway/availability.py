"""Whether waiting for an endpoint is of use while endpoints of a service want no requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.endpoint import EndpointState

if TYPE_CHECKING:
    from basilroad.gateway.endpoint import Endpoint


@attrs.frozen
class ServicePause:
    """All endpoints of a service that do not leave want no requests.

    :param until: monotonic seconds at which the first pause ends
    :param paused: number of endpoints that want no requests
    :param leaving: number of endpoints that leave
    """

    until: float
    paused: int
    leaving: int

    def outlasts(self, wait_until: float) -> bool:
        """:return: whether no endpoint takes calls within a waiting limit in monotonic seconds."""
        return self.until >= wait_until

    def describe(self) -> str:
        """:return: text for the caller and the log."""
        return f"no endpoint takes calls now: {self.paused} paused, {self.leaving} leaving"


def find_service_pause(
    endpoints: Iterable[Endpoint], now: float, avoid: Collection[str] = ()
) -> ServicePause | None:
    """Find out whether all endpoints of a service want no requests.

    :param endpoints: listed endpoints of the service
    :param now: monotonic seconds
    :param avoid: excluded endpoints; their pauses count all the same, as they are used in the end
        when no other one is
    :return: the pause; ``None`` if no endpoint wants that, or if another one is usable, full or
        unreachable
    """
    until: list[float] = []
    leaving = 0
    for endpoint in endpoints:
        if endpoint.removed:
            continue
        notices = endpoint.notices
        if endpoint.entry.state is not EndpointState.READY or notices.leaving_since is not None:
            leaving += 1
        elif now < notices.paused_until:
            until.append(notices.paused_until)
        elif endpoint.id not in avoid:
            return None
    return ServicePause(min(until), len(until), leaving) if until else None


__all__ = ["ServicePause", "find_service_pause"]
