"""Whether waiting for an endpoint is of use while endpoints of a service want no requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.registry.endpoint import Endpoint


@attrs.frozen
class ServicePause:
    """All endpoints of a service that do not leave want no requests.

    :param until: monotonic seconds at which the first pause ends
    :param paused: number of endpoints that want no requests
    :param leaving: number of endpoints that leave
    :param limited: number of endpoints of which no permit is to be had
    :param interval_s: seconds between permits of this gateway, 0 if calls need none
    """

    until: float
    paused: int
    leaving: int
    limited: int = 0
    interval_s: float = 0.0

    def outlasts(self, wait_until: float) -> bool:
        """:return: whether no endpoint takes calls within a waiting limit in monotonic seconds."""
        return self.until >= wait_until

    def after(self, ahead: int) -> ServicePause:
        """:return: the pause for a call that is served after some others."""
        return attrs.evolve(self, until=self.until + ahead * self.interval_s)

    def describe(self) -> str:
        """:return: text for the caller and the log."""
        text = f"no endpoint takes calls now: {self.paused} paused, {self.leaving} leaving"
        return f"{text}, {self.limited} limited" if self.limited else text


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
    paused_until: list[float] = []
    refused_until: list[float] = []
    permits_per_s = 0.0
    leaving = 0
    for endpoint in endpoints:
        if endpoint.removed:
            continue
        notices = endpoint.notices
        if endpoint.is_leaving:
            leaving += 1
        elif now < notices.paused_until:
            paused_until.append(notices.paused_until)
        elif notices.limit.is_refused(now):
            refused_until.append(notices.limit.refused_until)
            permits_per_s += 1 / notices.limit.interval_s
        elif endpoint.id not in avoid:
            return None
    if not paused_until and not refused_until:
        return None
    return ServicePause(
        min(paused_until + refused_until),
        len(paused_until),
        leaving,
        len(refused_until),
        1 / permits_per_s if permits_per_s else 0.0,
    )


__all__ = ["ServicePause", "find_service_pause"]
