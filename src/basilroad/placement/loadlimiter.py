"""Rate limit of model loads, to protect the weight store."""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

import attrs

from basilroad.placement.plan import Action, Change


@attrs.frozen(kw_only=True)
class LoadRateSettings:
    """Rate limit of model loads.

    :param loads_per_s: loads per second in the whole fleet
    :param burst: loads that may be started at once
    """

    loads_per_s: float = 1.0
    burst: int = 2


class LoadRateLimiter:
    """Token bucket for model loads, round robin over the data centres.

    :param settings: rate and burst
    :param clock: monotonic time, in seconds
    """

    def __init__(
        self, settings: LoadRateSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._tokens = float(settings.burst)
        self._refilled_s = clock()

    def admit(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Choose the changes to carry out now; a later plan repeats the others.

        :param changes: by priority, highest first
        :return: all unloads, and as many loads as the rate allows
        """
        self._refill()
        loads = _interleave_data_centres([c for c in changes if c.action is Action.LOAD])
        granted = loads[: int(self._tokens)]
        self._tokens -= len(granted)
        return (*(c for c in changes if c.action is not Action.LOAD), *granted)

    def _refill(self) -> None:
        now = self._clock()
        gained = (now - self._refilled_s) * self.settings.loads_per_s
        self._tokens = min(self._tokens + gained, float(self.settings.burst))
        self._refilled_s = now


def _interleave_data_centres(changes: list[Change]) -> list[Change]:
    queues: dict[str, deque[Change]] = defaultdict(deque)
    for change in changes:
        queues[change.data_centre].append(change)
    ordered: list[Change] = []
    while queues:
        for name in list(queues):
            ordered.append(queues[name].popleft())
            if not queues[name]:
                del queues[name]
    return ordered


__all__ = ["LoadRateLimiter", "LoadRateSettings"]
