"""Faults and planned work of one run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from basilroad.standin.appserver import WireFault
from soak.settings import SoakSettings

SPOILED = (
    WireFault.TURN_AWAY,
    WireFault.MISDIRECT,
    WireFault.FAIL,
    WireFault.LOSE_ANSWER,
    WireFault.RESET,
    WireFault.OTHER_ID,
    WireFault.EXTRA_ANSWER,
    WireFault.UNFRAMED_RESET,
    WireFault.CUT,
    WireFault.GARBAGE,
)

STORE_LINK = "store"
ENDPOINT_LINK = "endpoint"


@attrs.frozen
class Fault:
    """Something that happens at a moment of a run.

    :param at_s: seconds from the start of traffic
    :param target: number of the gateway or endpoint that is meant
    :param for_s: how long it lasts; 0 for an instant
    """

    at_s: float
    target: int
    for_s: float


@attrs.frozen
class KillGateway(Fault):
    """SIGKILL; it starts again after the duration."""


@attrs.frozen
class PauseGateway(Fault):
    """SIGSTOP, then SIGCONT."""


@attrs.frozen
class StopGateway(Fault):
    """SIGTERM; it starts again when it has ended. Planned work."""


@attrs.frozen
class ReloadGateway(Fault):
    """SIGHUP. Planned work."""


@attrs.frozen
class DelayLink(Fault):
    """Bytes of a link arrive later.

    :param link: which kind of link
    """

    link: str


@attrs.frozen
class HoldLink(Fault):
    """Bytes of a link do not arrive, in one direction or both.

    :param link: which kind of link
    :param to_target: whether requests are held
    :param from_target: whether answers are held
    """

    link: str
    to_target: bool
    from_target: bool


@attrs.frozen
class ResetLink(Fault):
    """All connections of a link are reset.

    :param link: which kind of link
    """

    link: str


@attrs.frozen
class StoreOutage(Fault):
    """The store refuses all calls, or answers none.

    :param silent: whether it answers none
    """

    silent: bool


@attrs.frozen
class ForgetHistory(Fault):
    """The store drops its history."""


@attrs.frozen
class CrashEndpoint(Fault):
    """An endpoint dies; another one starts at its address."""


@attrs.frozen
class DrainEndpoint(Fault):
    """An endpoint leaves and another one starts. Planned work."""


@attrs.frozen
class SpoilAnswers(Fault):
    """The next answers of an endpoint go wrong.

    :param faults: how
    """

    faults: tuple[WireFault, ...]


@attrs.frozen
class TakeKey(Fault):
    """A key is taken away, and the config changes. Planned work."""


@attrs.frozen
class MoveRoute(Fault):
    """A route moves to another service. Planned work."""


PLANNED = (StopGateway, ReloadGateway, DrainEndpoint, TakeKey, MoveRoute)
"""Work that callers must not notice."""


class Schedule:
    """Draws the faults of a run.

    :param settings: the run
    """

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)

    def draw(self) -> list[Fault]:
        """:return: faults in order of time; they come in series and overlap."""
        faults = []
        at_s = self._random.uniform(0.2, 1.0)
        while at_s < self._settings.length_s:
            faults += self._draw_series(at_s)
            at_s += self._random.expovariate(1 / self._settings.fault_gap_s)
        return sorted(faults, key=lambda fault: fault.at_s)

    def _draw_series(self, at_s: float) -> list[Fault]:
        draw = self._random.choice(self._list_kinds())
        count = self._random.choice((1, 1, 1, 2, 3))
        return [draw(at_s + number * self._random.uniform(0.05, 0.8)) for number in range(count)]

    def _list_kinds(self) -> list[Callable[[float], Fault]]:
        return [
            lambda at: KillGateway(at, self._gateway(), self._for(0.1, 1.0)),
            lambda at: PauseGateway(at, self._gateway(), self._for(0.1, 4.0)),
            lambda at: StopGateway(at, self._gateway(), 0.0),
            lambda at: StopGateway(at, self._gateway(), 0.0),
            lambda at: ReloadGateway(at, self._gateway(), 0.0),
            self._draw_delay,
            self._draw_hold,
            self._draw_reset,
            lambda at: StoreOutage(at, 0, self._for(0.3, 4.0), self._random.random() < 0.5),
            lambda at: ForgetHistory(at, 0, 0.0),
            lambda at: CrashEndpoint(at, self._endpoint(), self._for(0.2, 2.0)),
            lambda at: DrainEndpoint(at, self._endpoint(), 0.0),
            lambda at: SpoilAnswers(at, self._endpoint(), 0.0, self._spoil()),
            lambda at: SpoilAnswers(at, self._endpoint(), 0.0, self._spoil()),
            lambda at: TakeKey(at, self._random.randrange(1000), 0.0),
            lambda at: MoveRoute(at, 0, 0.0),
        ]

    def _for(self, least_s: float, most_s: float) -> float:
        return self._random.uniform(least_s, most_s)

    def _gateway(self) -> int:
        return self._random.randrange(self._settings.gateways)

    def _endpoint(self) -> int:
        return self._random.randrange(3 * self._settings.endpoints)

    def _draw_delay(self, at_s: float) -> Fault:
        link = self._link()
        return DelayLink(at_s, self._end_of(link), self._for(0.5, 3.0), link)

    def _draw_hold(self, at_s: float) -> Fault:
        link = self._link()
        return HoldLink(at_s, self._end_of(link), self._for(0.5, 4.0), link, *self._ways())

    def _draw_reset(self, at_s: float) -> Fault:
        link = self._link()
        return ResetLink(at_s, self._end_of(link), 0.0, link)

    def _link(self) -> str:
        return self._random.choice((STORE_LINK, ENDPOINT_LINK))

    def _end_of(self, link: str) -> int:
        return self._gateway() if link == STORE_LINK else self._endpoint()

    def _ways(self) -> tuple[bool, bool]:
        return self._random.choice(((True, False), (False, True), (True, True)))

    def _spoil(self) -> tuple[WireFault, ...]:
        return tuple(self._random.choices(SPOILED, k=self._random.randint(1, 4)))


__all__ = [
    "ENDPOINT_LINK",
    "PLANNED",
    "STORE_LINK",
    "CrashEndpoint",
    "DelayLink",
    "DrainEndpoint",
    "Fault",
    "ForgetHistory",
    "HoldLink",
    "KillGateway",
    "MoveRoute",
    "PauseGateway",
    "ReloadGateway",
    "ResetLink",
    "Schedule",
    "SpoilAnswers",
    "StopGateway",
    "StoreOutage",
    "TakeKey",
]
