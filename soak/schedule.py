"""Random schedule of faults and planned work, determined by the seed of a run."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from basilroad.standin.appserver import WireFault
from soak.settings import SoakSettings

CORRUPTIONS = (
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

BUSY_SERVICES = (0, 2)
"""Positions of the services that always have traffic; the other one has some at times."""

NOTICE_GAP_S = 1.0
"""Mean seconds between what endpoints say of themselves."""

LIMIT_GAP_S = 2.5
"""Mean seconds between limits that endpoints name."""

MIN_LIMIT_S = 5.0
"""Shortest time for which an endpoint names a limit, longer than the window in which it counts."""

MIN_LENGTH_WITH_LIMITS_S = 2.0
"""Shortest run in which endpoints name limits, which last longer."""

LIMITS_PER_S = (0.3, 1.0, 2.0, 5.0)
"""Limits in requests a second; endpoints of the soak get some tens."""

MIN_LENGTH_WITH_RESTORES_S = 10.0
"""Shortest run in which the store returns from an older copy, after which time limits hold late."""

STORE_LINK = "store"
ENDPOINT_LINK = "endpoint"


@attrs.frozen
class Fault:
    """A fault or planned work at a point in time of a run.

    :param at_s: seconds from the start of traffic
    :param target: number of the affected gateway or endpoint; for a key, any number that selects it
    :param duration_s: duration in seconds; 0 for an instantaneous fault
    """

    at_s: float
    target: int
    duration_s: float


@attrs.frozen
class KillGateway(Fault):
    """SIGKILL; the gateway is started again after the duration."""


@attrs.frozen
class PauseGateway(Fault):
    """SIGSTOP, then SIGCONT after the duration."""


@attrs.frozen
class StopGateway(Fault):
    """SIGTERM; the gateway is started again after its exit. Planned work."""


@attrs.frozen
class ReloadGateway(Fault):
    """SIGHUP. Planned work."""


@attrs.frozen
class DelayLink(Fault):
    """Bytes on a link are delayed.

    :param link: kind of link
    """

    link: str


@attrs.frozen
class HoldLink(Fault):
    """Bytes on a link are held back, in one direction or both.

    :param link: kind of link
    :param to_target: whether requests are held
    :param from_target: whether responses are held
    """

    link: str
    to_target: bool
    from_target: bool


@attrs.frozen
class ResetLink(Fault):
    """All connections of a link are reset.

    :param link: kind of link
    """

    link: str


@attrs.frozen
class StoreOutage(Fault):
    """The store rejects all calls, or does not respond at all.

    :param silent: whether it does not respond
    """

    silent: bool


@attrs.frozen
class DropStoreHistory(Fault):
    """The store discards its change history."""


@attrs.frozen
class RestoreStore(Fault):
    """The store is away for the duration and returns from an older copy.

    What operator and servers wrote since then is written again; rows of gateways are not.

    :param silent: whether it does not respond while it is away, else it rejects all calls
    :param copy_age_s: age of the copy in seconds when the store goes
    :param config_after_s: seconds from its return until the config is written again
    """

    silent: bool
    copy_age_s: float
    config_after_s: float


@attrs.frozen
class CrashEndpoint(Fault):
    """An endpoint crashes; a new one starts at its address."""


@attrs.frozen
class DrainEndpoint(Fault):
    """An endpoint is drained and a new one starts. Planned work."""


@attrs.frozen
class CorruptResponses(Fault):
    """The next responses of an endpoint are faulty.

    :param faults: one wire fault for each response
    """

    faults: tuple[WireFault, ...]


@attrs.frozen
class LeaveUnlisted(Fault):
    """An endpoint says in its responses that it leaves; its entry says ready. Planned work."""


@attrs.frozen
class AskForPause(Fault):
    """An endpoint turns requests away and wants no more for the duration.

    :param count: number of requests that it turns away
    """

    count: int


@attrs.frozen
class NameLimit(Fault):
    """An endpoint names in its responses how many requests it takes of all gateways together.

    :param per_s: requests a second
    """

    per_s: float


@attrs.frozen
class RevokeKey(Fault):
    """An API key is revoked by a config change. Planned work."""


@attrs.frozen
class MoveRoute(Fault):
    """A route is moved to another service by a config change. Planned work."""


PLANNED = (StopGateway, ReloadGateway, DrainEndpoint, LeaveUnlisted, RevokeKey, MoveRoute)
"""Planned work, which callers must not notice."""


class Schedule:
    """Draws the faults of a run at random.

    :param settings: settings of the run
    """

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        # of their own, so that a seed keeps its other faults
        self._notice_random = random.Random(f"notices {settings.seed}")
        self._limit_random = random.Random(f"limits {settings.seed}")
        self._restore_random = random.Random(f"restores {settings.seed}")

    def draw(self) -> list[Fault]:
        """:return: faults in order of time; a series repeats one kind, and faults may overlap."""
        faults = []
        at_s = self._random.uniform(0.2, 1.0)
        while at_s < self._settings.length_s:
            faults += self._draw_series(at_s)
            at_s += self._random.expovariate(1 / self._settings.fault_gap_s)
        said = [*self._draw_notices(), *self._draw_limits()]
        return sorted([*faults, *said, *self._draw_restores()], key=lambda fault: fault.at_s)

    def _draw_notices(self) -> list[Fault]:
        """:return: what endpoints say of themselves, a kind in turn, at least one of each."""
        generator, endpoints = self._notice_random, self._settings.endpoints
        faults: list[Fault] = []
        at_s = generator.uniform(0.2, 1.0)
        while len(faults) < 2 or at_s < self._settings.length_s:
            target = 3 * generator.randrange(endpoints) + generator.choice(BUSY_SERVICES)
            if len(faults) % 2:
                length_s = round(generator.uniform(0.8, 3.0), 2)
                faults.append(AskForPause(at_s, target, length_s, generator.randint(1, 3)))
            else:
                faults.append(LeaveUnlisted(at_s, target, 0.0))
            at_s += generator.expovariate(1 / NOTICE_GAP_S)
        return faults

    def _draw_limits(self) -> list[Fault]:
        """:return: limits of endpoints; they overlap, and change at one endpoint."""
        generator, endpoints = self._limit_random, self._settings.endpoints
        faults: list[Fault] = []
        if self._settings.length_s < MIN_LENGTH_WITH_LIMITS_S:
            return faults
        at_s = generator.uniform(0.0, 1.0)
        while not faults or at_s < self._settings.length_s - MIN_LIMIT_S:
            target = 3 * generator.randrange(endpoints) + generator.choice(BUSY_SERVICES)
            length_s = round(generator.uniform(MIN_LIMIT_S, 2 * MIN_LIMIT_S), 2)
            faults.append(NameLimit(at_s, target, length_s, generator.choice(LIMITS_PER_S)))
            at_s += generator.expovariate(1 / LIMIT_GAP_S)
        return faults

    def _draw_restores(self) -> list[Fault]:
        """:return: one or two returns of the store from an older copy."""
        generator, length_s = self._restore_random, self._settings.length_s
        if length_s < MIN_LENGTH_WITH_RESTORES_S:
            return []
        return [
            RestoreStore(
                generator.uniform(1.0, length_s),
                0,
                generator.uniform(0.3, 2.5),
                generator.random() < 0.5,
                generator.uniform(1.0, 8.0),
                generator.uniform(0.1, 1.0),
            )
            for _ in range(generator.choice((1, 2)))
        ]

    def _draw_series(self, at_s: float) -> list[Fault]:
        draw = self._random.choice(self._list_factories())
        count = self._random.choice((1, 1, 1, 2, 3))
        return [draw(at_s + number * self._random.uniform(0.05, 0.8)) for number in range(count)]

    def _list_factories(self) -> list[Callable[[float], Fault]]:
        return [
            lambda at: KillGateway(at, self._draw_gateway(), self._draw_duration(0.1, 1.0)),
            lambda at: PauseGateway(at, self._draw_gateway(), self._draw_duration(0.1, 4.0)),
            lambda at: StopGateway(at, self._draw_gateway(), 0.0),
            lambda at: StopGateway(at, self._draw_gateway(), 0.0),
            lambda at: ReloadGateway(at, self._draw_gateway(), 0.0),
            self._draw_delay,
            self._draw_hold,
            self._draw_reset,
            lambda at: StoreOutage(
                at, 0, self._draw_duration(0.3, 4.0), self._random.random() < 0.5
            ),
            lambda at: DropStoreHistory(at, 0, 0.0),
            lambda at: CrashEndpoint(at, self._draw_endpoint(), self._draw_duration(0.2, 2.0)),
            lambda at: DrainEndpoint(at, self._draw_endpoint(), 0.0),
            lambda at: CorruptResponses(at, self._draw_endpoint(), 0.0, self._draw_corruptions()),
            lambda at: CorruptResponses(at, self._draw_endpoint(), 0.0, self._draw_corruptions()),
            lambda at: RevokeKey(at, self._random.randrange(1000), 0.0),
            lambda at: MoveRoute(at, 0, 0.0),
        ]

    def _draw_duration(self, min_s: float, max_s: float) -> float:
        return self._random.uniform(min_s, max_s)

    def _draw_gateway(self) -> int:
        return self._random.randrange(self._settings.gateways)

    def _draw_endpoint(self) -> int:
        return self._random.randrange(3 * self._settings.endpoints)

    def _draw_delay(self, at_s: float) -> Fault:
        link = self._draw_link_kind()
        return DelayLink(at_s, self._draw_link_target(link), self._draw_duration(0.5, 3.0), link)

    def _draw_hold(self, at_s: float) -> Fault:
        link = self._draw_link_kind()
        return HoldLink(
            at_s,
            self._draw_link_target(link),
            self._draw_duration(0.5, 4.0),
            link,
            *self._draw_directions(),
        )

    def _draw_reset(self, at_s: float) -> Fault:
        link = self._draw_link_kind()
        return ResetLink(at_s, self._draw_link_target(link), 0.0, link)

    def _draw_link_kind(self) -> str:
        return self._random.choice((STORE_LINK, ENDPOINT_LINK))

    def _draw_link_target(self, link: str) -> int:
        return self._draw_gateway() if link == STORE_LINK else self._draw_endpoint()

    def _draw_directions(self) -> tuple[bool, bool]:
        return self._random.choice(((True, False), (False, True), (True, True)))

    def _draw_corruptions(self) -> tuple[WireFault, ...]:
        return tuple(self._random.choices(CORRUPTIONS, k=self._random.randint(1, 4)))


__all__ = [
    "ENDPOINT_LINK",
    "PLANNED",
    "STORE_LINK",
    "AskForPause",
    "CorruptResponses",
    "CrashEndpoint",
    "DelayLink",
    "DrainEndpoint",
    "DropStoreHistory",
    "Fault",
    "HoldLink",
    "KillGateway",
    "LeaveUnlisted",
    "MoveRoute",
    "NameLimit",
    "PauseGateway",
    "ReloadGateway",
    "ResetLink",
    "RestoreStore",
    "RevokeKey",
    "Schedule",
    "StopGateway",
    "StoreOutage",
]
