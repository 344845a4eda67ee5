"""Loads at no higher rate than the weight store gives."""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

import attrs

from basilroad.placement.plan import Action, Change


@attrs.frozen(kw_only=True)
class LoadRateSettings:
    """How fast loads are ordered.

    :param loads_per_s: loads a second of the whole fleet
    :param burst: loads that may be ordered at once
    """

    loads_per_s: float = 1.0
    burst: int = 2


class LoadRateLimiter:
    """Lets a few loads through at a time, in turn from each data centre.

    :param settings: how fast
    :param clock: seconds that only grow
    """

    def __init__(
        self, settings: LoadRateSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._tokens = float(settings.burst)
        self._filled_s = clock()

    def admit(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Choose what may be ordered now; what is left out comes with a later plan.

        :param changes: the most important first
        :return: all that load nothing, and as many loads as the rate gives
        """
        self._fill()
        loads = _take_turns([c for c in changes if c.action is Action.LOAD])
        granted = loads[: int(self._tokens)]
        self._tokens -= len(granted)
        return (*(c for c in changes if c.action is not Action.LOAD), *granted)

    def _fill(self) -> None:
        now = self._clock()
        gained = (now - self._filled_s) * self.settings.loads_per_s
        self._tokens = min(self._tokens + gained, float(self.settings.burst))
        self._filled_s = now


def _take_turns(changes: list[Change]) -> list[Change]:
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
